#include "PerformanceTest/gateway_soak/SoakWorld.h"

#include "Parsleystair/Core/Clock.h"
#include "StandIns/standin_users_platform/CallerMessages.h"
#include "StandIns/standin_users_platform/OperatorConfiguration.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

// The deployment, its traffic, and the checks. Faults are in SoakFaults.cpp,
// requests that crash targets in SoakCrashes.cpp.

namespace parsleystair {

namespace {

using nlohmann::json;

constexpr uint16_t kCallersPort = 18001;
constexpr uint16_t kReadinessPort = 18002;
constexpr uint16_t kOperatorsPort = 18003;
constexpr uint16_t kPeersPort = 18004;

/// Loopback networks, of which a run takes one.
constexpr uint64_t kNetworks = 200;

constexpr duration kRequestInterval = 4ms;
constexpr duration kOwnersCheckInterval = 20ms;
constexpr duration kStartTime = 3s;
/// Time after the last fault in which all is to be served again: a lost
/// owner's keys wait for the longest renewal without proof and the hold.
constexpr duration kHealTime = 12s;
constexpr duration kFinalTime = 3s;
constexpr duration kCrashingTime = 9s;
constexpr double kFinalShare = 0.98;
/// Memory of the users' smallest machines, and what a router may take of it.
constexpr uint64_t kMachineMegabytes = 160;
constexpr uint64_t kMaxMegabytes = kMachineMegabytes / 2;
/// Endless answers for each router at least. An answer may grow to 8 MiB, so
/// these would take more memory than the routers may.
constexpr size_t kMinEndlessAnswers = 50;
constexpr uint32_t kKeys = 64;
constexpr uint32_t kKeyStep = 1024;

} // namespace

soak_world::soak_world(const soak_settings& aSettings)
  : mSettings(aSettings)
  , mStore(mLoop)
  , mRandom(aSettings.mSeed)
{
  mStore.Listen("127.0.0.1", 0);
  PutConfiguration();
  AddTargets("plain", 3);
  AddTargets("orders", 3);
  AddTargets("keyed", 4);
  AddTargets("fragile", 5);
  mGateways.resize(kGateways);
  for (size_t index = 0; index < kGateways; ++index) {
    AddGateway(index);
  }
}

soak_world::~soak_world() = default;

void soak_world::PutConfiguration()
{
  constexpr duration kTimeout = 2s;
  constexpr uint32_t kMaxAttempts = 3;
  mStore.Put(kConfigurationKey,
             EncodeOperatorConfiguration(
               ++mVersion,
               { { "read", true, "plain", kTimeout, kMaxAttempts },
                 { "order", false, "orders", kTimeout, kMaxAttempts },
                 { "history", true, "keyed", kTimeout, kMaxAttempts },
                 { "fragile", true, "fragile", kTimeout, kMaxAttempts },
                 { "endless", false, "endless", kTimeout, kMaxAttempts } },
               { { "plain" },
                 { "orders" },
                 { "keyed", true },
                 { "fragile" },
                 { "endless" } }));
}

void soak_world::AddTargets(const std::string& aService, size_t aCount)
{
  for (size_t number = 1; number <= aCount; ++number) {
    const std::string name = aService + "-" + std::to_string(number);
    mTargets[name].mService = aService;
    StartTarget(name);
  }
}

void soak_world::StartTarget(const std::string& aName)
{
  target& each = mTargets.at(aName);
  each.mTarget =
    std::make_unique<keyed_target>(mLoop, aName, each.mService == "keyed");
  each.mTarget->Listen("127.0.0.1", 0);
  each.mTarget->SetWork(10ms);
  each.mTarget->SetStarted(++each.mStartedMs);
  each.mTarget->OnRun([this](const std::string& aId) { CountRun(aId); });
  if (each.mService == "fragile") {
    each.mTarget->OnRun([this, aName](const std::string& aId) {
      CountRun(aId);
      if (mRequests.contains(aId) &&
          mRequests.at(aId).mPath.starts_with("/fragile/crash")) {
        HandleCrashingRun(aId);
        Heal(duration::zero(), [this, aName] { CrashTarget(aName); });
      }
    });
    Register(aName, "ready");
    return;
  }
  if (each.mProxy == nullptr) {
    each.mProxy = std::make_unique<fault_proxy>(mLoop, each.mTarget->Port());
  }
  each.mProxy->SetTo(each.mTarget->Port());
  each.mTarget->SetPublicPort(each.mProxy->Port());
  Register(aName, "ready");
}

void soak_world::Register(const std::string& aName, const std::string& aState)
{
  const target& each = mTargets.at(aName);
  mStore.Put(TargetKey(aName), each.mTarget->Entry(each.mService, aState));
}

void soak_world::AddGateway(size_t aIndex)
{
  gateway& each = mGateways[aIndex];
  const std::string name = "front-" + std::to_string(aIndex + 1);
  // Runs with different seeds can go on at the same time.
  each.mHost = "127.0." + std::to_string(1 + mSettings.mSeed % kNetworks) +
               "." + std::to_string(aIndex + 1);
  each.mStoreProxy = std::make_unique<fault_proxy>(mLoop, mStore.Port());
  const auto address = [&](uint16_t aPort) {
    return each.mHost + ":" + std::to_string(aPort);
  };
  const json settings = {
    { "vm", name },
    { "failureDomain", "asti-a" },
    { "failureDomains", { { "asti-a", "piemonte" } } },
    { "callers", address(kCallersPort) },
    { "readiness", address(kReadinessPort) },
    { "operators", address(kOperatorsPort) },
    { "peers", address(kPeersPort) },
    { "store", "127.0.0.1:" + std::to_string(each.mStoreProxy->Port()) },
    { "memoryMegabytes", kMachineMegabytes },
    { "shutdownGraceSeconds", 4 }
  };
  each.mSettingsPath = mSettings.mDirectory + "/" + name + ".json";
  std::ofstream(each.mSettingsPath) << settings.dump(2);
  StartGateway(each);
}

void soak_world::StartGateway(gateway& aGateway)
{
  aGateway.mConnections.clear();
  aGateway.mEnding = false;
  aGateway.mProcess =
    std::make_unique<gateway_process>(mSettings.mProgram,
                                      aGateway.mSettingsPath,
                                      aGateway.mSettingsPath + ".log");
}

std::vector<std::string> soak_world::Run()
{
  RunFor(kStartTime);
  mTraffic.StartRepeating(mLoop, kRequestInterval, [this] { SendRequest(); });
  mOwnersCheck.StartRepeating(
    mLoop, kOwnersCheckInterval, [this] { CheckOwners(); });
  Inject();
  RunFor(mSettings.mTime);
  mFaultTimer.Cancel();
  PutConfiguration();
  RunFor(kHealTime);
  mPhase = play_phase::kHealed;
  RunFor(kFinalTime);
  mPhase = play_phase::kCrashing;
  StartCrashingRequest(kCrashingTime);
  RunFor(kCrashingTime);
  SendEndlessAnswers();
  mTraffic.Cancel();
  RunFor(kFinalTime);
  CheckServed(play_phase::kHealed, kFinalShare);
  CheckServed(play_phase::kCrashing, kFinalShare);
  CheckServed(play_phase::kEndless, 1);
  CheckCrashes();
  CheckMemory();
  CheckConfiguration();
  CheckLedger();
  return mViolations;
}

http_connection& soak_world::ConnectionTo(gateway& aGateway)
{
  for (const auto& each : aGateway.mConnections) {
    if (!each->IsBusy()) {
      return *each;
    }
  }
  aGateway.mConnections.push_back(
    std::make_unique<http_connection>(mLoop, aGateway.mHost, kCallersPort));
  return *aGateway.mConnections.back();
}

void soak_world::SendRequest()
{
  static const std::vector<std::string> kKinds = { "read", "order", "history" };
  const std::string& kind = kKinds[Random(kKinds.size())];
  ++mSent[mPhase];
  Send(kind, mGateways[Random(kGateways)]);
}

void soak_world::Send(const std::string& aKind, gateway& aGateway)
{
  const std::string path = "/" + aKind + "/" + std::to_string(Random(1000));
  SendPath(path, aKind == "order" || aKind == "endless", aGateway);
}

void soak_world::SendPath(const std::string& aPath,
                          bool aUnsafe,
                          gateway& aGateway)
{
  std::string id = "r-";
  id += std::to_string(mNextRequest++);
  constexpr duration kTimeLeft = 3s;
  const auto key = static_cast<uint32_t>(Random(kKeys)) * kKeyStep;
  const http_request request =
    CallerRequest(aUnsafe ? "POST" : "GET", aPath, id, kTimeLeft, key);
  mRequests[id] = { aUnsafe, mPhase, false, request.mPath, 0 };
  constexpr duration kCallerTimeout = 4s;
  ConnectionTo(aGateway).Call(
    request, kCallerTimeout, [this, id](const http_result& aResult) {
      HandleResult(id, aResult);
    });
}

void soak_world::HandleResult(const std::string& aId,
                              const http_result& aResult)
{
  constexpr uint32_t kOk = 200;
  constexpr uint32_t kNotFound = 404;
  constexpr uint32_t kUnavailable = 503;
  sent_request& request = mRequests.at(aId);
  const uint32_t status =
    aResult.mStatus == http_status::kResponded ? aResult.mResponse.mStatus : 0;
  ++mStatuses[status];
  if (status == kUnavailable) {
    request.mRefused = true;
  }
  if (status == kNotFound) {
    Violation("404 for a configured route: " + aId);
  }
  if (status != kOk) {
    return;
  }
  ++mServed[request.mPhase];
  const bool own = IsSignedAnswer(aResult.mResponse, aId) &&
                   aResult.mResponse.mBody.ends_with(" ran " + request.mPath);
  if (!own || request.mRuns == 0) {
    Violation("an answer of another request, or of none, for " + aId);
  }
}

void soak_world::CountRun(const std::string& aId)
{
  const auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    Violation("a request that nobody sent ran: " + aId);
    return;
  }
  sent_request& request = found->second;
  ++request.mRuns;
  mFaults["endless-body"] += request.mPath.starts_with("/endless/") ? 1 : 0;
}

