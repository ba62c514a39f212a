#pragma once

#include "Parsleystair/Settings/JsonShape.h"

namespace parsleystair {

/// Shape of the configuration.
const json_shape& ConfigurationShape();

/// Shape of a release note. Its targets, rules and services have the
/// members that the configuration's have.
const json_shape& ReleaseNoteShape();

} // namespace parsleystair
