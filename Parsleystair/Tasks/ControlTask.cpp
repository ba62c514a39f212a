#include "Parsleystair/Tasks/ControlTask.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr duration kPollInterval = 100ms;
/// Polls that wait for an answer at a time. A slow store then still gives
/// proofs, each counted from when it was asked for.
constexpr size_t kMaxOpenPolls = 3;
constexpr duration kListInterval = 1s;
constexpr duration kHeartbeatInterval = 50ms;
constexpr duration kFetchInterval = 500ms;
constexpr duration kTickInterval = 10ms;
constexpr duration kRoutersInterval = 500ms;
constexpr duration kReportInterval = 250ms;
/// Balancing takes minutes, so that it need not look more often.
constexpr duration kPlanInterval = 5s;
/// Interval of snapshots that only renew the proof that the table is current.
constexpr duration kSnapshotInterval = 50ms;
/// Traffic reports are at most this old when they arrive.
constexpr duration kTrafficAge = 100ms;

etcd_store_settings StoreSettings(const router_settings& aSettings,
                                  uint64_t aSeed)
{
  etcd_store_settings settings;
  settings.mHost = aSettings.mPlatform.mHost;
  settings.mPort = aSettings.mPlatform.mPort;
  settings.mSeed = aSeed;
  return settings;
}

} // namespace

control_task::control_task(event_loop& aLoop,
                           const router_settings& aSettings,
                           uint64_t aSeed)
  : mLoop(aLoop)
  , mState(aSettings, incarnation(aSeed), MonotonicNow())
  , mStore(aLoop, StoreSettings(aSettings, aSeed))
  , mRpcLoop(aLoop)
  , mPeers(mRpcLoop)
  , mTargets(aLoop)
  , mOwnershipDriver(mState.mOwnership,
                     mStore,
                     mPeers,
                     mTargets,
                     [this](const vm_name& aVm) {
                       return mState.FindPeer(aVm, MonotonicNow());
                     })
  , mRecords(
      aLoop,
      mState.mSelf,
      aSeed,
      mState.mOwnership,
      mPeers,
      [this](const vm_name& aVm) {
        return mState.FindPeer(aVm, MonotonicNow());
      },
      [this](worker_index aWorker, execution_verdict aVerdict) {
        mWorkers[aWorker.Value()]->Send(std::move(aVerdict));
      })
  , mPlacement(mState)
  , mPeerEndpoint(mState, mOwnershipDriver, mRecords)
  , mPeerServer(mRpcLoop,
                aSettings.mPeers.mHost,
                aSettings.mPeers.mPort,
                mPeerEndpoint)
  , mOperators(aLoop,
               aSettings.mOperators.mHost,
               aSettings.mOperators.mPort,
               [this] { return MakeReport(); })
  , mInbox(aLoop, [this](control_message aMessage) {
    std::visit([this](auto& aContent) { Apply(std::move(aContent)); },
               aMessage);
  })
{
  mOwnershipDriver.OnCopyRecords([this](const copy_group_records& aRequest) {
    const group_index group = aRequest.mRecord.mGroup;
    mRecords.CopyRecords(
      aRequest, [this, group](std::optional<wall_time> aLostUntil) {
        mOwnershipDriver.Execute(mState.mOwnership.HandleRecordsCopied(
          group, aLostUntil, MonotonicNow()));
      });
  });
  mReports.resize(aSettings.mWorkers);
  for (uint32_t i = 0; i < aSettings.mWorkers; ++i) {
    mWorkers.push_back(std::make_unique<worker_task>(
      worker_index(i), aSettings, aSeed + 1 + i, *this));
  }
  mPollTimer.StartRepeating(aLoop, kPollInterval, [this] { PollStore(); });
  mListTimer.StartRepeating(aLoop, kListInterval, [this] { ListVms(); });
  mHeartbeatTimer.StartRepeating(
    aLoop, kHeartbeatInterval, [this] { SendHeartbeats(); });
  mFetchTimer.StartRepeating(
    aLoop, kFetchInterval, [this] { FetchFromPeers(); });
  mTickTimer.StartRepeating(aLoop, kTickInterval, [this] { Tick(); });
  mReportTimer.StartRepeating(
    aLoop, kReportInterval, [this] { OrderReports(); });
  mPlanTimer.StartRepeating(aLoop, kPlanInterval, [this] { PlanMoves(); });
  PollStore();
  ListVms();
}

