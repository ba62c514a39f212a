#include "Parsleystair/Settings/ReleaseNoteCodec.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Settings/ConfigurationCodec.h"
#include "Parsleystair/Settings/ConfigurationSchema.h"
#include "Parsleystair/Settings/JsonShape.h"
#include "Parsleystair/Settings/Names.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

const json& MemberOr(const json& aObject,
                     const char* aName,
                     const json& aDefault)
{
  const auto found = aObject.find(aName);
  return found == aObject.end() ? aDefault : *found;
}

const json& ObjectAt(const json& aObject, const char* aName)
{
  static const json kEmpty = json::object();
  return MemberOr(aObject, aName, kEmpty);
}

const json& ArrayAt(const json& aObject, const char* aName)
{
  static const json kEmpty = json::array();
  return MemberOr(aObject, aName, kEmpty);
}

// Decoding.

template<typename T>
member_changes<T> DecodeChanges(const json& aObject)
{
  member_changes<T> changes;
  changes.mNames = DecodeMembers(aObject.dump(), changes.mValues);
  changes.mNames.erase("name");
  return changes;
}

template<typename T>
std::vector<member_changes<T>> DecodeChangeList(const json& aArray)
{
  std::vector<member_changes<T>> list;
  for (const json& element : aArray) {
    list.push_back(DecodeChanges<T>(element));
  }
  return list;
}

template<typename Id>
std::vector<Id> DecodeIds(const json& aArray)
{
  std::vector<Id> ids;
  for (const json& element : aArray) {
    ids.emplace_back(element.get<std::string>());
  }
  return ids;
}

note_additions DecodeAdditions(const json& aObject)
{
  note_additions added;
  if (aObject.contains("groupCount")) {
    added.mGroupCount = aObject.at("groupCount").get<uint32_t>();
  }
  for (const json& domain : ArrayAt(aObject, "failureDomains")) {
    DecodeMembers(domain.dump(), added.mFailureDomains.emplace_back());
  }
  for (const json& element : ArrayAt(aObject, "services")) {
    added_service service;
    service.mService = DecodeService(element.dump());
    service_configuration members;
    service.mNames = DecodeMembers(element.dump(), members);
    service.mNames.erase("name");
    added.mServices.push_back(std::move(service));
  }
  return added;
}

note_changes DecodeNoteChanges(const json& aObject)
{
  note_changes changed;
  changed.mWeights =
    DecodeChanges<measure_weights>(ObjectAt(aObject, "weights"));
  changed.mFailureDomains = DecodeChangeList<failure_domain_configuration>(
    ArrayAt(aObject, "failureDomains"));
  for (const json& element : ArrayAt(aObject, "services")) {
    changed.mServices.push_back(
      { DecodeChanges<service_configuration>(element),
        DecodeChangeList<target_configuration>(ArrayAt(element, "targets")),
        DecodeChangeList<request_rule>(ArrayAt(element, "rules")) });
  }
  return changed;
}

withdrawn_service DecodeWithdrawnService(const json& aElement)
{
  if (aElement.is_string()) {
    return { service_name(aElement.get<std::string>()), true, {}, {}, {} };
  }
  return { service_name(aElement.at("name").get<std::string>()),
           false,
           ArrayAt(aElement, "namedKeys").get<std::vector<std::string>>(),
           DecodeIds<target_name>(ArrayAt(aElement, "targets")),
           DecodeIds<rule_name>(ArrayAt(aElement, "rules")) };
}

note_withdrawals DecodeWithdrawals(const json& aObject)
{
  note_withdrawals withdrawn;
  withdrawn.mFailureDomains =
    DecodeIds<failure_domain_name>(ArrayAt(aObject, "failureDomains"));
  for (const json& element : ArrayAt(aObject, "services")) {
    withdrawn.mServices.push_back(DecodeWithdrawnService(element));
  }
  return withdrawn;
}

