#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Ownership/GrantMessage.h"
#include "Parsleystair/Ownership/OwnershipActions.h"
#include "Parsleystair/Settings/Configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace parsleystair {

/// The control task's connections to the targets, for grants and probes.
class target_links
{
public:
  using grant_callback = std::function<void(std::optional<grant_reply>)>;
  using probe_callback = std::function<void(bool)>;

  explicit target_links(event_loop& aLoop);

  /// Addresses come from the configuration.
  void SetConfiguration(std::shared_ptr<const configuration> aConfiguration);

  /// Sends grants; calls back with the reply, or none when there was no
  /// readable one in time.
  void SendGrants(const target_id& aTarget,
                  const grant_message& aMessage,
                  grant_callback aCallback);

  /// Calls back with true when the target answers at all.
  void Probe(const target_id& aTarget, probe_callback aCallback);

private:
  struct link
  {
    std::string mHost;
    uint16_t mPort = 0;
    std::vector<std::unique_ptr<http_connection>> mConnections;
  };

  http_connection* FreeConnection(const target_id& aTarget);
  void Call(const target_id& aTarget,
            const http_request& aRequest,
            http_connection::callback aCallback);

  event_loop& mLoop;
  std::shared_ptr<const configuration> mConfiguration;
  std::map<target_id, link> mLinks;
};

} // namespace parsleystair
