#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Settings/Configuration.h"

#include <memory>
#include <string>

namespace parsleystair {

/// The configuration in force in this process. Only a larger revision replaces
/// it.
class configuration_keeper
{
public:
  /// Takes over a configuration if its revision is larger than the one in
  /// force. A text that doesn't parse changes nothing and is counted. True when
  /// the configuration has changed.
  bool Offer(const std::string& aText, time_point aNow);

  /// Null before the first one.
  [[nodiscard]] const std::shared_ptr<const configuration>& Current() const
  {
    return mCurrent;
  }

  /// Text of the one in force; empty before the first one.
  [[nodiscard]] const std::string& Text() const { return mText; }

  [[nodiscard]] configuration_revision Revision() const;

  /// Time at which the one in force came into force.
  [[nodiscard]] time_point Since() const { return mSince; }

  /// Texts that were refused because they don't parse or have an older
  /// revision.
  [[nodiscard]] uint64_t Refused() const { return mRefused; }

private:
  std::shared_ptr<const configuration> mCurrent;
  std::string mText;
  time_point mSince{};
  uint64_t mRefused = 0;
};

} // namespace parsleystair
