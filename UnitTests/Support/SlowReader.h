#pragma once

#include "Parsleystair/Core/EventLoop.h"

#include <gtest/gtest.h>

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

  /// Reads about 400 kB per second from now on.
  void ReadSlowly(event_loop& aLoop)
  {
    mTimer.StartRepeating(aLoop, 10ms, [this] { Read(1); });
  }

  /// Reads as fast as data arrives from now on.
  void ReadAll(event_loop& aLoop)
  {
    constexpr size_t kMaxReads = 1000;
    mTimer.StartRepeating(aLoop, 1ms, [this] { Read(kMaxReads); });
  }

  [[nodiscard]] size_t Bytes() const { return mBytes; }
  [[nodiscard]] bool IsClosed() const { return mIsClosed; }

private:
  void Read(size_t aMaxReads)
  {
    std::array<char, 4096> buffer; // NOLINT: filled by recv
    for (size_t reads = 0; reads < aMaxReads; ++reads) {
      const ssize_t count = recv(mDescriptor, buffer.data(), buffer.size(), 0);
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
      }
      if (count <= 0) {
        mIsClosed = true;
        mTimer.Cancel();
        return;
      }
      mBytes += static_cast<size_t>(count);
    }
  }

  int mDescriptor;
  timer mTimer;
  size_t mBytes = 0;
  bool mIsClosed = false;
};

} // namespace parsleystair
