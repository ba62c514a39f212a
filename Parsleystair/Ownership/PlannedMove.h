#pragma once

#include "Parsleystair/Ownership/GroupRecord.h"

namespace parsleystair {

/// A move of a slot to another owner that a placement policy requests.
struct planned_move
{
  slot_id mSlot;
  target_name mDestination;
  move_reason mReason = move_reason::kBalance;

  bool operator==(const planned_move&) const = default;
};

} // namespace parsleystair
