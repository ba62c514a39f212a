#include "Parsleystair/Operator/OperatorArguments.h"

#include "Parsleystair/Operator/CommandResult.h"
#include "Parsleystair/Settings/Names.h"

#include <charconv>
#include <cxxopts.hpp>

namespace parsleystair {

namespace {

constexpr const char* kProgram = "parsleystair";

/// Longest `--timeout`, in seconds: one day.
constexpr uint32_t kMaxTimeout = 86'400;

/// Most notes that the store keeps.
constexpr uint32_t kMaxLimit = 1'000;

constexpr const char* kCommands = R"(
Commands:
  check FILE               check settings, a configuration or a release note
  release submit FILE      publish a release note
  release diff FILE        show what a release note changes
  release show ID          show an accepted note
  release list             list the newest accepted notes
  release status [ID]      show where a note, or the newest one, is in force
  status                   show the routers and their configuration
  owner SERVICE KEY        show which target owns a key
  dump VM                  show the state of a router
  explain REQUEST LOG...   show what the logs say of a request, and the state
                           that decided
  report LOG...            sum up logs: outcomes, worst seconds, targets set
                           aside, moves of keys

Exit codes:
  0  done
  1  refused, in conflict with another note, not in force everywhere, or no
     log names the request
  2  wrong arguments or input
  3  platform or router unreachable; nothing has changed
  4  outcome unknown; submit the same note again to learn it
)";

cxxopts::Options MakeOptions()
{
  cxxopts::Options options(kProgram, "Operators' command of parsleystair\n");
  options.custom_help("[OPTION...]");
  options.positional_help("COMMAND...");
  options.add_options()                                                      //
    ("platform", "HOST:PORT of the platform", cxxopts::value<std::string>()) //
    ("router",
     "HOST:PORT of any router's operators' address",
     cxxopts::value<std::string>()) //
    ("against",
     "configuration or note that a check or diff starts from; may be repeated",
     cxxopts::value<std::vector<std::string>>())                          //
    ("wait", "submit: wait until the note is in force at every live VM")  //
    ("rebase", "submit: put the note on top of notes accepted meanwhile") //
    ("timeout", "seconds, 30 by default", cxxopts::value<std::string>())  //
    ("limit",
     "list: newest notes; report: worst seconds; 20 by default",
     cxxopts::value<std::string>())   //
    ("json", "print one JSON object") //
    ("version", "show the version")   //
    ("help", "show this text")        //
    ("words",
     "command and its operands",
     cxxopts::value<std::vector<std::string>>());
  options.parse_positional("words");
  return options;
}

[[noreturn]] void RefuseOption(const std::string& aName,
                               const std::string& aValue,
                               const std::string& aAllowed)
{
  throw command_error(exit_code::kBadInput,
                      value_error("--" + aName, aValue, aAllowed).what(),
                      "correct the option; see parsleystair --help");
}

uint32_t ParseNumber(const std::string& aName,
                     const std::string& aText,
                     uint32_t aMaximum)
{
  uint32_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value == 0 ||
      value > aMaximum) {
    RefuseOption(
      aName, aText, "an integer from 1 to " + std::to_string(aMaximum));
  }
  return value;
}

/// Reads `127.0.0.1:80` or `[::1]:80`.
socket_address ParseAddress(const std::string& aName, const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  socket_address address;
  if (colon != std::string::npos) {
    address.mHost = aText.substr(0, colon);
  }
  if (address.mHost.starts_with('[') && address.mHost.ends_with(']')) {
    address.mHost = address.mHost.substr(1, address.mHost.size() - 2);
  }
  if (!IsIpAddress(address.mHost)) {
    RefuseOption(aName,
                 aText,
                 "HOST:PORT, where HOST is an IP address, [HOST]:PORT if v6");
  }
  address.mPort = static_cast<uint16_t>(
    ParseNumber(aName, aText.substr(colon + 1), UINT16_MAX));
  return address;
}

socket_address Needed(const std::optional<socket_address>& aAddress,
                      const char* aName,
                      const char* aWhat)
{
  if (!aAddress) {
    throw command_error(exit_code::kBadInput,
                        std::string("this command needs --") + aName,
                        std::string("add --") + aName + " HOST:PORT with " +
                          aWhat);
  }
  return *aAddress;
}

operator_arguments Read(const cxxopts::ParseResult& aParsed)
{
  operator_arguments arguments;
  if (aParsed.count("words") > 0) {
    arguments.mWords = aParsed["words"].as<std::vector<std::string>>();
  }
  if (aParsed.count("against") > 0) {
    arguments.mAgainst = aParsed["against"].as<std::vector<std::string>>();
  }
  if (aParsed.count("platform") > 0) {
    arguments.mPlatform =
      ParseAddress("platform", aParsed["platform"].as<std::string>());
  }
  if (aParsed.count("router") > 0) {
    arguments.mRouter =
      ParseAddress("router", aParsed["router"].as<std::string>());
  }
  if (aParsed.count("timeout") > 0) {
    arguments.mTimeout = std::chrono::seconds(ParseNumber(
      "timeout", aParsed["timeout"].as<std::string>(), kMaxTimeout));
  }
  if (aParsed.count("limit") > 0) {
    arguments.mLimit =
      ParseNumber("limit", aParsed["limit"].as<std::string>(), kMaxLimit);
  }
  arguments.mJson = aParsed.count("json") > 0;
  arguments.mWait = aParsed.count("wait") > 0;
  arguments.mRebase = aParsed.count("rebase") > 0;
  arguments.mHelp = aParsed.count("help") > 0;
  arguments.mVersion = aParsed.count("version") > 0;
  return arguments;
}

} // namespace

socket_address operator_arguments::Platform() const
{
  return Needed(mPlatform, "platform", "the address of the platform");
}

socket_address operator_arguments::Router() const
{
  return Needed(mRouter, "router", "the operators' address of a router");
}

operator_arguments ParseOperatorArguments(
  const std::vector<std::string>& aArguments)
{
  std::vector<const char*> pointers = { kProgram };
  for (const std::string& argument : aArguments) {
    pointers.push_back(argument.c_str());
  }
  try {
    cxxopts::Options options = MakeOptions();
    return Read(
      options.parse(static_cast<int>(pointers.size()), pointers.data()));
  } catch (const cxxopts::exceptions::exception& exception) {
    throw command_error(exit_code::kBadInput,
                        exception.what(),
                        "see parsleystair --help for the options");
  }
}

std::string OperatorHelp()
{
  return MakeOptions().help() + kCommands;
}

} // namespace parsleystair
