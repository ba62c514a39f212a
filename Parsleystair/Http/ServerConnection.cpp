#include "Parsleystair/Http/ServerConnection.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Http/MessageText.h"

#include <algorithm>
#include <utility>

// Reading, handing over and writing are one loop (`Process`). A response that
// comes while the loop runs, such as that of a handler that responds within its
// call, doesn't start a second one: the depth of the stack must not depend on
// the number of requests that a client sends.

namespace parsleystair {

namespace {

constexpr uint32_t kRequestTimeout = 408;
/// Bytes of following requests that are kept while one is answered.
constexpr size_t kMaxPipelinedBytes = 64 * 1024;
/// Responses that one connection may owe at a time. Those that wait for an
/// earlier one count.
constexpr size_t kMaxOwedResponses = 16;
/// Bytes of one connection beyond which no further request is started: bodies
/// of requests in progress, responses that wait for an earlier one, and output
/// that the client has not read.
constexpr size_t kMaxOutstandingBytes = 256 * 1024;
/// Divisor of the byte budget of the process that gives the same limit for all
/// connections together. Beyond the whole budget connections are closed.
constexpr size_t kBudgetDivisor = 2;
/// Requests that one connection hands over in an iteration of the event loop.
constexpr size_t kMaxRequestsPerTurn = 16;
/// Time for which a connection stays after its last answer has been
/// acknowledged, unless the client closes it first or sends on.
constexpr duration kLingerTime = 2s;
/// The same while a shutdown waits, for a client that has not been slow.
constexpr duration kShutdownLingerTime = 500ms;
/// Parts of the idle timeout after which a client is checked. One that goes on
/// using a connection for all parts but one, as soon as it has the answer, is
/// never taken for idle.
constexpr int kIdleChecks = 5;
/// Shortest time without any progress of a client that doesn't have all
/// responses, after which its connection ends. The system of a client that
/// reads slowly acknowledges large parts, seconds apart.
constexpr duration kMinStallTime = 5s;
/// Time without a due acknowledgement after which a client is lost.
constexpr duration kClientLossTime = 2s;
/// Rough memory of a header field.
constexpr size_t kFieldBytes = 128;

size_t HeldBytesOf(const http_response& aAnswer)
{
  return HeapBytes(aAnswer.mBody) + aAnswer.mHeaders.size() * kFieldBytes;
}

} // namespace

size_t server_connection::owed_response::HeldBytes() const
{
  return (mAnswer ? HeldBytesOf(*mAnswer) : 0) +
         (mStreamHead ? HeldBytesOf(*mStreamHead) : 0) + HeapBytes(mChunks);
}

server_connection::server_connection(connection_id aId,
                                     event_loop& aLoop,
                                     int aDescriptor,
                                     const http_server_settings& aSettings,
                                     const concurrency_policy* aPolicy,
                                     server_connection_owner& aOwner)
  : byte_holder(aLoop.Bytes())
  , mId(aId)
  , mLoop(aLoop)
  , mSettings(aSettings)
  , mPolicy(aPolicy)
  , mOwner(aOwner)
  , mStream(aLoop, aDescriptor, {}, *this)
  , mParser(aSettings.mMaxHeaderBytes, aSettings.mMaxBodyBytes)
  , mLossDetector(kClientLossTime)
{
  StartProgressTimer();
}

void server_connection::SetPeer(std::string aHost, uint16_t aPort)
{
  mPeerHost = std::move(aHost);
  mPeerPort = aPort;
}

bool server_connection::IsIdle() const
{
  return mOwed.empty() && !mRequestStarted && !mNext && !mRefusal &&
         UnreadInput() == 0 && !mClosing && !HasUnsentOutput();
}

std::vector<exchange_id> server_connection::OwedExchanges() const
{
  std::vector<exchange_id> exchanges;
  for (const owed_response& each : mOwed) {
    exchanges.push_back(each.mExchange);
  }
  return exchanges;
}

std::vector<exchange_id> server_connection::BlockingExchanges() const
{
  std::vector<exchange_id> blocking;
  std::vector<exchange_id> incomplete;
  for (const owed_response& each : mOwed) {
    if (!each.IsWhole()) {
      incomplete.push_back(each.mExchange);
    } else {
      blocking.insert(blocking.end(), incomplete.begin(), incomplete.end());
      incomplete.clear();
    }
  }
  return blocking;
}

void server_connection::HandleBytes(std::string_view aBytes)
{
  if (mClosing) {
    mLastInputAt = MonotonicNow();
    return;
  }
  if (mReadsNoMore) {
    return;
  }
  mInput += aBytes;
  CountBytes();
  Process();
}

void server_connection::HandleAllSent()
{
  if (mInputEnded) {
    mOwner.HandleGone(mId);
    return;
  }
  Process();
}

void server_connection::Continue()
{
  mContinuesLater = false;
  Process();
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
  size_t bytes = HeapBytes(mInput) + mParser.HeldBytes() + mStream.HeldBytes();
  if (mNext) {
    bytes += HeapBytes(mNext->mRequest.mBody) +
             mNext->mRequest.mHeaders.size() * kFieldBytes;
  }
  for (const owed_response& each : mOwed) {
    bytes += each.HeldBytes();
  }
  return bytes;
}

size_t server_connection::OutstandingBytes() const
{
  size_t bytes = mStream.Unsent();
  for (const owed_response& each : mOwed) {
    bytes += each.mRequestBytes + each.HeldBytes();
  }
  return bytes;
}

void server_connection::DropBytes()
{
  log_line(log_severity::kWarning, "connection_dropped")
    .Add("peer", mPeerHost)
    .Add("bytes", uint64_t{ HeldBytes() })
    .Add("unsent", uint64_t{ mStream.Unsent() });
  mOwner.HandleGone(mId);
}

/// Sends what can be sent and hands over requests that have arrived.
void server_connection::Process()
{
  if (mIsProcessing || mClosing) {
    return;
  }
  mIsProcessing = true;
  const std::weak_ptr<bool> alive = mAlive;
  size_t allowed = mContinuesLater ? 0 : kMaxRequestsPerTurn;
  WriteResponses();
  while (allowed > 0 && TakeRequest()) {
    --allowed;
    HandOver();
    if (alive.expired()) {
      return;
    }
    WriteResponses();
  }
  mIsProcessing = false;
  if (mRefusal && mOwed.empty() && !mClosing) {
    const http_response refusal{ mRefusal->mStatus,
                                 { { "Content-Type", "text/plain" } },
                                 mRefusal->mReason + "\n" };
    Write(AnswerText(refusal, true, false));
    CloseWhenFlushed();
  }
  if (!mClosing) {
    // A stop by the bound on requests per turn; all others end with an event of
    // this connection.
    if (allowed == 0 && !mContinuesLater && UnreadInput() > 0) {
      mContinuesLater = true;
      mOwner.ContinueLater(mId);
    }
    FinishTurn();
  }
}

void server_connection::FinishTurn()
{
  // Moving the rest of the input for each short request would take time in
  // proportion to the square of their number.
  if (mInputStart * 2 >= mInput.size()) {
    mInput.erase(0, mInputStart);
    mInputStart = 0;
  }
  const bool startsIdleTime = std::exchange(mStartsIdleTime, false);
  if (startsIdleTime && mOwed.empty() && !mRequestStarted) {
    StartProgressTimer();
  }
  UpdateReading();
  UpdateHeldBytes();
}

void server_connection::UpdateReading()
{
  const bool reads =
    mReadsNoMore || mRequestStarted || UnreadInput() <= kMaxPipelinedBytes;
  if (reads != mIsReading) {
    mIsReading = reads;
    mStream.SetReading(reads);
  }
}

/// Reads the next request as far as it has arrived. Returns whether it is
/// complete and may be handed over now.
bool server_connection::TakeRequest()
{
  if (mClosing || mReadsNoMore) {
    return false;
  }
  if (!mNext) {
    ReadRequest();
  }
  return mNext &&
         (mOwed.empty() || (mNext->mIsConcurrent && !mClosesAfterResponses));
}

void server_connection::ReadRequest()
{
  if (!mRequestStarted) {
    if (UnreadInput() == 0 || !MayStartRequest()) {
      return;
    }
    mRequestStarted = true;
    mStream.StartTimer(mSettings.mRequestTimeout);
  }
  FeedParser();
  if (mParser.State() == parse_state::kFailed) {
    Refuse(mParser.FailureStatus(), mParser.FailureReason());
    return;
  }
  // Before the earlier responses it would look like a part of the first one.
  if (mOwed.empty() && !mSaidContinue && mParser.ExpectsContinue()) {
    mSaidContinue = true;
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (mParser.State() != parse_state::kComplete) {
    return;
  }

  // A process that stood still reads requests whose clients have left.
  // `HandleEnd` follows.
  if (mStream.HasEnded()) {
    mReadsNoMore = true;
    DropInput();
    return;
  }

  mStream.CancelTimer();
  const bool ends = mParser.EndsConnection();
  mNext = read_request{ mParser.Take(), ends, false };
  mNext->mIsConcurrent =
    mPolicy != nullptr && mPolicy->IsConcurrent(mNext->mRequest);
  mParser = request_parser(mSettings.mMaxHeaderBytes, mSettings.mMaxBodyBytes);
  mSaidContinue = false;
  mRequestStarted = false;
}

void server_connection::FeedParser()
{
  mInputStart += mParser.Feed(std::string_view(mInput).substr(mInputStart));
}

/// Tells if a further request may be read. Without a policy, it is read after
/// the answer to the one before it.
bool server_connection::MayStartRequest()
{
  if (mOwed.empty() && (mPolicy == nullptr || !HasUnsentOutput())) {
    mIsStopped = false;
    return true;
  }
  if (mPolicy == nullptr) {
    return false;
  }
  if (!mOwed.empty() && (!mIsConcurrent || mClosesAfterResponses)) {
    return false;
  }
  http_server_counters& counters = mOwner.ConnectionCounters();
  if (mOwed.size() >= kMaxOwedResponses) {
    NoteStop(counters.mRequestStops);
    return false;
  }
  if (IsOverByteLimit()) {
    NoteStop(counters.mByteStops);
    return false;
  }
  mIsStopped = false;
  return true;
}

bool server_connection::IsOverByteLimit() const
{
  const byte_budget& budget = mLoop.Bytes();
  return budget.Total() > budget.Limit() / kBudgetDivisor ||
         OutstandingBytes() > kMaxOutstandingBytes;
}

void server_connection::NoteStop(uint64_t& aCounter)
{
  if (std::exchange(mIsStopped, true)) {
    return;
  }
  ++aCounter;
  log_line(log_severity::kInfo, "connection_paused")
    .Add("peer", mPeerHost)
    .Add("owed", uint64_t{ mOwed.size() })
    .Add("bytes", uint64_t{ OutstandingBytes() })
    .Add("unsent", uint64_t{ mStream.Unsent() });
}

void server_connection::HandOver()
{
  read_request next = std::move(*mNext);
  mNext.reset();
  http_request& request = next.mRequest;
  request.mRemoteHost = mPeerHost;
  request.mRemotePort = mPeerPort;
  mIsConcurrent = next.mIsConcurrent;
  if (!mOwed.empty()) {
    ++mOwner.ConnectionCounters().mPipelined;
  }
  owed_response& owed = mOwed.emplace_back();
  owed.mExchange = mOwner.OpenExchange(mId);
  owed.mRequestBytes = request.mBody.size();
  owed.mHeadOnly = request.mMethod == "HEAD";
  owed.mEndsConnection = next.mEndsConnection;
  if (next.mEndsConnection) {
    mReadsNoMore = true;
    DropInput();
  }
  mOwner.HandleRequest(owed.mExchange, std::move(request));
}

void server_connection::DropInput()
{
  // An assignment of an empty string would keep the memory.
  std::string().swap(mInput);
  mInputStart = 0;
}

/// Refuses what can't be read as a request, after all owed responses.
void server_connection::Refuse(uint32_t aStatus, const std::string& aReason)
{
  mRequestStarted = false;
  mReadsNoMore = true;
  mStream.CancelTimer();
  DropInput();
  // The last owed response closes the connection.
  if (!mClosesAfterResponses || mOwed.empty()) {
    mRefusal = refusal_text{ aStatus, aReason };
  }
}

void server_connection::CloseWhenFlushed()
{
  // Reading goes on until the client closes: a close with unread bytes would
  // reset the connection and could take the answer with it.
  mClosing = true;
  DropInput();
  mNext.reset();
  mRefusal.reset();
  mRequestStarted = false;
  UpdateReading();
  mStream.FinishWriting();
  mProgress.HandleOutput();
  mClosingSince = MonotonicNow();
  StartProgressTimer();
}

void server_connection::Write(std::string_view aBytes)
{
  mStream.Write(aBytes);
  mProgress.HandleOutput();
}

void server_connection::SampleProgress(time_point aNow)
{
  mProgress.Sample(mStream.Unacknowledged(), aNow);
}

void server_connection::StartProgressTimer()
{
  const duration idle = mSettings.mIdleTimeout / kIdleChecks;
  mStream.StartTimer(mClosing ? std::min(idle, kLingerTime) : idle);
}

duration server_connection::Lingering(time_point aNow) const
{
  // A client that sends on has not read the end of the stream. It is waited for
  // as long as a whole request may take to arrive, such as one that was refused
  // before its body had arrived.
  const bool sendsOn = mLastInputAt < mClosingSince + mSettings.mRequestTimeout;
  const duration sinceInput = aNow - std::max(mClosingSince, mLastInputAt);
  const duration unchanged = mProgress.Unchanged(aNow);
  return sendsOn ? std::min(unchanged, sinceInput) : unchanged;
}

duration server_connection::NextCheck(time_point aNow) const
{
  const duration interval = mSettings.mIdleTimeout / kIdleChecks;
  if (!mProgress.IsTaken()) {
    const duration limit = std::max(mSettings.mIdleTimeout, kMinStallTime);
    return std::min(limit - mProgress.Unchanged(aNow), interval);
  }
  // What the system of a slow client holds takes the client some time to read.
  const duration extra =
    mProgress.IsSlow() ? mSettings.mIdleTimeout : duration::zero();
  return mClosing ? kLingerTime + extra - Lingering(aNow)
                  : mSettings.mIdleTimeout - interval + extra -
                      mProgress.Unchanged(aNow);
}

void server_connection::CheckDelivery(time_point aNow)
{
  if (mProgress.IsTaken()) {
    return;
  }
  SampleProgress(aNow);
  mIsLost = !mProgress.IsTaken() && mStream.IsLost(mLossDetector, aNow);
}

bool server_connection::IsDelivering(time_point aNow) const
{
  if (mIsLost) {
    return false;
  }
  if (!mProgress.IsTaken()) {
    return true;
  }
  return mClosing &&
         (mProgress.IsSlow() || Lingering(aNow) < kShutdownLingerTime);
}

bool server_connection::CloseIdle()
{
  if (!IsIdle() || !mProgress.IsTaken()) {
    return false;
  }
  if (!mProgress.IsSlow()) {
    return true;
  }
  CloseWhenFlushed();
  return false;
}

void server_connection::Abandon()
{
  if (!mProgress.IsTaken()) {
    NoteAbandoned(mIsLost ? "client_lost" : "shutdown");
  }
  mStream.DropInput();
}

void server_connection::NoteAbandoned(const char* aReason)
{
  ++mOwner.ConnectionCounters().mAbandoned;
  log_line(log_severity::kWarning, "responses_abandoned")
    .Add("peer", mPeerHost)
    .Add("port", uint64_t{ mPeerPort })
    .Add("reason", aReason)
    .Add("unacknowledged", uint64_t{ mStream.Unacknowledged() })
    .Add("unsent", uint64_t{ mStream.Unsent() })
    .Add("owed", uint64_t{ mOwed.size() });
}

server_connection::owed_response& server_connection::Find(exchange_id aExchange)
{
  const auto found =
    std::find_if(mOwed.begin(), mOwed.end(), [&](const owed_response& aOwed) {
      return aOwed.mExchange == aExchange;
    });
  PARSLEYSTAIR_INVARIANT(found != mOwed.end());
  return *found;
}

void server_connection::Respond(exchange_id aExchange,
                                const http_response& aAnswer)
{
  owed_response& owed = Find(aExchange);
  if (&owed == &mOwed.front()) {
    WriteAnswer(aAnswer);
  } else {
    owed.mAnswer = aAnswer;
    CountBytes();
  }
  Process();
}

void server_connection::StartStream(exchange_id aExchange,
                                    const http_response& aHead)
{
  owed_response& owed = Find(aExchange);
  owed.mIsStream = true;
  owed.mStreamHead = aHead;
  Process();
}

void server_connection::SendChunk(exchange_id aExchange,
                                  const std::string& aChunk)
{
  // A chunk of length 0 would end the stream.
  if (!aChunk.empty()) {
    Find(aExchange).mChunks += ChunkText(aChunk);
    CountBytes();
    Process();
  }
}

void server_connection::EndStream(exchange_id aExchange)
{
  Find(aExchange).mIsStreamEnded = true;
  Process();
}

/// Writes what the first owed responses have.
void server_connection::WriteResponses()
{
  while (!mOwed.empty() && !mClosing) {
    owed_response& first = mOwed.front();
    if (first.mAnswer) {
      const http_response answer = std::move(*first.mAnswer);
      WriteAnswer(answer);
    } else if (first.mIsStream) {
      WriteStream(first);
      if (!first.mIsStreamEnded) {
        return;
      }
      FinishFirst(first.mEndsConnection);
    } else {
      return;
    }
  }
}

void server_connection::WriteAnswer(const http_response& aAnswer)
{
  const owed_response& first = mOwed.front();
  const bool isLast = mOwed.size() == 1 && !mRefusal;
  const bool close = first.mEndsConnection || (mClosesAfterResponses && isLast);
  Write(AnswerText(aAnswer, close, first.mHeadOnly));
  FinishFirst(close);
  CountBytes();
}

void server_connection::WriteStream(owed_response& aStream)
{
  if (aStream.mStreamHead) {
    Write(StreamHeadText(*aStream.mStreamHead, aStream.mEndsConnection));
    aStream.mStreamHead.reset();
  }
  if (!aStream.mChunks.empty()) {
    Write(aStream.mChunks);
    std::string().swap(aStream.mChunks);
  }
  if (aStream.mIsStreamEnded) {
    Write("0\r\n\r\n");
  }
}

void server_connection::FinishFirst(bool aClose)
{
  mOwed.pop_front();
  mStartsIdleTime = true;
  if (aClose) {
    CloseWhenFlushed();
  }
}

void server_connection::HandleEnd(stream_end aEnd)
{
  // A client may close its sending side and still read. The system sends what
  // it has, also after a close; the rest is sent first.
  if (aEnd == stream_end::kClosed && mOwed.empty() && HasUnsentOutput()) {
    mInputEnded = true;
    CloseWhenFlushed();
    return;
  }
  mOwner.HandleGone(mId);
}

void server_connection::HandleTimeout()
{
  if (mRequestStarted && !mClosing) {
    Refuse(kRequestTimeout, "the request took too long to arrive");
    Process();
    return;
  }
  const time_point now = MonotonicNow();
  SampleProgress(now);
  const duration delay = NextCheck(now);
  if (delay > duration::zero()) {
    mStream.StartTimer(delay);
    return;
  }
  if (!mProgress.IsTaken()) {
    NoteAbandoned("not_read");
  }
  mOwner.HandleGone(mId);
}

} // namespace parsleystair
