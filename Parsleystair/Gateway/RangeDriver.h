#pragma once

#include "Parsleystair/Gateway/GrantQueue.h"
#include "Parsleystair/Gateway/LeaderElection.h"
#include "Parsleystair/Gateway/OwnerFeed.h"
#include "Parsleystair/Gateway/RequestProtocol.h"
#include "Parsleystair/Gateway/TargetConnections.h"
#include "Parsleystair/KeyRanges/RangeController.h"
#include "Parsleystair/Limits/KeyAdmission.h"

#include <map>
#include <set>

namespace parsleystair {

/// Name of the reason in log lines and metrics.
const char* ReadyReasonName(ready_reason aReason);

/// Store keys that the routers themselves write.
inline constexpr const char* kLeaderKey = "parsleystair/leader";
inline constexpr const char* kTermsKey = "parsleystair/terms";
/// Routers by which a starting router finds its relay. The prefix is that of
/// the leader key, so that one read gets both.
inline constexpr const char* kRoutersKey = "parsleystair/leader/routers";
/// Records of contents that are refused because they crash targets, for routers
/// that start or can't reach the leader.
inline constexpr const char* kCrashesKey = "parsleystair/leader/crashes";
/// Prefix of the keys of ownership records in all eras.
inline constexpr const char* kRecordKeyPrefix = "parsleystair/ranges";

/// What the key of an ownership record in the store names.
struct record_key
{
  service_name mService;
  store_era mEra = kFirstEra;

  bool operator==(const record_key&) const = default;
};

std::string EncodeRecordKey(const record_key& aKey);

/// Nothing if the text is no key of an ownership record.
std::optional<record_key> DecodeRecordKey(const std::string& aText);

struct range_driver_counters
{
  uint64_t mGrants = 0;
  uint64_t mGrantsFailed = 0;
  /// Grants that were dropped because their `mSendUntil` had passed.
  uint64_t mGrantsTooLate = 0;
  uint64_t mReleases = 0;
  uint64_t mReleasesFailed = 0;
  /// Responses to releases whose handover can't be used.
  uint64_t mUnusableHandovers = 0;
  uint64_t mRecordWrites = 0;
  std::map<ready_reason, uint64_t> mMoves;

  bool operator==(const range_driver_counters&) const = default;
};

/// Executes the decisions of the keyed services' range controllers: sends
/// orders to targets and writes ownership records to the store.
class range_driver
{
public:
  range_driver(event_loop& aLoop,
               const range_settings& aSettings,
               coordination_store& aStore,
               const order_protocol& aProtocol,
               leader_election& aElection);
  range_driver(const range_driver&) = delete;
  range_driver& operator=(const range_driver&) = delete;

  /// Called with each ownership record that this router wrote.
  using record_handler =
    std::function<void(const service_name&, const versioned_record&)>;
  void OnRecord(record_handler aHandler)
  {
    mRecordHandler = std::move(aHandler);
  }

  /// Called when the write of a record did not succeed or its outcome is
  /// unknown.
  void OnWriteFailed(std::function<void()> aHandler)
  {
    mWriteFailedHandler = std::move(aHandler);
  }

  /// Called with a target that says in a response to an order that it leaves,
  /// and the start time of its process.
  using leaving_handler = std::function<void(const target_name&, uint64_t)>;
  void OnLeaving(leaving_handler aHandler)
  {
    mLeavingHandler = std::move(aHandler);
  }

  void SetServices(const std::set<service_name>& aServices);
  /// The election's leader is this router, and the records have been read since
  /// it was elected.
  void StartLeading(time_point aNow);
  /// Cancels all orders. Nothing of them is sent any more.
  void StopLeading(time_point aNow);
  void HandleLeadershipConfirmed();
  void HandleFormerLeadersGone(time_point aNow);

  /// The end of the leadership's recovery is known better, or the records may
  /// be written before it.
  void HandleRecoveryChange();
  void HandleRecord(const service_name& aService,
                    const range_record& aRecord,
                    store_revision aRevision);
  void HandleTargets(const target_directory& aDirectory, time_point aNow);
  void HandleLoad(const service_name& aService,
                  const service_load& aLoad,
                  time_point aNow);

  [[nodiscard]] const range_driver_counters& Counters() const
  {
    return mCounters;
  }
  /// Limits for overloaded owners of keys, while this router leads.
  [[nodiscard]] service_limits KeyLimits(time_point aNow);

  [[nodiscard]] size_t PendingMoves() const;
  [[nodiscard]] bool IsLeading() const { return mLeading; }
  /// Whether the records of all services are those of the present era.
  [[nodiscard]] bool AreRecordsCurrent() const;
  [[nodiscard]] bool HasServices() const { return !mControllers.empty(); }

private:
  void StartController(range_controller& aController, time_point aNow);
  void ApplyRecovery(range_controller& aController) const;
  void StepAll();
  void ScheduleStep();
  void Execute(const service_name& aService, const grant_order& aOrder);
  void Execute(const service_name& aService, const release_order& aOrder);
  void Execute(const service_name& aService, const write_record& aWrite);
  void SendGrant(const grant_queue::queued_grant& aGrant);
  void SendQueuedGrants(const target_name& aTarget, order_result aLastOutcome);
  void HandleGrantOutcome(const service_name& aService,
                          const grant_order& aOrder,
                          order_result aOutcome,
                          const http_result* aResult = nullptr);
  void HandleReadyMove(const service_name& aService, const ready_move& aMove);
  using order_callback =
    std::function<void(const order_response&, const http_result&)>;

  /// Sends an order. `aRequestId`: identifier in `aRequest`.
  call_id CallTarget(const order_address& aAddress,
                     const http_request& aRequest,
                     const std::string& aRequestId,
                     duration aTimeout,
                     const call_options& aOptions,
                     order_callback aCallback);
  /// Removes the fences that are not granted any more.
  void RemoveUnusedFences(time_point aNow);
  /// Whether the target owns keys beside those that it is asked to release.
  [[nodiscard]] bool KeepsKeys(const service_name& aService,
                               const release_order& aOrder) const;
  [[nodiscard]] order_response ReadOutcome(const http_result& aResult) const;
  /// Returns an identifier that no other order of any router has.
  std::string NextRequestId();
  range_controller* FindController(const service_name& aService);
  discovered_target ToDiscoveredTarget(const order_address& aAddress) const;

  event_loop& mLoop;
  range_settings mSettings;
  coordination_store& mStore;
  const order_protocol& mProtocol;
  leader_election& mElection;
  target_connections mConnections;
  std::map<target_name, grant_queue> mGrantQueues;
  fence_connections mFenceConnections;
  std::map<service_name, range_controller> mControllers;
  range_driver_counters mCounters;
  uint64_t mNextRequestNumber = 1;
  /// Targets whose last response to an order had no identifier. The response to
  /// a release is then certain only on a new connection.
  std::set<target_name> mTargetsWithoutRequestIds;
  /// Targets whose connections were found broken since the last step began.
  std::set<target_name> mBrokenTargets;
  /// Start times of the registered targets.
  std::map<target_name, uint64_t> mStartTimes;
  record_handler mRecordHandler;
  leaving_handler mLeavingHandler;
  std::function<void()> mWriteFailedHandler;
  bool mLeading = false;
  bool mStepScheduled = false;
  /// For the next step that no event starts.
  timer mStepTimer;
  /// For the next step after an event.
  timer mCoalesceTimer;
};

} // namespace parsleystair
