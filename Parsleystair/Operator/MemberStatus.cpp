#include "Parsleystair/Operator/MemberStatus.h"

#include "Parsleystair/Core/Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

constexpr const char* kLost = "lost";

member_status ReadMember(const json& aValue)
{
  member_status member;
  member.mVm = vm_name(aValue.at("vm").get<std::string>());
  member.mIncarnation = incarnation(aValue.at("incarnation").get<uint64_t>());
  member.mState = aValue.value("state", "live");
  member.mFailureDomain =
    failure_domain_name(aValue.at("failureDomain").get<std::string>());
  member.mRevision =
    configuration_revision(aValue.at("configurationRevision").get<uint64_t>());
  member.mInForceFor =
    std::chrono::milliseconds(aValue.at("inForceMs").get<int64_t>());
  member.mAge = std::chrono::milliseconds(aValue.value("ageMs", int64_t{ 0 }));
  return member;
}

bool IsSameProcess(const member_status& aLeft, const member_status& aRight)
{
  return aLeft.mVm == aRight.mVm && aLeft.mIncarnation == aRight.mIncarnation;
}

} // namespace

std::vector<member_status> ParseStatus(const std::string& aText)
{
  try {
    const json document = json::parse(aText);

    // The router knows itself better than its list of members does.
    std::vector<member_status> members = { ReadMember(document) };
    if (document.value("draining", false)) {
      members.front().mState = "leaving";
    }
    for (const json& value : document.at("members")) {
      const member_status member = ReadMember(value);
      if (!IsSameProcess(member, members.front())) {
        members.push_back(member);
      }
    }
    std::sort(members.begin(),
              members.end(),
              [](const member_status& aLeft, const member_status& aRight) {
                return aLeft.mVm.Value() < aRight.mVm.Value();
              });
    return members;
  } catch (const json::exception& exception) {
    throw parse_error(std::string("status of a router: ") + exception.what());
  }
}

configuration_revision HighestRevision(
  const std::vector<member_status>& aMembers)
{
  configuration_revision highest;
  for (const member_status& member : aMembers) {
    highest = std::max(highest, member.mRevision);
  }
  return highest;
}

std::vector<member_status> LaggingMembers(
  const std::vector<member_status>& aMembers,
  configuration_revision aRevision)
{
  std::vector<member_status> lagging;
  for (const member_status& member : aMembers) {
    if (member.mState != kLost && member.mRevision < aRevision) {
      lagging.push_back(member);
    }
  }
  return lagging;
}

} // namespace parsleystair
