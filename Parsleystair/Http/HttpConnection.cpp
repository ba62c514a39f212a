#include "Parsleystair/Http/HttpConnection.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Http/MessageParser.h"
#include "Parsleystair/Http/MessageText.h"

#include <algorithm>
#include <optional>

namespace parsleystair {

namespace {

/// Number of answers to other calls after which a call fails.
constexpr uint32_t kMaxSkippedAnswers = 4;

} // namespace

struct http_connection::state
  : stream_handler
  , byte_holder
  , std::enable_shared_from_this<state>
{
  event_loop& mLoop;
  std::string mHost;
  uint16_t mPort;
  http_connection_settings mSettings;
  std::unique_ptr<socket_stream> mStream;
  std::optional<answer_parser> mParser;
  std::string mInput;
  callback mCallback;
  response_filter mFilter;
  /// Request that waits for the connection.
  std::string mRequest;
  bool mSent = false;
  time_point mSendUntil = time_point::max();
  bool mToHead = false;
  bool mReused = false;
  /// Number of answers skipped, which belong to no call.
  uint32_t mSkipped = 0;
  /// The head of the current answer was compared with the call.
  bool mHeadChecked = false;
  /// Time at which an answer that has begun must be whole.
  std::optional<time_point> mTransferEnd;
  timer mDeadline;

  state(event_loop& aLoop,
        std::string aHost,
        uint16_t aPort,
        const http_connection_settings& aSettings)
    : byte_holder(aLoop.Bytes())
    , mLoop(aLoop)
    , mHost(std::move(aHost))
    , mPort(aPort)
    , mSettings(aSettings)
  {
  }

  // stream_handler
  void HandleBytes(std::string_view aBytes) override;
  void HandleEnd(stream_end aEnd) override;
  void HandleTimeout() override;
  void HandleConnected() override;

  // byte_holder
  [[nodiscard]] size_t HeldBytes() const override;
  void DropBytes() override;

  void Connect();
  void StartDeadline(duration aTimeout);
  void StartParser();
  void SendRequest();
  void ReadAnswers();
  [[nodiscard]] bool IsOwn(const http_response& aAnswer) const;
  [[nodiscard]] bool IsRequestAcknowledged() const;
  bool IsHopeless();
  void ExtendDeadline(time_point aNow);
  void FinishAnswered();
  void Fail(http_failure aFailure, bool aTimedOut);
  void Finish(http_result aResult);
  void Close(bool aReset);
};

void http_connection::state::Connect()
{
  if (mStream != nullptr && mStream->HasInput()) {
    Close(true);
  }
  mReused = mStream != nullptr;
  if (mReused) {
    return;
  }
  mStream = std::make_unique<socket_stream>(
    mLoop, mHost, mPort, mSettings.mStream, *this);
  mStream->StartTimer(mSettings.mConnectTimeout);
}

void http_connection::state::StartDeadline(duration aTimeout)
{
  mDeadline.StartOnce(mLoop, aTimeout, [this] {
    // The callback may destroy the connection, so the state is kept until the
    // end.
    const std::shared_ptr<state> kept = shared_from_this();
    kept->Fail(http_failure::kAborted, true);
  });
}

void http_connection::state::StartParser()
{
  mParser.emplace(mSettings.mMaxBodyBytes, mToHead);
  mHeadChecked = false;
}

void http_connection::state::SendRequest()
{
  // The timer of the deadline is not enough: a process that stood still handles
  // the event of a new connection before its expired timers.
  if (MonotonicNow() >= mSendUntil) {
    StartDeadline(duration::zero());
    return;
  }
  mSent = true;
  mStream->Write(mRequest, mSendUntil);
  std::string().swap(mRequest);
  UpdateHeldBytes();
}

void http_connection::state::HandleConnected()
{
  mStream->CancelTimer();
  SendRequest();
}

void http_connection::state::HandleTimeout()
{
  Fail(http_failure::kConnect, false);
}

void http_connection::state::HandleBytes(std::string_view aBytes)
{
  if (!mCallback) {
    Close(true);
    return;
  }
  if (!mSent) {
    Fail(http_failure::kMalformed, false);
    return;
  }
  if (mSettings.mSilenceTimeout) {
    ExtendDeadline(MonotonicNow());
  }
  mInput += aBytes;
  UpdateHeldBytes();
  if (mLoop.Bytes().IsExceeded()) {
    mLoop.DropExcessBytesSoon();
  }
  ReadAnswers();
}

size_t http_connection::state::HeldBytes() const
{
  return HeapBytes(mInput) + HeapBytes(mRequest) +
         (mParser ? mParser->HeldBytes() : 0) +
         (mStream != nullptr ? mStream->HeldBytes() : 0);
}

void http_connection::state::DropBytes()
{
  log_line(log_severity::kWarning, "answer_dropped")
    .Add("host", mHost)
    .Add("port", uint64_t{ mPort })
    .Add("bytes", uint64_t{ HeldBytes() });
  const std::shared_ptr<state> kept = shared_from_this();
  kept->Fail(http_failure::kTooLong, false);
}

void http_connection::state::ExtendDeadline(time_point aNow)
{
  if (!mTransferEnd) {
    mTransferEnd = aNow + mSettings.mTransferTimeout;
  }
  StartDeadline(
    std::clamp(*mTransferEnd - aNow, duration(), *mSettings.mSilenceTimeout));
}

bool http_connection::state::IsOwn(const http_response& aAnswer) const
{
  const bool isFirst = !mReused && mSkipped == 0;
  return !mFilter || mFilter(aAnswer, isFirst);
}

bool http_connection::state::IsRequestAcknowledged() const
{
  return mSent && mStream != nullptr && mStream->IsAllAcknowledged();
}

/// Tells if no answer to the call can come: the current one belongs to another
/// call, and the connection ends with it.
bool http_connection::state::IsHopeless()
{
  const auto head = mHeadChecked ? std::nullopt : mParser->Head();
  if (!head) {
    return false;
  }
  mHeadChecked = true;
  return mParser->EndsConnection() && !IsOwn(*head);
}

void http_connection::state::ReadAnswers()
{
  while (!mInput.empty()) {
    mInput.erase(0, mParser->Feed(mInput));
    if (mParser->State() == parse_state::kIncomplete) {
      if (IsHopeless()) {
        Fail(http_failure::kMalformed, false);
      }
      return;
    }
    if (mParser->State() == parse_state::kFailed) {
      Fail(mParser->IsTooLong() ? http_failure::kTooLong
                                : http_failure::kMalformed,
           false);
      return;
    }
    answer_parser done = std::move(*mParser);
    StartParser();
    const bool ends = done.EndsConnection() || done.EndsWithStream();
    http_result result;
    result.mStatus = http_status::kResponded;
    result.mResponse = done.Take();
    if (IsOwn(result.mResponse)) {
      result.mAcknowledged = IsRequestAcknowledged();
      // Bytes after the answer belong to no request, and a request that is
      // still being sent would mix with the next one.
      if (ends || mSkipped > 0 || !mInput.empty() || mStream->Unsent() > 0) {
        Close(false);
      }
      Finish(std::move(result));
      return;
    }
    ++mSkipped;
    if (ends || mSkipped > kMaxSkippedAnswers) {
      Fail(http_failure::kMalformed, false);
      return;
    }
  }
}

void http_connection::state::HandleEnd(stream_end aEnd)
{
  if (!mCallback) {
    Close(false);
    return;
  }
  if (aEnd == stream_end::kNotConnected) {
    Fail(http_failure::kConnect, false);
    return;
  }
  // A peer that leaves a part of the request unread has not closed its side
  // because its answer was whole.
  const bool unframed =
    mParser->EndsWithStream() && aEnd == stream_end::kClosed &&
    IsRequestAcknowledged() && mSettings.mAcceptsUnframedResponses;
  if (unframed) {
    mParser->FeedEnd();
  }
  if (unframed && mParser->State() == parse_state::kComplete) {
    FinishAnswered();
    return;
  }
  Fail(mParser->HasStarted() ? http_failure::kCut : http_failure::kClosed,
       false);
}

void http_connection::state::FinishAnswered()
{
  http_result result;
  result.mStatus = http_status::kResponded;
  result.mResponse = mParser->Take();
  const bool acknowledged = IsRequestAcknowledged();
  Close(false);
  if (!IsOwn(result.mResponse)) {
    result = {};
    result.mFailure = http_failure::kMalformed;
  }
  result.mAcknowledged = acknowledged;
  Finish(std::move(result));
}

void http_connection::state::Fail(http_failure aFailure, bool aTimedOut)
{
  http_result result;
  result.mStatus = mSent ? http_status::kNoResponse : http_status::kNotSent;
  result.mTimedOut = aTimedOut;
  result.mFailure = aFailure;
  result.mAcknowledged = IsRequestAcknowledged();
  Close(true);
  Finish(std::move(result));
}

void http_connection::state::Finish(http_result aResult)
{
  mDeadline.Cancel();
  mFilter = nullptr;
  aResult.mReused = mReused;
  UpdateHeldBytes();
  const callback done = std::move(mCallback);
  mCallback = nullptr;
  if (done) {
    done(std::move(aResult));
  }
}

void http_connection::state::Close(bool aReset)
{
  if (mStream != nullptr && aReset) {
    mStream->ResetOnClose();
  }
  mStream.reset();
  // An assignment of an empty string would keep the memory.
  std::string().swap(mInput);
  mParser.reset();
  UpdateHeldBytes();
}

http_connection::http_connection(event_loop& aLoop,
                                 std::string aHost,
                                 uint16_t aPort,
                                 const http_connection_settings& aSettings)
  : mState(std::make_shared<state>(aLoop, std::move(aHost), aPort, aSettings))
{
}

http_connection::~http_connection()
{
  mState->mCallback = nullptr;
  mState->mDeadline.Cancel();
  mState->Close(true);
}

void http_connection::Call(const http_request& aRequest,
                           duration aTimeout,
                           callback aCallback,
                           response_filter aFilter,
                           const send_limits& aLimits)
{
  PARSLEYSTAIR_INVARIANT(!IsBusy());
  mState->mCallback = std::move(aCallback);
  mState->mFilter = std::move(aFilter);
  mState->mToHead = aRequest.mMethod == "HEAD";
  mState->mSkipped = 0;
  mState->mTransferEnd.reset();
  mState->mRequest = RequestText(aRequest, mState->mHost);
  mState->mSent = false;
  mState->Connect();
  mState->mSendUntil = mState->mReused
                         ? aLimits.mSendUntil
                         : std::min(aLimits.mSendUntil, aLimits.mConnectUntil);
  mState->StartParser();
  mState->StartDeadline(aTimeout);
  if (mState->mReused) {
    mState->SendRequest();
  }
}

bool http_connection::IsBusy() const
{
  return static_cast<bool>(mState->mCallback);
}

bool http_connection::HasSent() const
{
  return mState->mSent;
}

bool http_connection::IsOpen() const
{
  return mState->mStream != nullptr && !IsBusy() &&
         !mState->mStream->HasInput();
}

void http_connection::Abort(bool aTimedOut)
{
  // The callback may destroy this object, so the state is kept until the end.
  const std::shared_ptr<state> kept = mState;
  kept->Fail(http_failure::kAborted, aTimedOut);
}

} // namespace parsleystair
