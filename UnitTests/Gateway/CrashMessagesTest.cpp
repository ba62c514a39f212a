#include "Parsleystair/Gateway/CrashMessages.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Gateway/PeerReport.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

crash_record Record(uint64_t aNumber)
{
  crash_record record;
  record.mContent = { UINT64_MAX - aNumber, aNumber };
  record.mIncarnations = { incarnation_hash(UINT64_MAX),
                           incarnation_hash(aNumber) };
  record.mAge = 1500ms;
  record.mTrials = 2;
  record.mTrialRouter = "10.0.0.1";
  return record;
}

} // namespace

// Guards against messages that alter hashes of 64 bits, ages or trials.
TEST(CrashMessages, RoundTrip)
{
  const crash_records records{ Record(1), Record(2) };
  EXPECT_EQ(DecodeCrashRecords(EncodeCrashRecords(records)), records);
  EXPECT_TRUE(DecodeCrashRecords(EncodeCrashRecords({})).empty());

  peer_report report;
  report.mRouter.mHost = "10.0.0.1";
  report.mKnownCrashes = 7;
  report.mCrashes.mCrashes = { { { 1, UINT64_MAX }, incarnation_hash(3) } };
  report.mCrashes.mCleared = { { 4, 5 } };
  report.mCrashes.mRefused = { { 6, 7 } };
  EXPECT_EQ(DecodePeerReport(EncodePeerReport(report)), report);
  report.mCrashes = {};
  EXPECT_EQ(DecodePeerReport(EncodePeerReport(report)), report);

  report_response response;
  response.mCrashes = records;
  EXPECT_EQ(DecodeReportResponse(EncodeReportResponse(response)), response);
}

// Guards against routers that get the same records again as they grow older.
TEST(CrashMessages, DigestIgnoresAgesAndOrder)
{
  crash_record older = Record(1);
  older.mAge = 1h;
  const uint64_t digest = CrashRecordsDigest({ Record(1), Record(2) });
  EXPECT_EQ(CrashRecordsDigest({ Record(2), older }), digest);
  EXPECT_NE(CrashRecordsDigest({ Record(1) }), digest);
  EXPECT_EQ(CrashRecordsDigest({}), 0U);
}

// Guards against malformed records, in the store or from a peer, that end the
// process or get an age that overflows.
TEST(CrashMessages, MalformedTextIsAnError)
{
  for (const std::string text :
       { "", "{", "1", "[1]", "[{\"content\":[1]}]", "{\"a\":1}" }) {
    EXPECT_THROW(DecodeCrashRecords(text), parse_error) << text;
  }
  for (const std::string text :
       { "{", "1", "{\"crashes\":[[1,2]]}", "{\"cleared\":[1]}" }) {
    EXPECT_THROW(DecodeCrashReport(text), parse_error) << text;
  }
  std::string text = EncodeCrashRecords({ Record(1) });
  text.replace(text.find("1500"), 4, "9223372036854775807");
  EXPECT_LE(DecodeCrashRecords(text).at(0).mAge, 1h);
}

} // namespace parsleystair
