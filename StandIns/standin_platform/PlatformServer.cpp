#include "StandIns/standin_platform/PlatformServer.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "StandIns/standin_platform/KeyValueError.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

const std::string kVmPrefix = "/vms/";
constexpr const char* kWatchPath = "/v3/watch";

/// Four values of 1 MB in base64 with room for the rest of a transaction.
constexpr uint32_t kMaxBodyBytes = 6 * 1024 * 1024;

/// Longest time that a lease outlives its end.
constexpr duration kLeaseInterval = 50ms;

http_server_settings ServerSettings()
{
  http_server_settings settings;
  settings.mMaxBodyBytes = kMaxBodyBytes;
  settings.mIdleTimeout = 1h;
  return settings;
}

http_response MethodNotAllowed()
{
  constexpr uint32_t kMethodNotAllowed = 405;
  return JsonAnswer(kMethodNotAllowed, R"({"error":"method not allowed"})");
}

/// Calls that a router may make; the others control the stand-in.
bool IsPlatformCall(const http_request& aRequest)
{
  return aRequest.mPath == "/vms" || aRequest.mPath.starts_with("/v3/");
}

} // namespace

platform_server::platform_server(event_loop& aLoop,
                                 const platform_server_settings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mCore(aSettings.mHistory)
  , mService(mCore)
  , mWatches(mCore)
  , mVms(aSettings.mListLag)
  , mServer(aLoop,
            ServerSettings(),
            [this](exchange_id aExchange, http_request aRequest) {
              Handle(aExchange, std::move(aRequest));
            })
  , mControl(aLoop,
             ServerSettings(),
             [this](exchange_id aExchange, const http_request& aRequest) {
               HandleControl(mControl, aExchange, aRequest);
             })
{
  mServer.OnClose([this](exchange_id aExchange) { HandleClose(aExchange); });
  mServer.Listen(mSettings.mHost, mSettings.mPort);
  mSettings.mPort = mServer.Port();
  if (mSettings.mControlPort != 0) {
    mControl.Listen(mSettings.mHost, mSettings.mControlPort);
  }
  mLeaseTimer.StartRepeating(mLoop, kLeaseInterval, [this] {
    mCore.ExpireLeases(MonotonicNow());
    SendWatchOutput();
  });
}

void platform_server::Handle(exchange_id aExchange, http_request aRequest)
{
  if (IsPlatformCall(aRequest)) {
    HandleCall(aExchange, std::move(aRequest));
  } else {
    HandleControl(mServer, aExchange, aRequest);
  }
}

void platform_server::HandleControl(http_server& aServer,
                                    exchange_id aExchange,
                                    const http_request& aRequest)
{
  constexpr uint32_t kBadRequest = 400;
  http_response answer;
  try {
    answer = ControlAnswer(aRequest);
  } catch (const error& failure) {
    const nlohmann::json body = { { "error", failure.what() } };
    answer = JsonAnswer(
      kBadRequest,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  aServer.Respond(aExchange, answer);
}

http_response platform_server::ControlAnswer(const http_request& aRequest)
{
  if (aRequest.mPath.starts_with(kVmPrefix)) {
    return HandleVm(aRequest);
  }
  if (aRequest.mPath == "/stats") {
    return JsonAnswer(200, mStatistics.Write(mWatches.Count(), MonotonicNow()));
  }
  if (aRequest.mPath != "/faults") {
    return ErrorAnswer(key_value_error::kNotFound, "Not Found");
  }
  if (aRequest.mMethod != "POST") {
    return MethodNotAllowed();
  }
  ChangeFaults(ParseFaultChange(aRequest.mBody));
  return JsonAnswer(200, "{}");
}

http_response platform_server::HandleVm(const http_request& aRequest)
{
  const std::string name = aRequest.mPath.substr(kVmPrefix.size());
  if (aRequest.mMethod == "PUT") {
    mVms.Put(ParseListedVm(name, aRequest.mBody),
             ParseVmTtl(aRequest.mBody),
             MonotonicNow());
    return JsonAnswer(200, "{}");
  }
  if (aRequest.mMethod == "DELETE") {
    mVms.Remove(vm_name(name), MonotonicNow());
    return JsonAnswer(200, "{}");
  }
  return MethodNotAllowed();
}

void platform_server::HandleCall(exchange_id aExchange, http_request aRequest)
{
  const bool isWrite = key_value_service::IsWrite(aRequest.mPath);
  mStatistics.NoteCall(aRequest.mPath, isWrite, MonotonicNow());
  mStatistics.NoteBytesIn(aRequest.mBody.size());
  const call_fate fate = mFaults.Decide(isWrite);
  if (fate == call_fate::kDropped) {
    mServer.Drop(aExchange);
  } else if (fate == call_fate::kSilent) {
    mSilent.insert(aExchange);
  } else if (aRequest.mPath == kWatchPath) {
    StartWatch(aExchange, aRequest);
  } else if (mFaults.Settings().mDelay > duration::zero()) {
    Delay(aExchange, std::move(aRequest), fate);
  } else {
    Finish(aExchange, fate, TakeEffect(aRequest));
  }
}

void platform_server::StartWatch(exchange_id aExchange,
                                 const http_request& aRequest)
{
  try {
    const std::string line = mWatches.Add(aExchange, aRequest.mBody);
    mServer.StartStream(aExchange, JsonAnswer(200, ""));
    mServer.SendChunk(aExchange, line);
  } catch (const parse_error& failure) {
    Respond(aExchange,
            ErrorAnswer(key_value_error::kInvalidArgument, failure.what()));
  }
  SendWatchOutput();
}

http_response platform_server::TakeEffect(const http_request& aRequest)
{
  if (aRequest.mPath == "/vms") {
    return aRequest.mMethod == "GET"
             ? JsonAnswer(200, WriteVmList(mVms.Visible(MonotonicNow())))
             : MethodNotAllowed();
  }
  if (aRequest.mMethod != "POST") {
    return MethodNotAllowed();
  }
  http_response answer =
    mService.Handle(aRequest.mPath, aRequest.mBody, MonotonicNow());
  SendWatchOutput();
  return answer;
}

void platform_server::Finish(exchange_id aExchange,
                             call_fate aFate,
                             const http_response& aAnswer)
{
  if (aFate == call_fate::kAnswerLost) {
    mServer.Drop(aExchange);
    return;
  }
  Respond(aExchange, aAnswer);
}

void platform_server::Respond(exchange_id aExchange,
                              const http_response& aAnswer)
{
  mStatistics.NoteBytesOut(aAnswer.mBody.size());
  mServer.Respond(aExchange, aAnswer);
}

void platform_server::Delay(exchange_id aExchange,
                            http_request aRequest,
                            call_fate aFate)
{
  auto& call = mDelayed[aExchange];
  call = std::make_unique<delayed_call>();
  call->mRequest = std::move(aRequest);
  call->mFate = aFate;
  const duration half = mFaults.Settings().mDelay / 2;
  call->mTimer.StartOnce(mLoop, half, [this, aExchange, half] {
    delayed_call& due = *mDelayed.at(aExchange);
    due.mAnswer = TakeEffect(due.mRequest);
    due.mTimer.StartOnce(mLoop, half, [this, aExchange] {
      const auto done = std::move(mDelayed.extract(aExchange).mapped());
      Finish(aExchange, done->mFate, done->mAnswer);
    });
  });
}

void platform_server::HandleClose(exchange_id aExchange)
{
  // A delayed call still takes effect; its answer then goes nowhere.
  mSilent.erase(aExchange);
  mWatches.Remove(aExchange);
}

void platform_server::SendWatchOutput()
{
  if (mFaults.Settings().mOutage) {
    return;
  }
  for (const watch_output& output : mWatches.TakeOutput()) {
    mStatistics.NoteBytesOut(output.mLines.size());
    mServer.SendChunk(output.mExchange, output.mLines);
    if (output.mEnds) {
      mServer.EndStream(output.mExchange);
    }
  }
}

void platform_server::ChangeFaults(const fault_change& aChange)
{
  const fault_settings before = mFaults.Settings();
  mFaults.Change(aChange);
  const fault_settings& after = mFaults.Settings();
  if (aChange.mListLag) {
    mVms.SetLag(*aChange.mListLag);
  }
  if (aChange.mLapseLeases) {
    mCore.LapseLeases();
  }
  if (before.mOutage && !after.mOutage) {
    DropOpenCalls();
  }
  if (!before.mRefuse && after.mRefuse) {
    mServer.StopListening();
    DropOpenCalls();
  }
  if (before.mRefuse && !after.mRefuse) {
    mServer.Listen(mSettings.mHost, mSettings.mPort);
  }
  SendWatchOutput();
  log_line(log_severity::kInfo, "faults_changed")
    .Add("outage", after.mOutage)
    .Add("refuse", after.mRefuse)
    .Add("delay_us", static_cast<int64_t>(after.mDelay.count()));
}

void platform_server::DropOpenCalls()
{
  const std::set<exchange_id> silent = std::move(mSilent);
  mSilent.clear();
  for (const exchange_id exchange : silent) {
    mServer.Drop(exchange);
  }
  for (const exchange_id exchange : mWatches.RemoveAll()) {
    mServer.Drop(exchange);
  }
}

} // namespace parsleystair
