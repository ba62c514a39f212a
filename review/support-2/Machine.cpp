#include "review/support-2/Machine.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* kProgram = "target/parsleystair_gateway";

std::string WithPort(const std::string& aHost, uint16_t aPort)
{
  return aHost + ":" + std::to_string(aPort);
}

} // namespace

machine_ports FindPorts()
{
  std::array<uint16_t, 4> ports{};
  std::array<int, 4> sockets{};
  for (size_t i = 0; i < ports.size(); ++i) {
    sockets[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(sockets[i], generic, length) != 0 ||
        getsockname(sockets[i], generic, &length) != 0) {
      throw std::runtime_error("no free port");
    }
    ports[i] = ntohs(address.sin_port);
  }
  for (const int each : sockets) {
    close(each);
  }
  return { ports[0], ports[1], ports[2], ports[3] };
}

machine::machine(record_file& aRecord,
                 machine_settings aSettings,
                 const std::string& aDirectory)
  : mRecord(aRecord)
  , mSettings(std::move(aSettings))
  , mSettingsPath(aDirectory + "/" + mSettings.mName + ".json")
  , mLogPath(aDirectory + "/" + mSettings.mName + ".log")
{
}

machine::~machine()
{
  Kill();
}

void machine::Start(bool aFirst)
{
  const std::string& host = mSettings.mHost;
  const nlohmann::json settings = {
    { "vm", mSettings.mName },
    { "failureDomain", mSettings.mZone },
    { "failureDomains", nlohmann::json::parse(mSettings.mZones) },
    { "callers", WithPort(host, mSettings.mPorts.mCallers) },
    { "readiness", WithPort(host, mSettings.mPorts.mReadiness) },
    { "operators", WithPort(host, mSettings.mPorts.mOperators) },
    { "peers", WithPort(host, mSettings.mPorts.mPeers) },
    { "store", WithPort("127.0.0.1", mSettings.mStorePort) },
    { "processorShare", 0.2 },
    { "memoryMegabytes", mSettings.mMemoryMegabytes },
    { "firstStart", aFirst },
    { "shutdownGraceSeconds", 6 },
    { "maxHoldSeconds", 10 },
    { "configurationApplySeconds", 2 },
    { "retryRatio", 0.2 },
    { "retrySlack", 64 }
  };
  std::ofstream(mSettingsPath, std::ios::trunc) << settings.dump() << "\n";
  const pid_t child = fork();
  if (child < 0) {
    throw std::runtime_error("fork failed");
  }
  if (child == 0) {
    // Also when this process is killed, its children end.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit none{ 0, 0 };
    setrlimit(RLIMIT_CORE, &none);
    constexpr mode_t kMode = 0600;
    const int log =
      open(mLogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(kProgram,
          kProgram,
          "--settings",
          mSettingsPath.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  mProcess = child;
  mRecord.Add("machine", mSettings.mName, "process started");
}

void machine::Signal(int aSignal)
{
  if (mProcess) {
    mRecord.Add("machine", mSettings.mName, "signal", aSignal);
    kill(*mProcess, aSignal);
  }
}

void machine::Kill()
{
  if (mProcess) {
    kill(*mProcess, SIGKILL);
    waitpid(*mProcess, nullptr, 0);
    mProcess.reset();
  }
}

bool machine::TakeEnd()
{
  int status = 0;
  if (!mProcess || waitpid(*mProcess, &status, WNOHANG) != *mProcess) {
    return false;
  }
  mProcess.reset();
  if (WIFSIGNALED(status)) {
    mRecord.Add(
      "machine", mSettings.mName, "process ended by signal", WTERMSIG(status));
  } else {
    mRecord.Add("machine",
                mSettings.mName,
                "process ended with status",
                WEXITSTATUS(status));
  }
  return true;
}

uint64_t machine::Kilobytes(const std::string& aField) const
{
  if (!mProcess) {
    return 0;
  }
  std::ifstream status("/proc/" + std::to_string(*mProcess) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(aField + ":")) {
      return std::stoull(line.substr(aField.size() + 1));
    }
  }
  return 0;
}

} // namespace review
