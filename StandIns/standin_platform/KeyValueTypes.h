#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleystair {

/// Value types of the stand-in's key-value store, after etcd's v3 interface.

/// Keys from `mFrom` up to, not including, `mTo`. An empty `mTo` stands for the
/// one key `mFrom`; one zero byte stands for no upper end.
struct kv_interval
{
  std::string mFrom;
  std::string mTo;

  [[nodiscard]] bool Contains(const std::string& aKey) const;

  bool operator==(const kv_interval&) const = default;
};

/// One key at one revision.
struct kv_entry
{
  std::string mKey;
  std::string mValue;
  uint64_t mCreateRevision = 0;
  uint64_t mModRevision = 0;
  /// Number of puts since the key was created; 0 for a deleted key.
  uint64_t mVersion = 0;
  /// 0 for none.
  uint64_t mLease = 0;

  [[nodiscard]] bool IsDeleted() const { return mVersion == 0; }

  bool operator==(const kv_entry&) const = default;
};

enum class kv_compare_target
{
  kVersion,
  kCreate,
  kMod,
  kValue,
};

enum class kv_compare_result
{
  kEqual,
  kGreater,
  kLess,
  kNotEqual,
};

struct kv_compare
{
  kv_compare_target mTarget = kv_compare_target::kVersion;
  kv_compare_result mResult = kv_compare_result::kEqual;
  std::string mKey;
  /// Version or revision to compare with.
  uint64_t mNumber = 0;
  std::string mValue;

  bool operator==(const kv_compare&) const = default;
};

struct kv_range
{
  kv_interval mKeys;
  /// Revision at which to read; 0 for the newest.
  uint64_t mRevision = 0;
  uint64_t mMinModRevision = 0;
  /// Longest result; 0 for no limit.
  uint64_t mLimit = 0;
  bool mKeysOnly = false;
  bool mCountOnly = false;

  bool operator==(const kv_range&) const = default;
};

struct kv_range_result
{
  std::vector<kv_entry> mEntries;
  /// Keys in the interval, whatever the limit.
  uint64_t mCount = 0;
  bool mMore = false;

  bool operator==(const kv_range_result&) const = default;
};

struct kv_put
{
  std::string mKey;
  std::string mValue;
  uint64_t mLease = 0;

  bool operator==(const kv_put&) const = default;
};

struct kv_put_result
{
  bool operator==(const kv_put_result&) const = default;
};

struct kv_delete
{
  kv_interval mKeys;

  bool operator==(const kv_delete&) const = default;
};

struct kv_delete_result
{
  uint64_t mDeleted = 0;

  bool operator==(const kv_delete_result&) const = default;
};

using kv_operation = std::variant<kv_range, kv_put, kv_delete>;
using kv_operation_result =
  std::variant<kv_range_result, kv_put_result, kv_delete_result>;

struct kv_transaction
{
  std::vector<kv_compare> mCompares;
  std::vector<kv_operation> mSuccess;
  std::vector<kv_operation> mFailure;

  bool operator==(const kv_transaction&) const = default;
};

struct kv_transaction_result
{
  bool mSucceeded = false;
  std::vector<kv_operation_result> mResults;

  bool operator==(const kv_transaction_result&) const = default;
};

} // namespace parsleystair
