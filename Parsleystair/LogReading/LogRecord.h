#pragma once

#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleystair {

/// One line of a process's log.
struct log_record
{
  /// Where the line comes from: the file, and what a collector put before it.
  std::string mSource;
  /// As written, like `2026-12-04T07:00:00.125000`; sorts as text.
  std::string mTime;
  std::string mLevel;
  std::string mEvent;
  /// All other keys, in the order of the line.
  std::vector<std::pair<std::string, std::string>> mFields;

  /// Null if the line has no such key.
  [[nodiscard]] const std::string* Find(std::string_view aKey) const;
  [[nodiscard]] bool Has(std::string_view aKey, std::string_view aValue) const;
  /// Value of a key that holds a number; 0 if there is none.
  [[nodiscard]] uint64_t Number(std::string_view aKey) const;

  bool operator==(const log_record&) const = default;
};

/// Reads a line that `log_line` wrote. Text before `time=`, as collectors put
/// it, is added to the source. Empty if the line is no event.
std::optional<log_record> ParseLogLine(std::string_view aLine,
                                       const std::string& aSource);

/// All events of a stream, as they stand there.
std::vector<log_record> ReadLog(std::istream& aStream,
                                const std::string& aSource);

/// Sorts by time; lines of one time keep their order.
void SortByTime(std::vector<log_record>& aRecords);

/// The record as one line: time, source, event and fields.
std::string RenderRecord(const log_record& aRecord);

} // namespace parsleystair
