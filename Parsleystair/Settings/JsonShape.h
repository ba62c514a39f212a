#pragma once

#include "Parsleystair/Settings/ValueProblem.h"

#include <string>
#include <vector>

namespace parsleystair {

/// Path of problems that concern a whole document.
inline constexpr const char* kDocumentPath = "(document)";

/// Checks a JSON text against a JSON Schema and returns all problems, none of
/// them twice, in the order of their paths. The `description` that the schema
/// gives a value is what a problem names as allowed. A text that is no JSON, or
/// that holds a member twice, is one problem.
///
/// `aSchema` may use `$ref` to `#/definitions/...`; objects in it must have
/// `additionalProperties: false`.
std::vector<value_problem> CheckShape(const std::string& aText,
                                      const std::string& aSchema);

/// A value of JSON text for a problem: scalars as they are, up to 80 bytes;
/// arrays and objects by their size.
std::string RenderValue(const std::string& aJsonText);

} // namespace parsleystair
