#pragma once

#include "Parsleystair/Core/EventLoop.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleystair {

/// Client of a loopback port with a small receive buffer, which reads slowly or
/// not at all.
class slow_reader
{
public:
  /// Connects and sends `aText`.
  slow_reader(uint16_t aPort, const std::string& aText)
    : mDescriptor(socket(AF_INET, SOCK_STREAM, 0))
  {
    constexpr int kReceiveBytes = 64 * 1024;
    setsockopt(mDescriptor,
               SOL_SOCKET,
               SO_RCVBUF,
               &kReceiveBytes,
               sizeof(kReceiveBytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(mDescriptor,
                      reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)),
              0);
    EXPECT_EQ(send(mDescriptor, aText.data(), aText.size(), 0),
              static_cast<ssize_t>(aText.size()));
    fcntl(mDescriptor, F_SETFL, O_NONBLOCK);
  }
  ~slow_reader() { close(mDescriptor); }
  slow_reader(const slow_reader&) = delete;
  slow_reader& operator=(const slow_reader&) = delete;

  /// Reads at most `aRate` bytes per second from now on.
  void ReadSlowly(event_loop& aLoop, size_t aRate = 400'000)
  {
    constexpr size_t kTurnsPerSecond = 100;
    mTimer.StartRepeating(
      aLoop, 10ms, [this, aRate] { Read(1, aRate / kTurnsPerSecond); });
  }

  /// Reads as fast as data arrives from now on.
  void ReadAll(event_loop& aLoop)
  {
    constexpr size_t kMaxReads = 1000;
    mTimer.StartRepeating(aLoop, 1ms, [this] { Read(kMaxReads, kReadBytes); });
  }

  /// Returns whether the system has taken the text. It refuses what is sent on
  /// a connection that was reset.
  bool Send(const std::string& aText)
  {
    return send(mDescriptor, aText.data(), aText.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(aText.size());
  }

  void EndSending() { shutdown(mDescriptor, SHUT_WR); }

  /// Number of bytes read.
  [[nodiscard]] size_t Bytes() const { return mText.size(); }
  [[nodiscard]] const std::string& Text() const { return mText; }
  [[nodiscard]] bool IsClosed() const { return mIsClosed; }

private:
  static constexpr size_t kReadBytes = 4096;

  void Read(size_t aMaxReads, size_t aMaxBytes)
  {
    std::array<char, kReadBytes> buffer; // NOLINT: filled by recv
    for (size_t reads = 0; reads < aMaxReads; ++reads) {
      const ssize_t count =
        recv(mDescriptor, buffer.data(), std::min(aMaxBytes, buffer.size()), 0);
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
      }
      if (count <= 0) {
        mIsClosed = true;
        mTimer.Cancel();
        return;
      }
      mText.append(buffer.data(), static_cast<size_t>(count));
    }
  }

  int mDescriptor;
  timer mTimer;
  std::string mText;
  bool mIsClosed = false;
};

} // namespace parsleystair
