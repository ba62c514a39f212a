#pragma once

#include "Parsleystair/Core/Clock.h"

#include <fstream>
#include <sstream>
#include <string>

namespace review {

using parsleystair::duration;
using parsleystair::time_point;

/// What a script saw, one event a line, with the seconds since the start.
class record_file
{
public:
  explicit record_file(const std::string& aPath)
    : mFile(aPath, std::ios::trunc)
    , mStart(parsleystair::MonotonicNow())
  {
  }

  template<typename... Parts>
  void Add(const Parts&... aParts)
  {
    std::ostringstream line;
    line.setf(std::ios::fixed);
    line.precision(3);
    line << Seconds();
    ((line << ' ' << aParts), ...);
    mFile << line.str() << std::endl;
  }

  /// Seconds since the start.
  [[nodiscard]] double Seconds() const
  {
    return parsleystair::ToSeconds(parsleystair::MonotonicNow() - mStart);
  }

private:
  std::ofstream mFile;
  time_point mStart;
};

} // namespace review
