#pragma once

#include "Parsleystair/Core/Error.h"

#include "Parsleystair/Core/Text.h"

#include <capnp/blob.h>
#include <cstdint>
#include <string>

// Included by source files of this folder only, since it brings in Cap'n
// Proto's headers.

namespace parsleystair {

inline std::string ToString(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

/// Converts the name of a thing, which other parts write as JSON. Throws
/// `parse_error` if it is not UTF-8.
inline std::string ToName(capnp::Text::Reader aText)
{
  std::string name = ToString(aText);
  if (!IsUtf8(name)) {
    throw parse_error("a name is not UTF-8");
  }
  return name;
}

/// Converts an enumerator whose values are the same on both sides.
template<typename Result, typename Value>
Result ConvertEnum(Value aValue, Result aLast, const char* aName)
{
  const auto number = static_cast<uint32_t>(aValue);
  if (number > static_cast<uint32_t>(aLast)) {
    throw parse_error(std::string(aName) +
                      " out of range: " + std::to_string(number));
  }
  return static_cast<Result>(number);
}

} // namespace parsleystair
