#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Dump/LatencyHistogram.h"
#include "Parsleystair/Http/HttpServer.h"
#include "Parsleystair/Limits/OutlierTracker.h"
#include "Parsleystair/Limits/RetryBudget.h"
#include "Parsleystair/Settings/RouterSettings.h"
#include "Parsleystair/Tasks/RequestFlow.h"
#include "Parsleystair/Tasks/TargetLane.h"
#include "Parsleystair/Tasks/WorkerCounters.h"

#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace parsleystair {

/// Serves callers on one event loop: takes each request through the pipeline
/// and gives it exactly one outcome. Runs on the task that owns the loop.
class worker
{
public:
  worker(event_loop& aLoop,
         worker_index aIndex,
         const router_settings& aSettings,
         uint64_t aSeed,
         control_inbox& aControl);

  /// Handles a message of the control task.
  void Handle(worker_message aMessage);

  /// Port of the callers' listener.
  [[nodiscard]] uint16_t Port() const { return mServer.Port(); }

private:
  /// Lane to use, or why there is none now.
  using lane_choice = std::variant<target_lane*, refused_not_run>;

  // The steps of the pipeline, in order.
  void Read(exchange_id aExchange, http_request aRequest);
  void Admit(request_flow& aFlow, time_point aNow);
  void FindDuplicate(request_flow& aFlow, time_point aNow);
  void Dispatch(request_flow& aFlow, time_point aNow);
  void Offer(request_flow& aFlow, target_lane& aLane, time_point aNow);
  void SendTo(request_flow& aFlow, target_lane& aLane, time_point aNow);
  void HandleTry(flow_id aFlow, target_lane& aLane, attempt_result aResult);
  void Finish(flow_id aFlow, const request_outcome& aOutcome);

  // Outcomes of tries.
  void RecordEnd(const request_flow& aFlow,
                 target_lane& aLane,
                 const attempt_result& aResult,
                 time_point aNow);
  void HandleNotSent(request_flow& aFlow, time_point aNow);
  void HandleNotRun(request_flow& aFlow,
                    const attempt_result& aResult,
                    time_point aNow);
  void HandleUnknown(request_flow& aFlow,
                     target_lane& aLane,
                     const attempt_result& aResult,
                     time_point aNow);
  void RetryOrFinish(request_flow& aFlow,
                     const failed_attempt& aFailure,
                     time_point aNow);
  void WaitForOwner(request_flow& aFlow,
                    const refused_not_run& aReason,
                    time_point aNow);
  void Park(const request_flow& aFlow, time_point aWake);
  void Refuse(const request_flow& aFlow, const refused_not_run& aReason);
  void ReportAttempt(const request_flow& aFlow,
                     const request_outcome& aOutcome);

  // Messages of the control task.
  void Apply(snapshot_update aUpdate);
  void Apply(const execution_verdict& aVerdict);
  void Apply(const crash_update& aUpdate);
  void Apply(const drain_order& aOrder);
  void Apply(const report_order& aOrder);
  void Apply(const stop_order& aOrder);

  // Periodic work.
  void Tick(time_point aNow);
  void WakeParked(time_point aNow);
  void ServeQueue(target_lane& aLane, time_point aNow);
  void RefuseShed(const shed_request& aShed, const target_lane& aLane);
  void ShedExpired(target_lane& aLane, time_point aNow);
  void SweepOverdue(time_point aNow);
  void ReportTraffic();

  // Targets.
  lane_choice PickLane(request_flow& aFlow, time_point aNow);
  target_lane* PickShared(const request_flow& aFlow, time_point aNow);
  target_lane& LaneFor(const service_configuration& aService,
                       const target_configuration& aTarget);
  retry_budget& BudgetOf(const service_configuration& aService);
  [[nodiscard]] static bool IsExclusive(const request_flow& aFlow);
  std::string MakeId();

  event_loop& mLoop;
  worker_index mIndex;
  control_inbox& mControl;
  std::mt19937_64 mRandom;
  std::shared_ptr<const routing_snapshot> mSnapshot;
  uint64_t mNextFlow = 1;
  std::unordered_map<flow_id, request_flow> mFlows;
  std::multimap<time_point, flow_id> mParked;
  std::map<std::pair<service_name, target_name>, std::unique_ptr<target_lane>>
    mLanes;
  std::map<service_name, retry_budget> mBudgets;
  std::map<service_name, outlier_tracker> mOutliers;
  std::unordered_map<uint64_t, time_point> mRefusedContent;
  std::map<std::pair<target_name, slot_id>, uint64_t> mTraffic;
  worker_counters mCounters;
  latency_histogram mLatency;
  bool mDraining = false;
  http_server mServer;
  timer mTick;
  timer mTrafficTimer;
};

} // namespace parsleystair