void soak_world::CheckOwners()
{
  for (uint32_t key = 0; key < kKeys * kKeyStep; key += kKeyStep) {
    std::string owners;
    size_t count = 0;
    for (const auto& [name, each] : mTargets) {
      if (each.mService == "keyed" && each.mTarget->Holds(key)) {
        owners += " " + name;
        ++count;
      }
    }
    if (count > 1) {
      Violation("two owners of key " + std::to_string(key) + ":" + owners);
    }
  }
}

void soak_world::CheckServed(play_phase aPhase, double aShare)
{
  const size_t served = mServed[aPhase];
  const size_t sent = std::max<size_t>(mSent[aPhase], 1);
  if (static_cast<double>(served) < aShare * static_cast<double>(sent)) {
    const bool isEndless = aPhase == play_phase::kEndless;
    const bool isCrashing = aPhase == play_phase::kCrashing;
    Violation(std::string(isEndless    ? "beside endless answers "
                          : isCrashing ? "beside a crashing request "
                                       : "after all faults ") +
              std::to_string(served) + " of " + std::to_string(sent) +
              " requests were served");
  }
}

void soak_world::CheckMemory()
{
  // Answers that never began would prove nothing.
  const size_t begun = mFaults["endless-body"];
  if (begun < kGateways * kMinEndlessAnswers) {
    Violation("only " + std::to_string(begun) + " endless answers began");
  }
  for (const gateway& each : mGateways) {
    constexpr uint64_t kKilobytes = 1024;
    const uint64_t highest =
      each.mProcess->MemoryKilobytes("VmHWM") / kKilobytes;
    mHighestMegabytes = std::max(mHighestMegabytes, highest);
    if (highest == 0 || highest >= kMaxMegabytes) {
      Violation(each.mHost + " took " + std::to_string(highest) +
                " MB of memory");
    }
  }
}

