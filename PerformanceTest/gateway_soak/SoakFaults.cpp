#include "PerformanceTest/gateway_soak/SoakWorld.h"

#include <csignal>
#include <sys/wait.h>

namespace parsleystair {

namespace {

constexpr duration kFaultInterval = 700ms;
constexpr duration kLongestFault = 3s;
constexpr duration kLongestPause = 5s;
/// Grace time of the settings, and the time that the end of a process takes.
constexpr duration kLongestShutdown = 4500ms;
constexpr size_t kEndlessTargets = 2;
/// Requests at once to each router that are answered without end.
constexpr size_t kEndlessCallers = 100;
/// Time between the routers, in which the answers grow.
constexpr duration kEndlessTime = 1s;

} // namespace

void soak_world::Inject()
{
  CheckProcesses();
  switch (Random(10)) {
    case 0:
    case 1:
      HarmProcess();
      break;
    case 2: {
      gateway& each = mGateways[Random(kGateways)];
      HarmLink(*each.mStoreProxy, "store-link");
      break;
    }
    case 3:
    case 4:
      HarmLink(*RandomProxiedTarget().mProxy, "target-link");
      break;
    case 5:
      HarmStore();
      break;
    case 6:
      HarmTarget();
      break;
    case 7:
      HarmAnswers(RandomProxiedTarget());
      break;
    case 8:
      ++mFaults["crashing-request"];
      StartCrashingRequest(RandomTime(kLongestFault));
      break;
    default:
      PutConfiguration();
      break;
  }
  mFaultTimer.StartOnce(
    mLoop, RandomTime(2 * kFaultInterval), [this] { Inject(); });
}

void soak_world::SendEndlessAnswers()
{
  AddTargets("endless", kEndlessTargets);
  RunFor(kEndlessTime);
  for (auto& [name, each] : mTargets) {
    if (each.mService == "endless") {
      each.mProxy->SetFault(link_fault::kEndlessBodies);
    }
  }
  mPhase = play_phase::kEndless;
  for (gateway& each : mGateways) {
    for (size_t caller = 0; caller < kEndlessCallers; ++caller) {
      Send("endless", each);
    }
    RunFor(kEndlessTime);
  }
}

void soak_world::Heal(duration aAfter, std::function<void()> aAction)
{
  mHeals.push_back(std::make_unique<timer>());
  mHeals.back()->StartOnce(mLoop, aAfter, std::move(aAction));
}

void soak_world::HarmLink(fault_proxy& aProxy, const std::string& aName)
{
  ++mFaults[aName];
  static constexpr std::array kFaults = { link_fault::kDelay,
                                          link_fault::kCutThere,
                                          link_fault::kCutBack,
                                          link_fault::kSilence,
                                          link_fault::kReset };
  const link_fault fault = kFaults[Random(kFaults.size())];
  aProxy.SetFault(fault);
  if (fault == link_fault::kReset) {
    aProxy.ResetAll();
  }
  Heal(RandomTime(kLongestFault),
       [&aProxy] { aProxy.SetFault(link_fault::kNone); });
}

void soak_world::HarmProcess()
{
  gateway& each = mGateways[Random(kGateways)];
  if (each.mEnding) {
    return;
  }
  switch (Random(4)) {
    case 0:
      ++mFaults["pause"];
      each.mProcess->Signal(SIGSTOP);
      Heal(RandomTime(kLongestPause),
           [&each] { each.mProcess->Signal(SIGCONT); });
      break;
    case 1:
      ++mFaults["kill"];
      EndGateway(each, SIGKILL);
      break;
    case 2:
      ++mFaults["terminate"];
      EndGateway(each, SIGTERM);
      break;
    default:
      ++mFaults["reload"];
      each.mProcess->Signal(SIGHUP);
      break;
  }
}

void soak_world::EndGateway(gateway& aGateway, int aSignal)
{
  aGateway.mEnding = true;
  // A process that is paused can't end in order.
  aGateway.mProcess->Signal(SIGCONT);
  aGateway.mProcess->Signal(aSignal);
  const bool inOrder = aSignal == SIGTERM;
  const duration wait = inOrder ? kLongestShutdown : RandomTime(kLongestFault);
  Heal(wait, [this, &aGateway, inOrder] {
    const auto status = aGateway.mProcess->Status();
    const bool ended =
      status && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
    if (inOrder && !ended) {
      Violation(aGateway.mHost + " did not end in order after SIGTERM");
    }
    StartGateway(aGateway);
  });
}

void soak_world::CheckProcesses()
{
  for (gateway& each : mGateways) {
    if (!each.mEnding && each.mProcess->Status()) {
      Violation(each.mHost + " ended by itself");
      StartGateway(each);
    }
  }
}

void soak_world::HarmStore()
{
  switch (Random(4)) {
    case 0:
      ++mFaults["store-down"];
      mStore.SetUnavailable(true);
      Heal(RandomTime(kLongestFault), [this] { mStore.SetUnavailable(false); });
      break;
    case 1:
      ++mFaults["store-silent"];
      mStore.SetUnresponsive(true);
      Heal(RandomTime(kLongestFault),
           [this] { mStore.SetUnresponsive(false); });
      break;
    case 2:
      ++mFaults["store-forgets"];
      mStore.DropHistory();
      break;
    default:
      ++mFaults["store-loses-answers"];
      mStore.LoseWriteAnswers(2);
      break;
  }
}

soak_world::target& soak_world::RandomProxiedTarget()
{
  std::vector<target*> proxied;
  for (auto& [name, each] : mTargets) {
    if (each.mProxy != nullptr) {
      proxied.push_back(&each);
    }
  }
  return *proxied[Random(proxied.size())];
}

void soak_world::HarmTarget()
{
  target& each = RandomProxiedTarget();
  keyed_target& harmed = *each.mTarget;
  const std::string name = harmed.Name();
  switch (Random(4)) {
    case 0:
      ++mFaults["target-restart"];
      each.mProxy->ResetAll();
      StartTarget(name);
      break;
    case 1:
      ++mFaults["target-full"];
      harmed.SetFull(true);
      Heal(RandomTime(kLongestFault),
           [this, name] { mTargets.at(name).mTarget->SetFull(false); });
      break;
    case 2:
      ++mFaults["target-loses-answers"];
      harmed.SetDropsResponses(true);
      Heal(RandomTime(kLongestFault), [this, name] {
        mTargets.at(name).mTarget->SetDropsResponses(false);
      });
      break;
    default:
      ++mFaults["target-drains"];
      Register(name, "draining");
      Heal(RandomTime(kLongestFault),
           [this, name] { Register(name, "ready"); });
      break;
  }
}

void soak_world::HarmAnswers(target& aTarget)
{
  ++mFaults["target-faulty"];
  static constexpr std::array kFaults = { link_fault::kCutAnswers,
                                          link_fault::kEndlessAnswers,
                                          link_fault::kRepeatAnswers };
  // Answers to orders bear no id, so keyed targets don't repeat answers.
  const size_t kinds = kFaults.size() - (aTarget.mService == "keyed" ? 1 : 0);
  fault_proxy& proxy = *aTarget.mProxy;
  proxy.SetFault(kFaults[Random(kinds)]);
  Heal(RandomTime(kLongestFault),
       [&proxy] { proxy.SetFault(link_fault::kNone); });
}

} // namespace parsleystair
