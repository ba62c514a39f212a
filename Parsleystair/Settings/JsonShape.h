#pragma once

#include "Parsleystair/Settings/ValueProblem.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleystair {

/// Path of problems that concern a whole document.
inline constexpr const char* kDocumentPath = "(document)";

/// A JSON Schema, ready for checks. The `description` that it gives a value is
/// what a problem names as allowed. It may use `$ref` to `#/definitions/...`;
/// objects in it must have `additionalProperties: false`.
class json_shape
{
public:
  explicit json_shape(const std::string& aSchema);
  ~json_shape();
  json_shape(const json_shape&) = delete;
  json_shape& operator=(const json_shape&) = delete;

  /// All problems of a JSON text, each once, in the order of their paths. A
  /// text that is no JSON, or that holds a member twice, is one problem.
  [[nodiscard]] std::vector<value_problem> Check(
    const std::string& aText) const;

private:
  struct state;
  std::unique_ptr<const state> mState;
};

/// A value of JSON text for a problem: scalars as they are, up to 80 bytes;
/// arrays and objects by their size.
std::string RenderValue(const std::string& aJsonText);

} // namespace parsleystair
