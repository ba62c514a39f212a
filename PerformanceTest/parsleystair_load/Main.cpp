#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "PerformanceTest/parsleystair_load/LoadRunner.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace parsleystair {

namespace {

constexpr int kFindingsExitCode = 1;
constexpr int kUsageExitCode = 2;

/// Makes libevent use timerfd. Without it, timers of epoll came 2 ms late on
/// the median, which counts as latency.
void UsePreciseTimers()
{
  setenv("EVENT_PRECISE_TIMER", "1", 1);
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    throw value_error("--mix", aPath, "a file that can be read");
  }
  return { std::istreambuf_iterator<char>(file), {} };
}

int Run(int aArgumentCount, char** aArguments)
{
  const load_settings settings = ParseLoadArguments(aArgumentCount, aArguments);
  if (settings.mHelp) {
    std::cout << LoadHelp();
    return 0;
  }
  const auto kinds = ParseRequestMix(ReadFile(settings.mMixFile));
  StartLog(log_severity::kWarning);
  UsePreciseTimers();
  event_loop loop;
  load_runner runner(loop, settings, kinds);
  const load_account& account = runner.Run();
  std::cout << (settings.mJson ? account.WriteJson() + "\n"
                               : account.WriteText());
  return account.HasFindings() ? kFindingsExitCode : 0;
}

} // namespace

} // namespace parsleystair

int main(int aArgumentCount, char** aArguments)
{
  try {
    return parsleystair::Run(aArgumentCount, aArguments);
  } catch (const parsleystair::value_error& failure) {
    std::cerr << "parsleystair_load: " << failure.what() << "\n";
    return parsleystair::kUsageExitCode;
  }
}
