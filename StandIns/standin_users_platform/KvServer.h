#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpServer.h"
#include "StandIns/standin_platform/KeyValueCore.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace parsleystair {

/// Stand-in of the users' platform's key-value store: speaks its protocol and
/// waits with watches over the same store as `standin_platform`.
class kv_server
{
public:
  explicit kv_server(event_loop& aLoop);
  kv_server(const kv_server&) = delete;
  kv_server& operator=(const kv_server&) = delete;

  void Listen(const std::string& aHost, uint16_t aPort);
  [[nodiscard]] uint16_t Port() const { return mServer.Port(); }

  /// Writes as the operator or a target does, outside the API.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

  /// Value of a key; empty if there is none.
  [[nodiscard]] std::string Get(const std::string& aKey) const;

  /// From now on calls get 503, or are answered again.
  void SetUnavailable(bool aDown);
  /// Calls get no answer at all, nor do the watches that wait now: the store
  /// forgets them and keeps their connections.
  void SetUnresponsive(bool aSilent);
  /// The answers of the next writes are lost though the writes are done.
  void LoseWriteAnswers(uint32_t aCount) { mLoseAnswers = aCount; }
  /// Forgets all changes up to now.
  void DropHistory();
  /// Keeps a copy of the store for `Restore`.
  void Save() { mCopy = mCore; }
  /// Comes back from the kept copy: all later changes and leases are lost, and
  /// their revisions are assigned again. Starts a new era.
  void Restore();

  [[nodiscard]] uint64_t Calls() const { return mCalls; }

private:
  struct waiting_watch
  {
    std::string mPrefix;
    uint64_t mAfter = 0;
    std::unique_ptr<timer> mTimer;
  };

  void Handle(exchange_id aExchange, const http_request& aRequest);
  void HandleRange(exchange_id aExchange, const http_request& aRequest);
  void HandleKey(exchange_id aExchange, const http_request& aRequest);
  void HandleWatch(exchange_id aExchange, const http_request& aRequest);
  void HandleTransaction(exchange_id aExchange, const http_request& aRequest);
  void HandleLease(exchange_id aExchange, const http_request& aRequest);
  void HandleKeep(exchange_id aExchange, uint64_t aLease);
  void HandleLeaseEnd(exchange_id aExchange, uint64_t aLease);
  void Answer(exchange_id aExchange,
              uint32_t aStatus,
              const nlohmann::json& aBody);
  void AnswerWatch(exchange_id aExchange, const waiting_watch& aWatch);
  [[nodiscard]] nlohmann::json EventsFor(const waiting_watch& aWatch) const;
  [[nodiscard]] std::optional<kv_entry> Find(const std::string& aKey) const;
  void WakeWatches();

  event_loop& mLoop;
  key_value_core mCore;
  key_value_core mCopy;
  uint64_t mEra = 1;
  http_server mServer;
  std::map<exchange_id, waiting_watch> mWatches;
  timer mLeaseTimer;
  /// Watches from an earlier revision are told that its history is gone.
  uint64_t mFirstRevision = 1;
  uint64_t mCalls = 0;
  uint32_t mLoseAnswers = 0;
  bool mUnavailable = false;
  bool mUnresponsive = false;
};

} // namespace parsleystair
