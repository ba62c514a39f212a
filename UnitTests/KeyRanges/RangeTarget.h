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
  /// Time for which a target with a clock that runs 2 % slow holds a grant.
  static duration HoldTime(const grant_order& aOrder)
  {
    return std::chrono::duration_cast<duration>(aOrder.mGrantDuration * 1.02);
  }

  /// A grant may be applied after newer ones. Its hold counts from its arrival.
  order_result HandleGrant(const grant_order& aOrder, time_point aArrivedAt)
  {
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      if (aOrder.mKeys.Contains(SampleKey(sample)) &&
          mSamples[sample].mHighestFence > aOrder.mFence) {
        return order_result::kFenced;
      }
    }
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      if (aOrder.mKeys.Contains(SampleKey(sample))) {
        sample_state& state = mSamples[sample];
        state = { aOrder.mFence,
                  aOrder.mFence,
                  std::max(state.mExpiry, aArrivedAt + HoldTime(aOrder)) };
      }
    }
    return order_result::kAccepted;
  }

  order_result HandleRelease(const release_order& aOrder)
  {
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      if (aOrder.mKeys.Contains(SampleKey(sample))) {
        sample_state& state = mSamples[sample];
        state = { std::max(state.mHighestFence, aOrder.mFence),
                  aOrder.mFence,
                  time_point::min() };
      }
    }
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

  /// End of the hold of a sample key; no value if it is not held.
  [[nodiscard]] std::optional<time_point> HeldUntil(uint32_t aSample,
                                                    time_point aNow) const
  {
    const time_point expiry = mSamples[aSample].mExpiry;
    return expiry > aNow ? std::optional(expiry) : std::nullopt;
  }

private:
  struct sample_state
  {
    fence mHighestFence;
    fence mGrantedFence;
    time_point mExpiry = time_point::min();
  };

  std::array<sample_state, kSampleCount> mSamples;
};

} // namespace parsleystair
