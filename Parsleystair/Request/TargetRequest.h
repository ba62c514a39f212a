#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Http/HttpMessage.h"
#include "Parsleystair/Ownership/GroupRecord.h"

#include <optional>

namespace parsleystair {

/// The owned slot that a request is for.
struct owned_slot
{
  slot_id mSlot;
  fence mFence;

  bool operator==(const owned_slot&) const = default;
};

/// A caller's request as a target gets it: without the headers of the caller's
/// connection, with the try's id, the caller's own id, the time left and the
/// owned slot, if any.
http_request MakeTargetRequest(const http_request& aRequest,
                               const std::string& aTryId,
                               const std::string& aRequestId,
                               duration aTimeLeft,
                               const std::optional<owned_slot>& aSlot);

} // namespace parsleystair
