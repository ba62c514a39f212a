#pragma once

#include "Parsleystair/Ownership/GroupRecord.h"

namespace parsleystair {

/// A slot that should get another owner, as a placement policy wants it.
struct planned_move
{
  slot_id mSlot;
  target_name mTo;
  move_reason mReason = move_reason::kBalance;

  bool operator==(const planned_move&) const = default;
};

} // namespace parsleystair
