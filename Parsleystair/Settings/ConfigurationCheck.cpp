#include "Parsleystair/Settings/ConfigurationCheck.h"

#include "Parsleystair/Settings/MemberCodec.h"
#include "Parsleystair/Settings/Names.h"
#include "Parsleystair/Settings/RequestPattern.h"

#include <algorithm>
#include <map>
#include <set>

namespace parsleystair {

namespace {

/// Way to a target in another region and back, 12 ms each. A request that
/// leaves the queue later than this before its deadline can't be answered.
constexpr duration kLongestRoundTrip = 24ms;

/// Slots of one group, so that its record stays under the store's limit of
/// 1 MB for a value: 32 bytes a slot are more than twice what a slot takes.
constexpr uint64_t kMaxSlotsPerGroup = 32'768;

constexpr uint32_t kMinutesPerDay = 1440;

std::string Indexed(const std::string& aPath, size_t aIndex)
{
  return aPath + "[" + std::to_string(aIndex) + "]";
}

std::string Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

/// A rule with its place, for comparisons over all services.
struct placed_rule
{
  std::string mPath;
  std::string mName;
  request_pattern mPattern;
};

class configuration_checker
{
public:
  explicit configuration_checker(const configuration& aConfiguration)
    : mConfiguration(aConfiguration)
  {
  }

  std::vector<value_problem> Run()
  {
    CheckWeights();
    CheckFailureDomains();
    CheckServices();
    CheckSlots();
    CheckOverlaps();
    return std::move(mProblems);
  }

private:
  void Add(const std::string& aPath,
           const std::string& aValue,
           const std::string& aAllowed)
  {
    mProblems.push_back({ aPath, aValue, aAllowed });
  }

  template<typename T>
  void AddMember(const std::string& aPath,
                 const T& aObject,
                 const char* aMember,
                 const std::string& aAllowed)
  {
    Add(aPath + "." + aMember, EncodeMember(aObject, aMember), aAllowed);
  }

  void CheckName(const std::string& aPath, const std::string& aName)
  {
    if (!IsName(aName)) {
      Add(aPath, Quoted(aName), kNameAllowed);
    }
  }

  /// Reports two places that hold what only one may hold, at both of them, so
  /// that whoever changed either of them finds the problem there.
  void AddCollision(const std::string& aPath,
                    const std::string& aOtherPath,
                    const std::string& aValue,
                    const std::string& aAllowed)
  {
    Add(aPath, aValue, aAllowed + " other than that of " + aOtherPath);
    Add(aOtherPath, aValue, aAllowed + " other than that of " + aPath);
  }

  /// Checks a name and that it is in no earlier place.
  void CheckUniqueName(const std::string& aPath,
                       const std::string& aName,
                       std::map<std::string, std::string>& aSeen)
  {
    CheckName(aPath, aName);
    const auto [place, inserted] = aSeen.emplace(aName, aPath);
    if (!inserted) {
      AddCollision(aPath, place->second, Quoted(aName), "a name");
    }
  }

  void CheckWeights()
  {
    const measure_weights& weights = mConfiguration.mWeights;
    if (weights.mImbalance + weights.mChurn + weights.mUnavailableTime <= 0) {
      Add("weights", EncodeMembers(weights), "at least one weight above 0");
    }
  }

  void CheckFailureDomains()
  {
    std::map<std::string, std::string> names;
    for (size_t i = 0; i < mConfiguration.mFailureDomains.size(); ++i) {
      const auto& domain = mConfiguration.mFailureDomains[i];
      const std::string path = Indexed("failureDomains", i);
      CheckUniqueName(path + ".name", domain.mName.Value(), names);
      CheckName(path + ".region", domain.mRegion.Value());
    }
  }

  void CheckServices()
  {
    std::map<std::string, std::string> names;
    for (size_t i = 0; i < mConfiguration.mServices.size(); ++i) {
      const service_configuration& service = mConfiguration.mServices[i];
      const std::string path = Indexed("services", i);
      CheckUniqueName(path + ".name", service.mName.Value(), names);
      CheckNamedKeys(path, service);
      CheckOrderWindows(path, service);
      CheckTargets(path + ".targets", service);
      CheckRules(path + ".rules", service);
    }
  }

  void CheckNamedKeys(const std::string& aPath,
                      const service_configuration& aService)
  {
    std::set<std::string> keys;
    for (size_t i = 0; i < aService.mNamedKeys.size(); ++i) {
      // An empty text is the place of a key that was withdrawn.
      const std::string& key = aService.mNamedKeys[i];
      if (!key.empty() && !keys.insert(key).second) {
        Add(Indexed(aPath + ".namedKeys", i), Quoted(key), "each key once");
      }
    }
  }

  void CheckOrderWindows(const std::string& aPath,
                         const service_configuration& aService)
  {
    for (size_t i = 0; i < aService.mNoMoveWindows.size(); ++i) {
      const no_move_window& window = aService.mNoMoveWindows[i];
      if (window.mFromMinute >= window.mToMinute ||
          window.mToMinute > kMinutesPerDay) {
        Add(Indexed(aPath + ".orderWindows", i) + ".toMinute",
            std::to_string(window.mToMinute),
            "a minute after fromMinute; two windows if it passes midnight");
      }
    }
  }

