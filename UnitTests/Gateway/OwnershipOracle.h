#pragma once

#include "UnitTests/KeyRanges/RangeTarget.h"

#include <array>
#include <map>
#include <stdexcept>
#include <string>

namespace parsleystair {

/// Thrown by the first grant that breaks a rule of exclusive ownership.
class ownership_violation : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Follows which running target holds each sample key. Two targets can only
/// begin to hold a key together when a target accepts a grant, so each accepted
/// grant is checked.
class ownership_oracle
{
public:
  struct grant
  {
    target_incarnation mTarget;
    key_interval mKeys;
    fence mFence;
    /// End of the hold, counted from the arrival of the grant.
    time_point mHeldUntil;
  };

  /// `aChecksRestarts`: a target that has restarted is another owner, which
  /// needs a higher fence.
  explicit ownership_oracle(bool aChecksRestarts)
    : mChecksRestarts(aChecksRestarts)
  {
  }

  /// Throws `ownership_violation`.
  void HandleGrant(const grant& aGrant, time_point aNow)
  {
    if (aGrant.mHeldUntil <= aNow) {
      return;
    }
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      if (aGrant.mKeys.Contains(SampleKey(sample))) {
        CheckHolders(sample, aGrant, aNow);
        CheckFence(sample, aGrant);
        hold& held = mSamples[sample].mHolds[aGrant.mTarget.mName];
        held.mFence = aGrant.mFence;
        held.mUntil = std::max(held.mUntil, aGrant.mHeldUntil);
      }
    }
  }

  /// The target works on released keys until `aWorkEnd`.
  void HandleRelease(const target_name& aTarget,
                     uint32_t aSample,
                     time_point aWorkEnd)
  {
    hold& held = mSamples[aSample].mHolds[aTarget];
    held.mUntil = std::min(held.mUntil, aWorkEnd);
  }

  void HandleTargetEnded(const target_name& aTarget)
  {
    for (sample_state& sample : mSamples) {
      sample.mHolds.erase(aTarget);
    }
  }

private:
  struct hold
  {
    fence mFence;
    time_point mUntil = time_point::min();
  };

  /// Highest fences with which owners held a key.
  template<typename Owner>
  class fence_history
  {
  public:
    /// Returns the highest fence of all owners other than `aOwner`.
    fence Add(const Owner& aOwner, const fence& aFence)
    {
      if (!(mHighestOwner == aOwner)) {
        mHighestOfOthers = mHighest;
        mHighestOwner = aOwner;
      }
      mHighest = std::max(mHighest, aFence);
      return mHighestOfOthers;
    }

  private:
    Owner mHighestOwner;
    fence mHighest;
    fence mHighestOfOthers;
  };

  struct sample_state
  {
    std::map<target_name, hold> mHolds;
    fence_history<target_name> mByTarget;
    fence_history<target_incarnation> mByIncarnation;
  };

  static std::string Describe(uint32_t aSample, const grant& aGrant)
  {
    return "key " + std::to_string(SampleKey(aSample)) + " is granted to " +
           aGrant.mTarget.mName.Value() + " with fence " +
           std::to_string(aGrant.mFence.Value());
  }

  void CheckHolders(uint32_t aSample,
                    const grant& aGrant,
                    time_point aNow) const
  {
    for (const auto& [name, held] : mSamples[aSample].mHolds) {
      if (name != aGrant.mTarget.mName && held.mUntil > aNow) {
        throw ownership_violation(
          Describe(aSample, aGrant) + " while " + name.Value() +
          " holds it with fence " + std::to_string(held.mFence.Value()) +
          " for another " + std::to_string((held.mUntil - aNow) / 1ms) + " ms");
      }
    }
  }

  void CheckFence(uint32_t aSample, const grant& aGrant)
  {
    sample_state& sample = mSamples[aSample];
    const fence others = std::max(
      sample.mByTarget.Add(aGrant.mTarget.mName, aGrant.mFence),
      mChecksRestarts ? sample.mByIncarnation.Add(aGrant.mTarget, aGrant.mFence)
                      : fence(0));
    if (aGrant.mFence <= others) {
      throw ownership_violation(
        Describe(aSample, aGrant) + ", which isn't above fence " +
        std::to_string(others.Value()) + " of another owner");
    }
  }

  bool mChecksRestarts;
  std::array<sample_state, kSampleCount> mSamples;
};

} // namespace parsleystair
