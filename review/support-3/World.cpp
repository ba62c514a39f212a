// Store, upstreams, clients and platform around gateway processes, for the
// cases review/11 to review/13. Everything runs on the real clock and on
// loopback addresses, with ports that are free.
//
// Usage: review_world CASE TROUBLE GATEWAY TEMPLATE RECORD
//   CASE      shutdown (review/11), downloads (review/12) or crashes
//             (review/13)
//   TROUBLE   1 with the disruption, 0 without it
//   GATEWAY   program of the gateway
//   TEMPLATE  settings template of the deploy file
//   RECORD    file that gets what was sent, answered and run
//
// Ends with 1 if the rule of the case was broken, 0 if it held, 2 if the case
// could not run.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr const char* kHost = "127.0.0.1";
constexpr const char* kHostName = "review.example";
/// `memory_mb` of the example in DEPLOY.md, and of the sites with 12 machines.
constexpr long kMemoryMegabytes = 260;
/// The rule LOST allows three.
constexpr int kAllowedLosses = 3;

const steady::time_point kStart = steady::now();

double Now()
{
  return std::chrono::duration<double>(steady::now() - kStart).count();
}

void Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

// ---- Record

class record_file
{
public:
  explicit record_file(const std::string& aPath)
    : mFile(aPath)
  {
  }

  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", Now());
    mFile << time << aText << "\n";
    mFile.flush();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

// ---- Sockets and HTTP

sockaddr_in Address(const std::string& aHost, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

/// Listens on a free port, or on `aPort` if it isn't 0.
int Listen(uint16_t& aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Address(kHost, aPort);
  socklen_t length = sizeof address;
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
      listen(descriptor, 512) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) !=
        0) {
    std::cerr << "review_world: no port\n";
    std::_Exit(2);
  }
  aPort = ntohs(address.sin_port);
  return descriptor;
}

uint16_t FreePort()
{
  uint16_t port = 0;
  close(Listen(port));
  return port;
}

struct message
{
  std::string mStart;
  std::map<std::string, std::string> mFields;
  std::string mBody;

  [[nodiscard]] std::string Field(const std::string& aName) const
  {
    const auto found = mFields.find(aName);
    return found == mFields.end() ? "" : found->second;
  }
  [[nodiscard]] int Status() const
  {
    return mStart.size() > 9 ? std::atoi(mStart.c_str() + 9) : 0;
  }
};

