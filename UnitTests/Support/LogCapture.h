#pragma once

#include "Parsleystair/Core/Log.h"
#include "Parsleystair/LogReading/LogRecord.h"

#include <gtest/gtest.h>
#include <sstream>

namespace parsleystair {

/// Collects the log lines that the test's process writes meanwhile.
class log_capture
{
public:
  log_capture()
  {
    static const bool kStarted = [] {
      StartLog(log_severity::kInfo);
      return true;
    }();
    (void)kStarted;
    testing::internal::CaptureStdout();
  }
  ~log_capture()
  {
    if (!mEnded) {
      testing::internal::GetCapturedStdout();
    }
  }
  log_capture(const log_capture&) = delete;
  log_capture& operator=(const log_capture&) = delete;

  /// Ends the capture and returns its events, sorted by time.
  std::vector<log_record> End()
  {
    mEnded = true;
    std::istringstream stream(testing::internal::GetCapturedStdout());
    std::vector<log_record> records = ReadLog(stream, "");
    SortByTime(records);
    return records;
  }

private:
  bool mEnded = false;
};

} // namespace parsleystair
