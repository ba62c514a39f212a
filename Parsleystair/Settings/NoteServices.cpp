#include "Parsleystair/Settings/NoteServices.h"

#include <set>

namespace parsleystair {

namespace {

std::string KeyOf(const service_name& aName)
{
  return "services/" + aName.Value();
}

class service_edit
{
public:
  explicit service_edit(note_edit& aEdit)
    : mEdit(aEdit)
  {
  }

  void Change()
  {
    for (size_t i = 0; i < mEdit.Note().mChanged.mServices.size(); ++i) {
      ChangeService(mEdit.Note().mChanged.mServices[i],
                    Indexed("changed.services", i));
    }
  }

  void Withdraw()
  {
    std::set<service_name> seen;
    for (size_t i = 0; i < mEdit.Note().mWithdrawn.mServices.size(); ++i) {
      const withdrawn_service& withdrawal =
        mEdit.Note().mWithdrawn.mServices[i];
      const std::string path = Indexed("withdrawn.services", i);
      const auto service =
        FindNamed(mEdit.Result().mServices, withdrawal.mName);
      if (service == mEdit.Result().mServices.end() ||
          !seen.insert(withdrawal.mName).second) {
        mEdit.Add(withdrawal.mWhole ? path : path + ".name",
                  Quoted(withdrawal.mName.Value()),
                  "the name of a service in the configuration, once");
        continue;
      }
      if (withdrawal.mWhole) {
        WithdrawService(*service, path);
      } else {
        WithdrawParts(*service, withdrawal, path);
      }
    }
  }

  void Add()
  {
    std::set<service_name> seen;
    for (size_t i = 0; i < mEdit.Note().mAdded.mServices.size(); ++i) {
      const added_service& added = mEdit.Note().mAdded.mServices[i];
      const std::string path = Indexed("added.services", i);
      const std::string name = Quoted(added.mService.mName.Value());
      if (!seen.insert(added.mService.mName).second) {
        mEdit.Add(path + ".name", name, "each service once");
      } else if (added.IsNew()) {
        AddNew(added.mService, path);
      } else {
        AddParts(added, path);
      }
    }
  }

private:
  void ChangeService(const changed_service& aChange, const std::string& aPath)
  {
    const service_configuration& values = aChange.mMembers.mValues;
    const auto service = FindNamed(mEdit.Result().mServices, values.mName);
    const std::string key = KeyOf(values.mName);
    if (service == mEdit.Result().mServices.end() || mEdit.Origins().Has(key)) {
      mEdit.Add(aPath + ".name",
                Quoted(values.mName.Value()),
                "the name of a service in the configuration, once");
      return;
    }
    mEdit.Origins().Set(key, aPath);
    CheckFixedMembers(*service, aChange, aPath);
    CheckFixedAddresses(*service, aChange, aPath);
    CopyMembers(aChange.mMembers.mNames, values, *service);
    mEdit.ChangeList(service->mTargets,
                     aChange.mTargets,
                     aPath + ".targets",
                     key + "/targets");
    mEdit.ChangeList(
      service->mRules, aChange.mRules, aPath + ".rules", key + "/rules");
  }

  /// Routers apply a note at different moments. While they differ in one of
  /// these members, they would give one key two owners.
  void CheckFixedMembers(const service_configuration& aService,
                         const changed_service& aChange,
                         const std::string& aPath)
  {
    const service_configuration& values = aChange.mMembers.mValues;
    const member_names different = DifferentMembers(aService, values);
    for (const char* name : { "ownership", "slotCount" }) {
      if (aChange.mMembers.mNames.contains(name) && different.contains(name)) {
        mEdit.Add(aPath + "." + name,
                  EncodeMember(values, name),
                  "no change, " + EncodeMember(aService, name) +
                    "; a new service may differ");
      }
    }
  }

  /// For the same reason a target that owns keys stays where it is.
  void CheckFixedAddresses(const service_configuration& aService,
                           const changed_service& aChange,
                           const std::string& aPath)
  {
    if (aService.mOwnership == ownership_mode::kShared) {
      return;
    }
    for (size_t i = 0; i < aChange.mTargets.size(); ++i) {
      const member_changes<target_configuration>& change = aChange.mTargets[i];
      const target_configuration* target =
        FindTarget(aService, change.mValues.mName);
      if (target == nullptr) {
        continue;
      }
      const member_names different = DifferentMembers(*target, change.mValues);
      for (const char* name : { "host", "port" }) {
        if (change.mNames.contains(name) && different.contains(name)) {
          mEdit.Add(
            Indexed(aPath + ".targets", i) + "." + name,
            EncodeMember(change.mValues, name),
            "no change, " + EncodeMember(*target, name) +
              ", since the target owns keys; add a target of another name "
              "and withdraw this one");
        }
      }
    }
  }

  void WithdrawService(const service_configuration& aService,
                       const std::string& aPath)
  {
    if (mEdit.Origins().Has(KeyOf(aService.mName))) {
      mEdit.Add(aPath,
                Quoted(aService.mName.Value()),
                "a service that the note does not change as well");
    }
    mEdit.Result().mServices.erase(
      FindNamed(mEdit.Result().mServices, aService.mName));
  }

