#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Operator/CommandResult.h"
#include "Parsleystair/Operator/MemberStatus.h"
#include "Parsleystair/Settings/ReleaseSubmission.h"
#include "Parsleystair/Settings/ValueProblem.h"

#include <string>
#include <vector>

namespace parsleystair {

/// What a command prints about wrong input. The exit code is `kBadInput`.
command_result ReportProblems(const std::string& aSubject,
                              const std::vector<value_problem>& aProblems);

/// What `release submit` prints.
command_result ReportSubmission(const note_id& aId,
                                const submission_result& aResult);

/// Routers as a table.
command_result ReportMembers(const std::vector<member_status>& aMembers);

/// Where a revision is in force. The exit code is `kRefused` unless it is in
/// force at every router that runs.
command_result ReportInForce(const std::vector<member_status>& aMembers,
                             configuration_revision aRevision);

/// Like `2026-12-04T07:00:00.125Z`.
std::string FormatTime(wall_time aTime);

} // namespace parsleystair
