#pragma once

#include "Parsleystair/Membership/MembershipView.h"

#include <memory>
#include <random>
#include <set>

namespace parsleystair {

/// Simulates routers whose membership views exchange heartbeats in fixed time
/// steps. Each direction of a link can be blocked.
class fleet
{
public:
  struct node
  {
    vm_identity mVm;
    std::unique_ptr<membership_view> mView;
    bool mPaused = false;
  };

  fleet(size_t aNodeCount, const membership_settings& aSettings = {})
    : mSettings(aSettings)
    , mNodes(aNodeCount)
  {
    for (size_t i = 0; i < aNodeCount; ++i) {
      Start(i);
    }
  }

  static vm_name NameOf(size_t aNode)
  {
    return vm_name("vm-" + std::to_string(1000 + aNode));
  }

  /// Starts a new process, which receives the platform's list immediately.
  void Start(size_t aNode)
  {
    member_notice self;
    self.mVm = { NameOf(aNode), incarnation(++mLastIncarnation) };
    self.mHost = "127.0.0.1";
    self.mPeerPort = static_cast<uint16_t>(aNode);
    mNodes[aNode] = { self.mVm,
                      std::make_unique<membership_view>(mSettings, self, mNow),
                      false };
    mNodes[aNode].mView->HandleList(PlatformList(), mNow);
  }

  void Stop(size_t aNode) { mNodes[aNode].mView = nullptr; }
  void SetPaused(size_t aNode, bool aPaused)
  {
    mNodes[aNode].mPaused = aPaused;
  }
  void SetLinkBlocked(size_t aFrom, size_t aTo, bool aBlocked)
  {
    if (aBlocked) {
      mBlockedLinks.emplace(aFrom, aTo);
    } else {
      mBlockedLinks.erase({ aFrom, aTo });
    }
  }

  std::vector<listed_vm> PlatformList() const
  {
    std::vector<listed_vm> list;
    for (size_t i = 0; i < mNodes.size(); ++i) {
      list.push_back({ NameOf(i),
                       "127.0.0.1",
                       static_cast<uint16_t>(i),
                       failure_domain_name("a"),
                       false });
    }
    return list;
  }

  /// Advances the simulated time by `aTime` in steps of `kStep`.
  void Advance(duration aTime)
  {
    const time_point end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      for (size_t i = 0; i < mNodes.size(); ++i) {
        if (IsRunning(i)) {
          Step(i);
        }
      }
    }
  }

  bool IsRunning(size_t aNode) const
  {
    return mNodes[aNode].mView != nullptr && !mNodes[aNode].mPaused;
  }
  bool IsLinkBlocked(size_t aFrom, size_t aTo) const
  {
    return mBlockedLinks.count({ aFrom, aTo }) != 0;
  }
  membership_view& View(size_t aNode) { return *mNodes[aNode].mView; }
  const vm_identity& Vm(size_t aNode) const { return mNodes[aNode].mVm; }
  std::optional<member> ObservedMember(size_t aObserver, size_t aSubject) const
  {
    return mNodes[aObserver].mView->Find(NameOf(aSubject), mNow);
  }
  member_state ObservedState(size_t aObserver, size_t aSubject) const
  {
    const auto observed = ObservedMember(aObserver, aSubject);
    return observed ? observed->mState : member_state::kLost;
  }
  size_t Size() const { return mNodes.size(); }
  time_point Now() const { return mNow; }
  size_t HeartbeatCount() const { return mHeartbeatCount; }

  static constexpr duration kStep = 50ms;

private:
  void Step(size_t aNode)
  {
    membership_view& view = View(aNode);
    view.HandleTick(mNow);
    for (const peer_address& peer : view.TakePeers(mNow)) {
      Exchange(aNode, peer.mPort);
    }
  }

  /// Sends a heartbeat and its reply. A message is lost if its direction is
  /// blocked.
  void Exchange(size_t aFrom, size_t aTo)
  {
    ++mHeartbeatCount;
    const heartbeat_message request = View(aFrom).MakeHeartbeat(mNow);
    if (!IsRunning(aTo) || IsLinkBlocked(aFrom, aTo)) {
      return;
    }
    View(aTo).HandleHeartbeat(request, mNow);
    const heartbeat_message reply = View(aTo).MakeHeartbeat(mNow);
    if (!IsLinkBlocked(aTo, aFrom)) {
      View(aFrom).HandleHeartbeat(reply, mNow);
    }
  }

  membership_settings mSettings;
  std::vector<node> mNodes;
  std::set<std::pair<size_t, size_t>> mBlockedLinks;
  time_point mNow{ 1h };
  uint64_t mLastIncarnation = 0;
  size_t mHeartbeatCount = 0;
};

} // namespace parsleystair
