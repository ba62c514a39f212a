#pragma once

#include "Parsleystair/Http/HttpServer.h"
#include "review/support-2/Record.h"

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace review {

/// Stand-in of the platform's store. It speaks what PROTOCOL.md says and keeps
/// each change for `history_s`, 20 s. Values are encoded once, so that big
/// ones cost little.
class store
{
public:
  explicit store(parsleystair::event_loop& aLoop);
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  void Listen(const std::string& aHost);
  [[nodiscard]] uint16_t Port() const { return mServer.Port(); }

  /// Writes as the operator or an upstream does.
  void Put(const std::string& aKey, const std::string& aValue);
  [[nodiscard]] std::string Get(const std::string& aKey) const;

  /// Bytes of the longest answer to a watch so far.
  [[nodiscard]] size_t LongestWatchAnswer() const { return mLongestAnswer; }

private:
  struct item
  {
    std::string mValue;
    uint64_t mRevision = 0;
    uint64_t mCreated = 0;
    uint64_t mLease = 0;
    /// The item as JSON.
    std::string mText;
  };
  struct change
  {
    uint64_t mRevision = 0;
    time_point mAt;
    std::string mKey;
    /// The event as JSON.
    std::string mText;
  };
  struct lease
  {
    duration mTime{};
    time_point mEnd;
  };
  struct waiting_watch
  {
    std::string mPrefix;
    uint64_t mAfter = 0;
    std::unique_ptr<parsleystair::timer> mTimer;
  };

  void Handle(parsleystair::exchange_id aExchange,
              const parsleystair::http_request& aRequest);
  void HandleRange(parsleystair::exchange_id aExchange,
                   const parsleystair::http_request& aRequest);
  void HandleKey(parsleystair::exchange_id aExchange,
                 const parsleystair::http_request& aRequest);
  void HandleWatch(parsleystair::exchange_id aExchange,
                   const parsleystair::http_request& aRequest);
  void HandleTransaction(parsleystair::exchange_id aExchange,
                         const parsleystair::http_request& aRequest);
  void HandleLease(parsleystair::exchange_id aExchange,
                   const parsleystair::http_request& aRequest);
  void HandleKeep(parsleystair::exchange_id aExchange, uint64_t aLease);
  void HandleLeaseEnd(parsleystair::exchange_id aExchange, uint64_t aLease);
  void Answer(parsleystair::exchange_id aExchange,
              uint32_t aStatus,
              std::string aBody);
  void AnswerWatch(parsleystair::exchange_id aExchange,
                   const waiting_watch& aWatch);

  void Set(const std::string& aKey,
           const std::string& aValue,
           uint64_t aLease,
           uint64_t aRevision);
  void Remove(const std::string& aKey, uint64_t aRevision);
  void EndLease(uint64_t aLease);
  /// Ends leases and forgets old changes.
  void Expire();
  void WakeWatches();
  [[nodiscard]] bool HasChange(const waiting_watch& aWatch) const;

  parsleystair::event_loop& mLoop;
  parsleystair::http_server mServer;
  std::map<std::string, item> mItems;
  std::deque<change> mChanges;
  /// Changes up to this revision are forgotten.
  uint64_t mForgotten = 0;
  uint64_t mHead = 1;
  uint64_t mNextLease = 1;
  std::map<uint64_t, lease> mLeases;
  std::map<parsleystair::exchange_id, waiting_watch> mWatches;
  size_t mLongestAnswer = 0;
  parsleystair::timer mExpireTimer;
};

} // namespace review
