#include "Parsleystair/Platform/EtcdStore.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Platform/BackoffGate.h"
#include "Parsleystair/Platform/EtcdMessages.h"
#include "Parsleystair/Platform/TokenBucket.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace parsleystair {

namespace {

/// Calls that wait for an idle connection; above the write burst, so that the
/// caps refuse first.
constexpr size_t kMaxQueuedCalls = 256;

constexpr uint32_t kStatusOk = 200;

/// A call from its start to its callback.
class open_call
{
public:
  open_call(http_request aRequest, time_point aStart)
    : mRequest(std::move(aRequest))
    , mStart(aStart)
  {
  }
  virtual ~open_call() = default;
  open_call(const open_call&) = delete;
  open_call& operator=(const open_call&) = delete;

  [[nodiscard]] const http_request& Request() const { return mRequest; }
  [[nodiscard]] time_point Start() const { return mStart; }

  /// Keeps a whole answer for the callback. Throws `parse_error`.
  virtual void Decode(const std::string& aBody) = 0;

  /// Calls the callback.
  virtual void Deliver(store_status aStatus) = 0;

private:
  http_request mRequest;
  time_point mStart;
};

template<typename Reply>
class typed_call : public open_call
{
public:
  using decoder = Reply (*)(const std::string&);
  using callback = std::function<void(Reply)>;

  typed_call(http_request aRequest,
             time_point aStart,
             decoder aDecoder,
             callback aCallback)
    : open_call(std::move(aRequest), aStart)
    , mDecoder(aDecoder)
    , mCallback(std::move(aCallback))
  {
  }

  void Decode(const std::string& aBody) override { mReply = mDecoder(aBody); }

  void Deliver(store_status aStatus) override
  {
    mReply.mStatus = aStatus;
    mCallback(std::move(mReply));
  }

private:
  decoder mDecoder;
  callback mCallback;
  Reply mReply;
};

http_request JsonPost(const char* aPath, std::string aBody)
{
  http_request request;
  request.mMethod = "POST";
  request.mPath = aPath;
  request.mHeaders = { { "Content-Type", "application/json" } };
  request.mBody = std::move(aBody);
  return request;
}

bool HasTooLongValue(const transaction_request& aRequest)
{
  return std::any_of(
    aRequest.mPuts.begin(), aRequest.mPuts.end(), [](const store_put& aPut) {
      return aPut.mValue.size() > etcd_store::kMaxValueBytes;
    });
}

} // namespace

struct etcd_store::state
{
  /// Shared, as `std::function` needs callbacks that can be copied.
  using call_pointer = std::shared_ptr<open_call>;

  event_loop& mLoop;
  etcd_store_settings mSettings;
  store_counters mCounters;
  token_bucket mReads;
  token_bucket mWrites;
  backoff_gate mGate;
  std::deque<call_pointer> mQueue;
  std::vector<call_pointer> mRefused;
  timer mRefusedTimer;
  std::vector<std::unique_ptr<http_connection>> mConnections;

  state(event_loop& aLoop, const etcd_store_settings& aSettings);

  void Admit(call_pointer aCall, token_bucket& aBucket);
  void Refuse(call_pointer aCall);
  void DeliverRefused();
  void SendQueued();
  void Send(http_connection& aConnection, const call_pointer& aCall);
  void Settle(const call_pointer& aCall, const http_result& aResult);
  store_status Decode(open_call& aCall, const http_response& aAnswer);
  void NoteStatus(const open_call& aCall, store_status aStatus);
};

