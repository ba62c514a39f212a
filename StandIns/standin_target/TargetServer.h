#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpServer.h"
#include "StandIns/standin_target/GrantTable.h"
#include "StandIns/standin_target/TargetFaults.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace parsleystair {

struct target_server_settings
{
  std::string mName = "target";
  std::string mHost = "127.0.0.1";
  uint16_t mPort = 0;
  /// Requests that run at the same time.
  uint32_t mConcurrency = 4;
  /// Requests that wait beyond those; more are shed.
  uint32_t mMaxQueue = 64;
  /// Mean time of a request; times are spread exponentially.
  duration mServiceTime = 1ms;
  /// Requests take three times as long for this long after the start.
  duration mColdTime{};
  /// Age of the values that /health and /load tell.
  duration mReportLag = 2s;
  bool mChecksGrants = true;
  uint64_t mSeed = 1;
};

/// Stand-in for a back-end server that owns keys.
class target_server
{
public:
  target_server(event_loop& aLoop, const target_server_settings& aSettings);

  [[nodiscard]] uint16_t Port() const;

  /// Times that requests with this idempotency key were started.
  [[nodiscard]] uint32_t Executions(const std::string& aKey) const;

  /// Requests that were started.
  [[nodiscard]] uint64_t TotalExecutions() const;

  void SetFaults(const target_faults& aFaults);

private:
  struct job
  {
    exchange_id mExchange;
    http_request mRequest;
    std::string mRequestId;
    slot_id mSlot;
    fence mFence;
    std::unique_ptr<timer> mTimer;
  };

  void Handle(exchange_id aExchange, http_request aRequest);
  bool HandleControl(exchange_id aExchange, const http_request& aRequest);
  void HandleGrants(exchange_id aExchange, const http_request& aRequest);
  void HandleFaults(exchange_id aExchange, const http_request& aRequest);
  void HandleRequestState(exchange_id aExchange, const http_request& aRequest);
  void ReportExecutions(exchange_id aExchange);
  void ReportLoad(exchange_id aExchange);

  void Admit(exchange_id aExchange, http_request aRequest);
  std::string ReasonNotToRun(const job& aJob);
  void Start(job aJob);
  void StartQueued();
  void Finish(uint64_t aJobId);
  void RefuseNotRun(exchange_id aExchange,
                    uint32_t aStatus,
                    const std::string& aReason);
  void Answer(exchange_id aExchange, http_response aAnswer);
  duration DrawServiceTime();
  [[nodiscard]] std::set<slot_id> BusySlots() const;
  uint64_t ClockMs() const;
  static std::string ConnectionName(const http_request& aRequest);

  event_loop& mLoop;
  target_server_settings mSettings;
  target_faults mFaults;
  std::mt19937_64 mRandom;
  grant_table mGrants;
  time_point mStart;
  uint64_t mNextJob = 1;
  uint64_t mTotalExecutions = 0;
  std::map<uint64_t, job> mRunning;
  std::deque<job> mQueue;
  std::map<std::string, uint32_t> mExecutions;
  std::set<std::string> mCancelled;
  std::set<std::string> mFinished;
  std::set<std::string> mConnections;
  std::set<std::string> mSilent;
  std::deque<std::pair<time_point, size_t>> mLoadHistory;
  std::map<uint64_t, std::unique_ptr<timer>> mDelayed;
  http_server mServer;
  timer mLoadTimer;
};

} // namespace parsleystair
