#include "Parsleystair/KeyRanges/RangePlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace parsleystair {

namespace {

/// Ratio of an owner's load per capacity to the mean from which keys are moved.
/// The noise factor raises it for few requests: a count of n requests varies by
/// the square root of n.
constexpr double kMinImbalance = 1.15;
constexpr double kNoiseFactor = 2;
/// A candidate whose load is below this fraction of the mean gets keys at any
/// imbalance.
constexpr double kEmptyFraction = 0.05;
/// Minimum weight of a move, as a fraction of the desired weight; smaller moves
/// do not justify the interruption.
constexpr double kMinMoveFraction = 0.2;
/// Cost of moving all keys, relative to missing the desired weight by 100 %. Of
/// two pieces of similar weight, the one with fewer keys is moved.
constexpr double kKeyCountCost = 3;
/// A piece heavier than the desired weight by this factor is not moved.
constexpr double kMaxOvershootFactor = 1.5;

double RelativeWeight(const owner_candidate& aCandidate)
{
  return aCandidate.mWeight / aCandidate.mCapacity;
}

owner_candidate& LeastLoaded(std::vector<owner_candidate>& aCandidates)
{
  return *std::min_element(aCandidates.begin(),
                           aCandidates.end(),
                           [](const auto& aLeft, const auto& aRight) {
                             return RelativeWeight(aLeft) <
                                    RelativeWeight(aRight);
                           });
}

/// Number of pieces into which keys of weight `aWeight` are split, so that no
/// piece exceeds an equal share of `aTotal`.
size_t PieceCount(double aWeight,
                  double aTotal,
                  const std::vector<owner_candidate>& aCandidates)
{
  const auto count = static_cast<double>(aCandidates.size());
  const double pieces = std::ceil(aWeight * count / std::max(aTotal, 1e-9));
  return static_cast<size_t>(std::clamp(pieces, 1.0, count));
}

/// Last key of the prefix of `aKeys` whose weight is about `aDesiredWeight`.
/// The prefix ends at a bucket boundary and includes at least one bucket;
/// another bucket is added while at most half of its weight exceeds the desired
/// weight.
uint32_t PrefixEnd(const key_interval& aKeys,
                   const key_load& aLoad,
                   double aDesiredWeight)
{
  double weight = 0;
  uint32_t end = aKeys.mFirst;
  uint32_t key = aKeys.mFirst;
  while (key <= aKeys.mLast) {
    const uint32_t bucketEnd =
      std::min(key | (key_load::kKeysPerBucket - 1), aKeys.mLast);
    const double added = aLoad.WeightOf({ key, bucketEnd });
    if (key != aKeys.mFirst && weight + added / 2 > aDesiredWeight) {
      break;
    }
    weight += added;
    end = bucketEnd;
    key = bucketEnd + 1;
  }
  return end;
}

/// Piece at one edge of a range whose weight is close to the desired weight.
struct edge_piece
{
  key_interval mKeys;
  double mWeight = 0;
};

edge_piece LeftEdgePiece(const key_interval& aKeys,
                         const key_load& aLoad,
                         double aDesiredWeight)
{
  const key_interval piece{ aKeys.mFirst,
                            PrefixEnd(aKeys, aLoad, aDesiredWeight) };
  return { piece, aLoad.WeightOf(piece) };
}

edge_piece RightEdgePiece(const key_interval& aKeys,
                          const key_load& aLoad,
                          double aDesiredWeight)
{
  const double rest = aLoad.WeightOf(aKeys) - aDesiredWeight;
  const uint32_t cut = PrefixEnd(aKeys, aLoad, rest);
  if (cut >= aKeys.mLast) {
    return {};
  }
  const key_interval piece{ cut + 1, aKeys.mLast };
  return { piece, aLoad.WeightOf(piece) };
}

/// Edge piece with the lowest cost among all ranges of an owner; empty if no
/// piece has a suitable weight.
std::optional<key_interval> FindBestPiece(const range_record& aRecord,
                                          const target_name& aOwner,
                                          const key_load& aLoad,
                                          double aDesiredWeight)
{
  std::optional<key_interval> best;
  double bestCost = std::numeric_limits<double>::max();
  for (const owned_range& range : aRecord.mRanges) {
    if (range.mOwner.mName != aOwner) {
      continue;
    }
    for (const edge_piece& piece :
         { LeftEdgePiece(range.mKeys, aLoad, aDesiredWeight),
           RightEdgePiece(range.mKeys, aLoad, aDesiredWeight) }) {
      const bool fits = piece.mWeight <= aDesiredWeight * kMaxOvershootFactor &&
                        piece.mWeight >= aDesiredWeight * kMinMoveFraction;
      const double keys = static_cast<double>(piece.mKeys.Size()) /
                          static_cast<double>(kMaxKeyNumber);
      const double cost =
        std::abs(piece.mWeight - aDesiredWeight) / aDesiredWeight +
        kKeyCountCost * keys;
      if (fits && cost < bestCost) {
        best = piece.mKeys;
        bestCost = cost;
      }
    }
  }
  return best;
}

} // namespace

