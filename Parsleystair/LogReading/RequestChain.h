#pragma once

#include "Parsleystair/LogReading/LogRecord.h"

#include <string>
#include <vector>

namespace parsleystair {

/// A line of a chain and why it belongs there.
struct chain_line
{
  log_record mRecord;
  /// The line names the request itself; else it says what the process that
  /// decided knew at that time.
  bool mOfRequest = false;
  /// Like `target i-1` or `key 44418`; empty for lines of the request.
  std::string mAbout;

  bool operator==(const chain_line&) const = default;
};

/// All that the logs say of one request, in order of time: its own lines, and
/// for each target, key, service and configuration version that they name the
/// last line before them that changed what the process knew of it.
/// `aRecords`: all logs, sorted by time.
std::vector<chain_line> FindRequestChain(
  const std::vector<log_record>& aRecords,
  const std::string& aRequest);

} // namespace parsleystair
