#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Core/Error.h"

#include <gtest/gtest.h>

namespace parsleystair {

// Guards against a misspelt log level that silently means the default.
TEST(ParseLogSeverity, RefusesUnknownNames)
{
  EXPECT_EQ(ParseLogSeverity("warning"), log_severity::kWarning);
  EXPECT_THROW(ParseLogSeverity("Warning"), value_error);
}

} // namespace parsleystair