control_task::~control_task() = default;

void control_task::Send(control_message aMessage)
{
  mInbox.Send(std::move(aMessage));
}

void control_task::SendToWorkers(const worker_message& aMessage)
{
  for (const auto& worker : mWorkers) {
    worker->Send(aMessage);
  }
}

void control_task::PollStore()
{
  if (mOpenPolls >= kMaxOpenPolls) {
    return;
  }
  ++mOpenPolls;
  const time_point askedAt = MonotonicNow();
  mStore.Range(
    mState.mOwnership.NextPoll(), [this, askedAt](const range_reply& aReply) {
      --mOpenPolls;
      for (const store_entry& entry : aReply.mEntries) {
        if (entry.mKey == kConfigurationKey) {
          OfferConfiguration(entry.mValue);
        }
      }
      mOwnershipDriver.Execute(
        mState.mOwnership.HandlePollReply(aReply, askedAt, MonotonicNow()));
    });
}

void control_task::OfferConfiguration(const std::string& aText)
{
  const time_point now = MonotonicNow();
  if (!mState.mConfiguration.Offer(aText, now)) {
    return;
  }
  const auto& current = mState.mConfiguration.Current();
  mState.mMembership.SetConfiguration(current->mRevision, now);
  mTargets.SetConfiguration(current);
  mOwnershipDriver.Execute(mState.mOwnership.HandleConfiguration(current, now));
  mPublishedAt = time_point{};
}

void control_task::ListVms()
{
  mStore.ListVms([this](const vm_list_reply& aReply) {
    if (aReply.mStatus != store_status::kReplied) {
      return;
    }
    mState.mMembership.HandleList(aReply.mVms, MonotonicNow());
    mState.mListed.clear();
    for (const listed_vm& vm : aReply.mVms) {
      mState.mListed.insert(vm.mName);
    }
  });
}

void control_task::SendHeartbeats()
{
  const time_point now = MonotonicNow();
  mState.mMembership.HandleTick(now);
  mState.mMembership.SetCoHolders(mState.CoHolders());
  std::vector<peer_address> peers = mState.mMembership.TakePeers(now);
  // Without any known router the settings' seeds are asked.
  if (peers.empty() && mState.mMembership.Members(now).empty()) {
    for (const seed_peer& seed : mState.mSettings.mSeedPeers) {
      if (seed.mVm != mState.mSelf.mName) {
        peers.push_back({ seed.mVm, seed.mAddress.mHost, seed.mAddress.mPort });
      }
    }
  }
  for (const peer_address& peer : peers) {
    mPeers.Heartbeat(peer,
                     mPeerEndpoint.MakeHeartbeat(),
                     [this](const peer_result<heartbeat_message>& aResult) {
                       if (aResult.mStatus == peer_status::kReplied) {
                         mPeerEndpoint.Learn(aResult.mReply);
                       }
                     });
  }
}

void control_task::FetchFromPeers()
{
  const time_point now = MonotonicNow();
  const configuration_revision own = mState.mConfiguration.Revision();
  for (const member& known : mState.mMembership.Members(now)) {
    if (known.mConfiguration > own) {
      mPeers.FetchConfiguration(
        known.mAddress,
        [this](const peer_result<configuration_reply>& aResult) {
          if (aResult.mStatus == peer_status::kReplied &&
              !aResult.mReply.mText.empty()) {
            OfferConfiguration(aResult.mReply.mText);
          }
        });
      return;
    }
  }
}

void control_task::Tick()
{
  const time_point now = MonotonicNow();
  UpdateRouters(now);
  mOwnershipDriver.Execute(mState.mOwnership.Tick(now, WallNow()));
  PublishSnapshot(now);
  if (mShutdownSince) {
    ContinueShutdown(now);
  }
}

