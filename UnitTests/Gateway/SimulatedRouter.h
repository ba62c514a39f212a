#pragma once

#include "Parsleystair/Gateway/ElectionController.h"
#include "Parsleystair/Gateway/GrantQueue.h"
#include "Parsleystair/KeyRanges/RangeController.h"
#include "UnitTests/Gateway/SimulatedConnections.h"
#include "platform/Protocols.h"

#include <set>

namespace parsleystair {

inline constexpr const char* kSimulatedLeaderKey = "leader";
inline constexpr const char* kSimulatedTermsKey = "terms";
inline constexpr const char* kSimulatedRecordKey = "ranges/s";

inline std::string SimulatedHost(size_t aRouter)
{
  return "r" + std::to_string(aRouter);
}

struct simulated_router_settings
{
  range_settings mRanges;
  /// Without it, each new leader waits for `mMaxConfirmationAgeToRenew`.
  bool mAsksFormerLeaders = true;
};

/// One run of a router's process: an election and a range controller that are
/// joined in the same way as in `leader_election`, `range_driver` and
/// `gateway_task`.
class simulated_router
{
public:
  /// Entries of the targets in the store.
  using target_entries =
    std::function<std::vector<discovered_target>(simulated_store&)>;

  simulated_router(simulated_network& aNetwork,
                   const router_run& aRun,
                   const simulated_router_settings& aSettings,
                   ownership_oracle& aOracle,
                   target_entries aTargetEntries)
    : mNetwork(aNetwork)
    , mRun(aRun)
    , mSettings(aSettings)
    , mOracle(aOracle)
    , mTargetEntries(std::move(aTargetEntries))
    , mElection(ElectionSettings(aNetwork, aRun, aSettings),
                aNetwork.Random().Below(1'000'000))
    , mRanges(aSettings.mRanges)
    , mConnections(aNetwork, aRun)
  {
  }
  simulated_router(const simulated_router&) = delete;
  simulated_router& operator=(const simulated_router&) = delete;

  void Start()
  {
    FollowLeaderKey();
    FollowTargets();
    FollowRecord();
    Tick();
  }

  [[nodiscard]] bool IsLeading() const { return mElection.IsLeading(); }

  /// What a router tells a leader that recovers.
  struct survey
  {
    std::optional<range_record> mRecord;
    store_revision mRevision;
    abdication_reply mReply;
  };

  survey HandleAbdicationRequest(term_number aBefore)
  {
    mElection.StepDown(aBefore);
    StepElection();
    survey told;
    told.mRevision = mRecordRevision;
    if (mRecordRevision != store_revision(0)) {
      told.mRecord = mRanges.Record();
    }
    const time_point now = mNetwork.Now();
    told.mReply = { mElection.ForgottenGrantsExpireIn(now),
                    mElection.LostGrantsExpireIn(aBefore, now),
                    mElection.KnownRouters(now) };
    return told;
  }

  std::optional<lost_grants> HandleReport(
    const std::optional<lost_grants>& aTold)
  {
    HandleLostGrants(aTold);
    return mElection.LostGrants(mNetwork.Now());
  }

  void HandleLoad(const service_load& aLoad)
  {
    mRanges.HandleLoad(aLoad, mNetwork.Now());
  }

private:
  static constexpr duration kFollowInterval = 60ms;
  static constexpr duration kFeedInterval = 200ms;
  static constexpr duration kTickInterval = 250ms;
  static constexpr duration kReportInterval = 500ms;
  static constexpr duration kReportTimeout = 400ms;
  static constexpr duration kOwnersReadInterval = 1s;
  static constexpr duration kStepDelay = 20ms;
  /// Simulated time advances between two steps of which the second is due
  /// already.
  static constexpr duration kMinStepTime = 1ms;
  static constexpr duration kGrantTimeout = 600ms;
  static constexpr duration kReleaseTimeout = 6s;
  static constexpr duration kAbdicationTimeout = 300ms;
  static constexpr duration kLeaseTtl = 1500ms;
  static constexpr uint32_t kFailuresUntilLost = 2;

