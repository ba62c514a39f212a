#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Platform/PlatformStore.h"

#include <cstdint>
#include <memory>
#include <string>

namespace parsleystair {

struct etcd_store_settings
{
  /// IP address and port of the platform.
  std::string mHost = "127.0.0.1";
  uint16_t mPort = 2379;
  uint32_t mConnections = 8;
  /// Longest time from a call to its callback.
  duration mTimeout = 1s;
  /// Calls of this VM; 12 VMs then stay below the platform's 2,000 reads and
  /// several hundred writes a second.
  double mReadsPerSecond = 100;
  double mWritesPerSecond = 25;
  double mReadBurst = 100;
  /// One write for each of 64 groups.
  double mWriteBurst = 64;
  /// Longest delay after the first failure; doubles with each further one.
  duration mFirstBackoff = 50ms;
  /// A poll each 100 ms finds a recovered store within this and 100 ms.
  duration mMaxBackoff = 800ms;
  /// Seed of the backoff's jitter; differs between VMs.
  uint64_t mSeed = 1;
};

/// Calls by kind and by how they ended; all only grow.
struct store_counters
{
  /// Calls that were made of this object.
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  uint64_t mLists = 0;
  /// How they ended; the sum is the number of calls, less the open ones.
  uint64_t mAnswered = 0;
  uint64_t mNotSent = 0;
  uint64_t mUnknown = 0;
  /// Part of `mUnknown`: whole answers that were errors or didn't parse.
  uint64_t mMalformed = 0;
  /// Parts of `mNotSent`: refused here, without a call to the platform.
  uint64_t mRefusedByCap = 0;
  uint64_t mRefusedByBackoff = 0;
  uint64_t mRefusedTooLarge = 0;
  uint64_t mRefusedQueue = 0;
  /// Bodies of requests sent and answers received.
  uint64_t mBytesSent = 0;
  uint64_t mBytesReceived = 0;

  bool operator==(const store_counters&) const = default;
};

/// The platform's store by etcd's v3 JSON mapping over HTTP, and its VM list by
/// `GET /vms`. Callbacks never run inside the call itself. Calls that are open
/// when the object ends get no callback; callbacks must not destroy it.
class etcd_store : public platform_store
{
public:
  /// Longest value, in bytes; a transaction with a longer one is not sent.
  static constexpr size_t kMaxValueBytes = 1024 * 1024;

  etcd_store(event_loop& aLoop, const etcd_store_settings& aSettings);
  ~etcd_store() override;
  etcd_store(const etcd_store&) = delete;
  etcd_store& operator=(const etcd_store&) = delete;

  /// An empty `mTo` reads the one key `mFrom`.
  void Range(const range_request& aRequest,
             std::function<void(range_reply)> aCallback) override;

  void Transact(const transaction_request& aRequest,
                std::function<void(transaction_reply)> aCallback) override;

  void ListVms(std::function<void(vm_list_reply)> aCallback) override;

  [[nodiscard]] const store_counters& Counters() const;

  /// Tells if the last call that ended failed, so that calls are spaced out.
  [[nodiscard]] bool IsFailing() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace parsleystair
