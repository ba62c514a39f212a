#include "Parsleystair/Core/Error.h"

namespace parsleystair {

value_error::value_error(std::string aPath,
                         std::string aValue,
                         std::string aAllowed)
  : error(aPath + ": " + aValue + " is not allowed; allowed: " + aAllowed)
  , mPath(std::move(aPath))
  , mValue(std::move(aValue))
  , mAllowed(std::move(aAllowed))
{
}

} // namespace parsleystair
