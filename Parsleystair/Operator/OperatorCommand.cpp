#include "Parsleystair/Operator/OperatorCommand.h"

#include "Parsleystair/Core/JsonText.h"
#include "Parsleystair/Operator/FileCommands.h"
#include "Parsleystair/Operator/LogCommands.h"
#include "Parsleystair/Operator/OperatorArguments.h"
#include "Parsleystair/Operator/ReleaseCommands.h"
#include "Parsleystair/Operator/Reports.h"
#include "Parsleystair/Operator/RouterCommands.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;
using words = std::vector<std::string>;

/// Whether the words are these, followed by a number of operands.
bool Is(const words& aWords, const words& aCommand, size_t aOperands)
{
  return aWords.size() == aCommand.size() + aOperands &&
         std::equal(aCommand.begin(), aCommand.end(), aWords.begin());
}

command_result RunRelease(const operator_arguments& aArguments)
{
  const words& given = aArguments.mWords;
  if (Is(given, { "release", "submit" }, 1)) {
    return RunSubmit(aArguments, given[2]);
  }
  if (Is(given, { "release", "diff" }, 1)) {
    return RunDiff(aArguments, given[2]);
  }
  if (Is(given, { "release", "show" }, 1)) {
    return RunShow(aArguments, given[2]);
  }
  if (Is(given, { "release", "list" }, 0)) {
    return RunList(aArguments);
  }
  if (Is(given, { "release", "status" }, 0)) {
    return RunReleaseStatus(aArguments, "");
  }
  if (Is(given, { "release", "status" }, 1)) {
    return RunReleaseStatus(aArguments, given[2]);
  }
  throw command_error(
    exit_code::kBadInput,
    "release needs submit FILE, diff FILE, show ID, list or status [ID]",
    "see parsleystair --help");
}

/// Words after the first `aCount`.
words Rest(const words& aWords, size_t aCount)
{
  return { aWords.begin() + static_cast<std::ptrdiff_t>(aCount), aWords.end() };
}

command_result Run(const operator_arguments& aArguments)
{
  const words& given = aArguments.mWords;
  if (!given.empty() && given.front() == "release") {
    return RunRelease(aArguments);
  }
  if (given.size() >= 3 && given.front() == "explain") {
    return RunExplain(given[1], Rest(given, 2));
  }
  if (given.size() >= 2 && given.front() == "report") {
    return RunReport(aArguments, Rest(given, 1));
  }
  if (Is(given, { "check" }, 1)) {
    return RunCheck(aArguments, given[1]);
  }
  if (Is(given, { "status" }, 0)) {
    return RunStatus(aArguments);
  }
  if (Is(given, { "owner" }, 2)) {
    return RunOwner(aArguments, given[1], given[2]);
  }
  if (Is(given, { "dump" }, 1)) {
    return RunDump(aArguments, given[1]);
  }
  throw command_error(exit_code::kBadInput,
                      given.empty() ? "no command was given"
                                    : "no command is named " + given.front() +
                                        " or its operands are wrong",
                      "see parsleystair --help for the commands");
}

command_result Failed(exit_code aCode,
                      const std::string& aMessage,
                      const std::string& aNext)
{
  return {
    aCode, aMessage + "\n", ReportText({ { "error", aMessage } }), aNext, true
  };
}

/// Runs a command; its errors become results.
command_result RunSafely(const operator_arguments& aArguments)
{
  try {
    return Run(aArguments);
  } catch (const command_error& fault) {
    return Failed(fault.Code(), fault.what(), fault.Next());
  } catch (const value_problems_error& fault) {
    return ReportProblems("the input", fault.Problems());
  } catch (const parse_error& fault) {
    return Failed(exit_code::kUnreachable,
                  fault.what(),
                  "use the version of this command that the routers have");
  } catch (const system_error& fault) {
    return Failed(exit_code::kUnreachable,
                  fault.what(),
                  "check the limits of this machine and try again");
  }
}

void Print(const command_result& aResult,
           bool aIsJson,
           std::ostream& aOut,
           std::ostream& aError)
{
  if (aIsJson) {
    json document = json::parse(aResult.mJson);
    document["exitCode"] = static_cast<int>(aResult.mCode);
    document["next"] = aResult.mNext;
    aOut << ReportText(document) << "\n";
    return;
  }
  if (aResult.mIsError) {
    aError << "parsleystair: " << aResult.mText;
  } else {
    aOut << aResult.mText;
  }
  if (!aResult.mNext.empty()) {
    aError << "next: " << aResult.mNext << "\n";
  }
}

} // namespace

int RunOperatorCommand(const std::vector<std::string>& aArguments,
                       std::ostream& aOut,
                       std::ostream& aError)
{
  const bool isJson =
    std::find(aArguments.begin(), aArguments.end(), "--json") !=
    aArguments.end();
  command_result result;
  try {
    const operator_arguments arguments = ParseOperatorArguments(aArguments);
    if (arguments.mHelp) {
      aOut << OperatorHelp();
      return 0;
    }
    if (arguments.mVersion) {
      aOut << "parsleystair " << PARSLEYSTAIR_VERSION << "\n";
      return 0;
    }
    result = RunSafely(arguments);
  } catch (const command_error& fault) {
    result = Failed(fault.Code(), fault.what(), fault.Next());
  }
  Print(result, isJson, aOut, aError);
  return static_cast<int>(result.mCode);
}

} // namespace parsleystair
