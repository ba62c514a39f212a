#pragma once

#include "Parsleystair/Http/HttpMessage.h"
#include "Parsleystair/Ownership/GroupRecord.h"
#include "Parsleystair/Request/Outcome.h"
#include "Parsleystair/Settings/Configuration.h"

#include <memory>
#include <string>
#include <variant>

namespace parsleystair {

/// A request with the service, rule and key that the configuration gives it.
struct classified_request
{
  /// Keeps the service and the rule alive.
  std::shared_ptr<const configuration> mConfiguration;
  size_t mServiceIndex = 0;
  size_t mRuleIndex = 0;
  std::string mKey;
  slot_id mSlot;
  group_index mGroup;

  [[nodiscard]] const service_configuration& Service() const;
  [[nodiscard]] const request_rule& Rule() const;
};

/// Finds the rule that a request matches. Refuses with kUnknownService when no
/// path matches, kMethodNotAllowed when only the method differs, and
/// kBadRequest when the key is absent, empty, over 512 bytes or not text.
std::variant<classified_request, refused_not_run> Classify(
  std::shared_ptr<const configuration> aConfiguration,
  const http_request& aRequest);

} // namespace parsleystair