void control_task::UpdateRouters(time_point aNow)
{
  // Each view makes the controller look at all groups, so it gets one only when
  // it differs, or when holders that stay absent may have become due.
  router_view view = mState.Routers(aNow);
  if (view == mRouters && aNow - mRoutersAt < kRoutersInterval) {
    return;
  }
  mRouters = std::move(view);
  mRoutersAt = aNow;
  mOwnershipDriver.Execute(mState.mOwnership.HandleRouters(mRouters, aNow));
}

void control_task::PlanMoves()
{
  const time_point now = MonotonicNow();
  const std::vector<planned_move> moves = mPlacement.Plan(now, WallNow());
  if (moves.empty()) {
    return;
  }
  log_line(log_severity::kInfo, "moves_planned")
    .Add("moves", uint64_t{ moves.size() });
  mOwnershipDriver.Execute(mState.mOwnership.HandlePlannedMoves(moves, now));
}

void control_task::PublishSnapshot(time_point aNow)
{
  const auto& current = mState.mConfiguration.Current();
  if (current == nullptr) {
    return;
  }
  const uint64_t digest = mState.GroupDigest() + current->mRevision.Value();
  const bool changed = digest != mPublishedDigest || mRoutes == nullptr;
  if (!changed && aNow - mPublishedAt < kSnapshotInterval) {
    return;
  }
  if (changed) {
    UpdateRecords();
  }
  mPublishedDigest = digest;
  mPublishedAt = aNow;
  auto snapshot = std::make_shared<routing_snapshot>();
  snapshot->mConfiguration = current;
  snapshot->mRoutes = mRoutes;
  snapshot->mRegion = mState.Region();
  for (uint32_t i = 0; i < current->mGroupCount; ++i) {
    snapshot->mAuthorityUntil.push_back(
      mState.mOwnership.AuthorityUntil(group_index(i)));
  }
  SendToWorkers(snapshot_update{ std::move(snapshot) });
  PublishCrashes(aNow);
}

void control_task::UpdateRecords()
{
  const configuration& current = *mState.mConfiguration.Current();
  std::vector<const group_record*> records;
  for (uint32_t i = 0; i < current.mGroupCount; ++i) {
    if (const auto* record = mState.mOwnership.FindRecord(group_index(i))) {
      records.push_back(record);
      mRecords.UpdateGroup(*record);
    }
  }
  mRoutes = std::make_shared<const route_table>(BuildRoutes(current, records));
}

void control_task::PublishCrashes(time_point aNow)
{
  std::vector<crash_notice> refused;
  for (const crash_notice& notice : mState.mCrashes.Notices(aNow)) {
    if (mState.mCrashes.RefusedFor(notice.mFingerprint, aNow)) {
      refused.push_back(notice);
    }
  }
  if (refused.empty() && mPublishedCrashes == 0) {
    return;
  }
  mPublishedCrashes = refused.size();
  SendToWorkers(crash_update{ std::move(refused) });
}

void control_task::OrderReports()
{
  SendToWorkers(report_order{});
}

void control_task::Apply(const begin_query& aQuery)
{
  mRecords.Handle(aQuery);
}

void control_task::Apply(const execution_finished& aFinished)
{
  mRecords.Handle(aFinished);
}

void control_task::Apply(const execution_withdrawn& aWithdrawn)
{
  mRecords.Handle(aWithdrawn);
}

void control_task::Apply(const traffic_report& aReport)
{
  mPlacement.Handle(aReport);
  const time_point now = MonotonicNow();
  for (const slot_traffic& traffic : aReport.mTraffic) {
    const target_id target{ traffic.mSlot.mService, traffic.mTarget };
    mOwnershipDriver.Execute(
      mState.mOwnership.HandleAnswered(target, now - kTrafficAge, now));
  }
}

void control_task::Apply(const crash_seen& aCrash)
{
  mState.mCrashes.HandleCrash(aCrash.mFingerprint, MonotonicNow());
}

void control_task::Apply(worker_report aReport)
{
  const size_t index = aReport.mWorker.Value();
  mReports[index] = std::move(aReport);
}

} // namespace parsleystair
