#include "Parsleystair/Core/SystemAddress.h"

#include "Parsleystair/Core/Error.h"

#include <event2/util.h>

namespace parsleystair {

std::optional<system_address> FindSystemAddress(const std::string& aHost,
                                                uint16_t aPort)
{
  const bool isV6 = aHost.find(':') != std::string::npos;
  std::string text = isV6 ? "[" + aHost + "]" : aHost;
  // libevent refuses an explicit port 0 but takes a missing one as 0.
  if (aPort != 0) {
    text += ":" + std::to_string(aPort);
  }
  system_address address;
  address.mLength = sizeof(address.mStorage);
  if (evutil_parse_sockaddr_port(
        text.c_str(), address.Get(), &address.mLength) != 0) {
    return std::nullopt;
  }
  return address;
}

system_address ParseSystemAddress(const std::string& aHost, uint16_t aPort)
{
  const auto address = FindSystemAddress(aHost, aPort);
  if (!address) {
    throw system_error("no IP address: " + aHost);
  }
  return *address;
}

} // namespace parsleystair
