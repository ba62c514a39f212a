#include "Parsleystair/Operator/RouterCommands.h"

#include "Parsleystair/Operator/BlockingCalls.h"
#include "Parsleystair/Operator/MemberStatus.h"
#include "Parsleystair/Operator/Reports.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

json ParseAnswer(const std::string& aText)
{
  try {
    return json::parse(aText);
  } catch (const json::exception& exception) {
    throw parse_error(std::string("answer of a router: ") + exception.what());
  }
}

std::string OwnerText(const json& aOwner)
{
  std::string text = aOwner.at("service").get<std::string>() + " " +
                     aOwner.at("key").get<std::string>() + ": slot " +
                     std::to_string(aOwner.at("slot").get<uint64_t>()) +
                     ", group " +
                     std::to_string(aOwner.at("group").get<uint64_t>());
  if (!aOwner.at("exclusive").get<bool>()) {
    return text + ", shared: any target of the service may serve it\n";
  }
  const std::string owner = aOwner.value("owner", "");
  if (owner.empty()) {
    return text + ", no owner is known to this router\n";
  }
  text += ", owner " + owner + " since " +
          FormatTime(wall_time(
            std::chrono::milliseconds(aOwner.value("sinceMs", int64_t{ 0 })))) +
          ", fence " + std::to_string(aOwner.value("fence", uint64_t{ 0 }));
  if (aOwner.contains("move")) {
    text += ", moving to " + aOwner["move"].value("to", "") + " (" +
            aOwner["move"].value("reason", "") + ")";
  }
  return text + "\n";
}

bool IsUnreserved(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
         aCharacter == '.' || aCharacter == '_' || aCharacter == '~';
}

} // namespace

command_result RunStatus(const operator_arguments& aArguments)
{
  event_loop loop;
  blocking_router router(loop, aArguments.Router());
  return ReportMembers(ParseStatus(router.Read("/status")));
}

command_result RunOwner(const operator_arguments& aArguments,
                        const std::string& aService,
                        const std::string& aKey)
{
  event_loop loop;
  blocking_router router(loop, aArguments.Router());
  bool isFound = false;
  const std::string body = router.Read("/owner",
                                       "service=" + EncodeQueryValue(aService) +
                                         "&key=" + EncodeQueryValue(aKey),
                                       &isFound);
  if (!isFound) {
    throw command_error(exit_code::kBadInput,
                        "no service in force is named " + aService,
                        "see dump for the configuration in force");
  }
  const json owner = ParseAnswer(body);
  command_result result;
  result.mJson = owner.dump();
  try {
    result.mText = OwnerText(owner);
  } catch (const json::exception& exception) {
    throw parse_error(std::string("owner of a key: ") + exception.what());
  }
  if (owner["exclusive"].get<bool>() && owner.value("owner", "").empty()) {
    result.mCode = exit_code::kRefused;
    result.mNext = "ask another router with --router; a new service has no "
                   "owners for some seconds";
  }
  return result;
}

command_result RunDump(const operator_arguments& aArguments,
                       const std::string& aVm)
{
  event_loop loop;
  blocking_router router(loop, aArguments.Router());
  const json dump = ParseAnswer(router.Read("/dump"));
  const std::string vm = dump.is_object() ? dump.value("vm", "") : "";
  if (vm != aVm) {
    throw command_error(exit_code::kBadInput,
                        "the router at " + Describe(aArguments.Router()) +
                          " is " + vm + ", not " + aVm,
                        "give the operators' address of " + aVm +
                          " with --router");
  }
  constexpr int kIndent = 2;
  return { exit_code::kOk, dump.dump(kIndent) + "\n", dump.dump(), "" };
}

std::string EncodeQueryValue(const std::string& aText)
{
  constexpr const char* kDigits = "0123456789ABCDEF";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 0xF;
  std::string text;
  for (const char character : aText) {
    if (IsUnreserved(character)) {
      text += character;
      continue;
    }
    const unsigned byte = static_cast<unsigned char>(character);
    text += '%';
    text += kDigits[byte >> kBitsPerDigit];
    text += kDigits[byte & kDigitMask];
  }
  return text;
}

} // namespace parsleystair
