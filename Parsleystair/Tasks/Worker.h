#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpServer.h"
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
  // The steps of the pipeline, in order.
  void Read(exchange_id aExchange, http_request aRequest);
  void Admit(request_flow& aFlow, time_point aNow);
  void FindDuplicate(request_flow& aFlow, time_point aNow);
  void Dispatch(request_flow& aFlow, time_point aNow);
  void Enqueue(request_flow& aFlow, target_lane& aLane, time_point aNow);
  void SendTo(request_flow& aFlow, target_lane& aLane, time_point aNow);
  void HandleTry(flow_id aFlow, target_lane& aLane, try_result aResult);
  void Finish(flow_id aFlow, const request_outcome& aOutcome);
  void ReportAttempt(const request_flow& aFlow,
                     const request_outcome& aOutcome);

  // Outcomes of tries.
  void HandleNotRun(request_flow& aFlow,
                    const try_result& aResult,
                    time_point aNow);
  void HandleUnknown(request_flow& aFlow,
                     target_lane& aLane,
                     const try_result& aResult,
                     time_point aNow);
  void RetryOrGiveUp(request_flow& aFlow, time_point aNow);
  void Park(request_flow& aFlow,
            const refused_not_run& aReason,
            duration aDelay,
            time_point aNow);
  void Refuse(request_flow& aFlow, const refused_not_run& aReason);

  // Messages of the control task.
  void Apply(snapshot_update aUpdate);
  void Apply(const attempt_verdict& aVerdict);
  void Apply(const crash_update& aUpdate);
  void Apply(const drain_order& aOrder);
  void Apply(const report_order& aOrder);
  void Apply(const stop_order& aOrder);

  void Tick(time_point aNow);
  void WakeParked(time_point aNow);
  void ServeQueue(target_lane& aLane, time_point aNow);
  void DropExpired(target_lane& aLane, time_point aNow);
  void SweepOverdue(time_point aNow);
  void ReportTraffic();
  std::variant<target_lane*, refused_not_run>
  PickLane(const request_flow& aFlow, time_point aNow, fence& aFence);
  target_lane& LaneFor(const service_configuration& aService,
                       const target_configuration& aTarget);
  http_request MakeTargetRequest(const request_flow& aFlow,
                                 const std::string& aTryName,
                                 time_point aNow) const;
  std::string MakeId();

  event_loop& mLoop;
  worker_index mIndex;
  router_settings mSettings;
  control_inbox& mControl;
  std::mt19937_64 mRandom;
  std::shared_ptr<const routing_snapshot> mSnapshot;
  uint64_t mNextFlow = 1;
  std::unordered_map<flow_id, request_flow> mFlows;
  std::multimap<time_point, flow_id> mParked;
  std::map<std::pair<service_name, target_name>, std::unique_ptr<target_lane>>
    mLanes;
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
