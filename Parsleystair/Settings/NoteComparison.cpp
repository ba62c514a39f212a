#include "Parsleystair/Settings/NoteComparison.h"

#include "Parsleystair/Settings/NoteEdit.h"

#include <nlohmann/json.hpp>
#include <set>

namespace parsleystair {

namespace {

using json = nlohmann::json;
using name_path = std::vector<std::string>;

name_path Below(const name_path& aPath, const std::string& aName)
{
  name_path path = aPath;
  path.push_back(aName);
  return path;
}

std::string Join(const name_path& aPath)
{
  std::string text;
  for (const std::string& name : aPath) {
    text += (text.empty() ? "" : ".") + name;
  }
  return text;
}

/// Collects the differences of one note.
class difference_list
{
public:
  difference_list(const release_note& aNote, const configuration* aBase)
    : mNote(aNote)
    , mBase(aBase != nullptr ? *aBase : configuration{})
    , mHasBase(aBase != nullptr)
  {
  }

  std::vector<note_difference> Run()
  {
    ListAdditions(mNote.mAdded);
    ListChanges(mNote.mChanged);
    ListWithdrawals(mNote.mWithdrawn);
    return std::move(mList);
  }

private:
  void Add(difference_kind aKind,
           name_path aPath,
           std::string aFrom,
           std::string aTo)
  {
    mList.push_back(
      { aKind, std::move(aPath), std::move(aFrom), std::move(aTo) });
  }

  /// The service in the base; an empty one when it isn't known.
  [[nodiscard]] service_configuration BaseService(
    const service_name& aName) const
  {
    const service_configuration* service = mBase.FindService(aName);
    return service != nullptr ? *service : service_configuration{};
  }

  template<typename T>
  void ListAdded(const std::vector<T>& aValues, const name_path& aPath)
  {
    for (const T& value : aValues) {
      Add(difference_kind::kAdded,
          Below(aPath, value.mName.Value()),
          "",
          EncodeMembers(value));
    }
  }

  template<typename T>
  void ListMembers(const member_changes<T>& aChanges,
                   const T* aBase,
                   const name_path& aPath)
  {
    for (const std::string& name : aChanges.mNames) {
      Add(difference_kind::kChanged,
          Below(aPath, name),
          aBase != nullptr ? EncodeMember(*aBase, name) : "",
          EncodeMember(aChanges.mValues, name));
    }
  }

  template<typename T>
  void ListChanged(const std::vector<member_changes<T>>& aChanges,
                   const std::vector<T>& aBase,
                   const name_path& aPath)
  {
    for (const member_changes<T>& changes : aChanges) {
      const auto base = FindNamed(aBase, changes.mValues.mName);
      ListMembers(changes,
                  base == aBase.end() ? nullptr : &*base,
                  Below(aPath, changes.mValues.mName.Value()));
    }
  }

  template<typename T, typename Id>
  void ListWithdrawn(const std::vector<Id>& aNames,
                     const std::vector<T>& aBase,
                     const name_path& aPath)
  {
    for (const Id& name : aNames) {
      const auto base = FindNamed(aBase, name);
      Add(difference_kind::kWithdrawn,
          Below(aPath, name.Value()),
          base == aBase.end() ? "" : EncodeMembers(*base),
          "");
    }
  }

  void ListNamedKeys(difference_kind aKind,
                     const std::vector<std::string>& aKeys,
                     const name_path& aPath)
  {
    for (const std::string& key : aKeys) {
      Add(aKind, Below(Below(aPath, "namedKeys"), key), "", "");
    }
  }

  void ListAdditions(const note_additions& aAdded)
  {
    if (aAdded.mGroupCount) {
      Add(difference_kind::kAdded,
          { "groupCount" },
          "",
          std::to_string(*aAdded.mGroupCount));
    }
    ListAdded(aAdded.mFailureDomains, { "failureDomains" });
    for (const added_service& added : aAdded.mServices) {
      const service_configuration& service = added.mService;
      const name_path path = { "services", service.mName.Value() };
      if (added.IsNew()) {
        Add(difference_kind::kAdded, path, "", EncodeMembers(service));
      } else {
        ListNamedKeys(difference_kind::kAdded, service.mNamedKeys, path);
      }
      ListAdded(service.mTargets, Below(path, "targets"));
      ListAdded(service.mRules, Below(path, "rules"));
    }
  }

  void ListChanges(const note_changes& aChanged)
  {
    ListMembers(
      aChanged.mWeights, mHasBase ? &mBase.mWeights : nullptr, { "weights" });
    ListChanged(
      aChanged.mFailureDomains, mBase.mFailureDomains, { "failureDomains" });
    for (const changed_service& change : aChanged.mServices) {
      const service_name& name = change.mMembers.mValues.mName;
      const service_configuration base = BaseService(name);
      const name_path path = { "services", name.Value() };
      ListMembers(change.mMembers, base.mName == name ? &base : nullptr, path);
      ListChanged(change.mTargets, base.mTargets, Below(path, "targets"));
      ListChanged(change.mRules, base.mRules, Below(path, "rules"));
    }
  }

