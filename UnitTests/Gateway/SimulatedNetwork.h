#pragma once

#include "UnitTests/Gateway/SimulatedEvents.h"
#include "UnitTests/Gateway/SimulatedStore.h"

#include <functional>
#include <string>
#include <vector>

namespace parsleystair {

class simulated_router;
class simulated_target;

/// One run of a router's process at an address.
struct router_run
{
  size_t mRouter = 0;
  uint64_t mRun = 0;

  bool operator==(const router_run&) const = default;
};

/// What a simulated router's process needs of its machine and of the network.
class simulated_network
{
public:
  virtual ~simulated_network() = default;

  [[nodiscard]] virtual time_point Now() const = 0;
  virtual random_choices& Random() = 0;

  /// Runs an event of a process. It is postponed while the process is paused,
  /// and dropped if the process has ended.
  virtual void RunAt(const router_run& aRun,
                     time_point aTime,
                     std::function<void()> aEvent) = 0;

  /// `aCall` is executed in the store and returns the handling of its reply.
  /// `aFailed` gets `kRefused` or `kUnknown`.
  using store_call = std::function<std::function<void()>(simulated_store&)>;
  virtual void CallStore(const router_run& aRun,
                         store_call aCall,
                         std::function<void(call_outcome)> aFailed) = 0;
  /// Time by which the present changes of watched keys reach the router late.
  [[nodiscard]] virtual duration WatchDelay(const router_run& aRun) = 0;

  /// Addresses of the live routers, as the leader tells this one; empty if it
  /// doesn't reach the leader.
  [[nodiscard]] virtual std::vector<std::string> RouterList(
    const router_run& aRun) = 0;

  /// Calls the process at a router's address; `aResult` tells whether a
  /// response arrived in time.
  virtual void CallRouter(const router_run& aRun,
                          const std::string& aHost,
                          duration aTimeout,
                          std::function<void(simulated_router&)> aCall,
                          std::function<void(bool)> aResult) = 0;

  /// Time at which bytes that are sent now to or from a target arrive, and
  /// what happens then. They are lost if the path is cut for longer than
  /// `aMaxDelay`.
  virtual void SendOnTargetPath(size_t aRouter,
                                size_t aTarget,
                                duration aMaxDelay,
                                std::function<void()> aArrival) = 0;
  [[nodiscard]] virtual bool IsTargetPathUp(size_t aRouter,
                                            size_t aTarget) const = 0;
  virtual simulated_target& Target(size_t aTarget) = 0;
  /// A grant that arrives now doesn't count, as its sender or their path has
  /// recovered shortly before.
  [[nodiscard]] virtual bool IsExcused(size_t aRouter,
                                       size_t aTarget) const = 0;
  [[nodiscard]] virtual bool IsResponseLost() = 0;

  /// Adds a line to the description of the run.
  virtual void Trace(std::string aLine) = 0;
};

} // namespace parsleystair
