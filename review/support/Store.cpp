#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Core/Log.h"
#include "StandIns/standin_users_platform/KvServer.h"

#include <fstream>
#include <iostream>
#include <sstream>

/// The project's stand-in of the platform's store, as a process of its own.
/// Usage: store PORT CONFIGURATION. The back ends write their entries over the
/// store's own protocol.
int main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: store PORT CONFIGURATION\n";
    return 2;
  }
  std::ifstream file(aArguments[2]);
  std::stringstream configuration;
  configuration << file.rdbuf();
  parsleystair::StartLog(parsleystair::log_severity::kWarning);
  parsleystair::event_loop loop;
  parsleystair::kv_server store(loop);
  store.Listen("127.0.0.1", static_cast<uint16_t>(std::stoul(aArguments[1])));
  store.Put("op/config", configuration.str());
  loop.Run();
  return 0;
}
