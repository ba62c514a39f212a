#pragma once

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleystair {

/// Peer on a loopback port that is driven by hand, outside of any event loop,
/// so that a test chooses what has happened before the loop sees any of it. It
/// has a small receive buffer.
class raw_peer
{
public:
  raw_peer()
    : mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    constexpr int kReceiveBytes = 64 * 1024;
    setsockopt(
      mListener, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes, sizeof(kReceiveBytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    EXPECT_EQ(::bind(mListener, reinterpret_cast<sockaddr*>(&address), length),
              0);
    EXPECT_EQ(listen(mListener, 1), 0);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &length);
    mPort = ntohs(address.sin_port);
  }
  ~raw_peer()
  {
    Close();
    close(mListener);
  }
  raw_peer(const raw_peer&) = delete;
  raw_peer& operator=(const raw_peer&) = delete;

  [[nodiscard]] uint16_t Port() const { return mPort; }

  /// Takes the connection that has been made.
  void Accept()
  {
    mSocket = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    EXPECT_GE(mSocket, 0);
  }

  void Send(std::string_view aBytes) const
  {
    EXPECT_EQ(send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(aBytes.size()));
  }

  /// Reads what has arrived, and what follows it at once.
  size_t ReadArrived() const
  {
    constexpr int kWaitMs = 20;
    std::array<char, 65536> buffer; // NOLINT: filled by recv
    size_t bytes = 0;
    pollfd each{ mSocket, POLLIN, 0 };
    while (poll(&each, 1, kWaitMs) > 0) {
      const ssize_t count = recv(mSocket, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      bytes += static_cast<size_t>(count);
    }
    return bytes;
  }

  /// Closes the sending side.
  void FinishSending() const { shutdown(mSocket, SHUT_WR); }

  /// Closes the connection; its system resets it if bytes are not read.
  void Close()
  {
    if (mSocket >= 0) {
      close(mSocket);
      mSocket = -1;
    }
  }

  void Reset()
  {
    const linger none{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    Close();
  }

private:
  int mListener;
  int mSocket = -1;
  uint16_t mPort = 0;
};

} // namespace parsleystair
