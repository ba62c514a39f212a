#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/KeyRanges/DecayingCount.h"

#include <map>
#include <vector>

namespace parsleystair {

/// Time after which the caller of a refused request may come back if nothing is
/// overloaded; no Retry-After is shorter.
inline constexpr duration kMinRetryAfter = 200ms;

/// Answers the load of callers that come back too early: what was refused while
/// a service had no capacity is refused again if all of it returns at once.
/// Estimates the time that a service, or an owner of keys, needs for the
/// requests that this router has refused lately.
class overload_estimate
{
public:
  void AddResponse(time_point aNow) { mResponses.Add(1, aNow); }
  /// Counts a caller's request that was refused for lack of capacity.
  void AddRefusal(time_point aNow) { mRefusals.Add(1, aNow); }

  /// Zero if nothing shows an overload.
  [[nodiscard]] duration BacklogTime(time_point aNow) const;

  /// Whether nothing has been counted for many time constants.
  [[nodiscard]] bool IsEmpty(time_point aNow) const;

private:
  decaying_count mResponses;
  decaying_count mRefusals;
};

/// The same for an owner that serves `aShare` of the requests for a key,
/// according to the leader, which knows the requests at all routers.
duration BacklogTimeOfShare(double aShare);

/// Returns a Retry-After that spreads the callers of refused requests over
/// `aBacklogTime`. `aTimeLeft`: time that the caller has left, of which it
/// honours a third at most. `aDraw`: a random number from 0 to below 1.
duration DrawRetryAfter(duration aBacklogTime,
                        duration aTimeLeft,
                        double aDraw);

/// A service, or one owner of its keys.
struct overload_subject
{
  service_name mService;
  /// Empty for the service as a whole.
  target_name mOwner;

  auto operator<=>(const overload_subject&) const = default;
};

/// Start or end of an overload.
struct overload_change
{
  overload_subject mSubject;
  bool mOverloaded = false;
  duration mBacklogTime{};

  bool operator==(const overload_change&) const = default;
};

/// Overload estimates of all services and owners of keys at one router.
class overload_table
{
public:
  /// `aOwner`: empty if the service isn't keyed.
  void AddResponse(const service_name& aService,
                   const target_name& aOwner,
                   time_point aNow);
  void AddRefusal(const service_name& aService,
                  const target_name& aOwner,
                  time_point aNow);

  /// The longer one of the service's backlog time and the owner's.
  [[nodiscard]] duration BacklogTime(const service_name& aService,
                                     const target_name& aOwner,
                                     time_point aNow) const;

  /// Removes what is no longer needed. Returns what has become overloaded since
  /// the last call, and what no longer is.
  std::vector<overload_change> Update(time_point aNow);

  /// Number of services and owners that were overloaded at the last `Update`.
  [[nodiscard]] size_t Overloaded() const;

private:
  struct entry
  {
    overload_estimate mEstimate;
    bool mOverloaded = false;
  };

  std::map<overload_subject, entry> mEntries;
};

} // namespace parsleystair