  void WithdrawParts(service_configuration& aService,
                     const withdrawn_service& aWithdrawal,
                     const std::string& aPath)
  {
    const std::string key = KeyOf(aService.mName);
    mEdit.WithdrawList(aService.mTargets,
                       aWithdrawal.mTargets,
                       aPath + ".targets",
                       key + "/targets");
    mEdit.WithdrawList(
      aService.mRules, aWithdrawal.mRules, aPath + ".rules", key + "/rules");
    for (size_t i = 0; i < aWithdrawal.mNamedKeys.size(); ++i) {
      const std::string& namedKey = aWithdrawal.mNamedKeys[i];
      auto& keys = aService.mNamedKeys;
      if (IsFixedNamedKey(
            aService, namedKey, Indexed(aPath + ".namedKeys", i))) {
        continue;
      }
      const auto place = std::find(keys.begin(), keys.end(), namedKey);
      if (namedKey.empty() || place == keys.end()) {
        mEdit.Add(Indexed(aPath + ".namedKeys", i),
                  Quoted(namedKey),
                  "a key that is in namedKeys of the service, once");
        continue;
      }
      place->clear();
    }
    mEdit.Origins().Set(key, aPath);
  }

  void AddNew(const service_configuration& aService, const std::string& aPath)
  {
    if (HasNamed(mEdit.Base().mServices, aService.mName)) {
      mEdit.Add(
        aPath + ".name",
        Quoted(aService.mName.Value()),
        "a name that is not in services of the configuration; parts of a "
        "service that is there are added without ownership");
      return;
    }
    mEdit.Result().mServices.push_back(aService);
    mEdit.Origins().Set(KeyOf(aService.mName), aPath);
  }

  void AddParts(const added_service& aAdded, const std::string& aPath)
  {
    const service_configuration& parts = aAdded.mService;
    const auto service = FindNamed(mEdit.Result().mServices, parts.mName);
    const service_configuration* base = mEdit.Base().FindService(parts.mName);
    if (base == nullptr || service == mEdit.Result().mServices.end()) {
      mEdit.Add(
        aPath + ".name",
        Quoted(parts.mName.Value()),
        "the name of a service in the configuration; or, for a new service, "
        "give its ownership too");
      return;
    }
    for (const std::string& name : aAdded.mNames) {
      if (name != "namedKeys") {
        mEdit.Add(
          aPath + "." + name,
          EncodeMember(parts, name),
          "only namedKeys, targets and rules for a service that is there; "
          "change other members under changed.services");
      }
    }
    const std::string key = KeyOf(parts.mName);
    mEdit.Origins().Set(key, aPath);
    mEdit.AddList(base->mTargets,
                  service->mTargets,
                  parts.mTargets,
                  aPath + ".targets",
                  key + "/targets");
    mEdit.AddList(base->mRules,
                  service->mRules,
                  parts.mRules,
                  aPath + ".rules",
                  key + "/rules");
    AddNamedKeys(*base, *service, parts.mNamedKeys, aPath + ".namedKeys");
  }

  /// Naming a key gives it another slot, which may have another owner. Routers
  /// apply a note at different moments, so that the key would have two owners
  /// for a time.
  bool IsFixedNamedKey(const service_configuration& aService,
                       const std::string& aKey,
                       const std::string& aPath)
  {
    if (aService.mOwnership == ownership_mode::kShared) {
      return false;
    }
    mEdit.Add(aPath,
              Quoted(aKey),
              "no change of namedKeys; an exclusive service gets them when it "
              "is added");
    return true;
  }

  /// A new key takes the first free place, so that no key changes its place.
  void AddNamedKeys(const service_configuration& aBase,
                    service_configuration& aService,
                    const std::vector<std::string>& aKeys,
                    const std::string& aPath)
  {
    for (size_t i = 0; i < aKeys.size(); ++i) {
      auto& keys = aService.mNamedKeys;
      const auto& old = aBase.mNamedKeys;
      const auto has = [&](const std::vector<std::string>& aList) {
        return std::find(aList.begin(), aList.end(), aKeys[i]) != aList.end();
      };
      if (IsFixedNamedKey(aService, aKeys[i], Indexed(aPath, i))) {
        continue;
      }
      if (aKeys[i].empty() || has(keys) || has(old)) {
        mEdit.Add(Indexed(aPath, i),
                  Quoted(aKeys[i]),
                  "a key that is not in namedKeys of the service, once");
        continue;
      }
      const auto place = std::find(keys.begin(), keys.end(), "");
      if (place == keys.end()) {
        keys.push_back(aKeys[i]);
      } else {
        *place = aKeys[i];
      }
    }
  }

  note_edit& mEdit;
};

} // namespace

void ChangeServices(note_edit& aEdit)
{
  service_edit(aEdit).Change();
}

void WithdrawServices(note_edit& aEdit)
{
  service_edit(aEdit).Withdraw();
}

void AddServices(note_edit& aEdit)
{
  service_edit(aEdit).Add();
}

} // namespace parsleystair
