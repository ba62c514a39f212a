#include "PerformanceTest/parsleystair_load/ZipfDistribution.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <cmath>

// Rejection-inversion sampling (W. Hörmann, G. Derflinger: Rejection-inversion
// to generate variates from monotone discrete distributions, 1996). A table of
// sums would take 2.6 GB at 330 million keys.

namespace parsleystair {

namespace {

/// Below this, the quotients are replaced by the start of their series.
constexpr double kSmall = 1e-8;

/// log(1 + x) / x
double LogQuotient(double aX)
{
  return std::abs(aX) > kSmall ? std::log1p(aX) / aX : 1 - aX / 2;
}

/// (exp(x) - 1) / x
double ExpQuotient(double aX)
{
  return std::abs(aX) > kSmall ? std::expm1(aX) / aX : 1 + aX / 2;
}

} // namespace

zipf_distribution::zipf_distribution(uint64_t aRanks, double aExponent)
  : mRanks(aRanks)
  , mExponent(aExponent)
  , mFirstArea(Integral(1.5) - 1)
  , mLastArea(Integral(static_cast<double>(aRanks) + 0.5))
  , mShortcut(2 - InverseIntegral(Integral(2.5) - Density(2)))
{
  PARSLEYSTAIR_INVARIANT(aRanks > 0);
  PARSLEYSTAIR_INVARIANT(aExponent >= 0);
}

double zipf_distribution::Density(double aRank) const
{
  return std::exp(-mExponent * std::log(aRank));
}

double zipf_distribution::Integral(double aRank) const
{
  const double logRank = std::log(aRank);
  return ExpQuotient((1 - mExponent) * logRank) * logRank;
}

double zipf_distribution::InverseIntegral(double aArea) const
{
  const double x = std::max(-1.0, aArea * (1 - mExponent));
  return std::exp(LogQuotient(x) * aArea);
}

uint64_t zipf_distribution::operator()(std::mt19937_64& aRandom) const
{
  std::uniform_real_distribution<double> uniform(0, 1);
  for (;;) {
    const double area = mLastArea + uniform(aRandom) * (mFirstArea - mLastArea);
    const double x = InverseIntegral(area);
    const double rank =
      std::clamp(std::floor(x + 0.5), 1.0, static_cast<double>(mRanks));
    if (rank - x <= mShortcut || area >= Integral(rank + 0.5) - Density(rank)) {
      return static_cast<uint64_t>(rank);
    }
  }
}

} // namespace parsleystair
