#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Http/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleystair {

/// Header that names the router that sent an order. Tests add it, as all
/// routers of a test have the same address.
inline constexpr const char* kSenderHeader = "X-Test-Sender";

/// Stand-in of a back end of the users' platform: signs its answers, tells what
/// it did not run, takes grants and releases with fences.
class keyed_target
{
public:
  /// `aKeyed`: runs a request only while it holds the request's key.
  keyed_target(event_loop& aLoop, std::string aName, bool aKeyed);
  keyed_target(const keyed_target&) = delete;
  keyed_target& operator=(const keyed_target&) = delete;

  void Listen(const std::string& aHost, uint16_t aPort);
  [[nodiscard]] uint16_t Port() const { return mServer.Port(); }
  /// Port in its entry, where it differs: of a proxy before it.
  void SetPublicPort(uint16_t aPort) { mPublicPort = aPort; }
  [[nodiscard]] const std::string& Name() const { return mName; }
  /// Zone in its entry.
  void SetZone(std::string aZone) { mZone = std::move(aZone); }

  /// Entry of this target in the platform's store.
  [[nodiscard]] std::string Entry(const std::string& aService,
                                  const std::string& aState) const;

  /// Start of this life, as its entry says: Unix time in milliseconds.
  void SetStarted(uint64_t aStartedMs) { mStartedMs = aStartedMs; }
  /// Called with the id of each request that begins to run.
  void OnRun(std::function<void(const std::string&)> aHandler)
  {
    mRunHandler = std::move(aHandler);
  }
  /// Time that each request runs.
  void SetWork(duration aWork) { mWork = aWork; }
  /// Refuses all requests without running them.
  void SetFull(bool aFull) { mFull = aFull; }
  /// Slow start that its next entries and its responses to health checks state.
  void SetSlowStart(duration aRest) { mSlowStart = aRest; }
  /// Says in all answers that it leaves.
  void SetLeaving(bool aLeaving) { mLeaving = aLeaving; }
  /// Requests of callers and health checks that arrived.
  [[nodiscard]] size_t Arrivals() const { return mArrivals; }
  /// Closes connections in place of answers, after running the request.
  void SetDropsResponses(bool aLoses) { mDropsResponses = aLoses; }
  /// Takes and answers no orders of these routers; see `kSenderHeader`.
  void SetIgnoredSenders(std::set<std::string> aSenders)
  {
    mIgnoredSenders = std::move(aSenders);
  }
  /// From now on orders wait, or those that wait are taken and answered.
  void SetOrdersHeld(bool aHeld);
  /// Called with the sender of each order that arrives, unless it is ignored.
  void OnOrder(
    std::function<void(const std::string&, const http_request&)> aHandler)
  {
    mOrderHandler = std::move(aHandler);
  }
  /// Values of the handover header in its answers to releases; more than one
  /// repeats the header.
  void SetHandovers(std::vector<std::string> aValues)
  {
    mHandovers = std::move(aValues);
  }
  /// Handover in the latest grant that had one; empty before.
  [[nodiscard]] const std::string& ReceivedHandover() const
  {
    return mReceivedHandover;
  }
  /// Answers with the id of another request.
  void SetAnswersOthers(bool aOthers) { mAnswersOthers = aOthers; }

  /// Ids of the requests that ran, in order.
  [[nodiscard]] const std::vector<std::string>& Ran() const { return mRan; }
  [[nodiscard]] size_t Grants() const { return mGrants; }
  [[nodiscard]] bool Holds(uint32_t aKey) const;
  /// Requests whose connection was closed while they ran.
  [[nodiscard]] size_t Cancelled() const { return mCancelled; }

private:
  struct held_keys
  {
    uint32_t mFrom = 0;
    uint32_t mTo = 0;
    uint64_t mFence = 0;
    time_point mUntil;
  };

  void Handle(exchange_id aExchange, const http_request& aRequest);
  void HandleOrder(exchange_id aExchange, const http_request& aRequest);
  void ExecuteOrder(exchange_id aExchange, const http_request& aRequest);
  void HandleGrant(exchange_id aExchange, const http_request& aRequest);
  void HandleRelease(exchange_id aExchange, const http_request& aRequest);
  void Respond(exchange_id aExchange, http_response aAnswer);
  void Run(exchange_id aExchange, const http_request& aRequest);
  void Finish(exchange_id aExchange, const http_request& aRequest);
  void Refuse(exchange_id aExchange,
              const http_request& aRequest,
              uint32_t aStatus);

  event_loop& mLoop;
  std::string mName;
  bool mKeyed;
  http_server mServer;
  std::optional<uint16_t> mPublicPort;
  std::string mZone = "asti-a";
  duration mWork{};
  bool mFull = false;
  bool mLeaving = false;
  duration mSlowStart{};
  size_t mArrivals = 0;
  bool mDropsResponses = false;
  bool mAnswersOthers = false;
  size_t mGrants = 0;
  size_t mCancelled = 0;
  uint64_t mStartedMs = 1000;
  /// Entries written so far.
  mutable uint64_t mReports = 0;
  std::function<void(const std::string&)> mRunHandler;
  std::function<void(const std::string&, const http_request&)> mOrderHandler;
  std::set<std::string> mIgnoredSenders;
  std::vector<std::string> mHandovers{ "state" };
  std::string mReceivedHandover;
  bool mOrdersHeld = false;
  std::vector<std::pair<exchange_id, http_request>> mHeldOrders;
  std::vector<std::string> mRan;
  std::vector<held_keys> mHeld;
  std::map<exchange_id, std::unique_ptr<timer>> mRunning;
};

} // namespace parsleystair
