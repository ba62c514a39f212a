#include "PerformanceTest/parsleystair_load/LoadAccount.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace parsleystair {

namespace {

using json = nlohmann::ordered_json;

double Milliseconds(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

json WriteLatency(const fine_histogram& aHistogram)
{
  return { { "count", aHistogram.Count() },
           { "p50Ms", Milliseconds(aHistogram.Quantile(0.5)) },
           { "p90Ms", Milliseconds(aHistogram.Quantile(0.9)) },
           { "p99Ms", Milliseconds(aHistogram.Quantile(0.99)) },
           { "p999Ms", Milliseconds(aHistogram.Quantile(0.999)) },
           { "maxMs", Milliseconds(aHistogram.Max()) } };
}

void WriteLines(std::ostringstream& aText,
                const json& aValue,
                const std::string& aIndent)
{
  for (const auto& [name, value] : aValue.items()) {
    aText << aIndent << name << ":";
    if (value.is_object()) {
      aText << "\n";
      WriteLines(aText, value, aIndent + "  ");
    } else {
      aText << " "
            << (value.is_string() ? value.get<std::string>() : value.dump())
            << "\n";
    }
  }
}

} // namespace

void load_account::NoteStarted(duration aLate, bool aIsRepeat)
{
  ++mStarted;
  mRepeats += aIsRepeat ? 1 : 0;
  mLateness.Add(aLate);
}

void load_account::NoteEnded(const ended_request& aRequest)
{
  ++mEnds[aRequest.mEnd];
  const duration latency = aRequest.mEndedAt - aRequest.mIntendedStart;
  if (aRequest.mEnd == request_end::kAnswered) {
    ++mStatuses[aRequest.mStatus];
    mAnsweredLatency.Add(latency);
  }
  if (aRequest.mEnd == request_end::kRefused) {
    ++mRefusals[{ aRequest.mOutcome, aRequest.mReason }];
    mRefusedLatency.Add(latency);
  }
  NoteAvailability(aRequest);
}

void load_account::NoteAvailability(const ended_request& aRequest)
{
  if (aRequest.mEnd != request_end::kAnswered) {
    // A repeat may be refused because its first request ran or still runs.
    if (aRequest.mIsRepeat) {
      return;
    }
    mFailingSince.try_emplace(aRequest.mKey, aRequest.mIntendedStart);
    return;
  }
  const auto failing = mFailingSince.find(aRequest.mKey);
  if (failing == mFailingSince.end()) {
    return;
  }
  const duration unavailable = aRequest.mEndedAt - failing->second;
  if (unavailable > mLongestUnavailable) {
    mLongestUnavailable = unavailable;
    mLongestUnavailableKey = aRequest.mKey;
  }
  mFailingSince.erase(failing);
}

void load_account::NoteExecutions(const execution_findings& aFindings)
{
  mExecutions = aFindings;
}

uint64_t load_account::Total(request_end aEnd) const
{
  const auto found = mEnds.find(aEnd);
  return found == mEnds.end() ? 0 : found->second;
}

bool load_account::AddsUp() const
{
  uint64_t ended = 0;
  for (const auto& [end, count] : mEnds) {
    ended += count;
  }
  uint64_t refused = 0;
  for (const auto& [reason, count] : mRefusals) {
    refused += count;
  }
  return mIntended == mNotStarted + mStarted && mStarted == ended &&
         refused == Total(request_end::kRefused);
}

bool load_account::HasFindings() const
{
  return !AddsUp() || Total(request_end::kWrongAnswer) > 0 ||
         (mExecutions &&
          (mExecutions->mDoubled > 0 || mExecutions->mRanDespiteNotRun > 0));
}

std::string load_account::WriteJson() const
{
  json statuses = json::object();
  for (const auto& [status, count] : mStatuses) {
    statuses[std::to_string(status)] = count;
  }
  json refusals = json::object();
  for (const auto& [kind, count] : mRefusals) {
    refusals[kind.first][kind.second] = count;
  }
  json body = {
    { "intended", mIntended },
    { "notStarted", mNotStarted },
    { "sent", mStarted },
    { "repeats", mRepeats },
    { "answered", Total(request_end::kAnswered) },
    { "answeredByStatus", statuses },
    { "wrongAnswers", Total(request_end::kWrongAnswer) },
    { "refused", Total(request_end::kRefused) },
    { "refusedByOutcomeAndReason", refusals },
    { "notConnected", Total(request_end::kNotConnected) },
    { "unknown",
      { { "timedOut", Total(request_end::kTimedOut) },
        { "connectionLost", Total(request_end::kConnectionLost) } } },
    { "addsUp", AddsUp() },
    { "latencyAnswered", WriteLatency(mAnsweredLatency) },
    { "latencyRefused", WriteLatency(mRefusedLatency) },
    { "lateStart", WriteLatency(mLateness) },
    { "longestUnavailableMs", Milliseconds(mLongestUnavailable) },
    { "longestUnavailableKey", mLongestUnavailableKey },
    { "keysStillUnavailable", mFailingSince.size() },
  };
  if (mExecutions) {
    body["executions"] = {
      { "targetsAsked", mExecutions->mTargetsAsked },
      { "targetsSilent", mExecutions->mTargetsSilent },
      { "ran", mExecutions->mRan },
      { "doubled", mExecutions->mDoubled },
      { "ranDespiteNotRun", mExecutions->mRanDespiteNotRun },
    };
  }
  // Reasons come from outside and may not be UTF-8.
  return body.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string load_account::WriteText() const
{
  std::ostringstream text;
  WriteLines(text, json::parse(WriteJson()), "");
  return text.str();
}

} // namespace parsleystair
