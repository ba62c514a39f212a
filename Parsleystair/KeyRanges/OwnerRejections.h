#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstddef>
#include <optional>

namespace parsleystair {

/// Answers the load of an owner of keys that gets more requests than it can
/// serve and whose full queue rejects the excess. Such an owner works without a
/// pause, so the rate at which it responds is its capacity.
class owner_rejections
{
public:
  /// Adds what a router has seen of the owner since its last report.
  void Add(size_t aResponses, size_t aRejections, time_point aNow);

  /// Requests in a second that the owner can serve; nothing if it has not
  /// rejected more than a few lately.
  [[nodiscard]] std::optional<double> Capacity(time_point aNow) const;

private:
  /// Time after a rejection in which responses are counted.
  struct measurement
  {
    time_point mStart;
    /// Time of the last report that was counted.
    time_point mEnd;
    double mResponses = 0;
    double mRejections = 0;
  };

  std::optional<measurement> mMeasurement;
  double mRate = 0;
  time_point mMeasuredAt = time_point::min();
};

} // namespace parsleystair
