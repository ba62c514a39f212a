#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/KeyRanges/RangeActions.h"

#include <algorithm>
#include <array>
#include <optional>

namespace parsleystair {

/// Number of sample keys whose ownership `range_simulation` checks.
constexpr uint32_t kSampleCount = 64;

constexpr uint32_t SampleKey(uint32_t aSample)
{
  return aSample * ((kMaxKeyNumber + 1) / kSampleCount) + 5;
}

/// The sample keys that one incarnation of a target holds, and the highest
/// fence that it has accepted for each.
class range_target
{
public:
  order_result HandleGrant(const grant_order& aOrder, time_point aNow)
  {
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      if (aOrder.mKeys.Contains(SampleKey(sample)) &&
          mSamples[sample].mHighestFence > aOrder.mFence) {
        return order_result::kFenced;
      }
    }
    // The target's clock may run 2 % slow, so its grant lasts longer.
    const auto hold = std::chrono::duration_cast<duration>(aOrder.mGrantDuration * 1.02);
    SetKeys(aOrder.mKeys, aOrder.mFence, aNow + hold);
    return order_result::kAccepted;
  }

  order_result HandleRelease(const release_order& aOrder)
  {
    SetKeys(aOrder.mKeys, aOrder.mFence, time_point::min());
    return order_result::kAccepted;
  }

  /// Fence with which a sample key is held; no value if it is not held.
  [[nodiscard]] std::optional<fence> HeldFence(uint32_t aSample,
                                               time_point aNow) const
  {
    const sample_state& state = mSamples[aSample];
    return state.mExpiry > aNow ? std::optional(state.mGrantedFence)
                                : std::nullopt;
  }

private:
  struct sample_state
  {
    fence mHighestFence;
    fence mGrantedFence;
    time_point mExpiry = time_point::min();
  };

  void SetKeys(const key_interval& aKeys,
               const fence& aFence,
               time_point aUntil)
  {
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      if (aKeys.Contains(SampleKey(sample))) {
        sample_state& state = mSamples[sample];
        state = { std::max(state.mHighestFence, aFence), aFence, aUntil };
      }
    }
  }

  std::array<sample_state, kSampleCount> mSamples;
};

} // namespace parsleystair
