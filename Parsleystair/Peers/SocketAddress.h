#pragma once

#include <cstdint>
#include <string>
#include <sys/socket.h>

namespace parsleystair {

/// IP address and port in the form that sockets take.
struct socket_address
{
  sockaddr_storage mStorage{};
  int mLength = 0;

  [[nodiscard]] sockaddr* Get()
  {
    return reinterpret_cast<sockaddr*>(&mStorage);
  }
};

/// Reads an IPv4 or IPv6 address; port 0 stands for any. Throws `system_error`
/// when `aHost` is no IP address.
socket_address ParseSocketAddress(const std::string& aHost, uint16_t aPort);

} // namespace parsleystair
