#pragma once

#include "Parsleystair/Gateway/FenceConnections.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "UnitTests/Gateway/SimulatedNetwork.h"
#include "UnitTests/Gateway/SimulatedTarget.h"

#include <map>
#include <memory>

namespace parsleystair {

/// Connections of one router's process to the targets, with the behaviour of
/// `target_connections`: an order travels over an idle connection or over a new
/// one, and reaches only the process to which the connection leads.
class simulated_connections
{
public:
  /// Executes an order at the target. No value: the target doesn't respond.
  using order_call =
    std::function<std::optional<target_response>(simulated_target&)>;
  using callback = std::function<void(const http_result&)>;
  /// Connections that a call may use; nothing for all.
  using bound = std::optional<connection_bound>;

  simulated_connections(simulated_network& aNetwork, const router_run& aRun)
    : mNetwork(aNetwork)
    , mRun(aRun)
  {
  }

  /// Returns the connection that carries the call.
  target_connection_id Call(size_t aTarget,
                            order_call aOrder,
                            duration aTimeout,
                            callback aCallback,
                            const bound& aBound = std::nullopt)
  {
    const auto made = std::make_shared<call>();
    made->mTarget = aTarget;
    made->mOrder = std::move(aOrder);
    made->mCallback = std::move(aCallback);
    made->mDeadline = mNetwork.Now() + aTimeout;
    made->mGeneration = mGeneration;
    mNetwork.RunAt(
      mRun, made->mDeadline, [this, made] { Fail(made, made->mConnected); });
    if (const auto idle = TakeConnection(aTarget, aBound)) {
      made->mProcess = idle->mProcess;
      made->mConnection = idle->mId;
      made->mFirstResponse = idle->mFirstResponse;
      Send(made);
      return made->mConnection;
    }
    made->mConnection = target_connection_id(++mOpened);
    mNetwork.RunAt(mRun, mNetwork.Now() + kConnectTimeout, [this, made] {
      if (!made->mConnected) {
        Fail(made, false);
      }
    });
    mNetwork.SendOnTargetPath(mRun.mRouter,
                              aTarget,
                              kConnectTimeout,
                              [this, made] { AcceptConnection(made); });
    return made->mConnection;
  }

  /// Cancels all calls. Bytes that were sent are delivered.
  void CancelAll() { ++mGeneration; }

  /// Removes the idle connections that are known to be broken. Returns whether
  /// there were any.
  bool CloseBroken(size_t aTarget)
  {
    return std::erase_if(mIdle[aTarget], [&](const idle_connection& aIdle) {
             return IsKnownBroken(aTarget, aIdle);
           }) > 0;
  }

  /// Whether the next call with `aBound` reuses a connection.
  [[nodiscard]] bool HasOpenConnection(size_t aTarget,
                                       const bound& aBound) const
  {
    const auto found = mIdle.find(aTarget);
    return found != mIdle.end() &&
           std::any_of(found->second.begin(),
                       found->second.end(),
                       [&](const idle_connection& aIdle) {
                         return IsReusable(aTarget, aIdle, aBound);
                       });
  }

private:
  static constexpr duration kConnectTimeout = 400ms;
  static constexpr duration kIdleTimeout = 3700ms;
  /// Longest delivery of a response.
  static constexpr duration kMaxDelivery = 590ms;
  /// Longest delivery of an order after the end of its call.
  static constexpr duration kMaxDeliveryAfterCall = 3900ms;

  struct idle_connection
  {
    /// Start time of the process to which the connection leads.
    uint64_t mProcess = 0;
    time_point mIdleSince;
    target_connection_id mId;
    time_point mFirstResponse;
  };

  struct call
  {
    size_t mTarget = 0;
    order_call mOrder;
    callback mCallback;
    time_point mDeadline;
    uint64_t mGeneration = 0;
    uint64_t mProcess = 0;
    target_connection_id mConnection;
    std::optional<time_point> mFirstResponse;
    bool mConnected = false;
    /// The order has reached the target's system.
    bool mArrived = false;
    bool mEnded = false;
  };
  using call_pointer = std::shared_ptr<call>;

  [[nodiscard]] bool IsActive(const call_pointer& aCall) const
  {
    return !aCall->mEnded && aCall->mGeneration == mGeneration;
  }

  [[nodiscard]] bool IsKnownBroken(size_t aTarget,
                                   const idle_connection& aIdle) const
  {
    const simulated_target& target = mNetwork.Target(aTarget);
    return (!target.IsUp() || target.StartedMs() != aIdle.mProcess) &&
           mNetwork.IsTargetPathUp(mRun.mRouter, aTarget);
  }

  [[nodiscard]] bool IsReusable(size_t aTarget,
                                const idle_connection& aIdle,
                                const bound& aBound) const
  {
    return (!aBound || aBound->Allows(aIdle.mId, aIdle.mFirstResponse)) &&
           mNetwork.Now() - aIdle.mIdleSince < kIdleTimeout &&
           !IsKnownBroken(aTarget, aIdle);
  }