etcd_store::state::state(event_loop& aLoop,
                         const etcd_store_settings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mReads(aSettings.mReadsPerSecond, aSettings.mReadBurst)
  , mWrites(aSettings.mWritesPerSecond, aSettings.mWriteBurst)
  , mGate(aSettings.mFirstBackoff, aSettings.mMaxBackoff, aSettings.mSeed)
{
  PARSLEYSTAIR_INVARIANT(aSettings.mConnections > 0);
  for (uint32_t i = 0; i < aSettings.mConnections; ++i) {
    mConnections.push_back(std::make_unique<http_connection>(
      aLoop, aSettings.mHost, aSettings.mPort));
  }
}

void etcd_store::state::Admit(call_pointer aCall, token_bucket& aBucket)
{
  // The gate is asked first, so that refused calls take no tokens.
  if (!mGate.TryStart(aCall->Start())) {
    ++mCounters.mRefusedByBackoff;
    Refuse(std::move(aCall));
    return;
  }
  if (!aBucket.TryTake(aCall->Start())) {
    ++mCounters.mRefusedByCap;
    log_line(log_severity::kWarning, "store_call_over_cap")
      .Add("path", aCall->Request().mPath);
    Refuse(std::move(aCall));
    return;
  }
  if (mQueue.size() >= kMaxQueuedCalls) {
    ++mCounters.mRefusedQueue;
    Refuse(std::move(aCall));
    return;
  }
  mQueue.push_back(std::move(aCall));
  SendQueued();
}

void etcd_store::state::Refuse(call_pointer aCall)
{
  mRefused.push_back(std::move(aCall));
  if (mRefused.size() == 1) {
    mRefusedTimer.StartOnce(
      mLoop, duration::zero(), [this] { DeliverRefused(); });
  }
}

void etcd_store::state::DeliverRefused()
{
  std::vector<call_pointer> calls;
  calls.swap(mRefused);
  for (const call_pointer& call : calls) {
    ++mCounters.mNotSent;
    call->Deliver(store_status::kNotSent);
  }
}

void etcd_store::state::SendQueued()
{
  for (const auto& connection : mConnections) {
    while (!mQueue.empty() && !connection->IsBusy()) {
      const call_pointer call = std::move(mQueue.front());
      mQueue.pop_front();
      Send(*connection, call);
    }
  }
}

void etcd_store::state::Send(http_connection& aConnection,
                             const call_pointer& aCall)
{
  const duration left = aCall->Start() + mSettings.mTimeout - MonotonicNow();
  if (left <= duration::zero()) {
    ++mCounters.mRefusedQueue;
    Refuse(aCall);
    return;
  }
  mCounters.mBytesSent += aCall->Request().mBody.size();
  aConnection.Call(
    aCall->Request(), left, [this, aCall](const http_result& aResult) {
      Settle(aCall, aResult);
      SendQueued();
    });
}

void etcd_store::state::Settle(const call_pointer& aCall,
                               const http_result& aResult)
{
  // libevent may report a failed connection inside the call that made it, so
  // this callback comes later.
  if (aResult.mStatus == http_status::kNotSent) {
    NoteStatus(*aCall, store_status::kNotSent);
    Refuse(aCall);
    return;
  }
  store_status status = store_status::kUnknown;
  if (aResult.mStatus == http_status::kResponded) {
    status = Decode(*aCall, aResult.mResponse);
  }
  NoteStatus(*aCall, status);
  aCall->Deliver(status);
}

store_status etcd_store::state::Decode(open_call& aCall,
                                       const http_response& aAnswer)
{
  mCounters.mBytesReceived += aAnswer.mBody.size();
  try {
    if (aAnswer.mStatus != kStatusOk) {
      throw parse_error("HTTP status " + std::to_string(aAnswer.mStatus));
    }
    aCall.Decode(aAnswer.mBody);
    return store_status::kReplied;
  } catch (const parse_error& failure) {
    // An error of the store may follow a write that took effect, as with
    // "request timed out", so that no status code counts as "not run".
    ++mCounters.mMalformed;
    log_line(log_severity::kWarning, "store_answer_unusable")
      .Add("path", aCall.Request().mPath)
      .Add("error", failure.what());
    return store_status::kUnknown;
  }
}

void etcd_store::state::NoteStatus(const open_call& aCall, store_status aStatus)
{
  if (aStatus == store_status::kReplied) {
    ++mCounters.mAnswered;
    mGate.OnSuccess();
    return;
  }
  if (aStatus == store_status::kUnknown) {
    ++mCounters.mUnknown;
  }
  log_line(log_severity::kWarning, "store_call_failed")
    .Add("path", aCall.Request().mPath)
    .Add("sent", aStatus == store_status::kUnknown);
  mGate.OnFailure(aCall.Start(), MonotonicNow());
  // Queued calls would meet the same failure one after another.
  while (!mQueue.empty()) {
    ++mCounters.mRefusedByBackoff;
    Refuse(std::move(mQueue.front()));
    mQueue.pop_front();
  }
}

etcd_store::etcd_store(event_loop& aLoop, const etcd_store_settings& aSettings)
  : mState(std::make_unique<state>(aLoop, aSettings))
{
}

etcd_store::~etcd_store() = default;

void etcd_store::Range(const range_request& aRequest,
                       std::function<void(range_reply)> aCallback)
{
  ++mState->mCounters.mReads;
  mState->Admit(std::make_shared<typed_call<range_reply>>(
                  JsonPost("/v3/kv/range", EncodeRangeRequest(aRequest)),
                  MonotonicNow(),
                  DecodeRangeReply,
                  std::move(aCallback)),
                mState->mReads);
}

void etcd_store::Transact(const transaction_request& aRequest,
                          std::function<void(transaction_reply)> aCallback)
{
  ++mState->mCounters.mWrites;
  const bool tooLong = HasTooLongValue(aRequest);
  auto call = std::make_shared<typed_call<transaction_reply>>(
    JsonPost("/v3/kv/txn",
             tooLong ? std::string() : EncodeTransactionRequest(aRequest)),
    MonotonicNow(),
    DecodeTransactionReply,
    std::move(aCallback));
  if (tooLong) {
    ++mState->mCounters.mRefusedTooLarge;
    log_line(log_severity::kError, "store_value_too_large")
      .Add("limit_bytes", uint64_t(kMaxValueBytes));
    mState->Refuse(std::move(call));
    return;
  }
  mState->Admit(std::move(call), mState->mWrites);
}

void etcd_store::ListVms(std::function<void(vm_list_reply)> aCallback)
{
  ++mState->mCounters.mLists;
  http_request request;
  request.mMethod = "GET";
  request.mPath = "/vms";
  mState->Admit(
    std::make_shared<typed_call<vm_list_reply>>(
      std::move(request), MonotonicNow(), DecodeVmList, std::move(aCallback)),
    mState->mReads);
}

const store_counters& etcd_store::Counters() const
{
  return mState->mCounters;
}

bool etcd_store::IsFailing() const
{
  return mState->mGate.IsFailing();
}

} // namespace parsleystair
