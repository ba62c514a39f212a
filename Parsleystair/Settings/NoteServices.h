#pragma once

#include "Parsleystair/Settings/NoteEdit.h"

namespace parsleystair {

/// Applies what a note says of services; call in this order.
void ChangeServices(note_edit& aEdit);
void WithdrawServices(note_edit& aEdit);
void AddServices(note_edit& aEdit);

} // namespace parsleystair
