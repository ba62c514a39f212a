#pragma once

#include "Parsleystair/Discovery/TargetDirectory.h"

#include <deque>
#include <unordered_map>

namespace parsleystair {

/// A live router, as the leader lists it.
struct sending_router
{
  std::string mHost;
  failure_domain_name mFailureDomain;

  bool operator==(const sending_router&) const = default;
};

/// Decides which requests this router sends to targets in slow start.
/// Addresses the load of many routers that choose the same few targets while
/// these bear only some requests a second. In any second, all routers together
/// send at most 1.5 times the rate and 8 requests more; why that holds while
/// they disagree is in docs/design/slow-start.md.
class slow_start_admission
{
public:
  /// Time for which a list gives full shares, from its confirmation.
  static constexpr duration kListValidity = 2500ms;
  /// Time for which a former list still limits the shares. What its senders
  /// sent last has arrived a second before.
  static constexpr duration kListOverlap = kListValidity + 1500ms;
  /// Time after the last confirmation in which a router without a confirmed
  /// list uses a reduced share.
  static constexpr duration kReducedTime = 10s;

  /// `aSelf`: host of this router, as the lists name it.
  explicit slow_start_admission(std::string aSelf);

  /// The leader's present list, which the store confirmed at `aConfirmedAt` or
  /// later. A list of an earlier leader is ignored.
  void HandleRouters(const std::vector<sending_router>& aRouters,
                     time_point aConfirmedAt,
                     time_point aNow);

  /// Returns the targets that this router may send a request to now. `aRate`:
  /// requests per second that a target bears in slow start; all targets pass if
  /// it is 0.
  std::vector<const known_target*> SendableOf(
    const std::vector<const known_target*>& aTargets,
    double aRate,
    time_point aNow);

  /// Returns whether this router may send a request to a target now.
  bool MaySend(const known_target& aTarget, double aRate, time_point aNow);

  /// Takes the token for a request. Returns false if there is none.
  bool TryTake(const known_target& aTarget, double aRate, time_point aNow);

  /// Returns whether the target is in slow start and needs a request of this
  /// router, as it becomes warm only by requests.
  [[nodiscard]] bool IsDue(const known_target& aTarget, time_point aNow) const;

  /// Removes the state of targets that have had no request for long.
  void Expire(time_point aNow);

private:
  /// A list of routers, and when it was replaced by another one.
  struct router_period
  {
    std::vector<sending_router> mRouters;
    time_point mReplacedAt = time_point::max();
  };

  /// What one list gives to this router for a target.
  struct share
  {
    /// Fraction of the rate.
    double mFraction = 0;
    bool mIsFirst = false;
  };

  struct target_state
  {
    /// Version of the lists that `mShare` follows from; 0 for none.
    uint64_t mVersion = 0;
    share mShare;
    double mTokens = 1;
    time_point mRefilledAt = time_point::min();
    time_point mLastTaken = time_point::min();
  };

  void RemoveFormerLists(time_point aNow);
  [[nodiscard]] share ShareOf(const known_target& aTarget,
                              const std::vector<sending_router>& aList) const;
  /// Smallest share in all lists that count.
  [[nodiscard]] share ShareOf(const known_target& aTarget) const;
  /// Fraction of the rate that this router may use now.
  [[nodiscard]] double PresentFraction(const share& aShare,
                                       time_point aNow) const;
  target_state& Refill(const known_target& aTarget,
                       double aRate,
                       time_point aNow);

  std::string mSelf;
  /// The present list is the last one; before the first list, an empty one.
  std::deque<router_period> mLists;
  uint64_t mVersion = 1;
  time_point mConfirmedAt = time_point::min();
  /// Time from which full shares may be used after a confirmation was late.
  time_point mFullFrom = time_point::min();
  std::unordered_map<target_name, target_state> mTargets;
};

} // namespace parsleystair