  static election_settings ElectionSettings(
    simulated_network& aNetwork,
    const router_run& aRun,
    const simulated_router_settings& aSettings)
  {
    constexpr uint64_t kSmallMachinePercent = 20;
    election_settings settings;
    settings.mLeaderKey = kSimulatedLeaderKey;
    settings.mTermsKey = kSimulatedTermsKey;
    settings.mSelf.mVm = vm_name(SimulatedHost(aRun.mRouter));
    settings.mSelf.mIncarnation = incarnation(aRun.mRun);
    settings.mSelf.mHost = SimulatedHost(aRun.mRouter);
    settings.mSelf.mPort = 1;
    settings.mCampaignDelay =
      aNetwork.Random().Percent(kSmallMachinePercent) ? 200ms : 0ms;
    settings.mMaxRenewalTime = aSettings.mRanges.mMaxConfirmationAgeToRenew;
    settings.mGrantLifetime = aSettings.mRanges.MaxFormerGrantLifetime();
    settings.mStartedAt = aNetwork.Now();
    return settings;
  }

  void RunAfter(duration aTime, std::function<void()> aEvent)
  {
    mNetwork.RunAt(mRun, mNetwork.Now() + aTime, std::move(aEvent));
  }

  void Trace(const std::string& aLine)
  {
    mNetwork.Trace(SimulatedHost(mRun.mRouter) + "/" +
                   std::to_string(mRun.mRun) + " " + aLine);
  }

  // As in `kv_store`.

  /// `aCall` returns the handling of its reply, which gets whether the call was
  /// sent in an earlier era than it was executed in.
  using store_call = std::function<std::function<void(bool)>(simulated_store&)>;

  void CallStore(store_call aCall,
                 const std::function<void(call_outcome)>& aFailed)
  {
    mNetwork.CallStore(
      mRun,
      [this, sentIn = mEra, aCall = std::move(aCall), aFailed](
        simulated_store& aStore) {
        return
          [this, sentIn, aFailed, handle = aCall(aStore), era = aStore.Era()] {
            if (era < mEra) {
              aFailed(call_outcome::kUnknown);
              return;
            }
            if (mEra < era) {
              HandleEra(era);
            }
            handle(sentIn < era);
          };
      },
      aFailed);
  }

  // As in `gateway_task`.

  void HandleEra(const store_era& aEra)
  {
    Trace("learns of era " + std::to_string(aEra.Value()));
    mEra = aEra;
    mLeaderKeyRead = false;
    mDirectory.HandleStoreRestored(mNetwork.Now());
    mElection.HandleEra(aEra, mNetwork.Now());
    StepElection();
  }

  // The watches of the store.

  void FollowLeaderKey()
  {
    constexpr uint64_t kGapPercent = 5;
    const bool readsOnce =
      !mLeaderKeyRead || mNetwork.Random().Percent(kGapPercent);
    const store_revision after = mLeaderKeyRevision;
    CallStore(
      [this, readsOnce, after](simulated_store& aStore) {
        const std::string key = NameInEra(kSimulatedLeaderKey, aStore.Era());
        std::vector<std::optional<stored_item>> states;
        if (readsOnce || EraOf(after) != aStore.Era()) {
          states.push_back(aStore.Find(key));
        } else {
          for (const item_change& each : aStore.ChangesOf(key, after)) {
            states.push_back(each.mValue
                               ? std::optional(stored_item{
                                   each.mKey, *each.mValue, each.mRevision })
                               : std::nullopt);
          }
        }
        const store_revision revision = aStore.Revision();
        return [this, states, revision](bool /*aCrossedEras*/) {
          RunAfter(mNetwork.WatchDelay(mRun), [this, states, revision] {
            if (EraOf(revision) == mEra) {
              mLeaderKeyRead = true;
              mLeaderKeyRevision = revision;
              for (const auto& state : states) {
                mElection.HandleKey(state, mNetwork.Now());
                StepElection();
              }
            }
            RunAfter(kFollowInterval, [this] { FollowLeaderKey(); });
          });
        };
      },
      [this](call_outcome) {
        RunAfter(mNetwork.Random().Between(50ms, 600ms),
                 [this] { FollowLeaderKey(); });
      });
  }

