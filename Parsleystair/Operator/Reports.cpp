#include "Parsleystair/Operator/Reports.h"

#include "Parsleystair/Core/JsonText.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

json ProblemsJson(const std::vector<value_problem>& aProblems)
{
  json list = json::array();
  for (const value_problem& problem : aProblems) {
    list.push_back({ { "path", problem.mPath },
                     { "value", problem.mValue },
                     { "allowed", problem.mAllowed } });
  }
  return list;
}

std::string ProblemLines(const std::vector<value_problem>& aProblems)
{
  std::string text;
  for (const value_problem& problem : aProblems) {
    text += "  " + Describe(problem) + "\n";
  }
  return text;
}

std::string Join(const std::vector<std::string>& aTexts)
{
  std::string text;
  for (const std::string& part : aTexts) {
    text += (text.empty() ? "" : ", ") + part;
  }
  return text;
}

const char* OutcomeName(submission_outcome aOutcome)
{
  switch (aOutcome) {
    case submission_outcome::kAccepted:
      return "accepted";
    case submission_outcome::kRefused:
      return "refused";
    case submission_outcome::kConflict:
      return "conflict";
    case submission_outcome::kUnreachable:
      return "unreachable";
    case submission_outcome::kUnknown:
      break;
  }
  return "unknown";
}

json SubmissionJson(const note_id& aId, const submission_result& aResult)
{
  json newer = json::array();
  for (const newer_note& note : aResult.mNewerNotes) {
    newer.push_back({ { "id", note.mId.Value() },
                      { "revision", note.mRevision.Value() },
                      { "conflicts", note.mConflicts } });
  }
  return { { "id", aId.Value() },
           { "outcome", OutcomeName(aResult.mOutcome) },
           { "revision", aResult.mRevision.Value() },
           { "wasAccepted", aResult.mWasAccepted },
           { "problems", ProblemsJson(aResult.mProblems) },
           { "newerNotes", std::move(newer) } };
}

void ReportAcceptance(const submission_result& aResult, command_result& aReport)
{
  aReport.mCode = exit_code::kOk;
  aReport.mText +=
    aResult.mWasAccepted ? " had been accepted before" : " is accepted";
  aReport.mText +=
    " as revision " + std::to_string(aResult.mRevision.Value()) + "\n";
}

void ReportConflict(const submission_result& aResult, command_result& aReport)
{
  aReport.mCode = exit_code::kRefused;
  aReport.mText += " is not accepted; these notes came first:\n";
  bool agrees = true;
  for (const newer_note& note : aResult.mNewerNotes) {
    aReport.mText += "  revision " + std::to_string(note.mRevision.Value()) +
                     ": " + note.mId.Value();
    aReport.mText += note.mConflicts.empty()
                       ? ", no conflict\n"
                       : ", conflicts in " + Join(note.mConflicts) + "\n";
    agrees = agrees && note.mConflicts.empty();
  }
  aReport.mNext =
    agrees ? "submit the note again with --rebase to put it on top of them"
           : "read them with release show, write the note against the newest "
             "revision and submit it again";
}

std::string Seconds(std::chrono::milliseconds aTime)
{
  constexpr double kMillisecondsPerSecond = 1000;
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.1f s",
                static_cast<double>(aTime.count()) / kMillisecondsPerSecond);
  return text.data();
}

/// Lines whose columns are as wide as their widest text.
std::string Table(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : aRows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

bool IsConfigured(const member_status& aMember)
{
  return aMember.mRevision != configuration_revision();
}

std::string MemberTable(const std::vector<member_status>& aMembers)
{
  std::vector<std::vector<std::string>> rows = {
    { "VM", "FAILURE DOMAIN", "STATE", "REVISION", "IN FORCE FOR", "HEARD" }
  };
  for (const member_status& member : aMembers) {
    rows.push_back({ member.mVm.Value(),
                     member.mFailureDomain.Value(),
                     member.mState,
                     std::to_string(member.mRevision.Value()),
                     IsConfigured(member) ? Seconds(member.mInForceFor) : "-",
                     Seconds(member.mAge) + " ago" });
  }
  return Table(rows);
}

json MembersJson(const std::vector<member_status>& aMembers)
{
  json list = json::array();
  for (const member_status& member : aMembers) {
    list.push_back({ { "vm", member.mVm.Value() },
                     { "failureDomain", member.mFailureDomain.Value() },
                     { "state", member.mState },
                     { "revision", member.mRevision.Value() },
                     { "inForceMs", member.mInForceFor.count() },
                     { "ageMs", member.mAge.count() } });
  }
  return list;
}

} // namespace

