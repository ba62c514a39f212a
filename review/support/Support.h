#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// Helpers of the review's stand-ins: plain sockets, one HTTP/1.1 message at a
/// time, the record of a run. No code of the project is used here.
namespace review {

using review_clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

inline void Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(milliseconds(aMilliseconds));
}

inline int64_t UnixMilliseconds()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Writes lines with the time since the start of the run.
class run_record
{
public:
  explicit run_record(const std::string& aPath)
    : mFile(aPath, std::ios::app)
    , mStart(review_clock::now())
  {
  }

  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    const auto elapsed =
      std::chrono::duration_cast<milliseconds>(review_clock::now() - mStart);
    mFile << elapsed.count() << " ms  " << aLine << "\n" << std::flush;
  }

private:
  std::ofstream mFile;
  review_clock::time_point mStart;
  std::mutex mMutex;
};

inline sockaddr_in Address(const std::string& aHost, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

/// Listens on a port, 0 for a free one. `aReceiveBytes`: size of the receive
/// buffer of accepted connections; 0 for the system's.
inline int Listen(const std::string& aHost,
                  uint16_t aPort,
                  int aReceiveBytes = 0)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (aReceiveBytes > 0) {
    setsockopt(
      listener, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  const sockaddr_in address = Address(aHost, aPort);
  constexpr int kBacklog = 512;
  if (bind(listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

inline uint16_t PortOf(int aSocket)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

inline int Connect(const std::string& aHost, uint16_t aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Address(aHost, aPort);
  if (connect(descriptor,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

inline bool SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

/// An HTTP message as it was read. `mWhole`: it ended as its framing says.
struct message
{
  bool mWhole = false;
  /// The connection ended with a reset or before the message was whole.
  bool mCut = false;
  std::string mStart;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  [[nodiscard]] int Status() const
  {
    constexpr size_t kStatusAt = 9;
    return mStart.size() > kStatusAt ? std::atoi(mStart.c_str() + kStatusAt)
                                     : 0;
  }
  [[nodiscard]] std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? "" : found->second;
  }
};

/// Reads messages from one connection.
class message_reader
{
public:
  explicit message_reader(int aSocket)
    : mSocket(aSocket)
  {
  }

  /// Reads the head only; the body, as far as it has come, stays here.
  bool ReadHead(message& aMessage, int aTimeoutMs)
  {
    size_t end = 0;
    while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aTimeoutMs)) {
        return false;
      }
    }
    const std::string head = mInput.substr(0, end);
    mInput.erase(0, end + 4);
    size_t from = head.find("\r\n");
    aMessage.mStart = head.substr(0, from);
    while (from != std::string::npos) {
      const size_t to = head.find("\r\n", from + 2);
      const std::string line =
        head.substr(from + 2, to == std::string::npos ? to : to - from - 2);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        for (char& each : name) {
          each = static_cast<char>(tolower(each));
        }
        const size_t value = line.find_first_not_of(' ', colon + 1);
        aMessage.mHeaders[name] =
          value == std::string::npos ? "" : line.substr(value);
      }
      from = to;
    }
    return true;
  }

  /// Reads a message with a length, or without a body.
  message Read(int aTimeoutMs)
  {
    message result;
    if (!ReadHead(result, aTimeoutMs)) {
      result.mCut = true;
      return result;
    }
    const size_t length =
      std::strtoul(result.Header("content-length").c_str(), nullptr, 10);
    while (mInput.size() < length) {
      if (!Fill(aTimeoutMs)) {
        result.mBody = mInput;
        result.mCut = true;
        return result;
      }
    }
    result.mBody = mInput.substr(0, length);
    mInput.erase(0, length);
    result.mWhole = true;
    return result;
  }

  /// Body bytes that have come with the head.
  [[nodiscard]] size_t Waiting() const { return mInput.size(); }
  /// Whether the peer has closed the connection, after a failed read.
  [[nodiscard]] bool HasEnded() const { return mEnded; }

  bool Fill(int aTimeoutMs)
  {
    pollfd each{ mSocket, POLLIN, 0 };
    if (poll(&each, 1, aTimeoutMs) <= 0) {
      return false;
    }
    char buffer[65536]; // NOLINT: filled by recv
    const ssize_t count = recv(mSocket, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      mEnded = true;
      return false;
    }
    mInput.append(buffer, static_cast<size_t>(count));
    return true;
  }

private:
  int mSocket;
  std::string mInput;
  bool mEnded = false;
};

inline std::string Base64(const std::string& aText)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (size_t at = 0; at < aText.size(); at += 3) {
    uint32_t group = 0;
    for (size_t index = 0; index < 3; ++index) {
      const size_t from = at + index;
      group =
        group << 8 |
        (from < aText.size() ? static_cast<unsigned char>(aText[from]) : 0);
    }
    for (size_t index = 0; index < 4; ++index) {
      const bool isPadding = at + index > aText.size();
      result += isPadding ? '=' : kDigits[group >> (18 - 6 * index) & 63];
    }
  }
  return result;
}

/// A back end's entry in the platform's store.
struct server_entry
{
  std::string mId;
  std::string mService;
  std::string mAddress;
  int mSlots = 6;
  int64_t mBorn = 0;
  std::string mState = "ready";
};

inline bool CallStore(const std::string& aHost,
                      uint16_t aPort,
                      const std::string& aTransaction)
{
  const int descriptor = Connect(aHost, aPort);
  if (descriptor < 0) {
    return false;
  }
  SendAll(descriptor,
          "POST /api/kv-txn HTTP/1.1\r\nHost: store\r\n"
          "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(aTransaction.size()) + "\r\n\r\n" + aTransaction);
  constexpr int kTimeoutMs = 2000;
  const message answer = message_reader(descriptor).Read(kTimeoutMs);
  close(descriptor);
  return answer.Status() == 200;
}

inline bool PutEntry(const std::string& aHost,
                     uint16_t aPort,
                     const server_entry& aEntry,
                     uint64_t aSeq)
{
  const std::string value =
    R"({"service":")" + aEntry.mService + R"(","address":")" + aEntry.mAddress +
    R"(","zone":"asti-a","version":"v1","slots":)" +
    std::to_string(aEntry.mSlots) + R"(,"state":")" + aEntry.mState +
    R"(","slow_start_s_time":0,"seq":)" + std::to_string(aSeq) + R"(,"born":)" +
    std::to_string(aEntry.mBorn) + "}";
  return CallStore(aHost,
                   aPort,
                   R"({"if_revision":[],"set_keys":[{"key":"servers/)" +
                     aEntry.mId + R"(","value":")" + Base64(value) +
                     R"(","lease":0}],"remove":[]})");
}

inline bool RemoveEntry(const std::string& aHost,
                        uint16_t aPort,
                        const std::string& aId)
{
  return CallStore(aHost,
                   aPort,
                   R"({"if_revision":[],"set_keys":[],"remove":["servers/)" +
                     aId + R"("]})");
}

} // namespace review