  void FollowTargets()
  {
    CallStore(
      [this](simulated_store& aStore) {
        return [this, entries = mTargetEntries(aStore)](bool) {
          {
            const time_point now = mNetwork.Now();
            if (mTargetFailures >= kFailuresUntilLost) {
              mDirectory.HandleStoreRecovery(now);
            }
            mTargetFailures = 0;
            if (mEntries != entries) {
              mEntries = entries;
              mDirectory.Reset(entries, now);
              HandleTargets();
            }
            RunAfter(2 * kFollowInterval, [this] { FollowTargets(); });
          }
        };
      },
      [this](call_outcome) {
        if (++mTargetFailures == kFailuresUntilLost) {
          mDirectory.HandleStoreOutage(mNetwork.Now());
        }
        RunAfter(mNetwork.Random().Between(50ms, 600ms),
                 [this] { FollowTargets(); });
      });
  }

  void HandleTargets()
  {
    std::vector<const known_target*> targets;
    for (const auto& [name, target] : mDirectory.All()) {
      targets.push_back(&target);
    }
    mRanges.HandleTargets(targets, mNetwork.Now());
    ScheduleStep();
  }

  /// Other routers get the record from the leader or a relay. A router that
  /// leads asks neither.
  void FollowRecord()
  {
    const auto again = [this] {
      RunAfter(mNetwork.Random().Between(kFeedInterval / 4, kFeedInterval),
               [this] { FollowRecord(); });
    };
    if (mElection.IsLeading()) {
      again();
      return;
    }
    CallStore(
      [this, again](simulated_store& aStore) {
        return [this, again, items = StoredRecords(aStore)](bool) {
          RunAfter(mNetwork.WatchDelay(mRun), [this, again, items] {
            ApplyItems(items);
            again();
          });
        };
      },
      [again](call_outcome) { again(); });
  }

  void Tick()
  {
    const time_point now = mNetwork.Now();
    if (mDirectory.Expire(now)) {
      HandleTargets();
    }
    const std::vector<std::string> routers = mNetwork.RouterList(mRun);
    if (!routers.empty()) {
      mElection.HandleRouters(routers, now);
    }
    if (now >= mNextReport) {
      mNextReport = now + kReportInterval;
      SendReport();
    }
    if (mElection.IsLeading() && !mDriverLeading && now >= mNextOwnersRead) {
      mNextOwnersRead = now + kOwnersReadInterval;
      ReadOwners();
    }
    RunAfter(kTickInterval, [this] { Tick(); });
  }

  // As in `gateway_task`.

  void SendReport()
  {
    constexpr uint64_t kRedirectedPercent = 10;
    const time_point now = mNetwork.Now();
    const auto lostGrants = mElection.LostGrants(now);
    if (mElection.IsLeading() || !mElection.Leader() || !lostGrants) {
      return;
    }
    std::string host = mElection.Leader()->mHost;
    const std::vector<std::string> known = mElection.KnownRouters(now);
    // A router may report to one that led before, as another one that hasn't
    // heard of the present leader has redirected it.
    if (!known.empty() && mNetwork.Random().Percent(kRedirectedPercent)) {
      host = known[mNetwork.Random().Below(known.size())];
    }
    const auto told = std::make_shared<std::optional<lost_grants>>();
    mNetwork.CallRouter(
      mRun,
      host,
      kReportTimeout,
      [lostGrants, told](simulated_router& aReceiver) {
        *told = aReceiver.HandleReport(lostGrants);
      },
      [this, told](bool aAnswered) {
        if (aAnswered) {
          HandleLostGrants(*told);
        }
      });
  }

  void HandleLostGrants(const std::optional<lost_grants>& aTold)
  {
    if (aTold) {
      mElection.HandleLostGrants(*aTold, mNetwork.Now());
      ReportElection();
    }
  }

