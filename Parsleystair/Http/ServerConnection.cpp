#include "Parsleystair/Http/ServerConnection.h"

#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Http/MessageText.h"

namespace parsleystair {

namespace {

constexpr uint32_t kRequestTimeout = 408;
/// Bytes of following requests that are kept while one is answered.
constexpr size_t kMaxPipelinedBytes = 64 * 1024;
/// Longest pause of a client in reading a last answer before its connection is
/// reset.
constexpr duration kLingerTime = 2s;

} // namespace

server_connection::server_connection(connection_id aId,
                                     event_loop& aLoop,
                                     int aDescriptor,
                                     const http_server_settings& aSettings,
                                     server_connection_owner& aOwner)
  : byte_holder(aLoop.Bytes())
  , mId(aId)
  , mLoop(aLoop)
  , mSettings(aSettings)
  , mOwner(aOwner)
  , mStream(aLoop, aDescriptor, {}, *this)
  , mParser(aSettings.mMaxHeaderBytes, aSettings.mMaxBodyBytes)
{
  mStream.StartTimer(mSettings.mIdleTimeout);
}

void server_connection::SetPeer(std::string aHost, uint16_t aPort)
{
  mPeerHost = std::move(aHost);
  mPeerPort = aPort;
}

bool server_connection::IsIdle() const
{
  return !mAwaitsAnswer && !mRequestStarted && mInput.empty() && !mClosing &&
         !HasUnsentOutput();
}

void server_connection::HandleBytes(std::string_view aBytes)
{
  if (mClosing) {
    return;
  }
  mInput += aBytes;
  CountBytes();
  if (!mAwaitsAnswer) {
    ReadNext();
  } else if (mInput.size() > kMaxPipelinedBytes) {
    mStream.SetReading(false);
  }
}

void server_connection::CountBytes()
{
  UpdateHeldBytes();
  if (mLoop.Bytes().IsExceeded()) {
    mLoop.DropExcessBytesSoon();
  }
}

size_t server_connection::HeldBytes() const
{
  return HeapBytes(mInput) + mParser.HeldBytes() + mStream.HeldBytes();
}

void server_connection::DropBytes()
{
  log_line(log_severity::kWarning, "connection_dropped")
    .Add("peer", mPeerHost)
    .Add("bytes", uint64_t{ HeldBytes() })
    .Add("unsent", uint64_t{ mStream.Unsent() });
  mOwner.HandleGone(mId);
}

void server_connection::ReadNext()
{
  if (mInput.empty()) {
    return;
  }
  const size_t used = mParser.Feed(mInput);
  mInput.erase(0, used);
  if (!mRequestStarted) {
    mRequestStarted = true;
    mStream.StartTimer(mSettings.mRequestTimeout);
  }
  if (mParser.State() == parse_state::kFailed) {
    Refuse(mParser.FailureStatus(), mParser.FailureReason());
    return;
  }
  if (mParser.ExpectsContinue() && !mSaidContinue) {
    mSaidContinue = true;
    mStream.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (mParser.State() != parse_state::kComplete) {
    return;
  }

  // A process that stood still reads requests whose clients have left.
  // `HandleEnd` follows.
  if (mStream.HasEnded()) {
    return;
  }

  // The whole request is here; the next one is read after its answer.
  mStream.CancelTimer();
  mEndsAfterAnswer = mParser.EndsConnection();
  http_request request = mParser.Take();
  mParser = request_parser(mSettings.mMaxHeaderBytes, mSettings.mMaxBodyBytes);
  mAwaitsAnswer = true;
  mSaidContinue = false;
  mRequestStarted = false;
  mHeadOnly = request.mMethod == "HEAD";
  request.mRemoteHost = mPeerHost;
  request.mRemotePort = mPeerPort;
  mOwner.HandleRequest(mId, std::move(request));
}

void server_connection::Refuse(uint32_t aStatus, const std::string& aReason)
{
  const http_response answer{ aStatus,
                              { { "Content-Type", "text/plain" } },
                              aReason + "\n" };
  mStream.Write(AnswerText(answer, true, false));
  CloseWhenFlushed();
}

void server_connection::CloseWhenFlushed()
{
  // Reading goes on until the client closes: a close with unread bytes would
  // reset the connection and could take the answer with it.
  mClosing = true;
  std::string().swap(mInput);
  mStream.FinishWriting();
  StartSendTimer(kLingerTime);
}

void server_connection::StartSendTimer(duration aDelay)
{
  mUnacknowledgedAtTimerStart =
    HasUnsentOutput() ? mStream.Unacknowledged() : 0;
  mStream.StartTimer(aDelay);
}

void server_connection::Respond(const http_response& aAnswer, bool aClose)
{
  PARSLEYSTAIR_INVARIANT(mAwaitsAnswer);
  const bool close = aClose || mEndsAfterAnswer;
  mStream.Write(AnswerText(aAnswer, close, mHeadOnly));
  CountBytes();
  FinishAnswer(close);
}

void server_connection::StartStream(const http_response& aHead)
{
  mStream.Write(StreamHeadText(aHead, mEndsAfterAnswer));
}

void server_connection::SendChunk(const std::string& aChunk)
{
  // A chunk of length 0 would end the stream.
  if (!aChunk.empty()) {
    mStream.Write(ChunkText(aChunk));
    CountBytes();
  }
}

void server_connection::EndStream()
{
  mStream.Write("0\r\n\r\n");
  FinishAnswer(mEndsAfterAnswer);
}

void server_connection::FinishAnswer(bool aClose)
{
  mAwaitsAnswer = false;
  if (aClose) {
    CloseWhenFlushed();
    return;
  }
  mStream.SetReading(true);
  StartSendTimer(mSettings.mIdleTimeout);
  ReadNext();
}

void server_connection::HandleEnd(stream_end /*aEnd*/)
{
  mOwner.HandleGone(mId);
}

void server_connection::HandleTimeout()
{
  if (mClosing || !mRequestStarted) {
    // A client that still reads a long answer is not idle.
    if (HasUnsentOutput() &&
        mStream.Unacknowledged() < mUnacknowledgedAtTimerStart) {
      StartSendTimer(mClosing ? kLingerTime : mSettings.mIdleTimeout);
      return;
    }
    mOwner.HandleGone(mId);
    return;
  }
  Refuse(kRequestTimeout, "the request took too long to arrive");
}

} // namespace parsleystair
