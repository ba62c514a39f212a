#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/socket.h>

namespace parsleystair {

/// IP address and port in the form that the system's calls take.
struct system_address
{
  sockaddr_storage mStorage{};
  int mLength = 0;

  [[nodiscard]] sockaddr* Get()
  {
    return reinterpret_cast<sockaddr*>(&mStorage);
  }
};

/// Reads an IPv4 or IPv6 address; port 0 stands for any. Nothing when `aHost`
/// is no IP address.
std::optional<system_address> FindSystemAddress(const std::string& aHost,
                                                uint16_t aPort);

/// As `FindSystemAddress`; throws `system_error` when `aHost` is no IP address.
system_address ParseSystemAddress(const std::string& aHost, uint16_t aPort);

} // namespace parsleystair