  /// Records of all eras, each with the revision that it had in its era.
  static std::vector<stored_item> StoredRecords(const simulated_store& aStore)
  {
    std::vector<stored_item> records;
    for (uint64_t era = kFirstEra.Value(); era <= aStore.Era().Value(); ++era) {
      auto item = aStore.Find(NameInEra(kSimulatedRecordKey, store_era(era)));
      if (item) {
        item->mRevision = store_era(era) == aStore.Era()
                            ? item->mRevision
                            : MakeRevision(store_era(era), 1);
        records.push_back(*item);
      }
    }
    return records;
  }

  void ApplyItems(const std::vector<stored_item>& aItems)
  {
    for (const stored_item& item : aItems) {
      ApplyRecord(DecodeRangeRecord(item.mValue), item.mRevision);
    }
  }

  void ApplyRecord(const range_record& aRecord, store_revision aRevision)
  {
    if (aRevision <= mRecordRevision) {
      return;
    }
    mRecordRevision = aRevision;
    mRanges.HandleRecord(aRecord, aRevision);
    if (mDriverLeading && mRanges.IsSuperseded()) {
      Trace("is superseded");
      mElection.StepDown(std::nullopt);
      StepElection();
    }
    ScheduleStep();
  }

  void ReadOwners()
  {
    const bool isLeading = mElection.IsLeading();
    const term_number term = mElection.Leadership().mTerm;
    CallStore(
      [this, isLeading, term](simulated_store& aStore) {
        return [this, isLeading, term, items = StoredRecords(aStore)](bool) {
          ApplyItems(items);
          if (isLeading && mElection.IsLeading() && !mDriverLeading &&
              mElection.Leadership().mTerm == term) {
            StartDriver();
          }
        };
      },
      [](call_outcome) {});
  }

  void HandleLeadershipChange()
  {
    if (mElection.IsLeading()) {
      ReadOwners();
      return;
    }
    mDriverLeading = false;
    for (auto& [target, queue] : mGrantQueues) {
      queue.Clear();
    }
    mConnections.CancelAll();
    mRanges.StopLeading(mNetwork.Now());
  }

  void StartDriver()
  {
    Trace("begins to send orders");
    mDriverLeading = true;
    mRanges.StartLeading(mElection.Leadership());
    if (mElection.AreFormerLeadersGone()) {
      mRanges.HandleFormerLeadersGone(mNetwork.Now());
    }
    ApplyRecovery();
    ScheduleStep();
  }

  void ApplyRecovery()
  {
    mRanges.HandleRecordsRecovered(mElection.RecoveryDeadline());
    if (mElection.MayWriteRecords()) {
      mRanges.HandleRecordWritable();
    }
  }

  // As in `leader_election`.

  void StepElection()
  {
    const time_point now = mNetwork.Now();
    ReportElection();
    for (const election_action& action : mElection.Step(now)) {
      std::visit([this](const auto& aAction) { Execute(aAction); }, action);
    }
    ReportElection();
    const uint64_t timer = ++mElectionTimer;
    if (const auto next = mElection.NextStepTime()) {
      RunAfter(std::max(*next - now, kMinStepTime), [this, timer] {
        if (timer == mElectionTimer) {
          StepElection();
        }
      });
    }
  }

  void ReportElection()
  {
    const leadership& current = mElection.Leadership();
    const std::string term = std::to_string(current.mTerm.Value());
    if (mReportedLeading && !mElection.IsLeading()) {
      mReportedLeading = false;
      ++mAbdicationGeneration;
      Trace("no longer leads in term " + term + ": " + mElection.EndReason());
      HandleLeadershipChange();
    }
    if (!mElection.IsLeading()) {
      return;
    }
    if (!mReportedLeading) {
      mReportedLeading = true;
      mReportedConfirmation = time_point::min();
      mReportedFormerLeadersGone = false;
      Trace("leads in term " + term + " after " +
            std::to_string(mElection.FormerLeaders().size()) + " leaders");
      HandleLeadershipChange();
    }
    if (mReportedConfirmation < current.mConfirmedAt) {
      mReportedConfirmation = current.mConfirmedAt;
      mRanges.HandleLeadershipConfirmed(current.mConfirmedAt);
      ScheduleStep();
    }
    if (!mReportedFormerLeadersGone && mElection.AreFormerLeadersGone()) {
      mReportedFormerLeadersGone = true;
      Trace("has no former leaders in term " + term);
      mRanges.HandleFormerLeadersGone(mNetwork.Now());
      ScheduleStep();
    }
    if (current.mRecovers && mDriverLeading) {
      ApplyRecovery();
      ScheduleStep();
    }
  }

