#pragma once

#include "Parsleystair/Membership/MembershipView.h"

#include <memory>
#include <random>
#include <set>

namespace parsleystair {

/// Routers with membership views that exchange heartbeats in steps of time,
/// over links that can be cut in each direction.
class fleet
{
public:
  struct node
  {
    vm_identity mVm;
    std::unique_ptr<membership_view> mView;
    bool mPaused = false;
  };

  fleet(size_t aNodes, const membership_settings& aSettings = {})
    : mSettings(aSettings)
    , mNodes(aNodes)
  {
    for (size_t i = 0; i < aNodes; ++i) {
      Start(i);
    }
  }

  static vm_name NameOf(size_t aNode)
  {
    return vm_name("vm-" + std::to_string(1000 + aNode));
  }

  /// Starts a new process; the platform's list arrives at once.
  void Start(size_t aNode)
  {
    member_notice self;
    self.mVm = { NameOf(aNode), incarnation(++mIncarnations) };
    self.mHost = "127.0.0.1";
    self.mPeerPort = static_cast<uint16_t>(aNode);
    mNodes[aNode] = { self.mVm,
                      std::make_unique<membership_view>(mSettings, self, mNow),
                      false };
    mNodes[aNode].mView->HandleList(List(), mNow);
  }

  void Stop(size_t aNode) { mNodes[aNode].mView = nullptr; }
  void SetPaused(size_t aNode, bool aPaused)
  {
    mNodes[aNode].mPaused = aPaused;
  }
  void SetCut(size_t aFrom, size_t aTo, bool aCut)
  {
    if (aCut) {
      mCuts.emplace(aFrom, aTo);
    } else {
      mCuts.erase({ aFrom, aTo });
    }
  }

  std::vector<listed_vm> List() const
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

  /// Lets time pass in steps of `kStep`.
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
  bool IsCut(size_t aFrom, size_t aTo) const
  {
    return mCuts.count({ aFrom, aTo }) != 0;
  }
  membership_view& View(size_t aNode) { return *mNodes[aNode].mView; }
  const vm_identity& Vm(size_t aNode) const { return mNodes[aNode].mVm; }
  std::optional<member> Seen(size_t aObserver, size_t aSubject) const
  {
    return mNodes[aObserver].mView->Find(NameOf(aSubject), mNow);
  }
  member_state StateSeen(size_t aObserver, size_t aSubject) const
  {
    const auto seen = Seen(aObserver, aSubject);
    return seen ? seen->mState : member_state::kLost;
  }
  size_t Size() const { return mNodes.size(); }
  time_point Now() const { return mNow; }
  size_t Heartbeats() const { return mHeartbeats; }

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

  /// A call and its reply; the reply is lost if its direction is cut.
  void Exchange(size_t aFrom, size_t aTo)
  {
    ++mHeartbeats;
    const heartbeat_message call = View(aFrom).MakeHeartbeat(mNow);
    if (!IsRunning(aTo) || IsCut(aFrom, aTo)) {
      return;
    }
    View(aTo).HandleHeartbeat(call, mNow);
    const heartbeat_message reply = View(aTo).MakeHeartbeat(mNow);
    if (!IsCut(aTo, aFrom)) {
      View(aFrom).HandleHeartbeat(reply, mNow);
    }
  }

  membership_settings mSettings;
  std::vector<node> mNodes;
  std::set<std::pair<size_t, size_t>> mCuts;
  time_point mNow{ 1h };
  uint64_t mIncarnations = 0;
  size_t mHeartbeats = 0;
};

} // namespace parsleystair
