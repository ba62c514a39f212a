#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpServer.h"
#include "StandIns/standin_platform/CallStatistics.h"
#include "StandIns/standin_platform/FaultPlan.h"
#include "StandIns/standin_platform/KeyValueService.h"
#include "StandIns/standin_platform/VmList.h"
#include "StandIns/standin_platform/WatchHub.h"

#include <map>
#include <memory>
#include <set>

namespace parsleystair {

struct platform_server_settings
{
  std::string mHost = "127.0.0.1";
  /// 0 takes a free port.
  uint16_t mPort = 2379;
  /// Second port for statistics, faults and VMs, which stays open while the
  /// first refuses connections; 0 for none.
  uint16_t mControlPort = 0;
  duration mListLag = 2s;
  /// Revisions that are kept for watches and reads of the past.
  uint64_t mHistory = 1000;
};

/// Stand-in of the platform over HTTP: key-value store, VM list, statistics and
/// fault switches. Faults concern the store's calls and `GET /vms`.
class platform_server
{
public:
  /// Listens. Throws `system_error`.
  platform_server(event_loop& aLoop, const platform_server_settings& aSettings);
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;

  [[nodiscard]] uint16_t Port() const { return mSettings.mPort; }

  /// The same as `POST /faults`.
  void ChangeFaults(const fault_change& aChange);

  [[nodiscard]] key_value_core& Core() { return mCore; }
  [[nodiscard]] vm_list& Vms() { return mVms; }
  [[nodiscard]] size_t WaitingWatches() const { return mWatches.Count(); }

private:
  /// A call whose effect or answer is delayed.
  struct delayed_call
  {
    http_request mRequest;
    call_fate mFate = call_fate::kAnswered;
    http_response mAnswer;
    timer mTimer;
  };

  void Handle(exchange_id aExchange, http_request aRequest);
  void HandleControl(http_server& aServer,
                     exchange_id aExchange,
                     const http_request& aRequest);
  http_response ControlAnswer(const http_request& aRequest);
  http_response HandleVm(const http_request& aRequest);
  void HandleCall(exchange_id aExchange, http_request aRequest);
  void StartWatch(exchange_id aExchange, const http_request& aRequest);
  http_response TakeEffect(const http_request& aRequest);
  void Finish(exchange_id aExchange,
              call_fate aFate,
              const http_response& aAnswer);
  void Respond(exchange_id aExchange, const http_response& aAnswer);
  void Delay(exchange_id aExchange, http_request aRequest, call_fate aFate);
  void HandleClose(exchange_id aExchange);
  void SendWatchOutput();
  void DropOpenCalls();

  event_loop& mLoop;
  platform_server_settings mSettings;
  key_value_core mCore;
  key_value_service mService;
  watch_hub mWatches;
  vm_list mVms;
  fault_plan mFaults;
  call_statistics mStatistics;
  std::set<exchange_id> mSilent;
  std::map<exchange_id, std::unique_ptr<delayed_call>> mDelayed;
  http_server mServer;
  http_server mControl;
  timer mLeaseTimer;
};

} // namespace parsleystair
