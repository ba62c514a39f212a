#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// What a target says of itself.
struct discovered_target
{
  target_name mName;
  service_name mService;
  /// IP address and port for requests.
  std::string mHost;
  uint16_t mPort = 0;
  failure_domain_name mFailureDomain;
  /// Requests that it runs at a time.
  uint32_t mConcurrency = 1;
  /// It is leaving and gets no new requests.
  bool mDraining = false;
  /// Time for which it stays slow after its start, counted from the report.
  duration mSlowStart{};
  /// Start of this life, in milliseconds since 1970 UTC; a restarted target
  /// may keep its name and has another value.
  uint64_t mStartedMs = 0;

  bool operator==(const discovered_target&) const = default;
};

/// A target and what this router concluded of it.
struct known_target
{
  discovered_target mTarget;
  /// The target is slow until then.
  time_point mSlowUntil = time_point::min();
  /// Set while the entry is missing though the target may return.
  std::optional<time_point> mMissingUntil;

  /// New requests may go there.
  [[nodiscard]] bool IsUsable() const { return !mTarget.mDraining; }
};

/// The targets in service, from their entries in the platform's store.
class target_directory
{
public:
  /// Time after an outage of the store within which live targets put their
  /// entries back. A target missing for longer is gone.
  static constexpr duration kOutageGracePeriod = 2200ms;

  /// Replaces all entries.
  void Reset(const std::vector<discovered_target>& aTargets, time_point aNow);

  /// Adds or replaces one entry.
  void Update(const discovered_target& aTarget, time_point aNow);

  /// An entry was removed.
  void Remove(const target_name& aName, time_point aNow);

  /// The store does not answer, or answers again.
  void HandleStoreLost(time_point aNow);
  void HandleStoreBack(time_point aNow);

  /// Drops the targets whose entries did not return in time. Returns true when
  /// any was dropped.
  bool Expire(time_point aNow);

  [[nodiscard]] const known_target* Find(const target_name& aName) const;
  [[nodiscard]] const std::map<target_name, known_target>& All() const
  {
    return mTargets;
  }

  /// Targets of a service to which new requests may go.
  [[nodiscard]] std::vector<const known_target*> UsableOf(
    const service_name& aService) const;

private:
  [[nodiscard]] bool IsInGracePeriod(time_point aNow) const;

  std::map<target_name, known_target> mTargets;
  bool mStoreLost = false;
  time_point mGracePeriodEnd = time_point::min();
};

} // namespace parsleystair
