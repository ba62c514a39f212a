#pragma once

#include <string>
#include <string_view>

namespace parsleystair {

/// Standard base64 with padding (RFC 4648 section 4).
std::string EncodeBase64(std::string_view aBytes);

/// Throws `parse_error` when the text is not padded standard base64.
std::string DecodeBase64(std::string_view aText);

} // namespace parsleystair
