#pragma once

#include "review/support-2/Record.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace review {

/// Ports that all machines of a deployment use, each at its own address.
struct machine_ports
{
  uint16_t mCallers = 0;
  uint16_t mReadiness = 0;
  uint16_t mPeers = 0;
  uint16_t mOperators = 0;
};

/// Finds ports that are free at loopback addresses.
machine_ports FindPorts();

/// What `DEPLOY.md` says of a machine, for the template of the settings.
struct machine_settings
{
  std::string mName;
  std::string mHost;
  std::string mZone;
  /// Zones and their regions, as a JSON object.
  std::string mZones;
  machine_ports mPorts;
  uint16_t mStorePort = 0;
  uint32_t mMemoryMegabytes = 260;
};

/// One machine with its process of the gateway, started with the command of the
/// deploy file.
class machine
{
public:
  /// `aDirectory`: for the settings and the log of the process.
  machine(record_file& aRecord,
          machine_settings aSettings,
          const std::string& aDirectory);
  /// Ends the process.
  ~machine();
  machine(const machine&) = delete;
  machine& operator=(const machine&) = delete;

  /// `aFirst`: the whole system starts for the first time.
  void Start(bool aFirst);
  void Signal(int aSignal);
  /// Kills the process and waits for its end.
  void Kill();
  /// Tells if the process has ended by itself since the last call.
  bool TakeEnd();

  [[nodiscard]] bool IsRunning() const { return mProcess.has_value(); }
  [[nodiscard]] const machine_settings& Settings() const { return mSettings; }
  /// A figure of the process in /proc, such as VmRSS, in kilobytes.
  [[nodiscard]] uint64_t Kilobytes(const std::string& aField) const;

private:
  record_file& mRecord;
  machine_settings mSettings;
  std::string mSettingsPath;
  std::string mLogPath;
  std::optional<pid_t> mProcess;
};

} // namespace review