  std::optional<idle_connection> TakeConnection(size_t aTarget,
                                                const bound& aBound)
  {
    std::vector<idle_connection>& idle = mIdle[aTarget];
    std::erase_if(idle, [&](const idle_connection& aIdle) {
      return !IsReusable(aTarget, aIdle, std::nullopt);
    });
    const auto found =
      std::find_if(idle.rbegin(), idle.rend(), [&](const auto& aIdle) {
        return IsReusable(aTarget, aIdle, aBound);
      });
    if (found == idle.rend()) {
      return std::nullopt;
    }
    const idle_connection taken = *found;
    idle.erase(std::next(found).base());
    return taken;
  }

  /// The request for a connection has reached the target's address.
  void AcceptConnection(const call_pointer& aCall)
  {
    const simulated_target& target = mNetwork.Target(aCall->mTarget);
    const bool refused = target.RefusesConnections();
    aCall->mProcess = target.StartedMs();
    mNetwork.SendOnTargetPath(
      mRun.mRouter, aCall->mTarget, kConnectTimeout, [this, aCall, refused] {
        RunNow([this, aCall, refused] {
          if (!IsActive(aCall)) {
            return;
          }
          if (refused) {
            Fail(aCall, false);
            return;
          }
          Send(aCall);
        });
      });
  }

  void RunNow(std::function<void()> aEvent)
  {
    mNetwork.RunAt(mRun, mNetwork.Now(), std::move(aEvent));
  }

  void Send(const call_pointer& aCall)
  {
    aCall->mConnected = true;
    const duration maxDelay =
      aCall->mDeadline + kMaxDeliveryAfterCall - mNetwork.Now();
    // The bytes are delivered also if the process ends or cancels the call.
    mNetwork.SendOnTargetPath(
      mRun.mRouter, aCall->mTarget, maxDelay, [this, aCall] {
        aCall->mArrived = true;
        Take(aCall);
      });
  }

  /// The target's process takes an order that its system has acknowledged, at
  /// once or, while it stands still, until the end of the connection reaches
  /// it.
  void Take(const call_pointer& aCall)
  {
    const duration maxDelay = std::max(
      aCall->mDeadline + kMaxDeliveryAfterCall - mNetwork.Now(), duration(1ms));
    simulated_network& network = mNetwork;
    const router_run run = mRun;
    network.SendOnTargetPath(
      run.mRouter, aCall->mTarget, maxDelay, [this, &network, run, aCall] {
        simulated_target& target = network.Target(aCall->mTarget);
        std::optional<target_response> response;
        const bool reached =
          target.IsUp() && target.StartedMs() == aCall->mProcess;
        if (reached) {
          response = aCall->mOrder(target);
        }
        network.RunAt(run,
                      response ? response->mAt : network.Now(),
                      [this, aCall, reached, response] {
                        Respond(aCall, reached, response);
                      });
      });
  }

  void Respond(const call_pointer& aCall,
               bool aReached,
               const std::optional<target_response>& aResponse)
  {
    const simulated_target& target = mNetwork.Target(aCall->mTarget);
    const bool isAlive = target.IsUp() && target.StartedMs() == aCall->mProcess;
    if ((aReached && !aResponse) || mNetwork.IsResponseLost()) {
      return;
    }
    mNetwork.SendOnTargetPath(mRun.mRouter,
                              aCall->mTarget,
                              kMaxDelivery,
                              [this, aCall, aResponse, isAlive] {
                                RunNow([this, aCall, aResponse, isAlive] {
                                  if (!IsActive(aCall)) {
                                    return;
                                  }
                                  if (!aResponse || !isAlive) {
                                    Fail(aCall, true);
                                    return;
                                  }
                                  aCall->mEnded = true;
                                  if (!aResponse->mCloses) {
                                    const time_point now = mNetwork.Now();
                                    mIdle[aCall->mTarget].push_back(
                                      { aCall->mProcess,
                                        now,
                                        aCall->mConnection,
                                        aCall->mFirstResponse.value_or(now) });
                                  }
                                  http_result result;
                                  result.mStatus = http_status::kResponded;
                                  result.mResponse.mStatus = aResponse->mStatus;
                                  aCall->mCallback(result);
                                });
                              });
  }

  void Fail(const call_pointer& aCall, bool aSent)
  {
    if (!IsActive(aCall)) {
      return;
    }
    aCall->mEnded = true;
    http_result result;
    result.mStatus = aSent ? http_status::kNoResponse : http_status::kNotSent;
    result.mAcknowledged = aCall->mArrived;
    aCall->mCallback(result);
  }

  simulated_network& mNetwork;
  router_run mRun;
  /// Increases with each cancellation of all calls.
  uint64_t mGeneration = 0;
  uint64_t mOpened = 0;
  std::map<size_t, std::vector<idle_connection>> mIdle;
};

} // namespace parsleystair
