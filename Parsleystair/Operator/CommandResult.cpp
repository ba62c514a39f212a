#include "Parsleystair/Operator/CommandResult.h"

namespace parsleystair {

command_error::command_error(exit_code aCode,
                             const std::string& aMessage,
                             std::string aNext)
  : error(aMessage)
  , mCode(aCode)
  , mNext(std::move(aNext))
{
}

} // namespace parsleystair
