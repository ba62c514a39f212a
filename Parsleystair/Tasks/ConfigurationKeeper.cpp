#include "Parsleystair/Tasks/ConfigurationKeeper.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Settings/ConfigurationCodec.h"

namespace parsleystair {

bool configuration_keeper::Offer(const std::string& aText, time_point aNow)
{
  if (aText == mText) {
    return false;
  }
  std::shared_ptr<const configuration> offered;
  try {
    offered = std::make_shared<const configuration>(ParseConfiguration(aText));
  } catch (const error& exception) {
    ++mRefused;
    log_line(log_severity::kError, "configuration_refused")
      .Add("error", exception.what());
    return false;
  }
  if (offered->mRevision <= Revision()) {
    ++mRefused;
    log_line(log_severity::kWarning, "older_configuration_refused")
      .Add("revision", offered->mRevision.Value())
      .Add("in_force", Revision().Value());
    return false;
  }
  mCurrent = std::move(offered);
  mText = aText;
  mSince = aNow;
  log_line(log_severity::kInfo, "configuration_in_force")
    .Add("revision", mCurrent->mRevision.Value());
  return true;
}

configuration_revision configuration_keeper::Revision() const
{
  return mCurrent == nullptr ? configuration_revision() : mCurrent->mRevision;
}

} // namespace parsleystair