  void CheckTargets(const std::string& aPath,
                    const service_configuration& aService)
  {
    const auto isStaying = [](const target_configuration& aTarget) {
      return !aTarget.mDraining;
    };
    if (std::none_of(
          aService.mTargets.begin(), aService.mTargets.end(), isStaying)) {
      Add(aPath,
          std::to_string(aService.mTargets.size()) + " targets",
          "at least one target that is not leaving, since the rules of " +
            aService.mName.Value() + " would have no server");
    }
    std::map<std::string, std::string> names;
    for (size_t i = 0; i < aService.mTargets.size(); ++i) {
      const target_configuration& target = aService.mTargets[i];
      const std::string path = Indexed(aPath, i);
      CheckUniqueName(path + ".name", target.mName.Value(), names);
      CheckTarget(path, target);
    }
  }

  void CheckTarget(const std::string& aPath,
                   const target_configuration& aTarget)
  {
    if (!IsIpAddress(aTarget.mHost)) {
      AddMember(aPath, aTarget, "host", kHostAllowed);
    }
    CheckAddress(aPath, aTarget);
    if (mConfiguration.RegionOf(aTarget.mFailureDomain).Value().empty()) {
      AddMember(aPath, aTarget, "failureDomain", "a name in failureDomains");
    }
    // A connection carries one request at a time.
    if (aTarget.mConnections < aTarget.mConcurrency) {
      AddMember(aPath,
                aTarget,
                "connections",
                "at least concurrency, " +
                  std::to_string(aTarget.mConcurrency));
    }
  }

  /// A target gets one list of grants, so no two targets are one server.
  void CheckAddress(const std::string& aPath,
                    const target_configuration& aTarget)
  {
    const std::string address =
      aTarget.mHost + ":" + std::to_string(aTarget.mPort);
    const auto [place, inserted] = mAddresses.emplace(address, aPath + ".port");
    if (!inserted) {
      AddCollision(aPath + ".port", place->second, address, "a host and port");
    }
  }

  void CheckRules(const std::string& aPath,
                  const service_configuration& aService)
  {
    if (aService.mRules.empty()) {
      Add(aPath, "an array of 0", "at least one rule");
    }
    std::map<std::string, std::string> names;
    for (size_t i = 0; i < aService.mRules.size(); ++i) {
      const request_rule& rule = aService.mRules[i];
      const std::string path = Indexed(aPath, i);
      CheckUniqueName(path + ".name", rule.mName.Value(), names);
      CheckLimits(path, rule);
      CheckPath(path, aService, rule);
    }
  }

  void CheckLimits(const std::string& aPath, const request_rule& aRule)
  {
    if (aRule.mMaxQueueTime + kLongestRoundTrip > aRule.mDeadline) {
      AddMember(aPath,
                aRule,
                "maxQueueTimeMs",
                "at most deadlineMs less 24, the ms to a target in another "
                "region and back");
    }
  }

  void CheckPath(const std::string& aPath,
                 const service_configuration& aService,
                 const request_rule& aRule)
  {
    if (!IsPathPattern(aRule.mPath)) {
      AddMember(aPath, aRule, "path", kPathPatternAllowed);
      return;
    }
    request_pattern pattern = MakeRequestPattern(aRule.mMethod, aRule.mPath);
    if (aRule.mKeySource == key_source::kPath &&
        !HasVariable(pattern, aRule.mKeyName)) {
      AddMember(
        aPath, aRule, "keyName", "the name of a {name} segment of path");
    }
    // Field names and parameters that need escapes are not worth the rules.
    if (aRule.mKeySource != key_source::kPath && !IsName(aRule.mKeyName)) {
      AddMember(aPath, aRule, "keyName", kNameAllowed);
    }
    mRules.push_back({ aPath,
                       aService.mName.Value() + "/" + aRule.mName.Value(),
                       std::move(pattern) });
  }

  void CheckSlots()
  {
    uint64_t slots = 0;
    for (const service_configuration& service : mConfiguration.mServices) {
      slots += TotalSlots(service);
    }
    const uint64_t limit = kMaxSlotsPerGroup * mConfiguration.mGroupCount;
    if (slots > limit) {
      Add("services",
          std::to_string(slots) + " slots",
          "at most " + std::to_string(limit) + " slots in all services");
    }
  }

  void CheckOverlaps()
  {
    for (size_t i = 0; i < mRules.size(); ++i) {
      for (size_t j = 0; j < i; ++j) {
        if (Overlap(mRules[i].mPattern, mRules[j].mPattern)) {
          AddOverlap(mRules[i], mRules[j]);
          AddOverlap(mRules[j], mRules[i]);
        }
      }
    }
  }

  void AddOverlap(const placed_rule& aRule, const placed_rule& aOther)
  {
    Add(aRule.mPath + ".path",
        "a path that shares requests with rule " + aOther.mName,
        "a method and path that no request shares with another rule");
  }

  const configuration& mConfiguration;
  std::vector<value_problem> mProblems;
  std::map<std::string, std::string> mAddresses;
  std::vector<placed_rule> mRules;
};

} // namespace

std::vector<value_problem> CheckConfiguration(
  const configuration& aConfiguration)
{
  return configuration_checker(aConfiguration).Run();
}

} // namespace parsleystair
