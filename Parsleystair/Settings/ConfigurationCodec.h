#pragma once

#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Settings/ValueProblem.h"

#include <string>
#include <vector>

namespace parsleystair {

/// All that is wrong with a JSON text as a configuration; empty when
/// `ParseConfiguration` takes it.
std::vector<value_problem> CheckConfigurationText(const std::string& aText);

/// Throws `value_problems_error` with all problems.
configuration ParseConfiguration(const std::string& aText);

/// JSON text in one line with all members.
std::string EncodeConfiguration(const configuration& aConfiguration);

/// JSON text of one service with its targets and rules.
std::string EncodeService(const service_configuration& aService);

/// Reads a service from text that has passed the check of its shape; members
/// that are not there keep their defaults.
service_configuration DecodeService(const std::string& aText);

} // namespace parsleystair
