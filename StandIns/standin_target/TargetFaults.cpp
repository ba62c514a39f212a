#include "StandIns/standin_target/TargetFaults.h"

#include "Parsleystair/Core/Error.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

target_faults ParseTargetFaults(const std::string& aText,
                                const target_faults& aBefore)
{
  target_faults faults = aBefore;
  // A freeze and silent connections happen once for each request of them.
  faults.mFreeze = 0ms;
  faults.mSilenceOpenConnections = false;
  try {
    const nlohmann::json value = nlohmann::json::parse(aText);
    const auto milliseconds = [&](const char* aName, duration aDefault) {
      const auto count = value.value(
        aName,
        std::chrono::duration_cast<std::chrono::milliseconds>(aDefault)
          .count());
      return duration(std::chrono::milliseconds(count));
    };
    faults.mFreeze = milliseconds("freezeMs", faults.mFreeze);
    faults.mAnswerDelay = milliseconds("answerDelayMs", faults.mAnswerDelay);
    faults.mCrashOn = value.value("crashOn", faults.mCrashOn);
    faults.mSilenceOpenConnections = value.value("silenceConnections", false);
    faults.mCutAnswers = value.value("cutAnswers", faults.mCutAnswers);
    faults.mIgnoreFences = value.value("ignoreFences", faults.mIgnoreFences);
    faults.mDrain = value.value("drain", faults.mDrain);
    faults.mShed = value.value("shed", faults.mShed);
  } catch (const nlohmann::json::exception& exception) {
    throw value_error("faults", aText, exception.what());
  }
  return faults;
}

} // namespace parsleystair
