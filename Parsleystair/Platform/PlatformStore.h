#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// What is known of a call to the store after it ended.
enum class store_status
{
  /// The store answered.
  kReplied,
  /// The store never got the call, so it had no effect.
  kNotSent,
  /// No answer came in time; the call may have taken effect. A write must be
  /// settled by reading back.
  kUnknown,
};

/// One key of the store.
struct store_entry
{
  std::string mKey;
  std::string mValue;
  store_revision mModRevision;

  bool operator==(const store_entry&) const = default;
};

/// Linearizable read of the keys from `mFrom` up to, not including, `mTo`.
struct range_request
{
  std::string mFrom;
  std::string mTo;
  /// Only keys changed at this revision or later; 0 for all.
  store_revision mMinModRevision;
  bool mKeysOnly = false;

  bool operator==(const range_request&) const = default;
};

struct range_reply
{
  store_status mStatus = store_status::kUnknown;
  /// Revision of the store when it answered.
  store_revision mStoreRevision;
  std::vector<store_entry> mEntries;

  bool operator==(const range_reply&) const = default;
};

/// Condition of a transaction: the key's last change is at this revision; 0
/// stands for a key that doesn't exist.
struct store_compare
{
  std::string mKey;
  store_revision mModRevision;

  bool operator==(const store_compare&) const = default;
};

struct store_put
{
  std::string mKey;
  std::string mValue;

  bool operator==(const store_put&) const = default;
};

/// Puts and deletes that take effect together if all compares hold.
struct transaction_request
{
  std::vector<store_compare> mCompares;
  std::vector<store_put> mPuts;
  std::vector<std::string> mDeletes;

  bool operator==(const transaction_request&) const = default;
};

struct transaction_reply
{
  store_status mStatus = store_status::kUnknown;
  bool mSucceeded = false;
  /// Revision of the store after the transaction.
  store_revision mStoreRevision;

  bool operator==(const transaction_reply&) const = default;
};

/// One VM on the platform's list, which lags behind.
struct listed_vm
{
  vm_name mName;
  /// IP address and port for peers.
  std::string mHost;
  uint16_t mPeerPort = 0;
  failure_domain_name mFailureDomain;
  bool mLeaving = false;

  bool operator==(const listed_vm&) const = default;
};

struct vm_list_reply
{
  store_status mStatus = store_status::kUnknown;
  std::vector<listed_vm> mVms;

  bool operator==(const vm_list_reply&) const = default;
};

/// The platform's key-value store and VM list. Each call ends with exactly one
/// call of its callback, on the task that made it.
class platform_store
{
public:
  virtual ~platform_store() = default;

  virtual void Range(const range_request& aRequest,
                     std::function<void(range_reply)> aCallback) = 0;

  virtual void Transact(const transaction_request& aRequest,
                        std::function<void(transaction_reply)> aCallback) = 0;

  virtual void ListVms(std::function<void(vm_list_reply)> aCallback) = 0;
};

/// Keys of the store.
inline constexpr const char* kConfigurationKey = "configuration/current";
inline constexpr const char* kNotePrefix = "configuration/notes/";
inline constexpr const char* kGroupPrefix = "ownership/groups/";
/// One range that covers the configuration and all groups.
inline constexpr const char* kPollFrom = "configuration/";
inline constexpr const char* kPollTo = "ownership/groups0";

} // namespace parsleystair
