#include "Parsleystair/Limits/CrashRecord.h"

#include "Parsleystair/Core/Hash.h"

#include <array>

namespace parsleystair {

namespace {

/// A sound content that was in several crashes by coincidence is found by a
/// trial. Each trial of one that does crash targets costs a target, so there
/// are few.
constexpr std::array kTrialDelays = { duration(10s), duration(60s) };

} // namespace

incarnation_hash IncarnationHashOf(const target_name& aTarget,
                                   uint64_t aStartedMs)
{
  return incarnation_hash(
    Hash64(aTarget.Value() + '\0' + std::to_string(aStartedMs)));
}

std::optional<duration> TrialDelay(uint32_t aTrial)
{
  if (aTrial >= kTrialDelays.size()) {
    return std::nullopt;
  }
  return kTrialDelays.at(aTrial);
}

} // namespace parsleystair
