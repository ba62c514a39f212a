#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleystair {

/// Severity of a log line, in rising order.
enum class log_severity
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// Reads "debug", "info", "warning" or "error". Throws `value_error`.
log_severity ParseLogSeverity(std::string_view aText);

/// Sends log lines of at least `aSeverity` to standard output. Call once,
/// before other threads start. A line that standard output does not take at
/// once is dropped and counted; the count is added to a later line as
/// `dropped`.
void StartLog(log_severity aSeverity);

/// One event as one line of key=value pairs, written when the object ends.
/// Repeats of one event name beyond 20 a second are counted instead, and the
/// count is added to the next line of that event as `suppressed`.
class log_line
{
public:
  log_line(log_severity aSeverity, std::string_view aEvent);
  ~log_line();
  log_line(const log_line&) = delete;
  log_line& operator=(const log_line&) = delete;

  /// Adds a text; it is quoted when it holds spaces, quotes or '='. Bytes that
  /// are not printable text are written as `\xNN`.
  log_line& Add(std::string_view aKey, std::string_view aValue);
  log_line& Add(std::string_view aKey, const char* aValue);
  log_line& Add(std::string_view aKey, const std::string& aValue);
  log_line& Add(std::string_view aKey, int64_t aValue);
  log_line& Add(std::string_view aKey, uint64_t aValue);
  log_line& Add(std::string_view aKey, int aValue);
  log_line& Add(std::string_view aKey, bool aValue);

private:
  log_severity mSeverity;
  bool mWritten;
  std::string mEvent;
  std::string mText;
};

} // namespace parsleystair
