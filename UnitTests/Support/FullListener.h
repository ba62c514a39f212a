#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace parsleystair {

/// Address at which new connections stay pending, as its backlog is full.
class full_listener
{
public:
  full_listener()
    : mDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    mAddress.sin_family = AF_INET;
    mAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* address = reinterpret_cast<sockaddr*>(&mAddress);
    socklen_t length = sizeof(mAddress);
    EXPECT_EQ(::bind(mDescriptor, address, length), 0);
    EXPECT_EQ(listen(mDescriptor, 0), 0);
    getsockname(mDescriptor, address, &length);
    // Linux completes one connection more than the backlog.
    mFillers = { Connect(), Connect() };
  }
  ~full_listener()
  {
    for (const int each : mFillers) {
      close(each);
    }
    close(mDescriptor);
  }
  full_listener(const full_listener&) = delete;
  full_listener& operator=(const full_listener&) = delete;

  [[nodiscard]] uint16_t Port() const { return ntohs(mAddress.sin_port); }

private:
  int Connect() const
  {
    const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    static_cast<void>(connect(descriptor,
                              reinterpret_cast<const sockaddr*>(&mAddress),
                              sizeof(mAddress)));
    return descriptor;
  }

  int mDescriptor;
  sockaddr_in mAddress{};
  std::vector<int> mFillers;
};

} // namespace parsleystair
