#include "Parsleystair/Core/Log.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Text.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <unordered_map>

namespace parsleystair {

namespace {

/// Lines of one event that a thread writes in one second before it counts.
constexpr int kLinesPerSecond = 20;

std::atomic<log_severity> sLowestSeverity{ log_severity::kInfo };

struct repeat_counter
{
  time_point mSecondStart{};
  int mLines = 0;
  uint64_t mSuppressed = 0;
};

/// Counts repeats for each thread on its own, so that logging takes no lock.
repeat_counter& CounterFor(const std::string& aEvent)
{
  thread_local std::unordered_map<std::string, repeat_counter> sCounters;
  return sCounters[aEvent];
}

/// Tells if the line may be written; otherwise it has been counted.
bool TakeLine(repeat_counter& aCounter, time_point aNow)
{
  if (aNow - aCounter.mSecondStart >= 1s) {
    aCounter.mSecondStart = aNow;
    aCounter.mLines = 0;
  }
  if (aCounter.mLines >= kLinesPerSecond) {
    ++aCounter.mSuppressed;
    return false;
  }
  ++aCounter.mLines;
  return true;
}

boost::log::trivial::severity_level BoostSeverity(log_severity aSeverity)
{
  switch (aSeverity) {
    case log_severity::kDebug:
      return boost::log::trivial::debug;
    case log_severity::kInfo:
      return boost::log::trivial::info;
    case log_severity::kWarning:
      return boost::log::trivial::warning;
    case log_severity::kError:
      return boost::log::trivial::error;
  }
  return boost::log::trivial::error;
}

/// Lines that standard output did not take.
std::atomic<uint64_t> sDropped{ 0 };

/// Tells if a line can be written at once. A pipe takes up to PIPE_BUF bytes
/// whole when it is writable; a longer line could block.
bool CanWrite(size_t aBytes)
{
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  return aBytes <= PIPE_BUF && poll(&output, 1, 0) == 1 &&
         (output.revents & POLLOUT) != 0;
}

/// Writes formatted lines to standard output without ever waiting for it.
class output_backend
  : public boost::log::sinks::basic_formatted_sink_backend<
      char,
      boost::log::sinks::synchronized_feeding>
{
public:
  void consume(const boost::log::record_view& /*aRecord*/,
               const std::string& aText)
  {
    const std::string line = aText + "\n";
    if (!CanWrite(line.size()) ||
        write(STDOUT_FILENO, line.data(), line.size()) < 0) {
      ++sDropped;
    }
  }
};

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \"=\\") != std::string_view::npos ||
         !IsPrintable(aValue);
}

void AppendEscaped(std::string& aText, std::string_view aLine)
{
  std::string printable;
  AppendPrintable(printable, aLine);
  for (const char character : printable) {
    if (character == '"' || character == '\\') {
      aText += '\\';
    }
    aText += character;
  }
}

void AppendQuoted(std::string& aText, std::string_view aValue)
{
  aText += '"';
  for (size_t end = aValue.find_first_of("\n\r"); end != std::string_view::npos;
       end = aValue.find_first_of("\n\r")) {
    AppendEscaped(aText, aValue.substr(0, end));
    aText += aValue[end] == '\n' ? "\\n" : "\\r";
    aValue.remove_prefix(end + 1);
  }
  AppendEscaped(aText, aValue);
  aText += '"';
}

} // namespace

log_severity ParseLogSeverity(std::string_view aText)
{
  if (aText == "debug") {
    return log_severity::kDebug;
  }
  if (aText == "info") {
    return log_severity::kInfo;
  }
  if (aText == "warning") {
    return log_severity::kWarning;
  }
  if (aText == "error") {
    return log_severity::kError;
  }
  throw value_error(
    "log-level", std::string(aText), "debug, info, warning, error");
}

void StartLog(log_severity aSeverity)
{
  sLowestSeverity = aSeverity;
  namespace expr = boost::log::expressions;
  boost::log::add_common_attributes();
  using sink = boost::log::sinks::synchronous_sink<output_backend>;
  const auto output = boost::make_shared<sink>();
  output->set_formatter(expr::stream
                        << "time="
                        << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " level=" << boost::log::trivial::severity << " "
                        << expr::smessage);
  boost::log::core::get()->add_sink(output);
}

log_line::log_line(log_severity aSeverity, std::string_view aEvent)
  : mSeverity(aSeverity)
  , mWritten(aSeverity >= sLowestSeverity.load(std::memory_order_relaxed))
  , mEvent(aEvent)
{
}

log_line::~log_line()
{
  if (!mWritten) {
    return;
  }
  repeat_counter& counter = CounterFor(mEvent);
  if (!TakeLine(counter, MonotonicNow())) {
    return;
  }
  if (counter.mSuppressed > 0) {
    Add("suppressed", counter.mSuppressed);
    counter.mSuppressed = 0;
  }
  if (const uint64_t dropped = sDropped.exchange(0); dropped > 0) {
    Add("dropped", dropped);
  }
  BOOST_LOG_STREAM_WITH_PARAMS(
    boost::log::trivial::logger::get(),
    (boost::log::keywords::severity = BoostSeverity(mSeverity)))
    << "event=" << mEvent << mText;
}

log_line& log_line::Add(std::string_view aKey, std::string_view aValue)
{
  if (!mWritten) {
    return *this;
  }
  mText += ' ';
  mText += aKey;
  mText += '=';
  if (NeedsQuotes(aValue)) {
    AppendQuoted(mText, aValue);
  } else {
    mText += aValue;
  }
  return *this;
}

log_line& log_line::Add(std::string_view aKey, const char* aValue)
{
  return Add(aKey, std::string_view(aValue));
}

log_line& log_line::Add(std::string_view aKey, const std::string& aValue)
{
  return Add(aKey, std::string_view(aValue));
}

log_line& log_line::Add(std::string_view aKey, int64_t aValue)
{
  return Add(aKey, std::string_view(std::to_string(aValue)));
}

log_line& log_line::Add(std::string_view aKey, uint64_t aValue)
{
  return Add(aKey, std::string_view(std::to_string(aValue)));
}

log_line& log_line::Add(std::string_view aKey, int aValue)
{
  return Add(aKey, static_cast<int64_t>(aValue));
}

log_line& log_line::Add(std::string_view aKey, bool aValue)
{
  return Add(aKey, std::string_view(aValue ? "true" : "false"));
}

} // namespace parsleystair