release_note DecodeNote(const json& aDocument)
{
  release_note note;
  note.mId = note_id(aDocument.at("id").get<std::string>());
  note.mBase = configuration_revision(aDocument.at("base").get<uint64_t>());
  note.mAdded = DecodeAdditions(ObjectAt(aDocument, "added"));
  note.mChanged = DecodeNoteChanges(ObjectAt(aDocument, "changed"));
  note.mWithdrawn = DecodeWithdrawals(ObjectAt(aDocument, "withdrawn"));
  return note;
}

// Encoding. Empty parts are left out.

void SetUnlessEmpty(json& aObject, const char* aName, json aValue)
{
  if (!aValue.empty()) {
    aObject[aName] = std::move(aValue);
  }
}

template<typename T>
json EncodeChanges(const member_changes<T>& aChanges)
{
  member_names names = aChanges.mNames;
  names.insert("name");
  return json::parse(EncodeMembers(aChanges.mValues, &names));
}

template<typename T>
json EncodeChangeList(const std::vector<member_changes<T>>& aList)
{
  json list = json::array();
  for (const member_changes<T>& changes : aList) {
    list.push_back(EncodeChanges(changes));
  }
  return list;
}

template<typename Id>
json EncodeIds(const std::vector<Id>& aIds)
{
  json list = json::array();
  for (const Id& id : aIds) {
    list.push_back(id.Value());
  }
  return list;
}

json EncodeAddedService(const added_service& aService)
{
  json service = json::parse(EncodeService(aService.mService));
  member_names names = aService.mNames;
  names.insert({ "name", "targets", "rules" });
  for (auto member = service.begin(); member != service.end();) {
    const bool given = names.contains(member.key());
    const bool empty = member->is_array() && member->empty();
    member = given && !empty ? std::next(member) : service.erase(member);
  }
  return service;
}

json EncodeAdditions(const note_additions& aAdded)
{
  json domains = json::array();
  for (const failure_domain_configuration& domain : aAdded.mFailureDomains) {
    domains.push_back(json::parse(EncodeMembers(domain)));
  }
  json services = json::array();
  for (const added_service& service : aAdded.mServices) {
    services.push_back(EncodeAddedService(service));
  }
  json added = json::object();
  if (aAdded.mGroupCount) {
    added["groupCount"] = *aAdded.mGroupCount;
  }
  SetUnlessEmpty(added, "failureDomains", std::move(domains));
  SetUnlessEmpty(added, "services", std::move(services));
  return added;
}

json EncodeNoteChanges(const note_changes& aChanged)
{
  json services = json::array();
  for (const changed_service& change : aChanged.mServices) {
    json service = EncodeChanges(change.mMembers);
    SetUnlessEmpty(service, "targets", EncodeChangeList(change.mTargets));
    SetUnlessEmpty(service, "rules", EncodeChangeList(change.mRules));
    services.push_back(std::move(service));
  }
  json changed = json::object();
  SetUnlessEmpty(changed, "weights", EncodeChanges(aChanged.mWeights));
  SetUnlessEmpty(
    changed, "failureDomains", EncodeChangeList(aChanged.mFailureDomains));
  SetUnlessEmpty(changed, "services", std::move(services));
  return changed;
}

json EncodeWithdrawnService(const withdrawn_service& aService)
{
  if (aService.mWhole) {
    return aService.mName.Value();
  }
  json service = { { "name", aService.mName.Value() } };
  SetUnlessEmpty(service, "namedKeys", aService.mNamedKeys);
  SetUnlessEmpty(service, "targets", EncodeIds(aService.mTargets));
  SetUnlessEmpty(service, "rules", EncodeIds(aService.mRules));
  return service;
}

