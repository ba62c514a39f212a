#pragma once

#include "Parsleystair/Gateway/LeaderElection.h"
#include "Parsleystair/Gateway/RequestProtocol.h"
#include "Parsleystair/Gateway/TargetConnections.h"
#include "Parsleystair/KeyRanges/RangeController.h"

#include <map>
#include <set>

namespace parsleystair {

/// Prefix of this program's own keys in the store.
inline constexpr const char* kOwnPrefix = "parsleystair/";
inline constexpr const char* kLeaderKey = "parsleystair/leader";
inline constexpr const char* kRangesPrefix = "parsleystair/ranges/";

struct range_driver_counters
{
  uint64_t mGrants = 0;
  uint64_t mGrantsFailed = 0;
  uint64_t mReleases = 0;
  uint64_t mReleasesFailed = 0;
  uint64_t mRecordWrites = 0;
  uint64_t mRecordWritesFailed = 0;

  bool operator==(const range_driver_counters&) const = default;
};

/// Carries out what the range controllers of the keyed services decide: orders
/// to targets and writes of records.
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

  void SetServices(const std::set<service_name>& aServices);
  void HandleLeadership(time_point aNow);
  void HandleProof(time_point aAsked);
  void HandleRecord(const service_name& aService,
                    const range_record& aRecord,
                    store_revision aRevision);
  void HandleTargets(const target_directory& aDirectory, time_point aNow);
  void HandleLoad(const service_name& aService,
                  const key_counts& aCounts,
                  time_point aNow);

  [[nodiscard]] const range_driver_counters& Counters() const
  {
    return mCounters;
  }
  [[nodiscard]] size_t OpenMoves() const;

private:
  void StepAll();
  void StepLater();
  void Execute(const service_name& aService, const grant_order& aOrder);
  void Execute(const service_name& aService, const release_order& aOrder);
  void Execute(const service_name& aService, const write_record& aWrite);
  void HandleGrantEnd(const service_name& aService,
                      const grant_order& aOrder,
                      order_end aEnd);
  range_controller* Find(const service_name& aService);
  discovered_target TargetOf(const order_address& aAddress) const;

  event_loop& mLoop;
  range_settings mSettings;
  coordination_store& mStore;
  const order_protocol& mProtocol;
  leader_election& mElection;
  target_connections mConnections;
  std::map<service_name, range_controller> mControllers;
  range_driver_counters mCounters;
  bool mStepPlanned = false;
  timer mStepTimer;
  timer mSoonTimer;
};

} // namespace parsleystair
