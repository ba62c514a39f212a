#pragma once

#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Settings/ValueProblem.h"

#include <vector>

namespace parsleystair {

/// Checks what a schema can't: names, addresses, references between parts,
/// limits that contradict each other and rules that match the same request.
/// Paths are those of the configuration's JSON.
std::vector<value_problem> CheckConfiguration(
  const configuration& aConfiguration);

} // namespace parsleystair
