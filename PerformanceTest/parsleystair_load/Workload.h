#pragma once

#include "Parsleystair/Core/Ids.h"
#include "PerformanceTest/parsleystair_load/LoadSettings.h"
#include "PerformanceTest/parsleystair_load/RequestMix.h"
#include "PerformanceTest/parsleystair_load/ZipfDistribution.h"

#include <deque>
#include <map>
#include <optional>
#include <random>

namespace parsleystair {

/// Something a caller wants done, by one request or by several with the same
/// idempotency key.
using operation_id = strong_id<struct operation_tag, uint64_t>;

struct operation
{
  size_t mKind = 0;
  std::string mKey;
  /// Empty for idempotent kinds.
  std::string mIdempotencyKey;
  std::vector<std::string> mRequestIds;
  /// Router of the last request that was sent.
  std::optional<size_t> mRouter;
  /// Requests that have not ended.
  uint32_t mOpen = 0;
  /// Some request ended other than by a refusal that says `not-run`.
  bool mMayHaveRun = false;

  bool operator==(const operation&) const = default;
};

/// One request to be sent.
struct planned_request
{
  operation_id mOperation;
  std::string mRequestId;
  time_point mIntendedStart;
  bool mIsRepeat = false;

  bool operator==(const planned_request&) const = default;
};

/// Decides what is asked for, with which key, and when an idempotency key is
/// repeated.
class workload
{
public:
  workload(const load_settings& aSettings, std::vector<request_kind> aKinds);

  /// Time from one arrival to the next.
  duration NextGap();

  /// Plans the next request.
  planned_request Next(time_point aIntendedStart, wall_time aNow);

  [[nodiscard]] http_request Build(const planned_request& aRequest) const;

  [[nodiscard]] operation& Find(operation_id aOperation);
  [[nodiscard]] const request_kind& KindOf(const operation& aOperation) const;

  /// Notes that a request ended. Forgets operations that nothing refers to.
  void End(operation_id aOperation, bool aMayHaveRun);

  /// Operations with an idempotency key, and those that are open.
  [[nodiscard]] const std::map<operation_id, operation>& Operations() const
  {
    return mOperations;
  }

private:
  [[nodiscard]] std::string PickKey();
  operation_id MakeOperation(size_t aKind, wall_time aNow);

  load_settings mSettings;
  std::vector<request_kind> mKinds;
  std::mt19937_64 mRandom;
  /// Seeded by the clock too, so that two runs share no ids.
  std::mt19937_64 mIdRandom;
  std::exponential_distribution<double> mGaps;
  std::discrete_distribution<size_t> mKindChoice;
  zipf_distribution mKeyChoice;
  std::string mRunName;
  uint64_t mNextId = 1;
  std::map<operation_id, operation> mOperations;
  /// Last operations of each kind that may be repeated.
  std::vector<std::deque<operation_id>> mRepeatable;
};

} // namespace parsleystair
