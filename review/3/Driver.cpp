#include "review/support/Support.h"

#include <algorithm>
#include <fcntl.h>
#include <set>
#include <sys/prctl.h>

/// One request crashes each back end that begins to run it, and its caller
/// sends it again, at any gateway. Crashed back ends come back after some
/// seconds.
/// Usage: driver-3 RECORD STORE_PORT GATEWAY_HOST_PREFIX GATEWAYS CALLERS_PORT
///        TROUBLE
namespace {

using namespace review;

constexpr const char* kHost = "127.0.0.1";
constexpr const char* kService = "sheets";
constexpr const char* kCrashPath = "/sheets/crash";
constexpr int kBackEnds = 6;
constexpr int kHeartbeatMs = 870;
/// Three heartbeats without a word, after which an entry is removed.
constexpr int kSilenceMs = 3 * kHeartbeatMs;
/// Time from a crash to the back end's next life, which has another id.
constexpr int kBackMs = 3000;
constexpr int kWorkMs = 50;
/// The caller comes again at this interval, and so often.
constexpr int kAgainMs = 1000;
constexpr int kAttempts = 40;
constexpr int kOthersMs = 100;
constexpr int kPatienceMs = 2500;
/// Rule: `stability_s`, the crashes from which it counts, and the retries that
/// may reach back ends later.
constexpr int kStabilityMs = 3000;
constexpr size_t kCrashes = 3;
constexpr size_t kAllowedRetries = 3;

void RunBackEnd(int aListener, const std::string& aId, int aReport, bool aCrash)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const auto serve = [=](int aConnection) {
    message_reader reader(aConnection);
    while (true) {
      const message request = reader.Read(30'000);
      if (!request.mWhole) {
        close(aConnection);
        return;
      }
      const std::string requestId = request.Header("x-request-id");
      std::string headers = "X-Response-Signature: signed-by-" + aId + "\r\n";
      int status = 200;
      if (request.mStart.find(" /health") != std::string::npos) {
        headers.clear();
      } else if (request.Header("x-expected-instance") != aId) {
        status = 421;
        headers = "X-Not-Executed: 1\r\n";
      } else {
        const bool isCrash =
          request.mStart.find(kCrashPath) != std::string::npos;
        if (isCrash) {
          const std::string line = requestId + "\n";
          if (write(aReport, line.data(), line.size()) < 0) {
            _exit(2);
          }
        }
        if (isCrash && aCrash) {
          kill(getpid(), SIGKILL);
        }
        Sleep(kWorkMs);
      }
      SendAll(aConnection,
              "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers +
                "X-Request-Id: " + requestId + "\r\nX-Instance-Id: " + aId +
                "\r\nKeep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\n"
                "done");
    }
  };
  while (true) {
    const int connection = accept(aListener, nullptr, nullptr);
    if (connection >= 0) {
      std::thread(serve, connection).detach();
    }
  }
}

struct arrival
{
  std::string mRequestId;
  review_clock::time_point mAt;
};

class world
{
public:
  world(run_record& aRecord, uint16_t aStorePort, bool aCrash)
    : mRecord(aRecord)
    , mStorePort(aStorePort)
    , mCrash(aCrash)
  {
  }

  /// Keeps one back end running, life after life.
  void Keep(int aNumber)
  {
    for (int life = 1; !mEnded; ++life) {
      const std::string id =
        "i-" + std::to_string(aNumber) + "-" + std::to_string(life);
      RunLife(id);
      if (mEnded) {
        return;
      }
      std::thread([this, id] {
        Sleep(kSilenceMs);
        RemoveEntry(kHost, mStorePort, id);
      }).detach();
      Sleep(kBackMs);
    }
  }

  void End()
  {
    mEnded = true;
    const std::lock_guard lock(mMutex);
    for (const pid_t process : mProcesses) {
      kill(process, SIGKILL);
    }
  }

