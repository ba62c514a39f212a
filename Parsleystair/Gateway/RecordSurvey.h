#pragma once

#include "Parsleystair/Gateway/ElectionController.h"
#include "Parsleystair/Gateway/OwnerFeed.h"

#include <optional>
#include <string>

namespace parsleystair {

/// Response of a router to a leader that recovers ownership records after the
/// store was restored from an older copy.
struct survey_response
{
  /// Records that are newer than those of the leader.
  owner_records mRecords;
  abdication_reply mReply;

  bool operator==(const survey_response&) const = default;
};

std::string EncodeSurveyResponse(const survey_response& aResponse);

/// Throws `parse_error`.
survey_response DecodeSurveyResponse(const std::string& aText);

/// Text of a header in reports between routers and in their responses.
std::string EncodeLostGrants(const lost_grants& aLostGrants);

/// Returns nothing if `aText` isn't such a text.
std::optional<lost_grants> DecodeLostGrants(const std::string& aText);

} // namespace parsleystair
