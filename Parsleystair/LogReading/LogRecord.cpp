#include "Parsleystair/LogReading/LogRecord.h"

#include <algorithm>
#include <charconv>

namespace parsleystair {

namespace {

using field = std::pair<std::string, std::string>;

bool IsSpace(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t' || aCharacter == '\r';
}

std::string_view Trim(std::string_view aText)
{
  while (!aText.empty() && IsSpace(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && IsSpace(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

/// Takes a quoted value off the front of the text, without its quotes.
std::string TakeQuoted(std::string_view& aText)
{
  std::string value;
  aText.remove_prefix(1);
  while (!aText.empty() && aText.front() != '"') {
    const bool escaped = aText.front() == '\\' && aText.size() > 1;
    if (escaped) {
      aText.remove_prefix(1);
    }
    const char character = aText.front();
    const bool lineBreak = escaped && (character == 'n' || character == 'r');
    if (lineBreak) {
      value += character == 'n' ? '\n' : '\r';
    } else {
      value += character;
    }
    aText.remove_prefix(1);
  }
  if (!aText.empty()) {
    aText.remove_prefix(1);
  }
  return value;
}

std::string TakePlain(std::string_view& aText)
{
  const size_t end = std::min(aText.find(' '), aText.size());
  const std::string value(aText.substr(0, end));
  aText.remove_prefix(end);
  return value;
}

/// Takes the next `key=value` off the front of the text.
std::optional<field> TakeField(std::string_view& aText)
{
  aText = Trim(aText);
  const size_t equals = aText.find('=');
  if (equals == std::string_view::npos) {
    return std::nullopt;
  }
  std::string key(aText.substr(0, equals));
  aText.remove_prefix(equals + 1);
  const bool quoted = !aText.empty() && aText.front() == '"';
  return field(std::move(key), quoted ? TakeQuoted(aText) : TakePlain(aText));
}

std::string QuoteIfNeeded(const std::string& aValue)
{
  const bool plain =
    !aValue.empty() && aValue.find_first_of(" \"=") == std::string::npos;
  return plain ? aValue : "\"" + aValue + "\"";
}

} // namespace

const std::string* log_record::Find(std::string_view aKey) const
{
  const auto found =
    std::find_if(mFields.begin(), mFields.end(), [aKey](const field& aField) {
      return aField.first == aKey;
    });
  return found == mFields.end() ? nullptr : &found->second;
}

bool log_record::Has(std::string_view aKey, std::string_view aValue) const
{
  const std::string* value = Find(aKey);
  return value != nullptr && *value == aValue;
}

uint64_t log_record::Number(std::string_view aKey) const
{
  const std::string* value = Find(aKey);
  uint64_t number = 0;
  if (value != nullptr) {
    std::from_chars(value->data(), value->data() + value->size(), number);
  }
  return number;
}

std::optional<log_record> ParseLogLine(std::string_view aLine,
                                       const std::string& aSource)
{
  const size_t start = aLine.find("time=");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  log_record record;
  record.mSource = aSource;
  const std::string_view prefix = Trim(aLine.substr(0, start));
  if (!prefix.empty()) {
    // A collector's own time stamp is no part of the source's name.
    const size_t space = prefix.rfind(' ');
    record.mSource +=
      (aSource.empty() ? "" : ":") + std::string(space == std::string_view::npos
                                                   ? prefix
                                                   : prefix.substr(space + 1));
  }
  std::string_view rest = aLine.substr(start);
  while (auto next = TakeField(rest)) {
    if (next->first == "time") {
      record.mTime = std::move(next->second);
    } else if (next->first == "level") {
      record.mLevel = std::move(next->second);
    } else if (next->first == "event") {
      record.mEvent = std::move(next->second);
    } else {
      record.mFields.push_back(std::move(*next));
    }
  }
  if (record.mEvent.empty()) {
    return std::nullopt;
  }
  return record;
}

std::vector<log_record> ReadLog(std::istream& aStream,
                                const std::string& aSource)
{
  std::vector<log_record> records;
  std::string line;
  while (std::getline(aStream, line)) {
    if (auto record = ParseLogLine(line, aSource)) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

void SortByTime(std::vector<log_record>& aRecords)
{
  std::stable_sort(aRecords.begin(),
                   aRecords.end(),
                   [](const log_record& aLeft, const log_record& aRight) {
                     return aLeft.mTime < aRight.mTime;
                   });
}

std::string RenderRecord(const log_record& aRecord)
{
  std::string text =
    aRecord.mTime + " " + aRecord.mSource + " " + aRecord.mEvent;
  for (const auto& [key, value] : aRecord.mFields) {
    text += " " + key + "=" + QuoteIfNeeded(value);
  }
  return text;
}

} // namespace parsleystair
