#pragma once

#include <cstdint>
#include <map>

namespace parsleystair {

/// Answers the load of a service that can run only a share of its requests:
/// divides the share so that the most urgent requests are refused last.
/// Estimates how many requests of each priority there are from the last ones
/// that this router has received.
class priority_shares
{
public:
  /// Counts a request. 0 is the highest priority.
  void Add(uint32_t aPriority);

  /// Share of the requests of a priority that are admitted if `aShare` of all
  /// requests are. No priority gets nothing.
  [[nodiscard]] double ShareOf(double aShare, uint32_t aPriority) const;

private:
  /// Weight of the last requests by priority.
  std::map<uint32_t, double> mWeights;
};

} // namespace parsleystair