void soak_world::CheckConfiguration()
{
  for (gateway& each : mGateways) {
    http_connection connection(mLoop, each.mHost, kOperatorsPort);
    http_request request;
    request.mMethod = "GET";
    request.mPath = "/dump";
    std::string body;
    connection.Call(request, 1s, [&](const http_result& aResult) {
      body = aResult.mResponse.mBody;
      mLoop.Stop();
    });
    mLoop.Run();
    const std::string expected =
      "\"configurationVersion\": " + std::to_string(mVersion);
    if (body.find(expected) == std::string::npos) {
      Violation(each.mHost + " has an old configuration");
    }
  }
}

void soak_world::CheckLedger()
{
  for (const auto& [id, request] : mRequests) {
    if (request.mUnsafe && request.mRuns > 1) {
      Violation("an unsafe request ran twice: " + id);
    }
    if (request.mUnsafe && request.mRefused && request.mRuns > 0) {
      Violation("a request that was refused as not run has run: " + id);
    }
  }
}

void soak_world::Violation(const std::string& aText)
{
  if (mSeen.insert(aText).second) {
    mViolations.push_back(aText);
  }
}

std::string soak_world::Summary() const
{
  std::string text = std::to_string(mRequests.size()) + " requests; status";
  for (const auto& [status, count] : mStatuses) {
    text += " " + std::to_string(status) + ": " + std::to_string(count) + ",";
  }
  text += " faults";
  for (const auto& [name, count] : mFaults) {
    text += " " + name + ": " + std::to_string(count) + ",";
  }
  return text + " highest memory " + std::to_string(mHighestMegabytes) + " MB";
}

void soak_world::RunFor(duration aTime)
{
  timer end;
  end.StartOnce(mLoop, aTime, [this] { mLoop.Stop(); });
  mLoop.Run();
}

size_t soak_world::Random(size_t aCount)
{
  return std::uniform_int_distribution<size_t>(0, aCount - 1)(mRandom);
}

duration soak_world::RandomTime(duration aLongest)
{
  return duration(
    static_cast<int64_t>(Random(static_cast<size_t>(aLongest.count())) + 1));
}

} // namespace parsleystair
