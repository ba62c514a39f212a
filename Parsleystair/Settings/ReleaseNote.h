#pragma once

#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Settings/MemberCodec.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// New values for some members of a thing that is in the configuration.
template<typename T>
struct member_changes
{
  /// Holds the name of the thing and the new values; other members are
  /// defaults.
  T mValues;
  /// Members that change; never `name`.
  member_names mNames;

  bool operator==(const member_changes&) const = default;
};

/// A new service, or named keys, targets and rules for one that is there.
struct added_service
{
  service_configuration mService;
  /// Members that the note gives, targets and rules left out.
  member_names mNames;

  /// A note says `ownership` of new services only.
  [[nodiscard]] bool IsNew() const { return mNames.contains("ownership"); }

  bool operator==(const added_service&) const = default;
};

/// Changes of a service that is there.
struct changed_service
{
  member_changes<service_configuration> mMembers;
  std::vector<member_changes<target_configuration>> mTargets;
  std::vector<member_changes<request_rule>> mRules;

  bool operator==(const changed_service&) const = default;
};

/// A service that ends, or parts of one that stays.
struct withdrawn_service
{
  service_name mName;
  bool mWhole = false;
  std::vector<std::string> mNamedKeys;
  std::vector<target_name> mTargets;
  std::vector<rule_name> mRules;

  bool operator==(const withdrawn_service&) const = default;
};

struct note_additions
{
  /// Only in the first note of a deployment.
  std::optional<uint32_t> mGroupCount;
  std::vector<failure_domain_configuration> mFailureDomains;
  std::vector<added_service> mServices;

  bool operator==(const note_additions&) const = default;
};

struct note_changes
{
  member_changes<measure_weights> mWeights;
  std::vector<member_changes<failure_domain_configuration>> mFailureDomains;
  std::vector<changed_service> mServices;

  bool operator==(const note_changes&) const = default;
};

struct note_withdrawals
{
  std::vector<failure_domain_name> mFailureDomains;
  std::vector<withdrawn_service> mServices;

  bool operator==(const note_withdrawals&) const = default;
};

/// What operators publish to change the configuration.
struct release_note
{
  note_id mId;
  /// Revision of the configuration that the note was written against; 0 for
  /// the first note of a deployment.
  configuration_revision mBase;
  note_additions mAdded;
  note_changes mChanged;
  note_withdrawals mWithdrawn;

  bool operator==(const release_note&) const = default;
};

} // namespace parsleystair
