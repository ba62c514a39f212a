#include "Parsleystair/LogReading/DaySummary.h"
#include "Parsleystair/LogReading/RequestChain.h"

#include <gtest/gtest.h>
#include <sstream>

namespace parsleystair {

namespace {

std::vector<log_record> Read(const std::string& aText)
{
  std::istringstream stream(aText);
  std::vector<log_record> records = ReadLog(stream, "log");
  SortByTime(records);
  return records;
}

std::vector<std::string> EventsOf(const std::vector<chain_line>& aChain)
{
  std::vector<std::string> events;
  for (const chain_line& line : aChain) {
    events.push_back((line.mOfRequest ? "*" : "") + line.mRecord.mEvent);
  }
  return events;
}

} // namespace

// Guards against values that are cut at spaces, quotes or equals signs.
TEST(ParseLogLine, ReadsQuotedValues)
{
  const auto record = ParseLogLine(
    R"(time=2026-01-01T00:00:00.5 level=info event=refused a="b \"c\" = d\n" e= f=g)",
    "vm-1");
  ASSERT_TRUE(record);
  EXPECT_EQ(record->mTime, "2026-01-01T00:00:00.5");
  EXPECT_EQ(record->mEvent, "refused");
  EXPECT_TRUE(record->Has("a", "b \"c\" = d\n"));
  EXPECT_TRUE(record->Has("e", ""));
  EXPECT_TRUE(record->Has("f", "g"));
}

// Guards against lines of a collector that lose the name of their machine.
TEST(ParseLogLine, TakesTheMachineFromACollectorsPrefix)
{
  const auto record =
    ParseLogLine("  12.5 vm-7 time=t level=info event=started", "day.log");
  ASSERT_TRUE(record);
  EXPECT_EQ(record->mSource, "day.log:vm-7");
  EXPECT_FALSE(ParseLogLine("no event here", "x"));
  EXPECT_FALSE(ParseLogLine("time=t level=info", "x"));
}

// Guards against a chain with the state of another process or of a later time.
TEST(FindRequestChain, ShowsTheStateThatDecided)
{
  const auto records = Read(
    "a time=1 level=info event=owners_changed service=s revision=5\n"
    "a time=2 level=info event=target_changed target=t-1 draining=false\n"
    "b time=3 level=info event=target_changed target=t-1 draining=true\n"
    "a time=3 level=info event=target_changed target=t-2 draining=false\n"
    "b time=4 level=info event=keys_released from=0 to=10 fence=3\n"
    "b time=4 level=info event=keys_released from=11 to=20 fence=4\n"
    "a time=5 level=info event=try_not_run request=r target=t-1\n"
    "a time=6 level=info event=request_refused request=r service=s key=15 "
    "target=t-1\n"
    "a time=7 level=info event=target_changed target=t-1 draining=true\n"
    "a time=7 level=info event=request_refused request=q service=s key=15\n");
  const auto chain = FindRequestChain(records, "r");
  EXPECT_EQ(EventsOf(chain),
            (std::vector<std::string>{ "owners_changed",
                                       "target_changed",
                                       "keys_released",
                                       "*try_not_run",
                                       "*request_refused" }));
  EXPECT_EQ(chain[2].mRecord.Number("fence"), 4U);
  EXPECT_EQ(chain[2].mAbout, "key 15");
  EXPECT_TRUE(FindRequestChain(records, "unknown").empty());
}

// Guards against a day's sums that count a line twice or forget a service.
TEST(SummarizeDay, AddsUpServicesAndSeconds)
{
  const auto records = Read(
    "a time=T10:00:01.1 level=info event=requests_ended service=s answered=5 "
    "not_run=1 caller_gone=1\n"
    "b time=T10:00:01.9 level=info event=requests_ended service=s answered=4\n"
    "a time=T10:00:02.1 level=info event=requests_ended service=u answered=1 "
    "no_answer=3 suppressed=7\n"
    "a time=T10:00:02.2 level=info event=request_refused reason=full\n"
    "a time=T10:00:02.3 level=info event=target_set_aside target=t "
    "reason=\"no answers\"\n"
    "a time=T10:00:02.4 level=info event=record_written service=s done=true\n"
    "a time=T10:00:02.4 level=info event=record_written service=s "
    "done=false\n");
  const day_summary summary = SummarizeDay(records, 1);
  EXPECT_EQ(summary.mServices.at("s").mAnswered, 9U);
  EXPECT_EQ(summary.mServices.at("s").Failed(), 2U);
  EXPECT_EQ(summary.mServices.at("u").Total(), 4U);
  EXPECT_EQ(summary.mReasons.at("full"), 1U);
  EXPECT_EQ(summary.mSetAside.at("t").at("no answers"), 1U);
  EXPECT_EQ(summary.mRecordsWritten.at("s"), 1U);
  EXPECT_EQ(summary.mSuppressed, 7U);
  ASSERT_EQ(summary.mWorstSeconds.size(), 1U);
  EXPECT_EQ(summary.mWorstSeconds[0].mEnds.mNoAnswer, 3U);
}

} // namespace parsleystair
