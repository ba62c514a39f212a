#pragma once

#include "UnitTests/Gateway/GatewayFixture.h"

#include <iomanip>
#include <iostream>
#include <set>
#include <sstream>

namespace parsleystair {

inline constexpr const char* kLeaderItem = "parsleystair/leader";
inline constexpr const char* kRecordsPrefix = "parsleystair/ranges/";
inline constexpr const char* kRecordItem = "parsleystair/ranges/keyed";

/// Checks every few milliseconds that each key is held by one target at most,
/// and keeps the orders that the targets took, for the message of a failure.
class ownership_test : public gateway_test
{
protected:
  static constexpr uint32_t kKeyStep = 255;
  static constexpr uint32_t kLastKey = 65'535;

  ownership_test()
    : mUnanswering(mLoop, {}, [](exchange_id, const http_request&) {})
  {
    mUnanswering.Listen("127.0.0.1", 0);
    AddTarget("keyed-3", "keyed", true);
    for (const auto& [name, target] : mTargets) {
      target->OnOrder([this, holder = name](const std::string& aSender,
                                            const http_request& aRequest) {
        Note(aSender + " to " + holder + ": " + aRequest.mPath + " " +
             aRequest.mBody);
      });
    }
    mCheckTimer.StartRepeating(mLoop, 2ms, [this] { CheckHolders(); });
  }

  void Note(const std::string& aText)
  {
    std::ostringstream line;
    line << std::fixed << std::setprecision(3)
         << ToSeconds(MonotonicNow() - mStart) << " " << aText << "\n";
    mTimeline += line.str();
  }

  /// Targets that hold a key now.
  [[nodiscard]] std::vector<std::string> Holders(uint32_t aKey) const
  {
    std::vector<std::string> holders;
    for (const auto& [name, target] : mTargets) {
      if (target->Holds(aKey)) {
        holders.push_back(name);
      }
    }
    return holders;
  }

  void CheckHolders()
  {
    if (!mViolation.empty()) {
      return;
    }
    for (uint32_t key = 0; key <= kLastKey; key += kKeyStep) {
      const auto holders = Holders(key);
      if (holders.size() > 1) {
        mViolation = "key " + std::to_string(key) + " is held by " +
                     holders[0] + " and " + holders[1];
        Note(mViolation);
        return;
      }
    }
  }

  /// Waits for a condition, or for a key that two targets hold. Returns whether
  /// the condition holds.
  bool WaitFor(const std::string& aWhat,
               const std::function<bool()>& aCondition)
  {
    RunUntil([&] { return !mViolation.empty() || aCondition(); });
    const bool holds = aCondition();
    Note((holds ? "reached: " : "not reached: ") + aWhat);
    return holds;
  }

  void TearDown() override
  {
    EXPECT_EQ(mViolation, "");
    if (HasFailure()) {
      std::cout << mTimeline;
    }
  }

  [[nodiscard]] bool Leads(const std::string& aName) const
  {
    return mGateways.at(aName).mTask->DumpText().find("\"leading\": true") !=
           std::string::npos;
  }

  [[nodiscard]] bool Observes(const std::string& aName,
                              const std::string& aLeader) const
  {
    return mGateways.at(aName).mTask->DumpText().find(
             "\"leader\": \"" + aLeader + "\"") != std::string::npos;
  }

  [[nodiscard]] bool IsRecordedLeader(const std::string& aName) const
  {
    return mKv.Get(kLeaderItem).find("\"vm\":\"" + aName + "\"") !=
           std::string::npos;
  }

  [[nodiscard]] bool IsRecordedOwner(const std::string& aTarget) const
  {
    return mKv.Get(kRecordItem).find("\"" + aTarget + "\"") !=
           std::string::npos;
  }

  /// Waits until each key is held and each keyed target holds some.
  bool WaitForOwners()
  {
    return WaitFor("each key is held", [this] {
      std::set<std::string> owners;
      for (uint32_t key = 0; key <= kLastKey; key += kKeyStep) {
        const auto holders = Holders(key);
        if (holders.empty()) {
          return false;
        }
        owners.insert(holders.begin(), holders.end());
      }
      return owners.size() == 3;
    });
  }

  /// Waits until the leader has given away the keys of a target that it can't
  /// reach, and then until the grants of a former leader would show.
  bool WaitForKeysToMove(const std::string& aFrom)
  {
    const bool moved = WaitFor("the keys of " + aFrom + " have other owners",
                               [&] { return !IsRecordedOwner(aFrom); });
    const bool granted = WaitFor("each key is held by another target", [&] {
      for (uint32_t key = 0; key <= kLastKey; key += kKeyStep) {
        const auto holders = Holders(key);
        if (holders.empty() || (holders.size() == 1 && holders[0] == aFrom)) {
          return false;
        }
      }
      return true;
    });
    RunFor(1s);
    return moved && granted;
  }

  void SetDraining(const std::string& aTarget)
  {
    mKv.Put("servers/" + aTarget,
            mTargets.at(aTarget)->Entry("keyed", "draining"));
    Note(aTarget + " is draining");
  }

  /// From now on a target gets the orders of one router only.
  void ReachOnlyFrom(const std::string& aTarget, const std::string& aRouter)
  {
    std::set<std::string> others{ "first", "second",  "third",    "later",
                                  "late",  "initial", "successor" };
    others.erase(aRouter);
    mTargets.at(aTarget)->SetIgnoredSenders(others);
    Note(aTarget + " is reached only from " + aRouter);
  }

  const time_point mStart = MonotonicNow();
  std::string mTimeline;
  std::string mViolation;
  /// Takes connections for a gateway that other gateways can't reach.
  http_server mUnanswering;
  timer mCheckTimer;
};

} // namespace parsleystair
