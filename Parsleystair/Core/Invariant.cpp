#include "Parsleystair/Core/Invariant.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <string>

namespace parsleystair {

void FailInvariant(const char* aCondition, const char* aFile, int aLine)
{
  log_line(log_severity::kError, "invariant_failed")
    .Add("condition", aCondition)
    .Add("file", aFile)
    .Add("line", aLine);
  throw invariant_error(std::string("invariant failed: ") + aCondition);
}

} // namespace parsleystair