  void Execute(const read_terms& aAction)
  {
    const auto handle = [this](call_outcome aOutcome,
                               const std::vector<stored_item>& aItems) {
      mElection.HandleTermsRead(aOutcome, aItems, mNetwork.Now());
      StepElection();
    };
    CallStore(
      [handle, prefix = aAction.mPrefix](simulated_store& aStore) {
        return [handle, items = aStore.FindPrefix(prefix)](bool) {
          handle(call_outcome::kDone, items);
        };
      },
      [handle](call_outcome aOutcome) { handle(aOutcome, {}); });
  }

  void Execute(const open_lease& /*aAction*/)
  {
    CallLease(
      [this](simulated_store& aStore) {
        return aStore.OpenLease(kLeaseTtl, mNetwork.Now());
      },
      [this](const lease_reply& aReply) {
        mElection.HandleLeaseOpened(aReply, mNetwork.Now());
        StepElection();
      });
  }

  void Execute(const write_leader& aAction)
  {
    const time_point sentAt = mNetwork.Now();
    Write(aAction.mWrite,
          [this, sentAt, entry = aAction.mEntry](const write_reply& aReply) {
            mElection.HandleLeaderWritten(
              entry, aReply, sentAt, mNetwork.Now());
            StepElection();
          });
  }

  void Execute(const renew_lease& aAction)
  {
    const time_point sentAt = mNetwork.Now();
    CallLease(
      [this, aAction](simulated_store& aStore) {
        return aStore.RenewLease(aAction.mLease, mNetwork.Now());
      },
      [this, aAction, sentAt](const lease_reply& aReply) {
        mElection.HandleLeaseRenewed(
          aAction, aReply.mOutcome, sentAt, mNetwork.Now());
        StepElection();
      });
  }

  void Execute(const end_lease& aAction)
  {
    CallLease(
      [aAction](simulated_store& aStore) {
        return aStore.EndLease(aAction.mLease);
      },
      [](const lease_reply&) {});
  }

  void Execute(const request_abdication& aAction)
  {
    if (!mSettings.mAsksFormerLeaders) {
      return;
    }
    const uint64_t generation = mAbdicationGeneration;
    const auto told = std::make_shared<survey>();
    mNetwork.CallRouter(
      mRun,
      aAction.mLeader.mHost,
      kAbdicationTimeout,
      [before = aAction.mBefore, told](simulated_router& aFormer) {
        *told = aFormer.HandleAbdicationRequest(before);
      },
      [this, aAction, generation, told](bool aAnswered) {
        if (!aAnswered || generation != mAbdicationGeneration) {
          return;
        }
        if (aAction.mAsksRecords && told->mRecord) {
          ApplyRecord(*told->mRecord, told->mRevision);
        }
        mElection.HandleAbdicated(aAction, told->mReply, mNetwork.Now());
        StepElection();
      });
  }

  void Execute(const write_terms& aAction)
  {
    const term_number term = mElection.Leadership().mTerm;
    Write(aAction.mWrite, [this, term](const write_reply& aReply) {
      if (term == mElection.Leadership().mTerm) {
        mElection.HandleTermsWritten(aReply);
        StepElection();
      }
    });
  }

  void CallLease(std::function<lease_reply(simulated_store&)> aCall,
                 const std::function<void(const lease_reply&)>& aHandler)
  {
    CallStore(
      [aCall = std::move(aCall), aHandler](simulated_store& aStore) {
        return [aHandler, reply = aCall(aStore)](bool) { aHandler(reply); };
      },
      [aHandler](call_outcome aOutcome) {
        aHandler({ aOutcome, {}, {} });
      });
  }