/// One connection, read and written by one thread.
class connection
{
public:
  explicit connection(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
    const int on = 1;
    setsockopt(mDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~connection() { close(mDescriptor); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Connects to the gateway; null if it refuses.
  static std::unique_ptr<connection> Open(const std::string& aHost,
                                          uint16_t aPort,
                                          int aReadBuffer = 0)
  {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReadBuffer > 0) {
      setsockopt(
        descriptor, SOL_SOCKET, SO_RCVBUF, &aReadBuffer, sizeof aReadBuffer);
    }
    const sockaddr_in address = Address(aHost, aPort);
    auto opened = std::make_unique<connection>(descriptor);
    if (connect(descriptor,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
      return nullptr;
    }
    return opened;
  }

  /// Bytes a second that this side reads at most; 0 for no limit.
  void SetReadRate(double aRate)
  {
    mRate = aRate;
    mRateStart = Now();
    mRead = 0;
  }

  bool Write(const std::string& aBytes)
  {
    size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count = send(
        mDescriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  /// Reads one message. False if the connection ends before its end.
  bool Read(message& aMessage)
  {
    aMessage = {};
    size_t end = 0;
    while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    std::istringstream head(mInput.substr(0, end));
    std::getline(head, aMessage.mStart);
    std::string line;
    while (std::getline(head, line)) {
      const size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      std::string value = line.substr(line.find_first_not_of(' ', colon + 1));
      if (!value.empty() && value.back() == '\r') {
        value.pop_back();
      }
      aMessage.mFields[name] = value;
    }
    mInput.erase(0, end + 4);
    const size_t length =
      std::strtoul(aMessage.Field("content-length").c_str(), nullptr, 10);
    while (mInput.size() < length) {
      if (!Fill()) {
        return false;
      }
    }
    aMessage.mBody = mInput.substr(0, length);
    mInput.erase(0, length);
    return true;
  }

  [[nodiscard]] bool HasInput() const { return !mInput.empty(); }

  /// Ends the connection as a crash does. Another thread may still read.
  void Abort()
  {
    const linger reset{ 1, 0 };
    setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    shutdown(mDescriptor, SHUT_RDWR);
  }

private:
  bool Fill()
  {
    if (mRate > 0) {
      Sleep(static_cast<double>(mRead) / mRate - (Now() - mRateStart));
    }
    std::vector<char> bytes(64 * 1024);
    const ssize_t count = recv(mDescriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return false;
    }
    mRead += static_cast<size_t>(count);
    mInput.append(bytes.data(), static_cast<size_t>(count));
    return true;
  }

  int mDescriptor;
  std::string mInput;
  double mRate = 0;
  double mRateStart = 0;
  size_t mRead = 0;
};

/// Accepts connections for as long as the process lives, one thread each.
void Serve(int aListener, const std::function<void(connection&)>& aHandler)
{
  std::thread([aListener, aHandler] {
    for (;;) {
      const int descriptor = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        return;
      }
      std::thread([descriptor, aHandler] {
        connection peer(descriptor);
        aHandler(peer);
      }).detach();
    }
  }).detach();
}

std::string Answer(int aStatus,
                   const std::string& aFields,
                   const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// ---- The platform's store

std::string ToBase64(const std::string& aBytes)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (i + k < aBytes.size() ? static_cast<uint8_t>(aBytes[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      text +=
        i + k <= aBytes.size() ? kDigits[group >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

std::string FromQuery(const std::string& aTarget, const std::string& aName)
{
  const size_t query = aTarget.find('?');
  std::istringstream fields(
    query == std::string::npos ? "" : aTarget.substr(query + 1));
  std::string field;
  while (std::getline(fields, field, '&')) {
    if (field.starts_with(aName + "=")) {
      std::string value;
      for (size_t i = aName.size() + 1; i < field.size(); ++i) {
        if (field[i] == '%' && i + 2 < field.size()) {
          value += static_cast<char>(
            std::strtol(field.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += field[i];
        }
      }
      return value;
    }
  }
  return "";
}

/// The calls of PROTOCOL.md, "The platform's metadata store", without limits
/// on their number.
class store
{
public:
  store()
  {
    Serve(Listen(mPort), [this](connection& aPeer) { Run(aPeer); });
    std::thread([this] {
      for (;;) {
        Sleep(0.02);
        const std::lock_guard lock(mMutex);
        EndLeases();
      }
    }).detach();
  }

  [[nodiscard]] uint16_t Port() const { return mPort; }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    ++mRevision;
    Set(aKey, ToBase64(aValue), 0);
  }

  void Delete(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    ++mRevision;
    Remove(aKey);
  }

private:
  struct lease_state
  {
    double mTtl = 0;
    double mEnd = 0;
  };

  void Run(connection& aPeer)
  {
    message request;
    while (aPeer.Read(request)) {
      std::istringstream line(request.mStart);
      std::string method;
      std::string target;
      line >> method >> target;
      json body;
      const int status = Call(target, request.mBody, body);
      if (!aPeer.Write(Answer(
            status, "Content-Type: application/json\r\n", body.dump()))) {
        return;
      }
    }
  }

  int Call(const std::string& aTarget, const std::string& aBody, json& aReply)
  {
    const std::string path = aTarget.substr(0, aTarget.find('?'));
    std::unique_lock lock(mMutex);
    EndLeases();
    aReply = json::object();
    if (path == "/api/kv-key") {
      const auto found = mItems.find(FromQuery(aTarget, "key"));
      if (found != mItems.end()) {
        aReply = found->second;
      }
      aReply["store_revision"] = mRevision;
      return found == mItems.end() ? 404 : 200;
    }
    if (path == "/api/kv-range") {
      const std::string prefix = FromQuery(aTarget, "prefix");
      const std::string after = FromQuery(aTarget, "after");
      aReply = { { "items", json::array() },
                 { "has_more", false },
                 { "store_revision", mRevision } };
      for (const auto& [key, item] : mItems) {
        if (key.starts_with(prefix) && key > after) {
          aReply["items"].push_back(item);
        }
      }
      return 200;
    }
    if (path == "/api/kv-watch") {
      return Watch(lock, aTarget, aReply);
    }
    const json body = json::parse(aBody, nullptr, false);
    if (path == "/api/kv-txn") {
      return Change(body, aReply);
    }
    if (path == "/api/kv-lease") {
      const double ttl = std::max(1.0, body.at("ttl_s_time").get<double>());
      mLeases[++mLastLease] = { ttl, Now() + ttl };
      aReply = { { "lease", mLastLease }, { "ttl_s_time", ttl } };
      return 200;
    }
    const uint64_t lease =
      std::strtoul(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto found = mLeases.find(lease);
    if (found == mLeases.end()) {
      return 404;
    }
    const bool isRenewal = path.starts_with("/api/kv-keep/");
    found->second.mEnd = isRenewal ? Now() + found->second.mTtl : 0;
    aReply["ttl_s_time"] = found->second.mTtl;
    EndLeases();
    return 200;
  }

  int Watch(std::unique_lock<std::mutex>& aLock,
            const std::string& aTarget,
            json& aReply)
  {
    const std::string prefix = FromQuery(aTarget, "prefix");
    const uint64_t after =
      std::strtoul(FromQuery(aTarget, "after").c_str(), nullptr, 10);
    const auto end =
      steady::now() + std::chrono::milliseconds(std::strtol(
                        FromQuery(aTarget, "wait_ms").c_str(), nullptr, 10));
    for (;;) {
      json events = json::array();
      for (auto change = mChanges.upper_bound(after); change != mChanges.end();
           ++change) {
        if (change->second.at("key").get<std::string>().starts_with(prefix)) {
          events.push_back(change->second);
        }
      }
      if (!events.empty() || steady::now() >= end) {
        aReply = { { "events", events }, { "store_revision", mRevision } };
        return 200;
      }
      mChanged.wait_until(aLock, end);
    }
  }

  int Change(const json& aBody, json& aReply)
  {
    json current = json::array();
    bool holds = true;
    for (const json& row : aBody.value("if_revision", json::array())) {
      const auto found = mItems.find(row.at("key").get<std::string>());
      const uint64_t revision =
        found == mItems.end() ? 0
                              : found->second.at("revision").get<uint64_t>();
      holds = holds && revision == row.at("revision").get<uint64_t>();
      if (found != mItems.end()) {
        current.push_back(found->second);
      }
    }
    if (!holds) {
      aReply = { { "items", current }, { "store_revision", mRevision } };
      return 412;
    }
    for (const json& row : aBody.value("set_keys", json::array())) {
      const uint64_t lease = row.value("lease", uint64_t{ 0 });
      if (lease != 0 && !mLeases.contains(lease)) {
        return 404;
      }
    }
    ++mRevision;
    for (const json& row : aBody.value("set_keys", json::array())) {
      Set(row.at("key").get<std::string>(),
          row.at("value").get<std::string>(),
          row.value("lease", uint64_t{ 0 }));
    }
    for (const json& key : aBody.value("remove", json::array())) {
      Remove(key.get<std::string>());
    }
    aReply["revision"] = mRevision;
    return 200;
  }

  /// All changes of one call have the same revision.
  void Set(const std::string& aKey, const std::string& aValue, uint64_t aLease)
  {
    const auto found = mItems.find(aKey);
    const uint64_t created = found == mItems.end()
                               ? mRevision
                               : found->second.at("created").get<uint64_t>();
    mItems[aKey] = { { "key", aKey },
                     { "value", aValue },
                     { "revision", mRevision },
                     { "created", created },
                     { "lease", aLease } };
    mChanges.emplace(mRevision, mItems[aKey]);
    mChanged.notify_all();
  }

  void Remove(const std::string& aKey)
  {
    if (mItems.erase(aKey) > 0) {
      mChanges.emplace(mRevision,
                       json{ { "key", aKey },
                             { "revision", mRevision },
                             { "deleted", true } });
      mChanged.notify_all();
    }
  }

  void EndLeases()
  {
    std::vector<std::string> ended;
    std::erase_if(mLeases,
                  [&](const auto& aEach) { return aEach.second.mEnd < Now(); });
    for (const auto& [key, item] : mItems) {
      const uint64_t lease = item.at("lease").get<uint64_t>();
      if (lease != 0 && !mLeases.contains(lease)) {
        ended.push_back(key);
      }
    }
    mRevision += ended.empty() ? 0 : 1;
    for (const std::string& key : ended) {
      Remove(key);
    }
  }

  uint16_t mPort = 0;
  std::mutex mMutex;
  std::condition_variable mChanged;
  uint64_t mRevision = 10;
  uint64_t mLastLease = 1000;
  std::map<std::string, json> mItems;
  std::multimap<uint64_t, json> mChanges;
  std::map<uint64_t, lease_state> mLeases;
};

// ---- Upstreams

/// Ids of the requests that began to run.
class run_log
{
public:
  void Add(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    ++mRuns[aId];
  }
  [[nodiscard]] bool HasRun(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    return mRuns.contains(aId);
  }
  [[nodiscard]] size_t Size()
  {
    const std::lock_guard lock(mMutex);
    return mRuns.size();
  }

private:
  std::mutex mMutex;
  std::map<std::string, int> mRuns;
};

/// Runs `mSlots` requests at a time and queues some more. The path of a
/// request ends with the length of its answer.
class upstream
{
public:
  static constexpr int kSlots = 4;
  static constexpr int kQueue = 16;

  upstream(std::string aId, double aWork, run_log& aRuns)
    : mId(std::move(aId))
    , mWork(aWork)
    , mRuns(aRuns)
  {
    Serve(Listen(mPort), [this](connection& aPeer) { Run(aPeer); });
  }

  [[nodiscard]] uint16_t Port() const { return mPort; }
  [[nodiscard]] const std::string& Id() const { return mId; }

private:
  void Run(connection& aPeer)
  {
    message request;
    while (aPeer.Read(request)) {
      std::string target = request.mStart.substr(request.mStart.find(' ') + 1);
      target.resize(target.find(' '));
      const std::string expected = request.Field("x-expected-instance");
      const std::string id = request.Field("x-request-id");
      std::string answer;
      if (target == "/health") {
        answer = Answer(200, "X-Instance-Id: " + mId + "\r\n", "");
      } else if (!expected.empty() && expected != mId) {
        answer = Answer(421, "X-Instance-Id: " + mId + "\r\n", "");
      } else if (id.empty() || !Enter()) {
        answer = Answer(id.empty() ? 400 : 503,
                        "X-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\n",
                        "");
      } else {
        mRuns.Add(id);
        std::uniform_real_distribution<double> spread(0.85, 1.15);
        thread_local std::mt19937_64 sRandom(std::random_device{}());
        Sleep(mWork * spread(sRandom));
        Leave();
        const size_t length = std::strtoul(
          target.substr(target.rfind('/') + 1).c_str(), nullptr, 10);
        answer = Answer(200,
                        "X-Request-Id: " + id +
                          "\r\nX-Response-Signature: of-" + mId + "\r\n",
                        std::string(length, 'x'));
      }
      if (!aPeer.Write(answer)) {
        return;
      }
    }
  }

  /// Waits for a slot. False if the queue is full.
  bool Enter()
  {
    std::unique_lock lock(mMutex);
    if (mRunning + mWaiting >= kSlots + kQueue) {
      return false;
    }
    ++mWaiting;
    mFree.wait(lock, [&] { return mRunning < kSlots; });
    --mWaiting;
    ++mRunning;
    return true;
  }

  void Leave()
  {
    const std::lock_guard lock(mMutex);
    --mRunning;
    mFree.notify_one();
  }

  std::string mId;
  double mWork;
  run_log& mRuns;
  uint16_t mPort = 0;
  std::mutex mMutex;
  std::condition_variable mFree;
  int mRunning = 0;
  int mWaiting = 0;
};

using upstreams = std::vector<std::unique_ptr<upstream>>;

upstreams StartUpstreams(store& aStore,
                         const std::string& aService,
                         int aCount,
                         double aWork,
                         run_log& aRuns)
{
  upstreams started;
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  for (int i = 0; i < aCount; ++i) {
    started.push_back(std::make_unique<upstream>(
      "i-" + aService + std::to_string(i), aWork, aRuns));
    const json entry = { { "service", aService },
                         { "address",
                           std::string(kHost) + ":" +
                             std::to_string(started.back()->Port()) },
                         { "zone", "asti-a" },
                         { "version", "v1" },
                         { "slots", upstream::kSlots },
                         { "state", "ready" },
                         { "slow_start_s_time", 0 },
                         { "seq", 1 },
                         { "born", born.count() } };
    aStore.Put("servers/" + started.back()->Id(), entry.dump());
  }
  return started;
}

json Rule(const std::string& aName, const char* aKind, double aTimeout)
{
  return { { "name", "r-" + aName },
           { "kind", aKind },
           { "target_latency_s", 2.0 },
           { "priority", 1 },
           { "match", { { "prefix", "/" + aName + "/" } } },
           { "action",
             { { "service", aName },
               { "timeout_s", aTimeout },
               { "max_attempts", 2 } } } };
}

json Cluster(const std::string& aName)
{
  return { { "name", aName },
           { "health_path", "/health" },
           { "max_connections", 440 },
           { "protocol", "h1" },
           { "tls", false } };
}

void PutConfiguration(store& aStore, const json& aRules, const json& aClusters)
{
  const json config = { { "version", "00000001" },
                        { "limits",
                          { { "max_header_bytes", 16384 },
                            { "max_body_bytes", 67108864 },
                            { "header_timeout_s", 3 },
                            { "idle_timeout_s", 15 } } },
                        { "listeners",
                          { { { "host", kHostName }, { "rules", aRules } } } },
                        { "clusters", aClusters } };
  aStore.Put("op/config", config.dump());
}

// ---- The gateway and its platform

void ReplaceAll(std::string& aText,
                const std::string& aFrom,
                const std::string& aTo)
{
  for (size_t at = 0; (at = aText.find(aFrom, at)) != std::string::npos;
       at += aTo.size()) {
    aText.replace(at, aFrom.size(), aTo);
  }
}

/// Addresses of one machine of the system.
struct place
{
  std::string mHost = kHost;
  uint16_t mFront = FreePort();
  uint16_t mReady = FreePort();
  uint16_t mPeers = FreePort();
  uint16_t mOperators = FreePort();
};

class gateway
{
public:
  gateway(std::string aProgram,
          const std::string& aTemplate,
          uint16_t aStore,
          record_file& aRecord,
          place aPlace = {})
    : mProgram(std::move(aProgram))
    , mStore(aStore)
    , mRecord(aRecord)
    , mPlace(std::move(aPlace))
    , mDirectory(
        std::filesystem::temp_directory_path() /
        ("review_world_" + std::to_string(getpid()) + "_" + mPlace.mHost))
  {
    std::filesystem::create_directory(mDirectory);
    std::stringstream text;
    text << std::ifstream(aTemplate).rdbuf();
    mTemplate = text.str();
  }

  ~gateway()
  {
    mEnding = true;
    Kill();
    if (mMonitor.joinable()) {
      mMonitor.join();
    }
    if (mProcess > 0) {
      waitpid(mProcess, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(mDirectory, ignored);
  }
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  void Start()
  {
    WriteSettings();
    const std::string settings = Settings();
    const std::string log = (mDirectory / "log").string();
    mProcess = fork();
    if (mProcess == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (std::freopen(log.c_str(), "a", stdout) == nullptr || dup2(1, 2) < 0) {
        std::_Exit(2);
      }
      setenv("PARSLEYSTAIR_NODE_FILE", settings.c_str(), 1);
      execl(mProgram.c_str(),
            mProgram.c_str(),
            "--settings",
            settings.c_str(),
            nullptr);
      std::_Exit(2);
    }
    mStartedAt = Now();
    mStarts += 1;
    if (!mMonitor.joinable()) {
      mMonitor = std::thread([this] { Monitor(); });
    }
  }

  /// SIGTERM, and SIGKILL after `aGrace`. Returns the time until the end.
  double Terminate(double aGrace)
  {
    const double start = Now();
    kill(mProcess, SIGTERM);
    while (waitpid(mProcess, nullptr, WNOHANG) == 0) {
      if (Now() > start + aGrace) {
        Kill();
      }
      Sleep(0.01);
    }
    mProcess = 0;
    return Now() - start;
  }

  /// SIGKILL, and a new start by `Start`.
  void KillAndWait()
  {
    Kill();
    waitpid(mProcess, nullptr, 0);
    mProcess = 0;
  }

  /// Asks as the platform does. False if the process isn't ready in time.
  [[nodiscard]] bool AwaitReady() const
  {
    for (const double end = Now() + 15; Now() < end; Sleep(0.1)) {
      const auto peer = connection::Open(mPlace.mHost, mPlace.mReady);
      message answer;
      if (peer != nullptr &&
          peer->Write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
          peer->Read(answer) && answer.Status() == 200) {
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] uint16_t Front() const { return mPlace.mFront; }
  [[nodiscard]] const std::string& Host() const { return mPlace.mHost; }
  [[nodiscard]] double StartedAt() const { return mStartedAt; }
  [[nodiscard]] long PeakMegabytes() const { return mPeak; }
  [[nodiscard]] bool WasKilled() const { return mWasKilled; }

private:
  [[nodiscard]] std::string Settings() const
  {
    return (mDirectory / "node.yaml").string();
  }

  void WriteSettings() const
  {
    std::string settings = mTemplate;
    const auto address = [&](uint16_t aPort) {
      return "\"" + mPlace.mHost + ":" + std::to_string(aPort) + "\"";
    };
    // The values of the example in DEPLOY.md.
    ReplaceAll(settings, "{{node|json}}", "\"front-" + mPlace.mHost + "\"");
    ReplaceAll(settings, "{{zone|json}}", "\"asti-a\"");
    ReplaceAll(settings, "{{zones|json}}", "{\"asti-a\":\"piemonte\"}");
    ReplaceAll(settings, "{{listen.front|json}}", address(mPlace.mFront));
    ReplaceAll(settings, "{{listen.ready|json}}", address(mPlace.mReady));
    ReplaceAll(settings, "{{ip}}", mPlace.mHost);
    ReplaceAll(settings, "{{internal_ports.0}}", std::to_string(mPlace.mPeers));
    ReplaceAll(
      settings, "{{internal_ports.1}}", std::to_string(mPlace.mOperators));
    ReplaceAll(settings,
               "{{platform.address|json}}",
               "\"" + std::string(kHost) + ":" + std::to_string(mStore) + "\"");
    ReplaceAll(settings, "{{limits.cpu_share|json}}", "0.2");
    ReplaceAll(
      settings, "{{limits.memory_mb|json}}", std::to_string(kMemoryMegabytes));
    ReplaceAll(settings, "{{bootstrap|json}}", mStarts == 0 ? "true" : "false");
    ReplaceAll(settings, "{{bounds.grace_s|json}}", "6");
    ReplaceAll(settings, "{{bounds.max_hold_s|json}}", "10");
    ReplaceAll(settings, "{{bounds.config_apply_s|json}}", "2");
    ReplaceAll(settings, "{{bounds.retry_budget_ratio|json}}", "0.2");
    ReplaceAll(settings, "{{bounds.retry_slack|json}}", "64");
    std::ofstream(Settings()) << settings;
  }

  void Kill() const
  {
    if (mProcess > 0) {
      kill(mProcess, SIGKILL);
    }
  }

  /// "A process that exceeds `memory_mb` is killed." Only the memory of the
  /// process counts here, no bytes in the sockets.
  void Monitor()
  {
    while (!mEnding && !mWasKilled) {
      const std::string path = "/proc/" + std::to_string(mProcess) + "/status";
      std::ifstream status(path);
      std::string line;
      while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
          const long megabytes = std::atol(line.c_str() + 6) / 1024;
          mPeak = std::max(mPeak.load(), megabytes);
        }
      }
      if (mPeak > kMemoryMegabytes) {
        mRecord.Line("platform: the gateway has " + std::to_string(mPeak) +
                     " MB, over memory_mb " + std::to_string(kMemoryMegabytes) +
                     ": killed");
        Kill();
        mWasKilled = true;
      }
      Sleep(0.005);
    }
  }

  std::string mProgram;
  uint16_t mStore;
  record_file& mRecord;
  place mPlace;
  std::filesystem::path mDirectory;
  std::string mTemplate;
  int mStarts = 0;
  std::atomic<double> mStartedAt = 0;
  std::atomic<pid_t> mProcess = 0;
  std::thread mMonitor;
  std::atomic<bool> mEnding = false;
  std::atomic<bool> mWasKilled = false;
  std::atomic<long> mPeak = 0;
};

// ---- Clients

std::string NextId()
{
  static std::atomic<uint64_t> sLast = 0;
  char text[17];
  std::snprintf(text,
                sizeof text,
                "%016llx",
                0x9c41d07b00000000ULL +
                  static_cast<unsigned long long>(++sLast));
  return text;
}

std::string RequestText(const char* aMethod,
                        const std::string& aService,
                        const std::string& aId,
                        size_t aAnswerBytes,
                        size_t aBodyBytes,
                        int aDeadlineMs)
{
  return std::string(aMethod) + " /" + aService + "/" + aId + "/" +
         std::to_string(aAnswerBytes) + " HTTP/1.1\r\nHost: " + kHostName +
         "\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n" +
         (aBodyBytes > 0
            ? "Content-Length: " + std::to_string(aBodyBytes) + "\r\n"
            : std::string()) +
         "\r\n";
}

/// Counts of one run, and the rule.
struct outcome
{
  std::atomic<int> mSent = 0;
  std::atomic<int> mSucceeded = 0;
  std::atomic<int> mFailed = 0;
  /// Requests from kept connections that a sound upstream began to run, and
  /// whose connection ended without an answer; in review/11, without a whole
  /// one.
  std::atomic<int> mLost = 0;

  void Count(int aStatus) { ++(aStatus == 200 ? mSucceeded : mFailed); }
};

int Finish(const char* aCase,
           bool aTrouble,
           int aAllowed,
           const gateway& aGateway,
           const outcome& aOutcome,
           const outcome& aOthers,
           record_file& aRecord)
{
  std::ostringstream text;
  text << aCase << (aTrouble ? " with" : " without")
       << " the disruption: requests at sound upstreams: " << aOutcome.mSent
       << " sent, " << aOutcome.mSucceeded << " succeeded, " << aOutcome.mFailed
       << " answered otherwise, " << aOutcome.mLost
       << " lost (allowed: " << aAllowed
       << "); other requests: " << aOthers.mSent << " sent, "
       << aOthers.mSucceeded << " succeeded, " << aOthers.mFailed
       << " answered otherwise, " << aOthers.mLost
       << " without an answer; peak memory of the gateway "
       << aGateway.PeakMegabytes() << " of " << kMemoryMegabytes << " MB"
       << (aGateway.WasKilled() ? ", killed by the platform" : "");
  const bool broken = aOutcome.mLost > aAllowed;
  aRecord.Line(text.str());
  aRecord.Line(broken ? "LOST broken" : "LOST held");
  std::cout << text.str() << "\n"
            << (broken ? "LOST broken" : "LOST held") << std::endl;
  return broken ? 1 : 0;
}

// ---- review/11: a SIGTERM while clients read slowly

int RunShutdown(bool aTrouble,
                const std::string& aProgram,
                const std::string& aTemplate,
                record_file& aRecord)
{
  constexpr int kClients = 8;
  constexpr size_t kLongBytes = 500'000;
  constexpr size_t kShortBytes = 10'000;
  constexpr double kReadRate = 80e3;
  constexpr int kReadBuffer = 64 * 1024;
  constexpr double kThirdAfter = 3;
  constexpr double kGrace = 6;
  constexpr int kDeadlineMs = 8000;

  // Threads use these until the process ends.
  store& platform = *new store;
  run_log& runs = *new run_log;
  static_cast<void>(
    new upstreams(StartUpstreams(platform, "files", 8, 0.4, runs)));
  PutConfiguration(platform,
                   json::array({ Rule("files", "safe", 8) }),
                   json::array({ Cluster("files") }));
  gateway router(aProgram, aTemplate, platform.Port(), aRecord);
  router.Start();
  if (!router.AwaitReady()) {
    return 2;
  }
  const auto request = [](const std::string& aId, size_t aBytes) {
    return RequestText("GET", "files", aId, aBytes, 0, kDeadlineMs);
  };

  const double start = Now() + 3;
  outcome answers;
  outcome first;
  std::atomic<int> cannotRun = 0;
  std::vector<std::thread> threads;
  const auto client = [&](int aNumber) {
    const std::string name = "client " + std::to_string(aNumber);
    const auto peer = connection::Open(kHost, router.Front(), kReadBuffer);
    message answer;
    ++first.mSent;
    if (peer == nullptr || !peer->Write(request(NextId(), kShortBytes)) ||
        !peer->Read(answer) || answer.Status() != 200) {
      ++cannotRun;
      return;
    }
    first.Count(answer.Status());
    Sleep(start - Now());
    peer->SetReadRate(kReadRate);
    const std::vector<std::string> ids = { NextId(), NextId() };
    answers.mSent += 2;
    aRecord.Line(name + " sends " + ids[0] + " and " + ids[1]);
    peer->Write(request(ids[0], kLongBytes) + request(ids[1], kShortBytes));
    std::atomic<bool> mayAsk = true;
    std::thread third([&] {
      Sleep(start + kThirdAfter - Now());
      if (mayAsk) {
        const std::string id = NextId();
        aRecord.Line(name + " sends " + id + " behind them");
        peer->Write(request(id, kShortBytes));
      }
    });
    for (size_t i = 0; i < ids.size(); ++i) {
      if (!peer->Read(answer)) {
        for (size_t k = i; k < ids.size(); ++k) {
          const bool ran = runs.HasRun(ids[k]);
          answers.mLost += ran ? 1 : 0;
          aRecord.Line(name + " connection ends without the whole answer to " +
                       ids[k] + (ran ? ", it ran" : ""));
        }
        break;
      }
      answers.Count(answer.Status());
      aRecord.Line(name + " " + ids[i] + " " + std::to_string(answer.Status()) +
                   ", " + std::to_string(answer.mBody.size()) + " bytes" +
                   (answer.Field("connection") == "close" ? ", close" : ""));
      // A sound client sends nothing behind an answer that closes.
      mayAsk = mayAsk && answer.Field("connection") != "close";
    }
    third.join();
  };
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back(client, i);
  }
  Sleep(start + 0.1 - Now());
  if (aTrouble) {
    aRecord.Line("the gateway gets SIGTERM");
    const double seconds = router.Terminate(kGrace);
    aRecord.Line("the gateway has ended after " + std::to_string(seconds) +
                 " s, of " + std::to_string(kGrace) + " s that it has");
    Sleep(1);
    router.Start();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return cannotRun > 0
           ? 2
           : Finish("shutdown", aTrouble, 0, router, answers, first, aRecord);
}

// ---- review/12: clients that read slowly

int RunDownloads(bool aTrouble,
                 const std::string& aProgram,
                 const std::string& aTemplate,
                 record_file& aRecord)
{
  constexpr int kTargets = 48;
  constexpr double kWork = 0.8;
  constexpr int kClients = 20;
  constexpr int kDepth = 16;
  constexpr size_t kAnswerBytes = 500'000;
  constexpr double kStagger = 0.16;
  constexpr double kSlowRate = 1.6e6;
  constexpr int kReadBuffer = 64 * 1024;
  constexpr int kDeadlineMs = 8000;

  // Threads use these until the process ends.
  store& platform = *new store;
  run_log& runs = *new run_log;
  static_cast<void>(
    new upstreams(StartUpstreams(platform, "files", kTargets, kWork, runs)));
  PutConfiguration(platform,
                   json::array({ Rule("files", "safe", 8) }),
                   json::array({ Cluster("files") }));
  gateway router(aProgram, aTemplate, platform.Port(), aRecord);
  router.Start();
  if (!router.AwaitReady()) {
    return 2;
  }

  outcome downloads;
  outcome first;
  std::atomic<int> cannotRun = 0;
  std::vector<std::thread> threads;
  const auto client = [&](int aNumber) {
    const auto peer = connection::Open(kHost, router.Front(), kReadBuffer);
    message answer;
    ++first.mSent;
    if (peer == nullptr ||
        !peer->Write(
          RequestText("GET", "files", NextId(), 1000, 0, kDeadlineMs)) ||
        !peer->Read(answer) || answer.Status() != 200) {
      aRecord.Line("first request: " + std::to_string(answer.Status()));
      ++cannotRun;
      return;
    }
    first.Count(answer.Status());
    Sleep(3 + aNumber * kStagger);
    if (aTrouble) {
      peer->SetReadRate(kSlowRate);
    }
    std::vector<std::string> ids;
    std::string text;
    for (int i = 0; i < kDepth; ++i) {
      ids.push_back(NextId());
      text +=
        RequestText("GET", "files", ids.back(), kAnswerBytes, 0, kDeadlineMs);
      ++downloads.mSent;
    }
    const std::string name = "client " + std::to_string(aNumber);
    aRecord.Line(name + " sends " + ids.front() + " to " + ids.back());
    peer->Write(text);
    for (size_t i = 0; i < ids.size(); ++i) {
      if (!peer->Read(answer)) {
        const size_t begun = peer->HasInput() || !answer.mStart.empty() ? 1 : 0;
        aRecord.Line(name + " connection closed" +
                     (begun > 0 ? " within the answer to " + ids[i] : ""));
        for (size_t k = i + begun; k < ids.size(); ++k) {
          const bool ran = runs.HasRun(ids[k]);
          downloads.mLost += ran ? 1 : 0;
          aRecord.Line(name + " " + ids[k] + " no byte of an answer" +
                       (ran ? ", it ran" : ""));
        }
        return;
      }
      downloads.Count(answer.Status());
      aRecord.Line(name + " " + ids[i] + " " + std::to_string(answer.Status()) +
                   ", " + std::to_string(answer.mBody.size()) + " bytes");
    }
  };
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back(client, i);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  if (cannotRun > 0) {
    return 2;
  }
  return Finish(
    "downloads", aTrouble, kAllowedLosses, router, downloads, first, aRecord);
}

// ---- review/13: a request that crashes the upstreams that run it

/// An upstream that crashes when it begins to run a request under /bad/. It is
/// back after some seconds at its address, with a new id; its former entry is
/// removed after three heartbeats.
class fragile_upstream
{
public:
  static constexpr double kSilence = 3 * 0.87;
  static constexpr double kBack = 3.2;

  fragile_upstream(store& aStore,
                   int aNumber,
                   std::function<void(const std::string&)> aOnCrash)
    : mStore(aStore)
    , mNumber(aNumber)
    , mOnCrash(std::move(aOnCrash))
  {
    Begin();
  }

private:
  void Begin()
  {
    const std::lock_guard lock(mMutex);
    mId = "i-" + std::to_string(mNumber) + "-" + std::to_string(++mLife);
    mListener = Listen(mPort);
    mIsUp = true;
    Serve(mListener, [this](connection& aPeer) { Run(aPeer); });
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    const json entry = { { "service", "orders" },
                         { "address",
                           std::string(kHost) + ":" + std::to_string(mPort) },
                         { "zone", "asti-a" },
                         { "version", "v1" },
                         { "slots", upstream::kSlots },
                         { "state", "ready" },
                         { "slow_start_s_time", 0 },
                         { "seq", 1 },
                         { "born", born.count() } };
    mStore.Put("servers/" + mId, entry.dump());
  }

  void Crash()
  {
    const std::lock_guard lock(mMutex);
    if (!mIsUp) {
      return;
    }
    mIsUp = false;
    shutdown(mListener, SHUT_RDWR);
    close(mListener);
    for (connection* peer : mPeers) {
      peer->Abort();
    }
    std::thread([this, id = mId] {
      Sleep(kSilence);
      mStore.Delete("servers/" + id);
      Sleep(kBack - kSilence);
      Begin();
    }).detach();
  }

  void Run(connection& aPeer)
  {
    {
      const std::lock_guard lock(mMutex);
      if (!mIsUp) {
        aPeer.Abort();
        return;
      }
      mPeers.insert(&aPeer);
    }
    message request;
    while (aPeer.Read(request) && Respond(aPeer, request)) {
    }
    const std::lock_guard lock(mMutex);
    mPeers.erase(&aPeer);
  }

  bool Respond(connection& aPeer, const message& aRequest)
  {
    std::string own;
    {
      const std::lock_guard lock(mMutex);
      own = mId;
    }
    const std::string id = aRequest.Field("x-request-id");
    const std::string expected = aRequest.Field("x-expected-instance");
    if (aRequest.mStart.find(" /health ") != std::string::npos) {
      return aPeer.Write(Answer(200, "X-Instance-Id: " + own + "\r\n", ""));
    }
    if (!expected.empty() && expected != own) {
      return aPeer.Write(Answer(421, "X-Instance-Id: " + own + "\r\n", ""));
    }
    if (aRequest.mStart.find(" /bad/") != std::string::npos) {
      mOnCrash(id);
      Crash();
      return false;
    }
    Sleep(0.1);
    return aPeer.Write(Answer(200,
                              "X-Request-Id: " + id +
                                "\r\nX-Response-Signature: of-" + own + "\r\n",
                              "done"));
  }

  store& mStore;
  int mNumber;
  std::function<void(const std::string&)> mOnCrash;
  std::mutex mMutex;
  uint16_t mPort = 0;
  int mListener = -1;
  int mLife = 0;
  bool mIsUp = false;
  std::string mId;
  std::set<connection*> mPeers;
};

int RunCrashes(bool aTrouble,
               const std::string& aProgram,
               const std::string& aTemplate,
               record_file& aRecord)
{
  constexpr int kGateways = 3;
  constexpr int kTargets = 10;
  constexpr double kStability = 3;
  constexpr size_t kAllowedRetries = 3;
  constexpr double kEnd = 102;
  constexpr int kDeadlineMs = 2000;

  // Threads use these until the process ends.
  store& platform = *new store;
  std::mutex& mutex = *new std::mutex;
  std::map<std::string, double>& runs = *new std::map<std::string, double>;
  const auto runsNow = [&] {
    const std::lock_guard lock(mutex);
    return runs;
  };
  for (int i = 0; i < kTargets; ++i) {
    static_cast<void>(
      new fragile_upstream(platform, i, [&](const std::string& aId) {
        const std::lock_guard lock(mutex);
        runs[aId] = Now();
      }));
  }
  json bad = Rule("bad", "unsafe", 2);
  json sound = Rule("sound", "safe", 2);
  bad["action"]["service"] = "orders";
  sound["action"]["service"] = "orders";
  PutConfiguration(
    platform, json::array({ bad, sound }), json::array({ Cluster("orders") }));
  std::vector<std::unique_ptr<gateway>> routers;
  place common;
  for (int i = 0; i < kGateways; ++i) {
    common.mHost = "127.0.0." + std::to_string(11 + i);
    routers.push_back(std::make_unique<gateway>(
      aProgram, aTemplate, platform.Port(), aRecord, common));
    routers.back()->Start();
  }
  const auto areReady = [&] {
    return std::all_of(routers.begin(), routers.end(), [](const auto& aEach) {
      return aEach->AwaitReady();
    });
  };
  if (!areReady()) {
    return 2;
  }
  const auto ask = [&](const gateway& aRouter, const char* aService) {
    const std::string id = NextId();
    const auto peer = connection::Open(aRouter.Host(), aRouter.Front());
    message answer;
    const std::string path = aService;
    const bool isBad = path == "bad";
    // The path, the body and the caller are the same each time.
    const std::string text =
      std::string(isBad ? "POST" : "GET") + " /" + path +
      "/order HTTP/1.1\r\nHost: " + kHostName + "\r\nX-Request-Id: " + id +
      "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n" +
      (isBad ? "Content-Length: 3\r\n\r\nbad" : "\r\n");
    const bool isAnswered =
      peer != nullptr && peer->Write(text) && peer->Read(answer);
    return std::make_pair(id, isAnswered ? answer.Status() : 0);
  };
  std::atomic<bool> ends = false;
  std::atomic<int> served = 0;
  std::atomic<int> others = 0;
  std::vector<std::thread> threads;
  for (size_t k = 0; k < 4; ++k) {
    threads.emplace_back([&, k] {
      for (size_t n = k; !ends; ++n) {
        const int status = ask(*routers[n % kGateways], "sound").second;
        ++(status == 200 ? served : others);
        Sleep(0.1);
      }
    });
  }
  Sleep(2);

  std::map<std::string, bool> isInTouch;
  double thirdCrash = 0;
  for (size_t n = 0; Now() < kEnd; ++n) {
    const gateway& router = *routers[n % kGateways];
    const bool inTouch = Now() >= router.StartedAt() + kStability;
    const auto [id, status] = ask(router, "bad");
    isInTouch[id] = inTouch;
    const std::map<std::string, double> crashes = runsNow();
    aRecord.Line("bad request " + id + " to " + router.Host() +
                 (inTouch ? "" : " (not in touch)") + ": " +
                 std::to_string(status) +
                 (crashes.contains(id) ? ", it ran and crashed its upstream"
                                       : ", it did not run"));
    if (thirdCrash == 0 && crashes.size() >= 3) {
      thirdCrash = Now();
      aRecord.Line("that was the third crash");
    }
    if (n == 1 && aTrouble) {
      Sleep(1);
      aRecord.Line("all gateways are killed, and start again after 1 s");
      for (const auto& each : routers) {
        each->KillAndWait();
      }
      Sleep(1);
      for (const auto& each : routers) {
        each->Start();
      }
      if (!areReady()) {
        return 2;
      }
    }
    Sleep(n == 2 ? kStability + 0.2 : n < 4 ? 2 : 1);
  }
  ends = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  if (thirdCrash == 0) {
    return 2;
  }
  size_t retries = 0;
  for (const auto& [id, at] : runsNow()) {
    retries += isInTouch[id] && at > thirdCrash + kStability ? 1 : 0;
  }
  std::ostringstream text;
  text << "crashes" << (aTrouble ? " with" : " without")
       << " the disruption: the request crashed " << runsNow().size()
       << " upstreams, " << retries << " of them in retries that machines in "
       << "touch sent later than 3 s after the third crash (allowed: "
       << kAllowedRetries << "); sound requests: " << served << " succeeded, "
       << others << " ended otherwise";
  const bool broken = retries > kAllowedRetries;
  for (const std::string& line :
       { text.str(), std::string(broken ? "BUDGET broken" : "BUDGET held") }) {
    aRecord.Line(line);
    std::cout << line << std::endl;
  }
  return broken ? 1 : 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 6) {
    std::cerr << "usage: review_world CASE TROUBLE GATEWAY TEMPLATE RECORD\n";
    return 2;
  }
  const std::string name = aArguments[1];
  const bool trouble = std::string(aArguments[2]) != "0";
  record_file record(aArguments[5]);
  int result = 2;
  try {
    const auto run = name == "shutdown"    ? RunShutdown
                     : name == "downloads" ? RunDownloads
                                           : RunCrashes;
    result = run(trouble, aArguments[3], aArguments[4], record);
  } catch (const std::exception& exception) {
    std::cerr << "review_world: " << exception.what() << "\n";
  }
  std::cout.flush();
  // Threads of the stand-ins still wait for connections.
  std::_Exit(result);
}
