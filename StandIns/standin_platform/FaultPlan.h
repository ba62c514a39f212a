#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace parsleystair {

/// Faults that are switched on.
struct fault_settings
{
  /// Calls get no answer and have no effect; watches fall silent.
  bool mOutage = false;
  /// New connections are refused and open ones close.
  bool mRefuse = false;
  /// Time from a call to its answer. The effect is halfway, so that one of a
  /// call that timed out may still come.
  duration mDelay{};
  /// Share of calls whose answer is lost after the effect, 0 to 1.
  double mLoseFraction = 0;
  /// This many of the next writes lose their answer.
  uint64_t mLoseNextWrites = 0;

  bool operator==(const fault_settings&) const = default;
};

/// What happens to one call.
enum class call_fate
{
  kAnswered,
  /// No effect, no answer, the connection stays open.
  kSilent,
  /// No effect, the connection closes.
  kDropped,
  /// The call takes effect, then the connection closes.
  kAnswerLost,
};

/// Change of the switches; members that are not set stay as they are.
struct fault_change
{
  std::optional<bool> mOutage;
  std::optional<bool> mRefuse;
  std::optional<duration> mDelay;
  /// Set together.
  std::optional<double> mLoseFraction;
  std::optional<uint64_t> mLoseNextWrites;
  std::optional<uint64_t> mSeed;
  /// Ends all leases once, now.
  bool mLapseLeases = false;
  std::optional<duration> mListLag;

  bool operator==(const fault_change&) const = default;
};

/// Reads the body of `POST /faults`. Throws `value_error`.
fault_change ParseFaultChange(const std::string& aBody);

/// Decides the fate of calls; the same for the same seed and calls.
class fault_plan
{
public:
  void Change(const fault_change& aChange);

  [[nodiscard]] const fault_settings& Settings() const { return mSettings; }

  call_fate Decide(bool aIsWrite);

private:
  fault_settings mSettings;
  std::mt19937_64 mRandom{ 1 };
};

} // namespace parsleystair
