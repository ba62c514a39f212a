#include "Parsleystair/Core/Hash.h"

#include <xxhash.h>

namespace parsleystair {

uint64_t Hash64(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

} // namespace parsleystair
