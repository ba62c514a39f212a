#include "Parsleystair/Limits/OverloadEstimate.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Refusals within the time constant below which they are taken for chance.
constexpr double kMinRefusals = 2;
/// Responses within the time constant that are assumed at least, so that the
/// backlog time of a target that responds to nothing is bounded.
constexpr double kMinResponses = 1;
/// Limit on backlog times; longer than any caller waits.
constexpr duration kMaxBacklogTime = 60s;
/// A third of a caller's remaining time is the longest Retry-After that it
/// honours.
constexpr int kHonouredTimeDivisor = 3;
/// Time that a response takes to reach its caller at most, on links that work.
constexpr duration kTransitTime = 50ms;
/// Count below which an estimate is dropped.
constexpr double kNegligibleCount = 0.01;

double CountOf(const decaying_count& aCount, time_point aNow)
{
  return aCount.Rate(aNow) * ToSeconds(decaying_count::kTimeConstant);
}

/// Time in which the refused requests come back at the rate of the responses.
duration BacklogTimeOfRatio(double aRefusalsPerResponse)
{
  return std::min(
    kMaxBacklogTime,
    FromSeconds(std::min(aRefusalsPerResponse, ToSeconds(kMaxBacklogTime)) *
                ToSeconds(decaying_count::kTimeConstant)));
}

} // namespace

duration overload_estimate::BacklogTime(time_point aNow) const
{
  const double refusals = CountOf(mRefusals, aNow);
  if (refusals < kMinRefusals) {
    return duration::zero();
  }
  const duration time = BacklogTimeOfRatio(
    refusals / std::max(kMinResponses, CountOf(mResponses, aNow)));
  return time > kMinRetryAfter ? time : duration::zero();
}

bool overload_estimate::IsEmpty(time_point aNow) const
{
  return CountOf(mResponses, aNow) < kNegligibleCount &&
         CountOf(mRefusals, aNow) < kNegligibleCount;
}

duration BacklogTimeOfShare(double aShare)
{
  if (aShare >= 1) {
    return duration::zero();
  }
  return aShare <= 0 ? kMaxBacklogTime : BacklogTimeOfRatio(1 / aShare - 1);
}

duration DrawRetryAfter(duration aBacklogTime, duration aTimeLeft, double aDraw)
{
  const duration longest =
    std::min(aBacklogTime, (aTimeLeft - kTransitTime) / kHonouredTimeDivisor);
  if (longest <= kMinRetryAfter) {
    return kMinRetryAfter;
  }
  return kMinRetryAfter +
         FromSeconds(ToSeconds(longest - kMinRetryAfter) * aDraw);
}

void overload_table::AddResponse(const service_name& aService,
                                 const target_name& aOwner,
                                 time_point aNow)
{
  mEntries[{ aService, {} }].mEstimate.AddResponse(aNow);
  if (aOwner != target_name()) {
    mEntries[{ aService, aOwner }].mEstimate.AddResponse(aNow);
  }
}

void overload_table::AddRefusal(const service_name& aService,
                                const target_name& aOwner,
                                time_point aNow)
{
  mEntries[{ aService, {} }].mEstimate.AddRefusal(aNow);
  if (aOwner != target_name()) {
    mEntries[{ aService, aOwner }].mEstimate.AddRefusal(aNow);
  }
}

duration overload_table::BacklogTime(const service_name& aService,
                                     const target_name& aOwner,
                                     time_point aNow) const
{
  duration longest{};
  for (const target_name& owner : { target_name(), aOwner }) {
    const auto found = mEntries.find({ aService, owner });
    if (found != mEntries.end()) {
      longest = std::max(longest, found->second.mEstimate.BacklogTime(aNow));
    }
  }
  return longest;
}

std::vector<overload_change> overload_table::Update(time_point aNow)
{
  std::vector<overload_change> changes;
  for (auto& [subject, each] : mEntries) {
    const duration time = each.mEstimate.BacklogTime(aNow);
    const bool overloaded = time > duration::zero();
    if (overloaded != each.mOverloaded) {
      each.mOverloaded = overloaded;
      changes.push_back({ subject, overloaded, time });
    }
  }
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aEntry.second.mEstimate.IsEmpty(aNow);
  });
  return changes;
}

size_t overload_table::Overloaded() const
{
  return static_cast<size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [](const auto& aEntry) {
      return aEntry.second.mOverloaded;
    }));
}

} // namespace parsleystair