  void Write(const conditional_write& aWrite,
             const std::function<void(const write_reply&)>& aHandler)
  {
    const bool isOutdated =
      std::any_of(aWrite.mConditions.begin(),
                  aWrite.mConditions.end(),
                  [this](const item_condition& aCondition) {
                    return aCondition.mRevision != store_revision(0) &&
                           EraOf(aCondition.mRevision) != mEra;
                  });
    if (isOutdated) {
      RunAfter(duration::zero(), [aHandler] {
        aHandler({ call_outcome::kConflict, {} });
      });
      return;
    }
    CallStore(
      [aWrite, aHandler](simulated_store& aStore) {
        return [aHandler, reply = aStore.Write(aWrite)](bool aCrossedEras) {
          const bool isKnown =
            !aCrossedEras || reply.mOutcome != call_outcome::kDone;
          aHandler(isKnown ? reply : write_reply());
        };
      },
      [aHandler](call_outcome aOutcome) {
        aHandler({ aOutcome, {} });
      });
  }

  // As in `range_driver`.

  void ScheduleStep()
  {
    if (!mStepScheduled && mDriverLeading) {
      mStepScheduled = true;
      RunAfter(kStepDelay, [this] {
        mStepScheduled = false;
        StepRanges();
      });
    }
  }

  void StepRanges()
  {
    const time_point now = mNetwork.Now();
    mBrokenTargets.clear();
    for (const range_action& action : mRanges.Step(now)) {
      std::visit([this](const auto& aAction) { Execute(aAction); }, action);
    }
    if (const auto next = mRanges.NextStepTime()) {
      const uint64_t timer = ++mRangeTimer;
      RunAfter(std::max(*next - now, kMinStepTime), [this, timer] {
        if (timer == mRangeTimer) {
          StepRanges();
        }
      });
    }
  }

  static size_t TargetOf(const order_address& aAddress)
  {
    return aAddress.mPort - 1u;
  }

  void Execute(const grant_order& aOrder)
  {
    if (mGrantQueues[TargetOf(aOrder.mAddress)].Add(
          mService, aOrder, mNetwork.Now())) {
      SendGrant({ mService, aOrder, mNetwork.Now() });
    }
  }

  void SendGrant(const grant_queue::queued_grant& aGrant)
  {
    const grant_order& aOrder = aGrant.mOrder;
    const target_name& name = aOrder.mAddress.mTarget;
    const size_t target = TargetOf(aOrder.mAddress);
    if (mConnections.CloseBroken(target)) {
      mBrokenTargets.insert(target);
    }
    if (mBrokenTargets.contains(target)) {
      EndGrant(aOrder, order_result::kNotSent);
      return;
    }
    const auto bound = mFenceConnections.BoundOf(name, aOrder.mFence);
    const bool isConnected = mConnections.HasOpenConnection(target, bound);
    if (bound && !isConnected && mGrantQueues.at(target).PutBack(aGrant)) {
      return;
    }
    const time_point connectUntil =
      bound ? time_point::min() : aOrder.mConnectUntil;
    const time_point sendUntil = isConnected
                                   ? aOrder.mSendUntil
                                   : std::min(aOrder.mSendUntil, connectUntil);
    if (sendUntil <= mNetwork.Now()) {
      EndGrant(aOrder,
               mNetwork.Now() < aOrder.mSendUntil
                 ? order_result::kNoConnection
                 : order_result::kNotAttempted);
      return;
    }
    const target_connection_id connection = mConnections.Call(
      target,
      [&network = mNetwork, &oracle = mOracle, run = mRun, aOrder, target](
        simulated_target& aTarget) {
        return aTarget.HandleGrant(
          aOrder, network.IsExcused(run.mRouter, target), oracle);
      },
      std::min(kGrantTimeout, sendUntil - mNetwork.Now()),
      [this, aOrder](const http_result& aResult) {
        if (aResult.mStatus == http_status::kNotSent) {
          mFenceConnections.HandleNotSent(aOrder.mAddress.mTarget,
                                          aOrder.mFence);
        }
        EndGrant(aOrder, OutcomeOf(aResult));
      },
      bound);
    mFenceConnections.HandleSend(
      name, aOrder.mFence, connection, mNetwork.Now());
  }

