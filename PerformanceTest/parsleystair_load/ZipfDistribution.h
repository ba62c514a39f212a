#pragma once

#include <cstdint>
#include <random>

namespace parsleystair {

/// Zipf's distribution over ranks 1 to n in constant memory: the chance of rank
/// k is proportional to 1 / k^s.
class zipf_distribution
{
public:
  /// `aExponent` is at least 0.
  zipf_distribution(uint64_t aRanks, double aExponent);

  uint64_t operator()(std::mt19937_64& aRandom) const;

private:
  [[nodiscard]] double Density(double aRank) const;
  [[nodiscard]] double Integral(double aRank) const;
  [[nodiscard]] double InverseIntegral(double aArea) const;

  uint64_t mRanks;
  double mExponent;
  double mFirstArea;
  double mLastArea;
  double mShortcut;
};

} // namespace parsleystair
