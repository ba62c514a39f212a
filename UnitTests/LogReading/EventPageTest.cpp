#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace parsleystair {

namespace {

using event_fields = std::map<std::string, std::set<std::string>>;

std::string ReadWhole(const std::filesystem::path& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

/// Adds the fields of each `log_line` of a source: all that are added before
/// the next one or the end of the function.
void CollectEvents(const std::string& aSource, event_fields& aEvents)
{
  static const std::regex kToken(
    R"re(log_line(?: \w+)?\(\s*log_severity::\w+,\s*"(\w+)"\)|\.Add\(\s*"(\w+)"|\n(\}))re");
  std::string event;
  for (std::sregex_iterator token(aSource.begin(), aSource.end(), kToken), end;
       token != end;
       ++token) {
    const std::smatch& match = *token;
    if (match[1].matched) {
      event = match[1];
      aEvents[event];
    } else if (match[3].matched) {
      event.clear();
    } else if (!event.empty()) {
      aEvents[event].insert(match[2]);
    }
  }
}

event_fields EventsOfSources()
{
  event_fields events;
  const std::filesystem::path root = PARSLEYSTAIR_SOURCE_DIRECTORY;
  for (const char* folder : { "Parsleystair", "platform", "Daemons" }) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root / folder)) {
      const auto extension = entry.path().extension();
      if (extension == ".cpp" || extension == ".h") {
        CollectEvents(ReadWhole(entry.path()), events);
      }
    }
  }
  return events;
}

event_fields EventsOfPage()
{
  event_fields events;
  std::ifstream page(std::string(PARSLEYSTAIR_SOURCE_DIRECTORY) +
                     "/docs/operators/log-events.md");
  static const std::regex kRow(R"(^\| `(\w+)` \| (.+) \| (.*) \|$)");
  static const std::regex kField(R"(`(\w+)`)");
  for (std::string line; std::getline(page, line);) {
    std::smatch row;
    if (!std::regex_match(line, row, kRow)) {
      continue;
    }
    std::set<std::string>& fields = events[row[1]];
    const std::string cell = row[3];
    for (std::sregex_iterator field(cell.begin(), cell.end(), kField), end;
         field != end;
         ++field) {
      fields.insert((*field)[1]);
    }
  }
  return events;
}

} // namespace

// Guards against events and fields that operators look up in vain.
TEST(LogEventsPage, NamesEachEventAndItsFields)
{
  const event_fields sources = EventsOfSources();
  const event_fields page = EventsOfPage();
  EXPECT_GT(sources.size(), 50U);
  for (const auto& [event, fields] : sources) {
    const auto row = page.find(event);
    ASSERT_NE(row, page.end()) << event << " is missing from the page";
    EXPECT_EQ(row->second, fields) << event;
  }
  for (const auto& [event, fields] : page) {
    EXPECT_TRUE(sources.contains(event)) << event << " is never written";
  }
}

} // namespace parsleystair
