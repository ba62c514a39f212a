#pragma once

#include <string>

namespace parsleystair {

/// JSON Schema of the configuration.
const std::string& ConfigurationSchema();

/// JSON Schema of a release note. Its targets, rules and services have the
/// members that the configuration's have.
const std::string& ReleaseNoteSchema();

} // namespace parsleystair
