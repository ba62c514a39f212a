#include "PerformanceTest/parsleystair_load/FineHistogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>

namespace parsleystair {

namespace {

namespace bh = boost::histogram;

constexpr double kShortest = 1e-5;
constexpr double kLongest = 1e2;
/// ln(kLongest / kShortest) / ln(1.01)
constexpr unsigned kBins = 1620;

auto MakeBins()
{
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
    kBins, kShortest, kLongest));
}

} // namespace

struct fine_histogram::bins
{
  decltype(MakeBins()) mHistogram = MakeBins();
};

fine_histogram::fine_histogram()
  : mBins(std::make_unique<bins>())
{
}

fine_histogram::~fine_histogram() = default;

void fine_histogram::Add(duration aTime)
{
  const std::chrono::duration<double> seconds = aTime;
  mBins->mHistogram(seconds.count());
  ++mCount;
  mMax = std::max(mMax, aTime);
}

duration fine_histogram::Quantile(double aShare) const
{
  const double wanted = std::ceil(aShare * static_cast<double>(mCount));
  double seen = 0;
  for (auto&& bin : bh::indexed(mBins->mHistogram, bh::coverage::all)) {
    seen += *bin;
    if (*bin > 0 && seen >= wanted) {
      const double upper = std::min(bin.bin().upper(), kLongest * 2);
      const auto edge =
        std::chrono::ceil<duration>(std::chrono::duration<double>(upper));
      return std::min(edge, mMax);
    }
  }
  return mMax;
}

} // namespace parsleystair
