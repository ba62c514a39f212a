#include "Parsleystair/Settings/NoteApplication.h"

#include "Parsleystair/Settings/ConfigurationCheck.h"
#include "Parsleystair/Settings/NoteEdit.h"
#include "Parsleystair/Settings/NoteServices.h"
#include "Parsleystair/Settings/RequestPattern.h"

namespace parsleystair {

namespace {

request_pattern PatternOf(const request_rule& aRule)
{
  return MakeRequestPattern(aRule.mMethod, aRule.mPath);
}

void CheckBase(note_edit& aEdit)
{
  const configuration_revision revision = aEdit.Base().mRevision;
  if (aEdit.Note().mBase != revision) {
    aEdit.Add("base",
              std::to_string(aEdit.Note().mBase.Value()),
              "the revision of the configuration, " +
                std::to_string(revision.Value()));
  }
}

void ApplyGroupCount(note_edit& aEdit)
{
  const std::optional<uint32_t>& count = aEdit.Note().mAdded.mGroupCount;
  const configuration& base = aEdit.Base();
  if (!count) {
    return;
  }
  if (base.mRevision.Value() > 0 && *count != base.mGroupCount) {
    aEdit.Add("added.groupCount",
              std::to_string(*count),
              "no change, " + std::to_string(base.mGroupCount) +
                "; the count is set by the first note of a deployment");
    return;
  }
  aEdit.Result().mGroupCount = *count;
}

void ApplyWeights(note_edit& aEdit)
{
  const auto& weights = aEdit.Note().mChanged.mWeights;
  CopyMembers(weights.mNames, weights.mValues, aEdit.Result().mWeights);
  aEdit.Origins().Set("weights", "changed.weights");
}

void ApplyFailureDomains(note_edit& aEdit)
{
  const release_note& note = aEdit.Note();
  auto& domains = aEdit.Result().mFailureDomains;
  aEdit.ChangeList(domains,
                   note.mChanged.mFailureDomains,
                   "changed.failureDomains",
                   "failureDomains");
  aEdit.WithdrawList(domains,
                     note.mWithdrawn.mFailureDomains,
                     "withdrawn.failureDomains",
                     "failureDomains");
  aEdit.AddList(aEdit.Base().mFailureDomains,
                domains,
                note.mAdded.mFailureDomains,
                "added.failureDomains",
                "failureDomains");
}

void CheckWithdrawnDomains(note_edit& aEdit)
{
  const auto& names = aEdit.Note().mWithdrawn.mFailureDomains;
  for (size_t i = 0; i < names.size(); ++i) {
    for (const service_configuration& service : aEdit.Result().mServices) {
      for (const target_configuration& target : service.mTargets) {
        if (target.mFailureDomain == names[i]) {
          aEdit.Add(Indexed("withdrawn.failureDomains", i),
                    Quoted(names[i].Value()),
                    "a failure domain without targets; " +
                      target.mName.Value() + " is in it");
        }
      }
    }
  }
}

bool IsCovered(const configuration& aConfiguration,
               const request_pattern& aPattern)
{
  for (const service_configuration& service : aConfiguration.mServices) {
    for (const request_rule& rule : service.mRules) {
      if (IsPathPattern(rule.mPath) && Covers(PatternOf(rule), aPattern)) {
        return true;
      }
    }
  }
  return false;
}

void CheckChangedRule(note_edit& aEdit,
                      const service_configuration& aService,
                      const member_changes<request_rule>& aChange,
                      const std::string& aPath)
{
  const auto rule = FindNamed(aService.mRules, aChange.mValues.mName);
  if (rule == aService.mRules.end() ||
      IsCovered(aEdit.Result(), PatternOf(*rule))) {
    return;
  }
  const std::string member =
    aChange.mNames.contains("path") ? "path" : "method";
  aEdit.Add(aPath + "." + member,
            EncodeMember(aChange.mValues, member),
            "a value that still takes " + rule->mMethod + " " + rule->mPath +
              "; to end such requests, withdraw the rule and add another");
}

/// A rule that stays but matches other requests leaves those it matched before
/// with no service, which a withdrawal would have said openly.
void CheckChangedRules(note_edit& aEdit)
{
  const auto& changes = aEdit.Note().mChanged.mServices;
  for (size_t i = 0; i < changes.size(); ++i) {
    const service_configuration* service =
      aEdit.Base().FindService(changes[i].mMembers.mValues.mName);
    if (service == nullptr) {
      continue;
    }
    const std::string path = Indexed("changed.services", i) + ".rules";
    for (size_t j = 0; j < changes[i].mRules.size(); ++j) {
      CheckChangedRule(aEdit, *service, changes[i].mRules[j], Indexed(path, j));
    }
  }
}

/// Reports problems of the new configuration at the places in the note that
/// caused them. The base has no problems, so each problem has its cause in the
/// note. A part that the note leaves alone can only collide with one that the
/// note has, where the same problem is reported.
void CheckResult(note_edit& aEdit)
{
  std::vector<value_problem> elsewhere;
  for (value_problem& problem : CheckConfiguration(aEdit.Result())) {
    const auto path = aEdit.Origins().Find(aEdit.Result(), problem.mPath);
    if (path) {
      problem.mPath = *path;
      aEdit.Problems().push_back(std::move(problem));
    } else {
      elsewhere.push_back(std::move(problem));
    }
  }
  if (aEdit.Problems().empty()) {
    aEdit.Problems() = std::move(elsewhere);
  }
}

} // namespace

note_application Apply(const configuration& aConfiguration,
                       const release_note& aNote)
{
  // Build the new configuration part by part.
  note_edit edit(aConfiguration, aNote);
  CheckBase(edit);
  ApplyGroupCount(edit);
  ApplyWeights(edit);
  ApplyFailureDomains(edit);
  ChangeServices(edit);
  WithdrawServices(edit);
  AddServices(edit);

  // Check it as a whole.
  CheckWithdrawnDomains(edit);
  CheckChangedRules(edit);
  CheckResult(edit);
  if (!edit.Problems().empty()) {
    return { std::nullopt, std::move(edit.Problems()) };
  }
  configuration result = std::move(edit.Result());
  result.mRevision =
    configuration_revision(aConfiguration.mRevision.Value() + 1);
  return { std::move(result), {} };
}

} // namespace parsleystair
