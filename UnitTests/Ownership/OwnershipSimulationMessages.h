#pragma once

// Network, store calls and execution of ownership actions of
// ownership_simulation. Included by OwnershipSimulation.h.

namespace parsleystair {

inline region_name ownership_simulation::RegionOf(size_t aNode) const
{
  const auto& domains = mConfiguration->mFailureDomains;
  if (aNode < mRouters.size()) {
    return mConfiguration->RegionOf(mRouters[aNode].mIdentity.mFailureDomain);
  }
  // Targets are spread over the domains; the store is in the first region.
  const size_t target = aNode - mRouters.size();
  return target < mTargets.size() ? domains[target % domains.size()].mRegion
                                  : domains.front().mRegion;
}

inline duration ownership_simulation::Delay(size_t aFrom, size_t aTo)
{
  duration delay = RegionOf(aFrom) == RegionOf(aTo) ? 1ms : 12ms;
  delay += duration(Random(2'000));
  if (Random(100) < mSettings.mLongDelayPercent) {
    delay +=
      duration(Random(static_cast<uint64_t>(mSettings.mLongDelay.count())));
  }
  return delay;
}

inline void ownership_simulation::Send(size_t aFrom,
                                       size_t aTo,
                                       std::function<void()> aDeliver)
{
  const bool isLost = Random(100) < mSettings.mLossPercent;
  if (isLost || IsCut(aFrom, aTo)) {
    return;
  }
  Schedule(Delay(aFrom, aTo), std::move(aDeliver));
}

inline size_t ownership_simulation::IndexOf(const target_id& aTarget) const
{
  const auto found =
    std::find_if(mTargets.begin(), mTargets.end(), [&](const auto& aFake) {
      return aFake.mId == aTarget;
    });
  return static_cast<size_t>(found - mTargets.begin());
}

inline size_t ownership_simulation::IndexOf(const vm_name& aVm) const
{
  const auto found =
    std::find_if(mRouters.begin(), mRouters.end(), [&](const auto& aFake) {
      return aFake.mIdentity.mVm.mName == aVm;
    });
  return static_cast<size_t>(found - mRouters.begin());
}

inline void ownership_simulation::CallStore(
  size_t aRouter,
  const std::function<answer()>& aExecute,
  const std::function<void(store_status)>& aFail)
{
  constexpr duration kTimeout = 300ms;
  const uint64_t startCount = mRouters[aRouter].mStartCount;
  const auto isDone = std::make_shared<bool>(false);
  const auto end = [=, this](const answer& aAnswer) {
    RunOnRouter(aRouter, startCount, [=] {
      if (!*isDone) {
        *isDone = true;
        aAnswer();
      }
    });
  };
  Schedule(kTimeout, [=] { end([=] { aFail(store_status::kUnknown); }); });
  if (IsCut(aRouter, NodeOfStore())) {
    Schedule(1ms, [=] { end([=] { aFail(store_status::kNotSent); }); });
    return;
  }
  const auto delay = [this, aRouter] {
    const bool isSlow = mNow < mStoreSlowUntil;
    return Delay(aRouter, NodeOfStore()) +
           (isSlow ? duration(Random(400'000)) : 2ms);
  };
  Schedule(delay(), [=, this] {
    if (mNow < mStoreDownUntil) {
      return;
    }
    const answer reply = aExecute();
    if (mNow >= mAnswersLostUntil && !IsCut(NodeOfStore(), aRouter)) {
      Schedule(delay(), [=] { end(reply); });
    }
  });
}

inline void ownership_simulation::Poll(size_t aRouter, uint64_t aStartCount)
{
  fake_router& router = mRouters[aRouter];
  if (!router.mController || router.mStartCount != aStartCount) {
    return;
  }
  if (!router.mIsPaused) {
    const time_point asked = Local(aRouter);
    const range_request request = router.mController->NextPoll();
    CallStore(
      aRouter,
      [=, this]() -> answer {
        return [=, this, reply = mStore.Range(request)] {
          Perform(aRouter,
                  mRouters[aRouter].mController->HandlePollReply(
                    reply, asked, Local(aRouter)));
        };
      },
      [](store_status) {});
  }
  Schedule(mSettings.mOwnership.mPollInterval,
           [=, this] { Poll(aRouter, aStartCount); });
}

inline void ownership_simulation::Perform(size_t aRouter,
                                          const ownership_actions& aActions)
{
  for (const ownership_action& action : aActions) {
    std::visit([&](const auto& aOne) { PerformOne(aRouter, aOne); }, action);
  }
}

inline void ownership_simulation::SendRequest(
  size_t aRouter,
  size_t aNode,
  const std::function<answer()>& aExecute)
{
  const uint64_t startCount = mRouters[aRouter].mStartCount;
  const auto handle = [=, this] {
    const answer reply = aExecute();
    Send(
      aNode, aRouter, [=, this] { RunOnRouter(aRouter, startCount, reply); });
  };
  Send(aRouter, aNode, [=, this] {
    if (aNode < mRouters.size()) {
      RunOnRouter(aNode, mRouters[aNode].mStartCount, handle);
    } else {
      RunOnTarget(aNode - mRouters.size(), handle);
    }
  });
}

inline void ownership_simulation::PerformOne(size_t aRouter,
                                             const send_grants& aAction)
{
  ++mMessagesToTargets;
  const size_t target = IndexOf(aAction.mTarget);
  const time_point sent = Local(aRouter);
  SendRequest(aRouter, NodeOfTarget(target), [=, this]() -> answer {
    const grant_reply reply = mTargets[target].Handle(aAction.mMessage, mNow);
    CheckGrants(target, reply);
    return [=, this] {
      Perform(aRouter,
              mRouters[aRouter].mController->HandleGrantReply(
                aAction.mTarget, reply, sent, Local(aRouter)));
    };
  });
}

inline void ownership_simulation::PerformOne(size_t aRouter,
                                             const probe_target& aAction)
{
  ++mMessagesToTargets;
  const time_point sent = Local(aRouter);
  SendRequest(
    aRouter, NodeOfTarget(IndexOf(aAction.mTarget)), [=, this]() -> answer {
      return [=, this] {
        Perform(aRouter,
                mRouters[aRouter].mController->HandleAnswered(
                  aAction.mTarget, sent, Local(aRouter)));
      };
    });
}

inline void ownership_simulation::PerformOne(size_t aRouter,
                                             const write_group& aAction)
{
  const group_index group = aAction.mRecord.mGroup;
  const auto handle = [=, this](const transaction_reply& aReply) {
    Perform(aRouter,
            mRouters[aRouter].mController->HandleWriteReply(
              group, aReply, Local(aRouter)));
  };
  CallStore(
    aRouter,
    [=, this]() -> answer {
      return [handle, reply = mStore.Write(aAction)] { handle(reply); };
    },
    [=](store_status aStatus) {
      handle({ aStatus, false, {} });
    });
}

inline void ownership_simulation::PerformOne(size_t aRouter,
                                             const read_group& aAction)
{
  const time_point asked = Local(aRouter);
  const std::string key = GroupKey(aAction.mGroup);
  CallStore(
    aRouter,
    [=, this]() -> answer {
      const range_request request{ key, key + '\0', {}, false };
      return [=, this, reply = mStore.Range(request)] {
        Perform(aRouter,
                mRouters[aRouter].mController->HandleGroupRead(
                  aAction.mGroup, reply, asked, Local(aRouter)));
      };
    },
    [](store_status) {});
}

inline void ownership_simulation::PerformOne(
  size_t aRouter,
  const request_confirmation& aAction)
{
  ++mMessagesToRouters;
  const size_t holder = IndexOf(aAction.mHolder);
  const time_point asked = Local(aRouter);
  SendRequest(aRouter, holder, [=, this]() -> answer {
    std::vector<confirm_result> results;
    for (const group_revision& asks : aAction.mGroups) {
      results.push_back(mRouters[holder].mController->HandleConfirmRequest(
        { asks.mGroup, asks.mRevision }));
    }
    return [=, this] {
      for (size_t i = 0; i < results.size(); ++i) {
        Perform(
          aRouter,
          mRouters[aRouter].mController->HandleConfirmReply(aAction.mHolder,
                                                            aAction.mGroups[i],
                                                            results[i],
                                                            asked,
                                                            Local(aRouter)));
      }
    };
  });
}

inline void ownership_simulation::PerformOne(size_t aRouter,
                                             const announce_record& aAction)
{
  ++mMessagesToRouters;
  const size_t holder = IndexOf(aAction.mHolder);
  const time_point sent = Local(aRouter);
  const group_revision revision{ aAction.mRecord.mGroup,
                                 aAction.mRecord.mRevision };
  SendRequest(aRouter, holder, [=, this]() -> answer {
    Perform(holder,
            mRouters[holder].mController->HandleAnnouncement(aAction.mRecord,
                                                             Local(holder)));
    return [=, this] {
      Perform(aRouter,
              mRouters[aRouter].mController->HandleAnnounceAck(
                aAction.mHolder, revision, sent, Local(aRouter)));
    };
  });
}

inline void ownership_simulation::PerformOne(size_t aRouter,
                                             const copy_group_records& aAction)
{
  // Copying is tested elsewhere; here it only takes 50 ms.
  const uint64_t startCount = mRouters[aRouter].mStartCount;
  Schedule(50ms, [=, this] {
    RunOnRouter(aRouter, startCount, [=, this] {
      Perform(aRouter,
              mRouters[aRouter].mController->HandleRecordsCopied(
                aAction.mRecord.mGroup, std::nullopt, Local(aRouter)));
    });
  });
}

inline void ownership_simulation::PerformOne(size_t aRouter,
                                             const fetch_groups& aAction)
{
  ++mMessagesToRouters;
  const size_t other = IndexOf(aAction.mVm);
  const time_point asked = Local(aRouter);
  SendRequest(aRouter, other, [=, this]() -> answer {
    return [=,
            this,
            reply = mRouters[other].mController->HandleFetchGroupsRequest()] {
      Perform(aRouter,
              mRouters[aRouter].mController->HandleFetchGroupsReply(
                aAction.mVm, reply, asked, Local(aRouter)));
    };
  });
}

} // namespace parsleystair
