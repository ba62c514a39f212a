#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Peers/CapnpPeerClient.h"
#include "Parsleystair/Peers/PeerServer.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

namespace parsleystair {

namespace {

/// Answers every call with little work.
class quick_handler : public peer_handler
{
public:
  heartbeat_message HandleHeartbeat(const heartbeat_message& aMessage) override
  {
    return aMessage;
  }
  confirm_result HandleConfirmRequest(const confirm_message&) override
  {
    return confirm_result::kConfirmed;
  }
  void HandleAnnouncement(const announce_message&) override {}
  begin_reply HandleBegin(const begin_message&) override { return {}; }
  void HandleFinish(const finish_message&) override {}
  void HandleWithdraw(const withdraw_message&) override {}
  copy_records_reply HandleCopyRecords(const copy_records_message&) override
  {
    return {};
  }
  configuration_reply HandleFetchConfigurationRequest() override { return {}; }
  groups_reply HandleFetchGroupsRequest() override { return {}; }
};

heartbeat_message MakeHeartbeat(size_t aMembers)
{
  heartbeat_message message;
  for (size_t i = 0; i < aMembers; ++i) {
    member_notice notice;
    notice.mVm = { vm_name("entry-" + std::to_string(100 + i)),
                   incarnation(i + 1) };
    notice.mHost = "10.0.0." + std::to_string(i);
    notice.mPeerPort = 7400;
    notice.mFailureDomain = failure_domain_name("treviso-a");
    message.mMembers.push_back(notice);
  }
  return message;
}

/// CPU time that the process has used.
duration CpuTime()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto microseconds = [](const timeval& aTime) {
    return std::chrono::seconds(aTime.tv_sec) + duration(aTime.tv_usec);
  };
  return microseconds(usage.ru_utime) + microseconds(usage.ru_stime);
}

/// Bytes that the process has written, to sockets as well.
uint64_t WrittenBytes()
{
  std::ifstream file("/proc/self/io");
  std::string name;
  uint64_t value = 0;
  while (file >> name >> value) {
    if (name == "wchar:") {
      return value;
    }
  }
  return 0;
}

/// Keeps a number of heartbeats in flight over loopback, client and server on
/// one thread.
class measurement
{
public:
  measurement(size_t aMembers, size_t aInFlight, size_t aCalls)
    : mMessage(MakeHeartbeat(aMembers))
    , mCallsLeft(aCalls)
    , mRpc(mLoop)
    , mServer(mRpc, "127.0.0.1", 0, mHandler)
    , mClient(mRpc)
    , mAddress{ vm_name("vm"), "127.0.0.1", mServer.Port() }
  {
    mLatencies.reserve(aCalls);
    const time_point start = MonotonicNow();
    const duration cpu = CpuTime();
    const uint64_t written = WrittenBytes();
    for (size_t i = 0; i < aInFlight; ++i) {
      Call();
    }
    mLoop.Run();
    mElapsed = MonotonicNow() - start;
    mCpu = CpuTime() - cpu;
    mWritten = WrittenBytes() - written;
  }

  nlohmann::json Result()
  {
    std::sort(mLatencies.begin(), mLatencies.end());
    const auto quantile = [this](size_t aPerThousand) {
      return mLatencies[(mLatencies.size() - 1) * aPerThousand / 1000].count();
    };
    const auto calls = static_cast<double>(mLatencies.size());
    return {
      { "members", mMessage.mMembers.size() },
      { "calls", mLatencies.size() },
      { "failed", mFailed },
      { "callsPerSecond", calls * 1e6 / static_cast<double>(mElapsed.count()) },
      { "cpuMicrosecondsPerCall", static_cast<double>(mCpu.count()) / calls },
      { "bytesPerCall", static_cast<double>(mWritten) / calls },
      { "medianMicroseconds", quantile(500) },
      { "p99Microseconds", quantile(990) }
    };
  }

private:
  void Call()
  {
    --mCallsLeft;
    ++mOpen;
    mClient.Heartbeat(
      mAddress, mMessage, [this, start = MonotonicNow()](const auto& aResult) {
        mLatencies.push_back(MonotonicNow() - start);
        mFailed += aResult.mStatus == peer_status::kReplied ? 0 : 1;
        --mOpen;
        if (mCallsLeft > 0) {
          Call();
        } else if (mOpen == 0) {
          mLoop.Stop();
        }
      });
  }

  heartbeat_message mMessage;
  size_t mCallsLeft;
  size_t mOpen = 0;
  size_t mFailed = 0;
  std::vector<duration> mLatencies;
  duration mElapsed{};
  duration mCpu{};
  uint64_t mWritten = 0;
  event_loop mLoop;
  rpc_loop mRpc;
  quick_handler mHandler;
  peer_server mServer;
  capnp_peer_client mClient;
  peer_address mAddress;
};

int Main(int aCount, char** aArguments)
{
  cxxopts::Options options("measure_peer_rpc",
                           "Cost of heartbeats between routers over loopback");
  options.add_options()("calls",
                        "calls per case",
                        cxxopts::value<size_t>()->default_value("50000"))(
    "json", "one JSON line per case")("help", "this text");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  for (const size_t inFlight : { 1, 64 }) {
    for (const size_t members : { 1, 8, 12 }) {
      measurement run(members, inFlight, parsed["calls"].as<size_t>());
      nlohmann::json result = run.Result();
      result["inFlight"] = inFlight;
      std::cout << (parsed.count("json") != 0 ? result.dump() : result.dump(2))
                << '\n';
    }
  }
  return 0;
}

} // namespace

} // namespace parsleystair

int main(int aCount, char** aArguments)
{
  return parsleystair::Main(aCount, aArguments);
}