std::vector<planned_range> PlanOwners(const key_interval& aKeys,
                                      const key_load& aLoad,
                                      std::vector<owner_candidate>& aCandidates)
{
  if (aCandidates.empty()) {
    return {};
  }
  const double weight = aLoad.WeightOf(aKeys);
  double total = weight;
  for (const owner_candidate& each : aCandidates) {
    total += each.mWeight;
  }
  const size_t pieces = PieceCount(weight, total, aCandidates);
  std::vector<planned_range> plan;
  key_interval remaining = aKeys;
  for (size_t piece = pieces; piece > 0; --piece) {
    const double desired =
      aLoad.WeightOf(remaining) / static_cast<double>(piece);
    const uint32_t end =
      piece == 1 ? remaining.mLast : PrefixEnd(remaining, aLoad, desired);
    const key_interval keys{ remaining.mFirst, end };
    owner_candidate& owner = LeastLoaded(aCandidates);
    owner.mWeight += aLoad.WeightOf(keys);
    plan.push_back({ keys, owner.mName });
    if (end >= remaining.mLast) {
      break;
    }
    remaining.mFirst = end + 1;
  }
  return plan;
}

std::optional<planned_range> PlanBalanceMove(
  const range_record& aRecord,
  const key_load& aLoad,
  const std::vector<owner_candidate>& aCandidates)
{
  if (aCandidates.size() < 2) {
    return std::nullopt;
  }
  std::vector<owner_candidate> byLoad = aCandidates;
  std::sort(
    byLoad.begin(), byLoad.end(), [](const auto& aLeft, const auto& aRight) {
      return RelativeWeight(aLeft) > RelativeWeight(aRight);
    });
  const owner_candidate& least = byLoad.back();
  double weight = 0;
  double capacity = 0;
  for (const owner_candidate& each : aCandidates) {
    weight += each.mWeight;
    capacity += each.mCapacity;
  }
  const double mean = weight / capacity;
  const bool hasEmptyCandidate = RelativeWeight(least) < kEmptyFraction * mean;
  const double requests = std::max(
    1.0, aLoad.RequestCount() / static_cast<double>(aCandidates.size()));
  const double limit = kMinImbalance + kNoiseFactor / std::sqrt(requests);
  // If the load of the most loaded owner is on a single bucket, no piece of it
  // is suitable, and the next most loaded owner is tried.
  for (const owner_candidate& most : byLoad) {
    const double load = RelativeWeight(most);
    const bool isOver =
      load >= limit * mean || (hasEmptyCandidate && load > mean);
    if (!isOver) {
      break;
    }
    // Move as much as brings one of the two to the mean, but at least half of
    // the mean load.
    const double excess = std::min(load - mean, mean - RelativeWeight(least));
    const double desired = std::max(excess, mean / 2) * least.mCapacity;
    if (const auto piece = FindBestPiece(aRecord, most.mName, aLoad, desired)) {
      return planned_range{ *piece, least.mName };
    }
  }
  return std::nullopt;
}

} // namespace parsleystair
