#include "StandIns/standin_users_platform/UnreliableStore.h"

namespace parsleystair {

namespace {

std::string PortField(uint16_t aPort)
{
  return "\"port\":" + std::to_string(aPort);
}

std::string Replace(std::string aText,
                    const std::string& aFrom,
                    const std::string& aTo)
{
  if (aFrom.empty()) {
    return aText;
  }
  for (size_t at = aText.find(aFrom); at != std::string::npos;
       at = aText.find(aFrom, at + aTo.size())) {
    aText.replace(at, aFrom.size(), aTo);
  }
  return aText;
}

} // namespace

unreliable_store::unreliable_store(event_loop& aLoop,
                                   coordination_store& aStore)
  : mLoop(aLoop)
  , mStore(aStore)
{
}

void unreliable_store::ReleaseFirst()
{
  const action next = std::move(mHeld.front());
  mHeld.pop_front();
  next();
}

void unreliable_store::ReleaseAll()
{
  for (size_t count = mHeld.size(); count > 0; --count) {
    ReleaseFirst();
  }
}

void unreliable_store::TranslatePort(uint16_t aOwn, uint16_t aAnnounced)
{
  mOwnPort = PortField(aOwn);
  mAnnouncedPort = PortField(aAnnounced);
}

std::string unreliable_store::ToAnnounced(const std::string& aValue) const
{
  return Replace(aValue, mOwnPort, mAnnouncedPort);
}

std::string unreliable_store::ToOwn(const std::string& aValue) const
{
  return Replace(aValue, mAnnouncedPort, mOwnPort);
}

store_fault unreliable_store::FaultOf(store_call aCall,
                                      const std::string& aKey) const
{
  return mRule ? mRule(aCall, aKey) : store_fault::kNone;
}

void unreliable_store::Post(action aAction)
{
  mPosted.push_back(std::move(aAction));
  mPostTimer.StartOnce(mLoop, duration::zero(), [this] {
    const std::deque<action> due = std::move(mPosted);
    mPosted.clear();
    for (const action& each : due) {
      each();
    }
  });
}

template<typename Reply>
void unreliable_store::Call(
  store_call aCall,
  const std::string& aKey,
  std::function<void(std::function<void(Reply)>)> aExecute,
  std::function<void(Reply)> aCallback)
{
  switch (FaultOf(aCall, aKey)) {
    case store_fault::kNone:
      aExecute([this, aCall, aKey, callback = std::move(aCallback)](
                 const Reply& aReply) {
        switch (FaultOf(aCall, aKey)) {
          case store_fault::kNone:
            callback(aReply);
            return;
          case store_fault::kReplyHeld:
            mHeld.emplace_back([callback, aReply] { callback(aReply); });
            return;
          default:
            callback(Reply());
        }
      });
      return;
    case store_fault::kRefused:
      Post([callback = std::move(aCallback)] {
        Reply reply;
        reply.mOutcome = call_outcome::kRefused;
        callback(reply);
      });
      return;
    case store_fault::kReplyLost:
      aExecute(
        [callback = std::move(aCallback)](const Reply&) { callback(Reply()); });
      return;
    case store_fault::kReplyHeld:
      aExecute([this, callback = std::move(aCallback)](const Reply& aReply) {
        mHeld.emplace_back([callback, aReply] { callback(aReply); });
      });
      return;
    case store_fault::kExecutedLate:
      mHeld.emplace_back([this, execute = std::move(aExecute)] {
        execute([this](const Reply& aReply) {
          mLateCount += aReply.mOutcome == call_outcome::kDone ? 1 : 0;
        });
      });
      Post([callback = std::move(aCallback)] { callback(Reply()); });
      return;
    case store_fault::kHeld:
      mHeld.emplace_back(
        [execute = std::move(aExecute), callback = std::move(aCallback)] {
          execute(callback);
        });
      return;
  }
}

void unreliable_store::ReadPrefix(const std::string& aPrefix,
                                  std::function<void(prefix_reply)> aCallback)
{
  Call<prefix_reply>(
    store_call::kRead,
    aPrefix,
    [this, aPrefix](const std::function<void(prefix_reply)>& aReply) {
      mStore.ReadPrefix(aPrefix, aReply);
    },
    [this, callback = std::move(aCallback)](prefix_reply aReply) {
      for (stored_item& item : aReply.mItems) {
        item.mValue = ToOwn(item.mValue);
      }
      callback(std::move(aReply));
    });
}

void unreliable_store::Watch(const std::string& aPrefix,
                             store_revision aAfter,
                             duration aWait,
                             std::function<void(watch_reply)> aCallback)
{
  Call<watch_reply>(
    store_call::kWatch,
    aPrefix,
    [this, aPrefix, aAfter, aWait](
      const std::function<void(watch_reply)>& aReply) {
      mStore.Watch(aPrefix, aAfter, aWait, aReply);
    },
    [this, callback = std::move(aCallback)](watch_reply aReply) {
      for (item_change& change : aReply.mChanges) {
        if (change.mValue) {
          change.mValue = ToOwn(*change.mValue);
        }
      }
      callback(std::move(aReply));
    });
}

void unreliable_store::Write(const conditional_write& aWrite,
                             std::function<void(write_reply)> aCallback)
{
  conditional_write write = aWrite;
  for (item_write& each : write.mWrites) {
    each.mValue = ToAnnounced(each.mValue);
  }
  Call<write_reply>(
    store_call::kWrite,
    write.mWrites.empty() ? "" : write.mWrites.front().mKey,
    [this, write](const std::function<void(write_reply)>& aReply) {
      mStore.Write(write, aReply);
    },
    std::move(aCallback));
}

void unreliable_store::OpenLease(duration aTtl,
                                 std::function<void(lease_reply)> aCallback)
{
  Call<lease_reply>(
    store_call::kOpenLease,
    "",
    [this, aTtl](const std::function<void(lease_reply)>& aReply) {
      mStore.OpenLease(aTtl, aReply);
    },
    std::move(aCallback));
}

void unreliable_store::RenewLease(lease_id aLease,
                                  std::function<void(lease_reply)> aCallback)
{
  Call<lease_reply>(
    store_call::kRenewLease,
    "",
    [this, aLease](const std::function<void(lease_reply)>& aReply) {
      mStore.RenewLease(aLease, aReply);
    },
    std::move(aCallback));
}

void unreliable_store::EndLease(lease_id aLease,
                                std::function<void(lease_reply)> aCallback)
{
  Call<lease_reply>(
    store_call::kEndLease,
    "",
    [this, aLease](const std::function<void(lease_reply)>& aReply) {
      mStore.EndLease(aLease, aReply);
    },
    std::move(aCallback));
}

} // namespace parsleystair
