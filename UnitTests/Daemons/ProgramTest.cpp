#include "Daemons/Program.h"
#include "Parsleystair/LogReading/LogRecord.h"

#include <gtest/gtest.h>

namespace parsleystair {

// Guards against a process that ends because of an exception in the handler of
// an event and leaves no log line that says which.
TEST(Program, LogsTheErrorThatEndsIt)
{
  std::string name = "program";
  std::string option = "--settings=none";
  char* arguments[] = { name.data(), option.data() };
  testing::internal::CaptureStdout();
  const int code = RunProgram(
    { "program", "Throws in a handler", "" },
    2,
    arguments,
    [](const std::string& aPath) { return aPath; },
    [](const std::string&, const std::string&) {
      event_loop loop;
      timer soon;
      soon.StartOnce(loop, duration::zero(), [] {
        throw std::out_of_range("no such element");
      });
      loop.Run();
    });
  std::istringstream output(testing::internal::GetCapturedStdout());
  EXPECT_EQ(code, 1);
  const auto records = ReadLog(output, "");
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0].mEvent, "program_failed");
  EXPECT_TRUE(records[0].Has("error", "no such element"));
}

} // namespace parsleystair
