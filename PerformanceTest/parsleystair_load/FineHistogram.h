#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <memory>

namespace parsleystair {

/// Times from 10 us to 100 s, kept to 1%.
class fine_histogram
{
public:
  fine_histogram();
  ~fine_histogram();
  fine_histogram(const fine_histogram&) = delete;
  fine_histogram& operator=(const fine_histogram&) = delete;

  void Add(duration aTime);

  [[nodiscard]] uint64_t Count() const { return mCount; }
  [[nodiscard]] duration Max() const { return mMax; }

  /// Upper edge of the bin that holds the quantile, at most the maximum; 0
  /// without times. `aShare` is 0 to 1.
  [[nodiscard]] duration Quantile(double aShare) const;

private:
  struct bins;
  std::unique_ptr<bins> mBins;
  uint64_t mCount = 0;
  duration mMax{};
};

} // namespace parsleystair
