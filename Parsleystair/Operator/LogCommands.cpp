#include "Parsleystair/Operator/LogCommands.h"

#include "Parsleystair/Core/JsonText.h"
#include "Parsleystair/LogReading/DaySummary.h"
#include "Parsleystair/LogReading/RequestChain.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

/// All events of the files, sorted by time. Throws `command_error`.
std::vector<log_record> ReadLogs(const std::vector<std::string>& aPaths)
{
  std::vector<log_record> records;
  for (const std::string& path : aPaths) {
    std::ifstream file(path);
    if (!file) {
      throw command_error(exit_code::kBadInput,
                          "can't read " + path,
                          "give the paths of log files that can be read");
    }
    const std::string name = std::filesystem::path(path).filename();
    std::vector<log_record> read = ReadLog(file, name);
    records.insert(records.end(),
                   std::make_move_iterator(read.begin()),
                   std::make_move_iterator(read.end()));
  }
  SortByTime(records);
  return records;
}

json RecordJson(const log_record& aRecord)
{
  json fields = json::object();
  for (const auto& [key, value] : aRecord.mFields) {
    fields[key] = value;
  }
  return { { "time", aRecord.mTime },
           { "source", aRecord.mSource },
           { "event", aRecord.mEvent },
           { "fields", std::move(fields) } };
}

json EndsJson(const request_ends& aEnds)
{
  return {
    { "answered", aEnds.mAnswered },         { "notRun", aEnds.mNotRun },
    { "unknownRoute", aEnds.mUnknownRoute }, { "noAnswer", aEnds.mNoAnswer },
    { "timeOver", aEnds.mTimeOver },         { "callerGone", aEnds.mCallerGone }
  };
}

json SummaryJson(const day_summary& aSummary)
{
  json services = json::object();
  for (const auto& [service, ends] : aSummary.mServices) {
    services[service] = EndsJson(ends);
  }
  json worst = json::array();
  for (const failed_second& second : aSummary.mWorstSeconds) {
    worst.push_back(
      { { "second", second.mSecond }, { "ends", EndsJson(second.mEnds) } });
  }
  return { { "first", aSummary.mFirst },
           { "last", aSummary.mLast },
           { "services", std::move(services) },
           { "reasons", aSummary.mReasons },
           { "worstSeconds", std::move(worst) },
           { "setAside", aSummary.mSetAside },
           { "recordsWritten", aSummary.mRecordsWritten },
           { "rangesReleased", aSummary.mRangesReleased },
           { "leaders", aSummary.mLeaders },
           { "storeLost", aSummary.mStoreLost },
           { "suppressedLines", aSummary.mSuppressed },
           { "droppedLines", aSummary.mDropped } };
}

std::string EndsText(const request_ends& aEnds)
{
  return std::to_string(aEnds.mAnswered) + " answered, " +
         std::to_string(aEnds.mNotRun) + " not run, " +
         std::to_string(aEnds.mNoAnswer) + " no answer, " +
         std::to_string(aEnds.mTimeOver) + " time over, " +
         std::to_string(aEnds.mUnknownRoute) + " unknown route, " +
         std::to_string(aEnds.mCallerGone) + " caller gone";
}

std::string CountLine(const std::string& aName, uint64_t aCount)
{
  return "  " + std::to_string(aCount) + "  " + aName + "\n";
}

std::string SummaryText(const day_summary& aSummary)
{
  std::string text =
    "from " + aSummary.mFirst + " to " + aSummary.mLast + "\n\nServices\n";
  for (const auto& [service, ends] : aSummary.mServices) {
    text += "  " + service + ": " + EndsText(ends) + "\n";
  }
  text += "\nReasons of refusals, as far as lines were written\n";
  for (const auto& [reason, count] : aSummary.mReasons) {
    text += CountLine(reason, count);
  }
  text += "\nWorst seconds\n";
  for (const failed_second& second : aSummary.mWorstSeconds) {
    text += "  " + second.mSecond + ": " + EndsText(second.mEnds) + "\n";
  }
  text += "\nTargets set aside\n";
  for (const auto& [target, reasons] : aSummary.mSetAside) {
    for (const auto& [reason, count] : reasons) {
      text += CountLine(target + ": " + reason, count);
    }
  }
  text += "\nOwnership and store\n";
  for (const auto& [service, count] : aSummary.mRecordsWritten) {
    text += CountLine("records of owners written for " + service, count);
  }
  text += CountLine("ranges of keys released", aSummary.mRangesReleased);
  text += CountLine("times that a router began to lead", aSummary.mLeaders);
  text += CountLine("times that a watch lost the store", aSummary.mStoreLost);
  text += CountLine("lines counted instead of written", aSummary.mSuppressed);
  text += CountLine("lines lost at standard output", aSummary.mDropped);
  return text;
}

} // namespace

command_result RunExplain(const std::string& aRequest,
                          const std::vector<std::string>& aPaths)
{
  const auto chain = FindRequestChain(ReadLogs(aPaths), aRequest);
  command_result result;
  json lines = json::array();
  for (const chain_line& line : chain) {
    const std::string mark =
      line.mOfRequest ? "* " : "  [" + line.mAbout + "] ";
    result.mText += mark + RenderRecord(line.mRecord) + "\n";
    json entry = RecordJson(line.mRecord);
    entry["ofRequest"] = line.mOfRequest;
    entry["about"] = line.mAbout;
    lines.push_back(std::move(entry));
  }
  result.mJson =
    ReportText({ { "request", aRequest }, { "lines", std::move(lines) } });
  if (chain.empty()) {
    result.mCode = exit_code::kRefused;
    result.mText = "no line names the request " + aRequest + "\n";
    result.mNext = "give the logs of all routers; a request that was answered "
                   "at the first try has no line of its own";
  }
  return result;
}

command_result RunReport(const operator_arguments& aArguments,
                         const std::vector<std::string>& aPaths)
{
  const day_summary summary = SummarizeDay(ReadLogs(aPaths), aArguments.mLimit);
  command_result result;
  result.mText = SummaryText(summary);
  result.mJson = ReportText(SummaryJson(summary));
  return result;
}

} // namespace parsleystair
