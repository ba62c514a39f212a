#include "Parsleystair/Gateway/CrashMessages.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using nlohmann::json;

/// Records of greater age have expired.
constexpr int64_t kMaxAgeMs = 3'600'000;

json EncodeContent(const content_fingerprint& aContent)
{
  return json::array({ aContent.mHead, aContent.mBody });
}

content_fingerprint DecodeContent(const json& aJson)
{
  return { aJson.at(0).get<uint64_t>(), aJson.at(1).get<uint64_t>() };
}

std::vector<content_fingerprint> DecodeContents(const json& aReport,
                                                const char* aName)
{
  std::vector<content_fingerprint> contents;
  for (const json& content : aReport.value(aName, json::array())) {
    contents.push_back(DecodeContent(content));
  }
  return contents;
}

json EncodeContents(const std::vector<content_fingerprint>& aContents)
{
  json contents = json::array();
  for (const content_fingerprint& content : aContents) {
    contents.push_back(EncodeContent(content));
  }
  return contents;
}

} // namespace

std::string EncodeCrashRecords(const crash_records& aRecords)
{
  json records = json::array();
  for (const crash_record& record : aRecords) {
    json incarnations = json::array();
    for (const incarnation_hash& hash : record.mIncarnations) {
      incarnations.push_back(hash.Value());
    }
    const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(record.mAge);
    records.push_back({ { "content", EncodeContent(record.mContent) },
                        { "incarnations", std::move(incarnations) },
                        { "ageMs", int64_t{ age.count() } },
                        { "trials", record.mTrials },
                        { "trialRouter", record.mTrialRouter } });
  }
  return records.dump();
}

crash_records DecodeCrashRecords(const std::string& aText)
{
  try {
    crash_records records;
    for (const json& each : json::parse(aText)) {
      crash_record record;
      record.mContent = DecodeContent(each.at("content"));
      for (const json& hash : each.at("incarnations")) {
        record.mIncarnations.insert(incarnation_hash(hash.get<uint64_t>()));
      }
      record.mAge = std::chrono::milliseconds(
        std::clamp(each.at("ageMs").get<int64_t>(), int64_t{ 0 }, kMaxAgeMs));
      record.mTrials = each.at("trials").get<uint32_t>();
      record.mTrialRouter = each.at("trialRouter").get<std::string>();
      records.push_back(std::move(record));
    }
    return records;
  } catch (const json::exception& exception) {
    throw parse_error(std::string("malformed crash records: ") +
                      exception.what());
  }
}

uint64_t CrashRecordsDigest(const crash_records& aRecords)
{
  if (aRecords.empty()) {
    return 0;
  }
  crash_records records = aRecords;
  for (crash_record& record : records) {
    record.mAge = duration();
  }
  std::sort(records.begin(),
            records.end(),
            [](const crash_record& aLeft, const crash_record& aRight) {
              return aLeft.mContent < aRight.mContent;
            });
  return std::max<uint64_t>(1, Hash64(EncodeCrashRecords(records)));
}

std::string EncodeCrashReport(const crash_report& aReport)
{
  if (aReport == crash_report()) {
    return "";
  }
  json crashes = json::array();
  for (const crash_observation& crash : aReport.mCrashes) {
    crashes.push_back(json::array(
      { EncodeContent(crash.mContent), crash.mIncarnation.Value() }));
  }
  return json{
    { "crashes", std::move(crashes) },
    { "cleared", EncodeContents(aReport.mCleared) },
    { "refused", EncodeContents(aReport.mRefused) }
  }.dump();
}

crash_report DecodeCrashReport(const std::string& aText)
{
  crash_report report;
  if (aText.empty()) {
    return report;
  }
  try {
    const json parsed = json::parse(aText);
    for (const json& crash : parsed.value("crashes", json::array())) {
      report.mCrashes.push_back(
        { DecodeContent(crash.at(0)),
          incarnation_hash(crash.at(1).get<uint64_t>()) });
    }
    report.mCleared = DecodeContents(parsed, "cleared");
    report.mRefused = DecodeContents(parsed, "refused");
    return report;
  } catch (const json::exception& exception) {
    throw parse_error(std::string("malformed crash report: ") +
                      exception.what());
  }
}

} // namespace parsleystair