command_result ReportProblems(const std::string& aSubject,
                              const std::vector<value_problem>& aProblems)
{
  command_result report;
  report.mCode = exit_code::kBadInput;
  report.mText = aSubject + " has " + std::to_string(aProblems.size()) +
                 " problem(s):\n" + ProblemLines(aProblems);
  report.mJson =
    ReportText({ { "valid", false }, { "problems", ProblemsJson(aProblems) } });
  report.mNext = "correct the file and check it again";
  return report;
}

command_result ReportSubmission(const note_id& aId,
                                const submission_result& aResult)
{
  command_result report;
  report.mJson = ReportText(SubmissionJson(aId, aResult));
  report.mText = "note " + aId.Value();
  switch (aResult.mOutcome) {
    case submission_outcome::kAccepted:
      ReportAcceptance(aResult, report);
      break;
    case submission_outcome::kRefused:
      report.mCode = exit_code::kRefused;
      report.mText += " is refused:\n" + ProblemLines(aResult.mProblems);
      report.mNext = "correct the note and submit it again";
      break;
    case submission_outcome::kConflict:
      ReportConflict(aResult, report);
      break;
    case submission_outcome::kUnreachable:
      report.mCode = exit_code::kUnreachable;
      report.mText += " is not accepted: the platform does not answer\n";
      report.mNext = "submit the note again when the platform is up";
      break;
    case submission_outcome::kUnknown:
      report.mCode = exit_code::kUnknown;
      report.mText += " may be accepted: the platform did not answer a write\n";
      report.mNext = "submit the same note again to learn the outcome; it is "
                     "never accepted twice";
      break;
  }
  return report;
}

command_result ReportMembers(const std::vector<member_status>& aMembers)
{
  command_result report;
  report.mText = MemberTable(aMembers);
  report.mJson = json{ { "members", MembersJson(aMembers) } }.dump();
  return report;
}

command_result ReportInForce(const std::vector<member_status>& aMembers,
                             configuration_revision aRevision)
{
  const auto lagging = LaggingMembers(aMembers, aRevision);
  std::vector<std::string> names;
  names.reserve(lagging.size());
  for (const member_status& member : lagging) {
    names.push_back(member.mVm.Value());
  }
  const std::string revision = "revision " + std::to_string(aRevision.Value());
  command_result report;
  report.mJson = json{
    { "revision", aRevision.Value() },
    { "inForce", lagging.empty() },
    { "lagging", names },
    { "members", MembersJson(aMembers) }
  }.dump();
  if (lagging.empty()) {
    report.mText = revision + " is in force at every live VM\n";
  } else {
    report.mCode = exit_code::kRefused;
    report.mText = revision + " is not in force at " + Join(names) + "\n";
    report.mNext = "look at these VMs with dump; a VM takes the revision when "
                   "it reaches the platform or another router";
  }
  report.mText += MemberTable(aMembers);
  return report;
}

std::string FormatTime(wall_time aTime)
{
  constexpr int64_t kMillisecondsPerSecond = 1000;
  const int64_t milliseconds = aTime.time_since_epoch().count();
  const std::time_t seconds = milliseconds / kMillisecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 16> fraction{};
  std::snprintf(fraction.data(),
                fraction.size(),
                ".%03dZ",
                static_cast<int>(milliseconds % kMillisecondsPerSecond));
  return std::string(text.data()) + fraction.data();
}

} // namespace parsleystair
