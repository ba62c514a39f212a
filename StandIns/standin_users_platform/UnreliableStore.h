#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Platform/CoordinationStore.h"

#include <deque>
#include <functional>
#include <string>

namespace parsleystair {

enum class store_call
{
  kRead,
  kWatch,
  kWrite,
  kOpenLease,
  kRenewLease,
  kEndLease,
};

/// Failure of one call to the store, as the platform permits it.
enum class store_fault
{
  kNone,
  /// The store rejects the call.
  kRefused,
  /// The call is executed, and its outcome stays unknown to the caller.
  kReplyLost,
  /// The call is executed, and its reply arrives on `Release`.
  kReplyHeld,
  /// The outcome stays unknown to the caller; the call is executed on
  /// `Release`.
  kExecutedLate,
  /// The call is executed and answered on `Release`.
  kHeld,
};

/// One router's access to the store. Its calls fail as a rule decides, while
/// the store serves the other routers.
class unreliable_store : public coordination_store
{
public:
  /// Fault of a call. `aKey`: key or prefix that is read, or the first key that
  /// is written; empty for calls on leases. A call without a fault has the rule
  /// applied to its reply once more: the reply is delivered, held, or else
  /// lost.
  using fault_rule =
    std::function<store_fault(store_call, const std::string& aKey)>;

  unreliable_store(event_loop& aLoop, coordination_store& aStore);
  unreliable_store(const unreliable_store&) = delete;
  unreliable_store& operator=(const unreliable_store&) = delete;

  void SetFaults(fault_rule aRule) { mRule = std::move(aRule); }

  /// Executes the first of the held calls, or delivers the first of the held
  /// replies, in the order of the calls.
  void ReleaseFirst();
  void ReleaseAll();
  [[nodiscard]] size_t HeldCount() const { return mHeld.size(); }

  /// Calls that were executed late and took effect.
  [[nodiscard]] uint32_t LateCount() const { return mLateCount; }

  /// From now on others find this router's port in the values that it writes
  /// as `aAnnounced`, such as that of a proxy before it.
  void TranslatePort(uint16_t aOwn, uint16_t aAnnounced);

  [[nodiscard]] store_era Era() const override { return mStore.Era(); }
  void OnEraChange(era_handler aHandler) override
  {
    mStore.OnEraChange(std::move(aHandler));
  }
  void ReadPrefix(const std::string& aPrefix,
                  std::function<void(prefix_reply)> aCallback) override;
  void Watch(const std::string& aPrefix,
             store_revision aAfter,
             duration aWait,
             std::function<void(watch_reply)> aCallback) override;
  void Write(const conditional_write& aWrite,
             std::function<void(write_reply)> aCallback) override;
  void OpenLease(duration aTtl,
                 std::function<void(lease_reply)> aCallback) override;
  void RenewLease(lease_id aLease,
                  std::function<void(lease_reply)> aCallback) override;
  void EndLease(lease_id aLease,
                std::function<void(lease_reply)> aCallback) override;

  [[nodiscard]] const coordination_counters& Counters() const override
  {
    return mStore.Counters();
  }

private:
  using action = std::function<void()>;

  /// Makes a call, or lets it fail. `aExecute` makes the call with a callback.
  template<typename Reply>
  void Call(store_call aCall,
            const std::string& aKey,
            std::function<void(std::function<void(Reply)>)> aExecute,
            std::function<void(Reply)> aCallback);
  [[nodiscard]] store_fault FaultOf(store_call aCall,
                                    const std::string& aKey) const;
  /// Runs an action after the present call has returned.
  void Post(action aAction);
  [[nodiscard]] std::string ToAnnounced(const std::string& aValue) const;
  [[nodiscard]] std::string ToOwn(const std::string& aValue) const;

  event_loop& mLoop;
  coordination_store& mStore;
  fault_rule mRule;
  std::string mOwnPort;
  std::string mAnnouncedPort;
  std::deque<action> mHeld;
  uint32_t mLateCount = 0;
  std::deque<action> mPosted;
  timer mPostTimer;
};

} // namespace parsleystair
