#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>

namespace parsleystair {

/// Time limits of ownership. Section 5 of docs/design.md derives them from the
/// rule that a key is served again within 1 s of the loss of its target.
struct ownership_settings
{
  /// How long a proof that a record is the newest counts, from when it was
  /// asked for.
  duration mAuthorityDuration = 300ms;
  /// How long a grant lasts on the target's clock.
  duration mGrantTtl = 300ms;
  /// Interval between renewals; a third of `mGrantTtl`, so that two in a row
  /// may be lost.
  duration mRenewInterval = 100ms;
  /// Silence after which a target counts as lost.
  duration mTargetLossTimeout = 250ms;
  /// Interval between reads of the store.
  duration mPollInterval = 100ms;
  /// Silence of the store after which holders are asked to confirm: one and a
  /// half polls, so that the confirmation arrives before authority ends.
  duration mStoreTimeout = 150ms;
  /// Interval between announcements to a holder that has not acknowledged.
  duration mAnnounceRetryInterval = 100ms;
  /// How long an acknowledgement counts towards the deciding set. A holder that
  /// restarts without the store recovers only from records it asked for later
  /// than this after its start: by then either its earlier acknowledgement no
  /// longer counts or the others that count know the record too.
  duration mAckValidity = 1s;
  /// How long the second and third router in line leave work to the one before
  /// them. Longer than a write to the store plus one missed poll.
  duration mTakeoverDelay = 400ms;
  /// Absence after which a holder is replaced; longer than a process restart
  /// that the platform doesn't report.
  duration mHolderReplacementDelay = 3s;
  /// Absence from the platform's list after which a VM has ended for good and
  /// can't confirm any more. The list lags behind by seconds.
  duration mGoneDelay = 10s;
  /// Age of a configuration from which services and targets that it does not
  /// name count as withdrawn; other routers may have a newer one until then.
  duration mConfigurationSettleDelay = 2s;
  /// Age of this process from which it creates missing groups, so that it knows
  /// the other routers and spreads the groups' holders over them.
  duration mGroupCreationDelay = 2s;
  /// How long a planned move waits for its group to be free.
  duration mPlannedMoveTtl = 5s;
  /// Writes that this router has under way at once; the store takes several
  /// hundred a second from all routers together.
  uint32_t mMaxWritesInFlight = 16;

  /// Age of this process from which records of other routers make it ready.
  [[nodiscard]] duration RecoveryDelay() const
  {
    return mAckValidity * 102 / 100 + 10ms;
  }

  /// Time after which no grant of an older record can be in force: authority
  /// and grant on clocks that are up to 1% slow, and 10 ms for the present
  /// clock being up to 1% fast and for rounding.
  [[nodiscard]] duration ExclusionWait() const
  {
    return (mAuthorityDuration + mGrantTtl) * 101 / 100 + 10ms;
  }
};

} // namespace parsleystair
