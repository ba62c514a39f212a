#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Peers/Messages.h"
#include "Parsleystair/Request/Outcome.h"
#include "Parsleystair/Request/RoutingSnapshot.h"
#include "Parsleystair/Tasks/WorkerCounters.h"

#include <memory>
#include <string>
#include <variant>

namespace parsleystair {

/// Names one request in one worker.
using flow_id = strong_id<struct flow_tag, uint64_t>;

/// Index of a worker task, from 0.
using worker_index = strong_id<struct worker_tag, uint32_t>;

/// Asks the control task whether a non-idempotent request may run.
struct begin_query
{
  worker_index mWorker;
  flow_id mFlow;
  begin_message mBegin;
  time_point mDeadline;
};

/// Tells the control task that a request that was allowed to run was sent, with
/// the whole answer, or none when its outcome will stay unknown.
struct execution_finished
{
  worker_index mWorker;
  flow_id mFlow;
  std::optional<http_response> mResponse;
};

/// Tells the control task that a request that was allowed to run did not run
/// and never will.
struct execution_withdrawn
{
  worker_index mWorker;
  flow_id mFlow;
};

/// Requests of one slot that a target answered.
struct slot_traffic
{
  target_name mTarget;
  slot_id mSlot;
  uint64_t mResponded = 0;
};

/// Tells the control task which targets have answered since the last report.
struct traffic_report
{
  std::vector<slot_traffic> mTraffic;
};

/// Tells the control task that a request has taken down a target.
struct crash_seen
{
  uint64_t mFingerprint = 0;
};

/// Counters of a worker since its start.
struct worker_report
{
  worker_index mWorker;
  worker_counters mCounters;
  size_t mOpenRequests = 0;
  bool mDrained = false;
};

using control_message = std::variant<begin_query,
                                     execution_finished,
                                     execution_withdrawn,
                                     traffic_report,
                                     crash_seen,
                                     worker_report>;

/// Gives the workers a newer snapshot.
struct snapshot_update
{
  std::shared_ptr<const routing_snapshot> mSnapshot;
};

/// Lets a request run, or gives its outcome.
struct execution_verdict
{
  flow_id mFlow;
  /// None: the attempt may run.
  std::optional<request_outcome> mOutcome;
};

/// Content that is refused at every router because it crashed targets.
struct crash_update
{
  std::vector<crash_notice> mCrashes;
};

/// Asks a worker to take no new connections and finish what is open.
struct drain_order
{};

/// Asks a worker for a report.
struct report_order
{};

/// Ends a worker.
struct stop_order
{};

using worker_message = std::variant<snapshot_update,
                                    execution_verdict,
                                    crash_update,
                                    drain_order,
                                    report_order,
                                    stop_order>;

/// Where a worker sends its messages.
class control_inbox
{
public:
  virtual ~control_inbox() = default;
  virtual void Send(control_message aMessage) = 0;
};

} // namespace parsleystair
