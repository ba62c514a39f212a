#pragma once

#include <string>
#include <string_view>

namespace parsleystair {

/// Whether bytes are UTF-8 (RFC 3629): no surrogates, no overlong forms, no
/// character that is cut off.
bool IsUtf8(std::string_view aBytes);

/// Appends bytes as printable text: control characters and bytes that are not
/// UTF-8 become `\xNN`.
void AppendPrintable(std::string& aText, std::string_view aBytes);

/// Whether `AppendPrintable` leaves bytes as they are.
bool IsPrintable(std::string_view aBytes);

} // namespace parsleystair