json EncodeWithdrawals(const note_withdrawals& aWithdrawn)
{
  json services = json::array();
  for (const withdrawn_service& service : aWithdrawn.mServices) {
    services.push_back(EncodeWithdrawnService(service));
  }
  json withdrawn = json::object();
  SetUnlessEmpty(
    withdrawn, "failureDomains", EncodeIds(aWithdrawn.mFailureDomains));
  SetUnlessEmpty(withdrawn, "services", std::move(services));
  return withdrawn;
}

json EncodeNote(const release_note& aNote)
{
  json note = { { "id", aNote.mId.Value() }, { "base", aNote.mBase.Value() } };
  SetUnlessEmpty(note, "added", EncodeAdditions(aNote.mAdded));
  SetUnlessEmpty(note, "changed", EncodeNoteChanges(aNote.mChanged));
  SetUnlessEmpty(note, "withdrawn", EncodeWithdrawals(aNote.mWithdrawn));
  return note;
}

/// A service is withdrawn by its name as a string. An object without parts
/// might be meant that way and would have no effect.
void CheckWithdrawals(const note_withdrawals& aWithdrawn,
                      std::vector<value_problem>& aProblems)
{
  for (size_t i = 0; i < aWithdrawn.mServices.size(); ++i) {
    const withdrawn_service& service = aWithdrawn.mServices[i];
    if (!service.mWhole && service.mNamedKeys.empty() &&
        service.mTargets.empty() && service.mRules.empty()) {
      aProblems.push_back(
        { "withdrawn.services[" + std::to_string(i) + "]",
          "an object without parts to withdraw",
          "namedKeys, targets or rules; or, to withdraw the whole service, its "
          "name as a string" });
    }
  }
}

bool ChangesNothing(const release_note& aNote)
{
  release_note empty;
  empty.mId = aNote.mId;
  empty.mBase = aNote.mBase;
  return aNote == empty;
}

std::vector<value_problem> CheckNote(const release_note& aNote)
{
  std::vector<value_problem> problems;
  if (!IsName(aNote.mId.Value())) {
    problems.push_back({ "id", "\"" + aNote.mId.Value() + "\"", kNameAllowed });
  }
  CheckWithdrawals(aNote.mWithdrawn, problems);
  if (ChangesNothing(aNote)) {
    problems.push_back({ kDocumentPath,
                         "a note that changes nothing",
                         "at least one of added, changed and withdrawn" });
  }
  return problems;
}

} // namespace

std::vector<value_problem> CheckReleaseNoteText(const std::string& aText)
{
  std::vector<value_problem> problems = ReleaseNoteShape().Check(aText);
  if (!problems.empty()) {
    return problems;
  }
  return CheckNote(DecodeNote(json::parse(aText)));
}

release_note ParseReleaseNote(const std::string& aText)
{
  std::vector<value_problem> problems = CheckReleaseNoteText(aText);
  if (!problems.empty()) {
    throw value_problems_error(std::move(problems));
  }
  return DecodeNote(json::parse(aText));
}

std::string EncodeReleaseNote(const release_note& aNote)
{
  return EncodeNote(aNote).dump();
}

std::string EncodeAcceptedNote(const accepted_note& aNote)
{
  const json document = { { "note", EncodeNote(aNote.mNote) },
                          { "revision", aNote.mRevision.Value() },
                          { "submittedAtMs",
                            aNote.mSubmittedAt.time_since_epoch().count() } };
  return document.dump();
}

accepted_note DecodeAcceptedNote(const std::string& aText)
{
  try {
    const json document = json::parse(aText);
    accepted_note note;
    note.mNote = ParseReleaseNote(document.at("note").dump());
    note.mRevision =
      configuration_revision(document.at("revision").get<uint64_t>());
    note.mSubmittedAt = wall_time(
      std::chrono::milliseconds(document.at("submittedAtMs").get<int64_t>()));
    return note;
  } catch (const json::exception& exception) {
    throw parse_error(std::string("accepted note: ") + exception.what());
  } catch (const value_problems_error& fault) {
    throw parse_error(std::string("accepted note: ") + fault.what());
  }
}

} // namespace parsleystair
