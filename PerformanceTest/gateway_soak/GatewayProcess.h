#pragma once

#include "Parsleystair/Core/Time.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace parsleystair {

/// One router as a process of its own, handled by its id alone.
class gateway_process
{
public:
  /// Starts the program; its log goes to a file. Throws `system_error`.
  gateway_process(const std::string& aProgram,
                  const std::string& aSettingsPath,
                  const std::string& aLogPath);
  /// Kills the process if it still runs.
  ~gateway_process();
  gateway_process(const gateway_process&) = delete;
  gateway_process& operator=(const gateway_process&) = delete;

  void Signal(int aSignal) const;

  /// How it ended, as `waitpid` tells; empty while it runs.
  std::optional<int> Status();

  /// A field of the process's status in the system, such as `VmHWM`, its
  /// highest memory, in kilobytes; 0 if it has ended.
  [[nodiscard]] uint64_t MemoryKilobytes(const std::string& aField) const;

private:
  pid_t mProcess = -1;
  std::optional<int> mStatus;
};

} // namespace parsleystair
