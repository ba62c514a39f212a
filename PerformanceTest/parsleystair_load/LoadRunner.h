#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "PerformanceTest/parsleystair_load/AnswerCheck.h"

#include <deque>
#include <memory>

namespace parsleystair {

/// Sends the workload to the routers and fills the account.
class load_runner
{
public:
  load_runner(event_loop& aLoop,
              const load_settings& aSettings,
              std::vector<request_kind> aKinds);

  /// Runs the loop until each request has ended and the targets were asked.
  const load_account& Run();

private:
  struct connection
  {
    size_t mRouter = 0;
    std::unique_ptr<http_connection> mHttp;
  };

  void StartDue();
  void ScheduleNext();
  void Enqueue(const planned_request& aRequest);
  void SendWaiting();
  [[nodiscard]] connection* PickIdle(const planned_request& aRequest);
  /// Routers that may get the request; at least one.
  [[nodiscard]] std::vector<bool> UsableRouters(
    const planned_request& aRequest);
  void Send(connection& aConnection, const planned_request& aRequest);
  void Handle(size_t aRouter,
              const planned_request& aRequest,
              const http_result& aResult);
  void CheckEnd();
  void AskNextTarget();
  void HandleExecutions(const http_result& aResult);

  event_loop& mLoop;
  load_settings mSettings;
  workload mWorkload;
  load_account mAccount;
  std::vector<connection> mConnections;
  /// For each router, after a refused connection.
  std::vector<time_point> mAvoidUntil;
  /// Where the search for an idle connection goes on.
  size_t mNextConnection = 0;
  std::deque<planned_request> mWaiting;
  size_t mOpen = 0;
  time_point mNextArrival;
  time_point mLastArrival;
  bool mArrivalsEnded = false;
  timer mArrivalTimer;
  std::unique_ptr<http_connection> mTarget;
  execution_counts mExecutions;
  uint64_t mTargetsAsked = 0;
  uint64_t mTargetsSilent = 0;
};

} // namespace parsleystair
