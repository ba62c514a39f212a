#include "StandIns/standin_platform/FaultPlan.h"

#include "Parsleystair/Core/Error.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

constexpr uint64_t kMaxMilliseconds = 3'600'000;

bool ReadFlag(const std::string& aName, const json& aValue)
{
  if (!aValue.is_boolean()) {
    throw value_error(aName, aValue.dump(), "true, false");
  }
  return aValue.get<bool>();
}

uint64_t ReadNumber(const std::string& aName, const json& aValue, uint64_t aMax)
{
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > aMax) {
    throw value_error(aName, aValue.dump(), "0 to " + std::to_string(aMax));
  }
  return aValue.get<uint64_t>();
}

duration ReadDuration(const std::string& aName, const json& aValue)
{
  return std::chrono::milliseconds(ReadNumber(aName, aValue, kMaxMilliseconds));
}

/// A whole number counts writes; a number with a decimal point is a share.
void ReadLoss(fault_change& aChange, const json& aValue)
{
  aChange.mLoseFraction = 0;
  aChange.mLoseNextWrites = 0;
  if (aValue.is_number_unsigned()) {
    aChange.mLoseNextWrites = aValue.get<uint64_t>();
    return;
  }
  const double share = aValue.is_number_float() ? aValue.get<double>() : -1;
  if (share < 0 || share > 1) {
    throw value_error("loseAnswers",
                      aValue.dump(),
                      "a share from 0.0 to 1.0 or a whole number of writes");
  }
  aChange.mLoseFraction = share;
}

void ReadMember(fault_change& aChange,
                const std::string& aName,
                const json& aValue)
{
  if (aName == "outage") {
    aChange.mOutage = ReadFlag(aName, aValue);
  } else if (aName == "refuse") {
    aChange.mRefuse = ReadFlag(aName, aValue);
  } else if (aName == "lapseLeases") {
    aChange.mLapseLeases = ReadFlag(aName, aValue);
  } else if (aName == "delayMs") {
    aChange.mDelay = ReadDuration(aName, aValue);
  } else if (aName == "lagMs") {
    aChange.mListLag = ReadDuration(aName, aValue);
  } else if (aName == "seed") {
    aChange.mSeed = ReadNumber(aName, aValue, UINT64_MAX);
  } else if (aName == "loseAnswers") {
    ReadLoss(aChange, aValue);
  } else {
    throw value_error(
      "faults",
      aName,
      "outage, refuse, delayMs, loseAnswers, lapseLeases, lagMs, seed");
  }
}

} // namespace

fault_change ParseFaultChange(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    throw value_error("faults", "body", "a JSON object");
  }
  fault_change change;
  for (const auto& [name, value] : body.items()) {
    ReadMember(change, name, value);
  }
  return change;
}

void fault_plan::Change(const fault_change& aChange)
{
  mSettings.mOutage = aChange.mOutage.value_or(mSettings.mOutage);
  mSettings.mRefuse = aChange.mRefuse.value_or(mSettings.mRefuse);
  mSettings.mDelay = aChange.mDelay.value_or(mSettings.mDelay);
  mSettings.mLoseFraction =
    aChange.mLoseFraction.value_or(mSettings.mLoseFraction);
  mSettings.mLoseNextWrites =
    aChange.mLoseNextWrites.value_or(mSettings.mLoseNextWrites);
  if (aChange.mSeed) {
    mRandom.seed(*aChange.mSeed);
  }
}

call_fate fault_plan::Decide(bool aIsWrite)
{
  if (mSettings.mRefuse) {
    return call_fate::kDropped;
  }
  if (mSettings.mOutage) {
    return call_fate::kSilent;
  }
  if (aIsWrite && mSettings.mLoseNextWrites > 0) {
    --mSettings.mLoseNextWrites;
    return call_fate::kAnswerLost;
  }
  std::bernoulli_distribution loses(mSettings.mLoseFraction);
  return loses(mRandom) ? call_fate::kAnswerLost : call_fate::kAnswered;
}

} // namespace parsleystair
