#include "StandIns/standin_platform/KeyValueTypes.h"

namespace parsleystair {

bool kv_interval::Contains(const std::string& aKey) const
{
  if (mTo.empty()) {
    return aKey == mFrom;
  }
  const bool hasNoEnd = mTo == std::string(1, '\0');
  return aKey >= mFrom && (hasNoEnd || aKey < mTo);
}

} // namespace parsleystair
