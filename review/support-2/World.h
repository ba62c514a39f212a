#pragma once

#include "Parsleystair/Http/HttpConnection.h"
#include "review/support-2/Machine.h"
#include "review/support-2/Store.h"
#include "review/support-2/Upstream.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// One service of a deployment.
struct world_service
{
  std::string mName;
  bool mKeyed = false;
  size_t mUpstreams = 0;
  duration mWork{};
};

/// One route of a deployment, with the path "/NAME/".
struct world_route
{
  std::string mName;
  std::string mService;
  std::string mKind;
  duration mTimeout{};
  duration mLatencyTarget{};
  uint32_t mMaxAttempts = 2;
  /// Empty for the host of the requests.
  std::string mHost;
};

/// End of one attempt of a client.
struct client_end
{
  std::string mId;
  /// 0 if the connection ended without a whole answer.
  uint32_t mStatus = 0;
  parsleystair::http_failure mFailure = parsleystair::http_failure::kNone;
  bool mTimedOut = false;
  parsleystair::http_response mAnswer;
};

/// A small deployment: the platform's store, the operator, upstreams, machines
/// with gateways, and clients, all on loopback addresses.
class world
{
public:
  using client_handler = std::function<void(const client_end&)>;

  /// `aMachines`: number of machines; they stand in turn in the zones
  /// "asti-a" and "treviso-a" of two regions.
  world(const std::string& aRecordPath,
        const std::string& aDirectory,
        size_t aMachines,
        uint32_t aMemoryMegabytes = 260);

  parsleystair::event_loop& Loop() { return mLoop; }
  record_file& Record() { return mRecord; }
  store& Store() { return mStore; }
  std::vector<std::unique_ptr<machine>>& Machines() { return mMachines; }
  std::vector<std::unique_ptr<upstream>>& Upstreams() { return mUpstreams; }

  /// Starts the upstreams, writes their entries and the configuration.
  void Deploy(const std::vector<world_service>& aServices,
              const std::vector<world_route>& aRoutes,
              uint64_t aMaxBodyBytes);
  /// Writes the configuration in the next version.
  void WriteConfiguration(const std::vector<world_route>& aRoutes)
  {
    Write(Render(aRoutes));
  }
  /// The configuration in the next version, for `Write`.
  std::string Render(const std::vector<world_route>& aRoutes);
  /// The same configuration with another timeout of its last route, in the next
  /// version. Rendering a big one takes longer than a storm leaves.
  std::string Renew(std::string aConfiguration);
  void Write(const std::string& aConfiguration);

  /// Sends a request on one of the client's connections to a machine. Each
  /// attempt has an id of its own, which is returned.
  std::string Send(size_t aMachine,
                   const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aKey,
                   const std::string& aBody,
                   duration aDeadline,
                   client_handler aHandler);

  /// Runs the loop for a time.
  void Run(duration aTime);

private:
  struct client_connection
  {
    size_t mMachine = 0;
    std::unique_ptr<parsleystair::http_connection> mConnection;
  };

  client_connection& IdleConnection(size_t aMachine);
  void Beat();

  record_file mRecord;
  parsleystair::event_loop mLoop;
  store mStore;
  std::vector<world_service> mServices;
  std::vector<std::unique_ptr<upstream>> mUpstreams;
  /// Service and zone of each upstream.
  std::vector<std::pair<std::string, std::string>> mPlaces;
  std::vector<std::unique_ptr<machine>> mMachines;
  std::deque<client_connection> mConnections;
  uint64_t mMaxBodyBytes = 0;
  uint32_t mVersion = 0;
  uint64_t mNextId = 1;
  parsleystair::timer mBeatTimer;
  parsleystair::timer mRunTimer;
};

} // namespace review
