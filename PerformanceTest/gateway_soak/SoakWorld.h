#pragma once

#include "Parsleystair/Http/HttpConnection.h"
#include "PerformanceTest/gateway_soak/FaultProxy.h"
#include "PerformanceTest/gateway_soak/GatewayProcess.h"
#include "StandIns/standin_users_platform/KeyedTarget.h"
#include "StandIns/standin_users_platform/KvServer.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace parsleystair {

struct soak_settings
{
  std::string mProgram;
  /// Folder for settings files and logs.
  std::string mDirectory;
  uint64_t mSeed = 1;
  duration mTime = 20s;
};

/// Real routers as processes between callers, targets and a store that live in
/// this one. Faults come from outside the routers: signals, and proxies on the
/// way to the store and to each target. Checks what callers and targets see.
class soak_world
{
public:
  explicit soak_world(const soak_settings& aSettings);
  ~soak_world();
  soak_world(const soak_world&) = delete;
  soak_world& operator=(const soak_world&) = delete;

  /// Plays the faults, heals them, and checks that all is served again.
  /// Returns what went wrong.
  std::vector<std::string> Run();

  /// Counts of requests and faults, for people.
  [[nodiscard]] std::string Summary() const;

private:
  static constexpr size_t kGateways = 7;

  struct gateway
  {
    std::string mHost;
    std::string mSettingsPath;
    std::unique_ptr<fault_proxy> mStoreProxy;
    std::unique_ptr<gateway_process> mProcess;
    /// It was told to end, or killed; a new one starts at its place.
    bool mEnding = false;
    std::vector<std::unique_ptr<http_connection>> mConnections;
  };

  struct target
  {
    std::string mService;
    /// Null while the target is down after a crash.
    std::unique_ptr<keyed_target> mTarget;
    /// Null for targets that crash: the proxy would accept connections.
    std::unique_ptr<fault_proxy> mProxy;
    uint64_t mStartedMs = 1000;
  };

  enum class play_phase
  {
    kFaults,
    kHealed,
    /// A request that crashes targets is sent again and again.
    kCrashing,
    /// Answers without end use up the memory of the routers.
    kEndless,
  };

  struct sent_request
  {
    bool mUnsafe = false;
    play_phase mPhase = play_phase::kFaults;
    bool mRefused = false;
    std::string mPath;
    size_t mRuns = 0;
  };

  void AddTargets(const std::string& aService, size_t aCount);
  void StartTarget(const std::string& aName);
  void Register(const std::string& aName, const std::string& aState);
  void AddGateway(size_t aIndex);
  void StartGateway(gateway& aGateway);
  void PutConfiguration();

  // Traffic.
  void SendRequest();
  void Send(const std::string& aKind, gateway& aGateway);
  void SendPath(const std::string& aPath, bool aUnsafe, gateway& aGateway);
  void HandleResult(const std::string& aId, const http_result& aResult);
  void CountRun(const std::string& aId);
  http_connection& ConnectionTo(gateway& aGateway);
  void CheckOwners();
  target& RandomProxiedTarget();
  void CheckServed(play_phase aPhase, double aShare);
  void CheckMemory();
  void CheckConfiguration();
  void CheckLedger();
  void Violation(const std::string& aText);

  // Faults.
  void Inject();
  void HarmLink(fault_proxy& aProxy, const std::string& aName);
  void HarmProcess();
  void HarmStore();
  void HarmTarget();
  void HarmAnswers(target& aTarget);
  void SendEndlessAnswers();
  /// Sends a request that crashes each target which begins to run it, for
  /// `aTime`.
  void StartCrashingRequest(duration aTime);
  void SendCrashingRequest(const std::string& aPath, time_point aEnd);
  void HandleCrashingRun(const std::string& aId);
  void CrashTarget(const std::string& aName);
  void CheckCrashes();
  void Heal(duration aAfter, std::function<void()> aAction);
  void EndGateway(gateway& aGateway, int aSignal);
  void CheckProcesses();

  void RunFor(duration aTime);
  size_t Random(size_t aCount);
  duration RandomTime(duration aLongest);

  soak_settings mSettings;
  event_loop mLoop;
  kv_server mStore;
  std::mt19937_64 mRandom;
  std::map<std::string, target> mTargets;
  std::vector<gateway> mGateways;
  std::map<std::string, sent_request> mRequests;
  std::map<uint32_t, size_t> mStatuses;
  std::map<std::string, size_t> mFaults;
  std::vector<std::string> mViolations;
  std::set<std::string> mSeen;
  std::vector<std::unique_ptr<timer>> mHeals;
  /// Runs of the crashing request in `kCrashing`, by request.
  std::vector<std::pair<std::string, time_point>> mCrashingRuns;
  uint32_t mVersion = 0;
  uint64_t mNextRequest = 1;
  play_phase mPhase = play_phase::kFaults;
  std::map<play_phase, size_t> mSent;
  std::map<play_phase, size_t> mServed;
  uint64_t mHighestMegabytes = 0;
  timer mTraffic;
  timer mOwnersCheck;
  timer mFaultTimer;
};

} // namespace parsleystair
