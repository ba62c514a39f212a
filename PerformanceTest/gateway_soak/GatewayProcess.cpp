#include "PerformanceTest/gateway_soak/GatewayProcess.h"

#include "Parsleystair/Core/Error.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>

extern char** environ; // NOLINT: the name is the system's

namespace parsleystair {

gateway_process::gateway_process(const std::string& aProgram,
                                 const std::string& aSettingsPath,
                                 const std::string& aLogPath)
{
  std::string program = aProgram;
  std::string option = "--settings";
  std::string settings = aSettingsPath;
  char* arguments[] = {
    program.data(), option.data(), settings.data(), nullptr
  };
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kOutput = 1;
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(
    &actions, kOutput, aLogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  const int failure = posix_spawn(
    &mProcess, program.c_str(), &actions, nullptr, arguments, environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    throw system_error("can't start " + aProgram);
  }
}

gateway_process::~gateway_process()
{
  if (Status()) {
    return;
  }
  Signal(SIGCONT);
  Signal(SIGKILL);
  int status = 0;
  waitpid(mProcess, &status, 0);
}

void gateway_process::Signal(int aSignal) const
{
  if (!mStatus) {
    kill(mProcess, aSignal);
  }
}

std::optional<int> gateway_process::Status()
{
  int status = 0;
  if (!mStatus && waitpid(mProcess, &status, WNOHANG) == mProcess) {
    mStatus = status;
  }
  return mStatus;
}

uint64_t gateway_process::MemoryKilobytes(const std::string& aField) const
{
  std::ifstream status("/proc/" + std::to_string(mProcess) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(aField + ":")) {
      return std::stoull(line.substr(aField.size() + 1));
    }
  }
  return 0;
}

} // namespace parsleystair
