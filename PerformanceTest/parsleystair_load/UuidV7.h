#pragma once

#include "Parsleystair/Core/Time.h"

#include <random>
#include <string>

namespace parsleystair {

/// UUID of version 7 (RFC 9562 section 5.7): time in ms and random bits.
std::string MakeUuidV7(wall_time aNow, std::mt19937_64& aRandom);

} // namespace parsleystair