  void EndGrant(const grant_order& aOrder, order_result aOutcome)
  {
    mRanges.HandleGrantResult(aOrder.mId, aOutcome, mNetwork.Now());
    ScheduleStep();
    const auto queue = mGrantQueues.find(TargetOf(aOrder.mAddress));
    const auto next = queue->second.HandleOutcome(aOutcome, mNetwork.Now());
    if (queue->second.IsIdle()) {
      mGrantQueues.erase(queue);
    }
    for (const auto& grant : next.mToSend) {
      SendGrant(grant);
    }
    for (const auto& grant : next.mDropped) {
      mRanges.HandleGrantResult(
        grant.mOrder.mId, order_result::kNotAttempted, mNetwork.Now());
    }
  }

  [[nodiscard]] order_result OutcomeOf(const http_result& aResult) const
  {
    switch (aResult.mStatus) {
      case http_status::kResponded:
        return mProtocol.ReadOrderResponse(aResult.mResponse).mResult;
      case http_status::kNotSent:
        return order_result::kNotSent;
      case http_status::kNoResponse:
        break;
    }
    return aResult.mAcknowledged ? order_result::kNoResponse
                                 : order_result::kUnacknowledged;
  }

  void Execute(const release_order& aOrder)
  {
    mConnections.Call(
      TargetOf(aOrder.mAddress),
      [&oracle = mOracle, aOrder](simulated_target& aTarget) {
        return std::optional(aTarget.HandleRelease(aOrder, oracle));
      },
      kReleaseTimeout,
      [this, aOrder](const http_result& aResult) {
        mRanges.HandleReleaseResult(
          aOrder.mId, OutcomeOf(aResult), "h", mNetwork.Now());
        ScheduleStep();
      });
  }

  void Execute(const write_record& aWrite)
  {
    const std::string key = NameInEra(kSimulatedRecordKey, mEra);
    const bool isCurrent = EraOf(aWrite.mExpectedRevision) == mEra;
    conditional_write write;
    write.mConditions = {
      mElection.Condition(),
      { key, isCurrent ? aWrite.mExpectedRevision : store_revision(0) }
    };
    write.mWrites = { { key, EncodeRangeRecord(aWrite.mRecord), lease_id(0) } };
    Write(write, [this, aWrite](const write_reply& aReply) {
      const bool written = aReply.mOutcome == call_outcome::kDone;
      mRanges.HandleWriteResult(
        aWrite.mId, written, aReply.mRevision, mNetwork.Now());
      ScheduleStep();
      if (written) {
        ApplyRecord(aWrite.mRecord, aReply.mRevision);
        mElection.HandleRecordsWritten();
      } else {
        ReadOwners();
      }
    });
  }

  simulated_network& mNetwork;
  router_run mRun;
  simulated_router_settings mSettings;
  ownership_oracle& mOracle;
  target_entries mTargetEntries;
  platform::wire_orders mProtocol;
  service_name mService{ "s" };
  store_era mEra = kFirstEra;
  election_controller mElection;
  range_controller mRanges;
  target_directory mDirectory;
  simulated_connections mConnections;
  std::map<size_t, grant_queue> mGrantQueues;
  fence_connections mFenceConnections;
  std::set<size_t> mBrokenTargets;
  bool mLeaderKeyRead = false;
  store_revision mLeaderKeyRevision;
  std::vector<discovered_target> mEntries;
  uint32_t mTargetFailures = 0;
  store_revision mRecordRevision;
  time_point mNextOwnersRead = time_point::min();
  time_point mNextReport = time_point::min();
  /// The range controller has been started in the present leadership.
  bool mDriverLeading = false;
  bool mStepScheduled = false;
  uint64_t mRangeTimer = 0;
  uint64_t mElectionTimer = 0;
  uint64_t mAbdicationGeneration = 0;
  bool mReportedLeading = false;
  time_point mReportedConfirmation = time_point::min();
  bool mReportedFormerLeadersGone = false;
};

} // namespace parsleystair
