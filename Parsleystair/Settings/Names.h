#pragma once

#include <string>

namespace parsleystair {

/// What a name of a VM, service, target, rule, failure domain, region or note
/// may be, for error messages.
inline constexpr const char* kNameAllowed =
  "1 to 64 letters, digits, '-', '_' or '.', the first a letter or digit";

/// What a host may be, for error messages.
inline constexpr const char* kHostAllowed = "an IPv4 or IPv6 address";

/// Whether a text is a name as `kNameAllowed` says.
bool IsName(const std::string& aText);

/// Whether a text is an IP address. Host names are no addresses: resolving one
/// would block the task that does it.
bool IsIpAddress(const std::string& aText);

} // namespace parsleystair
