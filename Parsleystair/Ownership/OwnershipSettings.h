#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>

namespace parsleystair {

/// Time limits of ownership. Section 5 of docs/design.md derives them from the
/// requirement that a key is served again within 1 s of the loss of its target.
struct ownership_settings
{
  /// How long a confirmation that a record is the newest is valid, counted from
  /// when it was requested.
  duration mAuthorityDuration = 300ms;
  /// Lifetime of a grant on the target's clock.
  duration mGrantTtl = 300ms;
  /// Interval between renewals; a third of `mGrantTtl`, so that two consecutive
  /// renewals may be lost.
  duration mRenewInterval = 100ms;
  /// Time without an answer after which a target counts as lost.
  duration mTargetLossTimeout = 250ms;
  /// Interval between reads of the store.
  duration mPollInterval = 100ms;
  /// Time without an answer from the store after which holders are asked to
  /// confirm; 1.5 poll intervals, so that the confirmation arrives before
  /// authority ends.
  duration mStoreTimeout = 150ms;
  /// Interval between announcements of a record to a holder that has not
  /// acknowledged it.
  duration mAnnounceRetryInterval = 100ms;
  /// How long an acknowledgement counts towards the quorum. A holder that
  /// restarts while the store is down recovers only from records that it
  /// requested later than this after its start. By then, either its earlier
  /// acknowledgement no longer counts, or the other holders of the quorum know
  /// the record too.
  duration mAckValidity = 1s;
  /// Delay per rank before a router writes a change that routers of lower rank
  /// number have not written. Longer than a write to the store plus one missed
  /// poll.
  duration mTakeoverDelay = 400ms;
  /// Absence after which a holder is replaced; longer than a process restart
  /// that the platform does not report.
  duration mHolderReplacementDelay = 3s;
  /// Absence from the platform's list after which a VM counts as terminated and
  /// can no longer confirm. The list lags by seconds.
  duration mGoneDelay = 10s;
  /// Age of a configuration from which services and targets that it does not
  /// name count as withdrawn. Until then, other routers may have a newer
  /// configuration.
  duration mConfigurationSettleDelay = 2s;
  /// Age of this process from which it creates missing groups. By then it knows
  /// the other routers and can spread the groups' holders over them.
  duration mGroupCreationDelay = 2s;
  /// How long a planned move is kept until it can start.
  duration mPlannedMoveTtl = 5s;
  /// Maximum number of concurrent writes of this router. The store handles
  /// several hundred writes per second from all routers together.
  uint32_t mMaxWritesInFlight = 16;

  /// Age of this process from which records requested from other routers count
  /// towards being ready.
  [[nodiscard]] duration RecoveryDelay() const
  {
    return mAckValidity * 102 / 100 + 10ms;
  }

  /// Time after which no grant of an older record can be in force: authority
  /// and grant lifetime on clocks that are up to 1% slow, plus 10 ms for this
  /// router's clock being up to 1% fast and for rounding.
  [[nodiscard]] duration ExclusionWait() const
  {
    return (mAuthorityDuration + mGrantTtl) * 101 / 100 + 10ms;
  }
};

} // namespace parsleystair
