#pragma once

#include "Parsleystair/Core/Mailbox.h"
#include "Parsleystair/Peers/CapnpPeerClient.h"
#include "Parsleystair/Peers/PeerServer.h"
#include "Parsleystair/Platform/EtcdStore.h"
#include "Parsleystair/Tasks/OperatorEndpoint.h"
#include "Parsleystair/Tasks/PeerEndpoint.h"
#include "Parsleystair/Tasks/PlacementDriver.h"
#include "Parsleystair/Tasks/WorkerTask.h"

#include <memory>
#include <vector>

namespace parsleystair {

/// The control task of a router process: keeps configuration, membership and
/// ownership up to date and gives the workers snapshots of them.
class control_task : public control_inbox
{
public:
  /// Opens all listeners and starts the workers. Throws `system_error`.
  control_task(event_loop& aLoop,
               const router_settings& aSettings,
               uint64_t aSeed);
  ~control_task() override;

  /// May be called by any task.
  void Send(control_message aMessage) override;

  /// Starts a graceful shutdown; the loop stops when it is complete, or when
  /// the settings' limit is over.
  void Shutdown();

private:
  // Periodic work.
  void PollStore();
  void ListVms();
  void SendHeartbeats();
  void FetchFromPeers();
  void Tick();
  void UpdateRouters(time_point aNow);
  void PlanMoves();
  void PublishSnapshot(time_point aNow);
  void PublishCrashes(time_point aNow);
  void OrderReports();
  void ContinueShutdown(time_point aNow);

  void OfferConfiguration(const std::string& aText);
  void UpdateRecords();
  [[nodiscard]] bool IsHandedOver(time_point aNow) const;
  [[nodiscard]] bool AreWorkersDrained() const;
  router_report MakeReport() const;
  void SendToWorkers(const worker_message& aMessage);

  // Messages of the workers.
  void Apply(const begin_query& aQuery);
  void Apply(const execution_finished& aFinished);
  void Apply(const execution_withdrawn& aWithdrawn);
  void Apply(const traffic_report& aReport);
  void Apply(const crash_seen& aCrash);
  void Apply(worker_report aReport);

  event_loop& mLoop;
  control_state mState;
  etcd_store mStore;
  rpc_loop mRpcLoop;
  capnp_peer_client mPeers;
  target_links mTargets;
  ownership_driver mOwnershipDriver;
  record_driver mRecords;
  placement_driver mPlacement;
  peer_endpoint mPeerEndpoint;
  peer_server mPeerServer;
  operator_endpoint mOperators;
  mailbox<control_message> mInbox;
  std::vector<std::unique_ptr<worker_task>> mWorkers;
  std::vector<worker_report> mReports;

  size_t mOpenPolls = 0;
  router_view mRouters;
  time_point mRoutersAt{};
  uint64_t mPublishedDigest = 0;
  time_point mPublishedAt{};
  std::shared_ptr<const route_table> mRoutes;
  size_t mPublishedCrashes = 0;
  std::optional<time_point> mShutdownSince;
  bool mDrainOrdered = false;

  timer mPollTimer;
  timer mListTimer;
  timer mHeartbeatTimer;
  timer mFetchTimer;
  timer mTickTimer;
  timer mReportTimer;
  timer mPlanTimer;
};

} // namespace parsleystair
