#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <string>
#include <vector>

namespace parsleystair {

/// One router as `/status` reports it.
struct member_status
{
  vm_name mVm;
  incarnation mIncarnation;
  /// `live`, `suspect`, `lost` or `leaving`.
  std::string mState;
  failure_domain_name mFailureDomain;
  configuration_revision mRevision;
  /// Time since that revision came into force there.
  std::chrono::milliseconds mInForceFor{};
  /// Time since the last sign of life.
  std::chrono::milliseconds mAge{};

  bool operator==(const member_status&) const = default;
};

/// Reads the answer to `GET /status`, the answering router included. Throws
/// `parse_error`.
std::vector<member_status> ParseStatus(const std::string& aText);

/// The highest revision that is in force anywhere; 0 without members.
configuration_revision HighestRevision(
  const std::vector<member_status>& aMembers);

/// Routers that still run but have an older revision than this in force. Lost
/// routers don't count: their grants have run out, and they fetch the
/// configuration before they serve again.
std::vector<member_status> LaggingMembers(
  const std::vector<member_status>& aMembers,
  configuration_revision aRevision);

} // namespace parsleystair
