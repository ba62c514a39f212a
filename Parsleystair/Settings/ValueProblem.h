#pragma once

#include "Parsleystair/Core/Error.h"

#include <string>
#include <vector>

namespace parsleystair {

/// One wrong value of an operator's input.
struct value_problem
{
  /// Members from the root, like `changed.services[0].targets[2].port`.
  std::string mPath;
  /// The value as JSON, shortened when it is long.
  std::string mValue;
  std::string mAllowed;

  bool operator==(const value_problem&) const = default;
};

/// All that is wrong with one input.
class value_problems_error : public error
{
public:
  explicit value_problems_error(std::vector<value_problem> aProblems);

  [[nodiscard]] const std::vector<value_problem>& Problems() const
  {
    return mProblems;
  }

private:
  std::vector<value_problem> mProblems;
};

/// One line without a line break: path, value and what is allowed.
std::string Describe(const value_problem& aProblem);

} // namespace parsleystair