  std::vector<arrival> Arrivals()
  {
    const std::lock_guard lock(mMutex);
    return mArrivals;
  }

private:
  void RunLife(const std::string& aId)
  {
    const int listener = Listen(kHost, 0);
    int report[2];
    if (listener < 0 || pipe2(report, O_CLOEXEC) != 0) {
      std::_Exit(2);
    }
    const std::string address =
      std::string(kHost) + ":" + std::to_string(PortOf(listener));
    const int64_t born = UnixMilliseconds();
    const pid_t process = fork();
    if (process == 0) {
      RunBackEnd(listener, aId, report[1], mCrash);
    }
    close(listener);
    close(report[1]);
    {
      const std::lock_guard lock(mMutex);
      mProcesses.insert(process);
    }
    mRecord.Write(aId + " starts");
    std::thread follower([this, aId, pipe = report[0]] {
      FILE* lines = fdopen(pipe, "r");
      char line[256]; // NOLINT: filled by fgets
      while (std::fgets(line, sizeof(line), lines) != nullptr) {
        const std::string requestId(line, strlen(line) - 1);
        mRecord.Write(aId + " begins to run " + requestId);
        const std::lock_guard lock(mMutex);
        mArrivals.push_back({ requestId, review_clock::now() });
      }
      std::fclose(lines);
    });
    uint64_t seq = 0;
    auto nextBeat = review_clock::now();
    while (waitpid(process, nullptr, WNOHANG) == 0) {
      if (review_clock::now() >= nextBeat) {
        PutEntry(kHost, mStorePort, { aId, kService, address, 4, born }, ++seq);
        nextBeat += milliseconds(kHeartbeatMs);
      }
      Sleep(10);
    }
    follower.join();
    const std::lock_guard lock(mMutex);
    mProcesses.erase(process);
    if (!mEnded) {
      mRecord.Write(aId + " has crashed");
    }
  }

  run_record& mRecord;
  uint16_t mStorePort;
  bool mCrash;
  std::atomic<bool> mEnded{ false };
  std::mutex mMutex;
  std::set<pid_t> mProcesses;
  std::vector<arrival> mArrivals;
};

message Send(const std::string& aHost,
             uint16_t aPort,
             const std::string& aPath,
             const std::string& aId)
{
  const int connection = Connect(aHost, aPort);
  if (connection < 0) {
    return {};
  }
  SendAll(connection,
          "GET " + aPath + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " +
            aId + "\r\nX-Deadline-Ms: 2000\r\n\r\n");
  const message answer = message_reader(connection).Read(kPatienceMs);
  close(connection);
  return answer;
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 7) {
    return 2;
  }
  run_record record(aArguments[1]);
  const auto storePort = static_cast<uint16_t>(std::atoi(aArguments[2]));
  const std::string hosts = aArguments[3];
  const int gateways = std::atoi(aArguments[4]);
  const auto port = static_cast<uint16_t>(std::atoi(aArguments[5]));
  const bool trouble = std::string(aArguments[6]) != "0";
  world all(record, storePort, trouble);
  std::vector<std::thread> threads;
  for (int number = 1; number <= kBackEnds; ++number) {
    threads.emplace_back([&, number] { all.Keep(number); });
  }
  Sleep(2000);

  std::atomic<bool> ended{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::thread others([&] {
    while (!ended) {
      const int number = ++sent;
      const message answer = Send(hosts + std::to_string(number % gateways + 1),
                                  port,
                                  "/sheets/" + std::to_string(number),
                                  "other-" + std::to_string(number));
      served += answer.Status() == 200 ? 1 : 0;
      Sleep(kOthersMs);
    }
  });
  int answered = 0;
  for (int number = 1; number <= kAttempts; ++number) {
    const std::string id = "again-" + std::to_string(number);
    const int gateway = number % gateways + 1;
    record.Write("sent " + id + ": GET " + kCrashPath + " to gateway " +
                 std::to_string(gateway));
    const message answer =
      Send(hosts + std::to_string(gateway), port, kCrashPath, id);
    record.Write("answer to " + id + ": \"" + answer.mStart + "\"");
    answered += answer.Status() == 200 ? 1 : 0;
    Sleep(kAgainMs);
  }
  ended = true;
  others.join();
  const std::vector<arrival> arrivals = all.Arrivals();
  all.End();
  for (std::thread& each : threads) {
    each.join();
  }

  std::set<std::string> late;
  if (trouble && arrivals.size() >= kCrashes) {
    const auto from = arrivals[kCrashes - 1].mAt + milliseconds(kStabilityMs);
    for (const arrival& each : arrivals) {
      if (each.mAt > from) {
        late.insert(each.mRequestId);
      }
    }
  }
  record.Write(std::to_string(arrivals.size()) + " runs of the request in " +
               std::to_string(kAttempts) + " attempts of its caller; " +
               std::to_string(late.size()) +
               " attempts reached back ends later than stability_s after the "
               "third crash; others: " +
               std::to_string(served) + " of " + std::to_string(sent) +
               " served");
  if (!trouble) {
    return answered == kAttempts ? 0 : 2;
  }
  return late.size() > kAllowedRetries ? 1 : 0;
}