  void ListWithdrawals(const note_withdrawals& aWithdrawn)
  {
    ListWithdrawn(
      aWithdrawn.mFailureDomains, mBase.mFailureDomains, { "failureDomains" });
    for (const withdrawn_service& withdrawal : aWithdrawn.mServices) {
      const name_path path = { "services", withdrawal.mName.Value() };
      const service_configuration base = BaseService(withdrawal.mName);
      if (withdrawal.mWhole) {
        Add(difference_kind::kWithdrawn,
            path,
            base.mName == withdrawal.mName ? EncodeMembers(base) : "",
            "");
        continue;
      }
      ListNamedKeys(difference_kind::kWithdrawn, withdrawal.mNamedKeys, path);
      ListWithdrawn(withdrawal.mTargets, base.mTargets, Below(path, "targets"));
      ListWithdrawn(withdrawal.mRules, base.mRules, Below(path, "rules"));
    }
  }

  const release_note& mNote;
  const configuration mBase;
  const bool mHasBase;
  std::vector<note_difference> mList;
};

bool IsPrefix(const name_path& aPrefix, const name_path& aPath)
{
  return aPrefix.size() <= aPath.size() &&
         std::equal(aPrefix.begin(), aPrefix.end(), aPath.begin());
}

/// Failure domains that targets of the note refer to.
std::set<name_path> UsedPaths(const release_note& aNote)
{
  std::set<name_path> paths;
  const auto add = [&](const target_configuration& aTarget) {
    if (!aTarget.mFailureDomain.Value().empty()) {
      paths.insert({ "failureDomains", aTarget.mFailureDomain.Value() });
    }
  };
  for (const added_service& added : aNote.mAdded.mServices) {
    for (const target_configuration& target : added.mService.mTargets) {
      add(target);
    }
  }
  for (const changed_service& change : aNote.mChanged.mServices) {
    for (const auto& target : change.mTargets) {
      add(target.mValues);
    }
  }
  return paths;
}

/// Withdrawals of one note that the other refers to.
void AddWithdrawnUses(const std::vector<note_difference>& aDifferences,
                      const release_note& aUser,
                      std::set<name_path>& aConflicts)
{
  const std::set<name_path> used = UsedPaths(aUser);
  for (const note_difference& difference : aDifferences) {
    if (difference.mKind == difference_kind::kWithdrawn &&
        used.contains(difference.mPath)) {
      aConflicts.insert(difference.mPath);
    }
  }
}

const char* KindName(difference_kind aKind)
{
  switch (aKind) {
    case difference_kind::kAdded:
      return "added";
    case difference_kind::kChanged:
      return "changed";
    case difference_kind::kWithdrawn:
      break;
  }
  return "withdrawn";
}

char KindSign(difference_kind aKind)
{
  switch (aKind) {
    case difference_kind::kAdded:
      return '+';
    case difference_kind::kChanged:
      return '~';
    case difference_kind::kWithdrawn:
      break;
  }
  return '-';
}

} // namespace

std::vector<note_difference> Diff(const release_note& aNote,
                                  const configuration* aBase)
{
  return difference_list(aNote, aBase).Run();
}

std::string RenderLine(const note_difference& aDifference)
{
  std::string line(1, KindSign(aDifference.mKind));
  line += " " + Join(aDifference.mPath);
  if (!aDifference.mFrom.empty()) {
    line += " " + aDifference.mFrom;
  }
  if (aDifference.mKind == difference_kind::kChanged) {
    line += " ->";
  }
  if (!aDifference.mTo.empty()) {
    line += " " + aDifference.mTo;
  }
  return line;
}

std::string EncodeDifferences(const std::vector<note_difference>& aList)
{
  const auto value = [](const std::string& aText) {
    return aText.empty() ? json() : json::parse(aText);
  };
  json list = json::array();
  for (const note_difference& difference : aList) {
    list.push_back({ { "kind", KindName(difference.mKind) },
                     { "path", Join(difference.mPath) },
                     { "from", value(difference.mFrom) },
                     { "to", value(difference.mTo) } });
  }
  return list.dump();
}

std::vector<std::string> Conflicts(const release_note& aLeft,
                                   const release_note& aRight)
{
  const std::vector<note_difference> left = Diff(aLeft, nullptr);
  const std::vector<note_difference> right = Diff(aRight, nullptr);

  // The same thing, or a thing and a part of it.
  std::set<name_path> conflicts;
  for (const note_difference& one : left) {
    for (const note_difference& other : right) {
      if (IsPrefix(one.mPath, other.mPath)) {
        conflicts.insert(other.mPath);
      } else if (IsPrefix(other.mPath, one.mPath)) {
        conflicts.insert(one.mPath);
      }
    }
  }
  AddWithdrawnUses(left, aRight, conflicts);
  AddWithdrawnUses(right, aLeft, conflicts);

  std::vector<std::string> paths;
  for (const name_path& path : conflicts) {
    paths.push_back(Join(path));
  }
  return paths;
}

release_note Rebase(release_note aNote, configuration_revision aRevision)
{
  aNote.mBase = aRevision;
  return aNote;
}

} // namespace parsleystair
