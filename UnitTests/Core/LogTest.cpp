#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Core/Error.h"
#include "UnitTests/Support/LogCapture.h"

#include <gtest/gtest.h>

namespace parsleystair {

// Guards against bytes of callers and targets that make a log line unreadable
// for other programs, or steer a terminal.
TEST(Log, WritesBytesThatAreNoText)
{
  log_capture capture;
  log_line(log_severity::kInfo, "test_event")
    .Add("request", "a\xff\x1b[2J\tz")
    .Add("path", "c:\\x \"q\"\nnext")
    .Add("name", "caf\xc3\xa9");
  const auto records = capture.End();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_TRUE(records[0].Has("request", "a\\xff\\x1b[2J\\x09z"));
  EXPECT_TRUE(records[0].Has("path", "c:\\x \"q\"\nnext"));
  EXPECT_TRUE(records[0].Has("name", "caf\xc3\xa9"));
}

// Guards against a misspelt log level that silently means the default.
TEST(ParseLogSeverity, RefusesUnknownNames)
{
  EXPECT_EQ(ParseLogSeverity("warning"), log_severity::kWarning);
  EXPECT_THROW(ParseLogSeverity("Warning"), value_error);
}

} // namespace parsleystair
