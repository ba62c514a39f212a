#pragma once

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleystair {

/// Client of a loopback port that sends and reads raw bytes without waiting.
class pipelined_client
{
public:
  explicit pipelined_client(uint16_t aPort)
    : mDescriptor(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(mDescriptor,
                      reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)),
              0);
    fcntl(mDescriptor, F_SETFL, O_NONBLOCK);
    // Otherwise a small piece waits until the one before it is acknowledged.
    const int isOn = 1;
    setsockopt(mDescriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
  }
  ~pipelined_client() { close(mDescriptor); }
  pipelined_client(const pipelined_client&) = delete;
  pipelined_client& operator=(const pipelined_client&) = delete;

  /// Sends bytes as far as the system takes them; returns their number.
  size_t Send(std::string_view aText) const
  {
    const ssize_t count =
      send(mDescriptor, aText.data(), aText.size(), MSG_NOSIGNAL);
    return count > 0 ? static_cast<size_t>(count) : 0;
  }

  /// Returns all bytes received so far.
  const std::string& Read()
  {
    std::array<char, 64 * 1024> buffer; // NOLINT: filled by recv
    while (!mIsClosed) {
      const ssize_t count = recv(mDescriptor, buffer.data(), buffer.size(), 0);
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        break;
      }
      mIsClosed = count <= 0;
      mReceived.append(buffer.data(), count > 0 ? count : 0);
    }
    return mReceived;
  }

  /// Tells if the server has ended the connection, as of the last `Read`.
  [[nodiscard]] bool IsClosed() const { return mIsClosed; }

private:
  int mDescriptor;
  std::string mReceived;
  bool mIsClosed = false;
};

} // namespace parsleystair
