#include "Parsleystair/Settings/ValueProblem.h"

#include "Parsleystair/Core/Invariant.h"

namespace parsleystair {

namespace {

std::string DescribeAll(const std::vector<value_problem>& aProblems)
{
  std::string text;
  for (const value_problem& problem : aProblems) {
    text += text.empty() ? "" : "\n";
    text += Describe(problem);
  }
  return text;
}

} // namespace

value_problems_error::value_problems_error(std::vector<value_problem> aProblems)
  : error(DescribeAll(aProblems))
  , mProblems(std::move(aProblems))
{
  PARSLEYSTAIR_INVARIANT(!mProblems.empty());
}

std::string Describe(const value_problem& aProblem)
{
  return aProblem.mPath + ": " + aProblem.mValue +
         " is not allowed; allowed: " + aProblem.mAllowed;
}

} // namespace parsleystair
