#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleystair {

/// Registration of a target, as the target reports it.
struct discovered_target
{
  target_name mName;
  service_name mService;
  /// IP address and port for requests.
  std::string mHost;
  uint16_t mPort = 0;
  failure_domain_name mFailureDomain;
  /// Maximum number of concurrent requests.
  uint32_t mConcurrency = 1;
  /// The target is draining and gets no new requests.
  bool mDraining = false;
  /// Duration of the slow start, counted from the first report after the start
  /// of the target.
  duration mSlowStart{};
  /// Start time of the target in milliseconds since 1970 UTC. Distinguishes a
  /// restarted target that keeps its name.
  uint64_t mStartedMs = 0;
  /// Counts the reports of the target since its start; 0 if it doesn't tell.
  uint64_t mReportNumber = 0;

  bool operator==(const discovered_target&) const = default;
};

/// A target and the state that this router derived for it.
struct known_target
{
  discovered_target mTarget;
  /// End of the target's slow start.
  time_point mSlowUntil = time_point::min();
  /// End of the latest slow start in which the target's requests are limited;
  /// `time_point::min()` in a service without such a limit.
  time_point mLimitedUntil = time_point::min();
  /// Time at which a target whose entry is missing is dropped; empty while the
  /// entry exists.
  std::optional<time_point> mDropAt;
  /// Set while the target gets no requests because another one has responded at
  /// its address: the time at which it may be tried again.
  std::optional<time_point> mReplacedUntil;
  /// Start time of the process that has said in an answer that it leaves.
  std::optional<uint64_t> mLeavingStartedMs;
  /// An operator has asked that the target's failure domain gets no requests.
  bool mEvacuated = false;

  /// Returns true if the target leaves, according to its entry or an answer.
  [[nodiscard]] bool IsLeaving() const
  {
    return mTarget.mDraining || mLeavingStartedMs == mTarget.mStartedMs;
  }

  /// Returns true if only few requests may be sent to the target now.
  [[nodiscard]] bool IsLimited(time_point aNow) const
  {
    return aNow < mLimitedUntil;
  }

  /// Returns true if the target may get new requests.
  [[nodiscard]] bool IsUsable() const
  {
    return !IsLeaving() && !mReplacedUntil && !mEvacuated;
  }
};

/// Targets that are registered in the platform's store.
class target_directory
{
public:
  /// Time after an outage of the store in which live targets register again. A
  /// target that is missing for longer is dropped.
  static constexpr duration kOutageGracePeriod = 2200ms;
  /// Time after a restore of the store in which an entry may be that of the
  /// copy. Targets report more often, and entries of those that have left
  /// expire.
  static constexpr duration kRestoreSettlingTime = 5s;

  /// Replaces all entries.
  void Reset(const std::vector<discovered_target>& aTargets, time_point aNow);

  /// Adds or replaces one entry.
  void Update(const discovered_target& aTarget, time_point aNow);

  /// Handles the removal of an entry.
  void Remove(const target_name& aName, time_point aNow);

  /// Time after which a target at whose address another one responded is tried
  /// again. The response may be wrong, and an entry that doesn't change doesn't
  /// show that its target is alive.
  static constexpr duration kReplacedTime = 10s;

  /// Another target responds at an address. If it is the present address of
  /// `aName`, that target gets no new requests until its entry changes or
  /// `kReplacedTime` has passed. Returns whether this changes anything.
  bool HandleReplaced(const target_name& aName,
                      const std::string& aHost,
                      uint16_t aPort,
                      time_point aNow);

  /// The process of a target that was started at `aStartedMs` has said in an
  /// answer that it leaves. It gets no new requests, whatever its entry says;
  /// another start of the target does. Returns whether this is new of a target
  /// that is known.
  bool HandleLeaving(const target_name& aName, uint64_t aStartedMs);

  /// Services that limit the requests to targets in slow start, with the time
  /// for which targets are in slow start; zero if that is unknown.
  using slow_start_times = std::map<service_name, duration>;
  void SetSlowStartTimes(slow_start_times aTimes, time_point aNow);

  /// Handles that the process of a target that was started at `aStartedMs`
  /// remains in slow start for `aRest`. Returns whether this extends the known
  /// slow start.
  bool HandleSlowStart(const target_name& aName,
                       uint64_t aStartedMs,
                       duration aRest,
                       time_point aNow);

  /// Slow starts that were longer than a target of the service can be slow.
  [[nodiscard]] uint64_t ImplausibleSlowStarts() const
  {
    return mImplausibleSlowStarts;
  }

  /// Replaces the failure domains whose targets get no new requests, also those
  /// that register later. Returns whether this changes the set.
  bool SetEvacuated(std::set<failure_domain_name> aDomains);
  [[nodiscard]] const std::set<failure_domain_name>& Evacuated() const
  {
    return mEvacuated;
  }

  /// Handle the start and the end of an outage of the store.
  void HandleStoreOutage(time_point aNow);
  void HandleStoreRecovery(time_point aNow);

  /// The store has come back from an older copy. Targets whose entries are
  /// missing from it register again. For `kRestoreSettlingTime`, entries that
  /// are older than what is known of their targets change nothing: the targets
  /// may have left since, or be draining.
  void HandleStoreRestored(time_point aNow);

  /// Drops the targets that did not register again in time, and makes targets
  /// usable that are to be tried again. Returns true if there was any.
  bool Expire(time_point aNow);

  [[nodiscard]] const known_target* Find(const target_name& aName) const;
  [[nodiscard]] const std::map<target_name, known_target>& All() const
  {
    return mTargets;
  }

  /// Targets of a service that may get new requests.
  [[nodiscard]] std::vector<const known_target*> UsableOf(
    const service_name& aService) const;

private:
  /// Last report of a target that has left.
  struct removed_target
  {
    uint64_t mStartedMs = 0;
    uint64_t mReportNumber = 0;
    time_point mRemovedAt = time_point::min();
    std::optional<uint64_t> mLeavingStartedMs;
  };

  /// Extends the time in which requests to a target are limited.
  bool ExtendSlowStart(known_target& aKnown, duration aRest, time_point aNow);
  [[nodiscard]] bool IsInGracePeriod(time_point aNow) const;
  [[nodiscard]] bool IsOutdated(const discovered_target& aTarget) const;
  [[nodiscard]] bool IsRemoved(const discovered_target& aTarget) const;
  void Erase(const target_name& aName, time_point aNow);

  std::map<target_name, known_target> mTargets;
  std::map<target_name, removed_target> mRemoved;
  slow_start_times mSlowStartTimes;
  uint64_t mImplausibleSlowStarts = 0;
  std::set<failure_domain_name> mEvacuated;
  bool mStoreLost = false;
  time_point mGracePeriodEnd = time_point::min();
  /// Time until which entries may be those of a copy.
  time_point mSettlesUntil = time_point::min();
};

} // namespace parsleystair
