#pragma once

#include "Parsleystair/Gateway/OwnerFeed.h"

#include <string>

namespace parsleystair {

/// Response of a router to a leader that recovers ownership records after the
/// store was restored from an older copy.
struct survey_response
{
  /// Records that are newer than those of the leader.
  owner_records mRecords;
  /// No other record was granted from the router's address of which a target
  /// may still hold keys.
  bool mKnowsGrantedRecords = false;
  /// Addresses of all routers that the router knows.
  std::vector<std::string> mRouters;

  bool operator==(const survey_response&) const = default;
};

std::string EncodeSurveyResponse(const survey_response& aResponse);

/// Throws `parse_error`.
survey_response DecodeSurveyResponse(const std::string& aText);

} // namespace parsleystair
