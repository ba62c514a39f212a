#pragma once

#include "Parsleystair/Http/ClientProgress.h"
#include "Parsleystair/Http/HttpServer.h"
#include "Parsleystair/Http/LossDetector.h"
#include "Parsleystair/Http/MessageParser.h"
#include "Parsleystair/Http/SocketStream.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace parsleystair {

/// Names one connection of a server.
using connection_id = strong_id<struct connection_tag, uint64_t>;

/// What a connection asks of its server and tells it.
class server_connection_owner
{
public:
  virtual ~server_connection_owner() = default;

  /// Opens an exchange for the next request of a connection.
  virtual exchange_id OpenExchange(connection_id aConnection) = 0;
  /// May respond to the request, and may remove the connection.
  virtual void HandleRequest(exchange_id aExchange, http_request aRequest) = 0;
  /// The connection has ended and must be removed.
  virtual void HandleGone(connection_id aConnection) = 0;
  /// Asks for a call of `Continue` in another iteration of the event loop.
  virtual void ContinueLater(connection_id aConnection) = 0;

  virtual http_server_counters& ConnectionCounters() = 0;
};

/// One connection of a client to an `http_server`: hands over its requests and
/// sends the responses in the order of the requests. A request that the policy
/// doesn't allow beside others, or any request if there is no policy, is in
/// progress alone.
class server_connection
  : public stream_handler
  , public byte_holder
{
public:
  /// `aPolicy`: null for one request at a time.
  server_connection(connection_id aId,
                    event_loop& aLoop,
                    int aDescriptor,
                    const http_server_settings& aSettings,
                    const concurrency_policy* aPolicy,
                    server_connection_owner& aOwner);

  /// Sends a whole answer to a request in progress, once all earlier ones are
  /// sent.
  void Respond(exchange_id aExchange, const http_response& aAnswer);

  /// Sends the head of a chunked answer, then its chunks and its end.
  void StartStream(exchange_id aExchange, const http_response& aHead);
  void SendChunk(exchange_id aExchange, const std::string& aChunk);
  void EndStream(exchange_id aExchange);

  /// From now on the last owed answer closes the connection, and no request is
  /// handed over while an answer is owed.
  void CloseAfterResponses() { mClosesAfterResponses = true; }

  /// Goes on with requests that have arrived.
  void Continue();

  /// Exchanges whose responses are not sent yet, in order.
  [[nodiscard]] std::vector<exchange_id> OwedExchanges() const;

  /// Exchanges without a response that complete responses wait for.
  [[nodiscard]] std::vector<exchange_id> BlockingExchanges() const;

  /// Checks how far the client has taken the answers. Called again and again
  /// while a shutdown waits for it.
  void CheckDelivery(time_point aNow);

  /// Tells if a client that isn't lost may still need this connection to get
  /// the answers that were written, as of the last `CheckDelivery`.
  [[nodiscard]] bool IsDelivering(time_point aNow) const;

  /// Ends a connection on which no request has started to arrive and no answer
  /// is owed. Returns whether it is to be removed now. A client that has been
  /// slow gets the end of the stream first, and the connection stays until the
  /// client closes it.
  [[nodiscard]] bool CloseIdle();

  /// The process ends. Logs what the client has not got, and leaves no unread
  /// bytes that would reset the connection.
  void Abandon();

  /// Address of the client.
  void SetPeer(std::string aHost, uint16_t aPort);

  // stream_handler
  void HandleBytes(std::string_view aBytes) override;
  void HandleEnd(stream_end aEnd) override;
  void HandleTimeout() override;
  void HandleAllSent() override;

  // byte_holder
  [[nodiscard]] size_t HeldBytes() const override;
  void DropBytes() override;

private:
  /// The response to a request that was handed over.
  struct owed_response
  {
    exchange_id mExchange;
    size_t mRequestBytes = 0;
    bool mHeadOnly = false;
    /// The client closes the connection after this request.
    bool mEndsConnection = false;
    /// Set when the whole answer waits for earlier ones.
    std::optional<http_response> mAnswer;
    /// Head of a chunked answer until it is written, chunks that wait for
    /// earlier answers, and whether all have come.
    std::optional<http_response> mStreamHead;
    std::string mChunks;
    bool mIsStream = false;
    bool mIsStreamEnded = false;

    [[nodiscard]] bool IsWhole() const { return mAnswer || mIsStreamEnded; }
    /// Memory of the parts that wait.
    [[nodiscard]] size_t HeldBytes() const;
  };

  /// A request that was read and may have to wait for others.
  struct read_request
  {
    http_request mRequest;
    bool mEndsConnection = false;
    bool mIsConcurrent = false;
  };

  struct refusal_text
  {
    uint32_t mStatus = 0;
    std::string mReason;
  };

  void CountBytes();
  void Process();
  void FinishTurn();
  bool TakeRequest();
  void ReadRequest();
  void FeedParser();
  void HandOver();
  [[nodiscard]] bool MayStartRequest();
  [[nodiscard]] bool IsOverByteLimit() const;
  [[nodiscard]] size_t OutstandingBytes() const;
  void NoteStop(uint64_t& aCounter);
  [[nodiscard]] size_t UnreadInput() const
  {
    return mInput.size() - mInputStart;
  }
  void DropInput();
  void UpdateReading();

  owed_response& Find(exchange_id aExchange);
  void WriteResponses();
  void WriteAnswer(const http_response& aAnswer);
  void WriteStream(owed_response& aStream);
  void FinishFirst(bool aClose);
  void Refuse(uint32_t aStatus, const std::string& aReason);
  void CloseWhenFlushed();
  [[nodiscard]] bool HasUnsentOutput() const { return mStream.Unsent() > 0; }
  /// Tells if no request is open, none has started to arrive, and all answers
  /// have been handed to the system.
  [[nodiscard]] bool IsIdle() const;
  void Write(std::string_view aBytes);
  void SampleProgress(time_point aNow);
  /// Starts the timer after which the client is checked for the first time.
  void StartProgressTimer();
  /// Time until the client is checked again; zero if the connection ends now.
  [[nodiscard]] duration NextCheck(time_point aNow) const;
  /// Time since the client last did anything on a connection that closes.
  [[nodiscard]] duration Lingering(time_point aNow) const;
  void NoteAbandoned(const char* aReason);

  connection_id mId;
  event_loop& mLoop;
  http_server_settings mSettings;
  const concurrency_policy* mPolicy;
  server_connection_owner& mOwner;
  socket_stream mStream;
  request_parser mParser;
  /// Bytes received; those before `mInputStart` are consumed.
  std::string mInput;
  size_t mInputStart = 0;
  std::string mPeerHost;
  uint16_t mPeerPort = 0;
  client_progress mProgress;
  loss_detector mLossDetector;
  /// The client's system doesn't respond, as of the last `CheckDelivery`.
  bool mIsLost = false;
  std::deque<owed_response> mOwed;
  /// Complete request that is not handed over yet.
  std::optional<read_request> mNext;
  /// Sent after all owed responses.
  std::optional<refusal_text> mRefusal;
  /// The requests in progress allow others beside them.
  bool mIsConcurrent = false;
  bool mClosesAfterResponses = false;
  /// No further request is read.
  bool mReadsNoMore = false;
  bool mSaidContinue = false;
  bool mRequestStarted = false;
  /// The last answer is written, and input is dropped.
  bool mClosing = false;
  /// The client has closed its sending side.
  bool mInputEnded = false;
  time_point mClosingSince;
  time_point mLastInputAt;
  bool mIsReading = true;
  /// A bound has stopped the connection and is counted.
  bool mIsStopped = false;
  bool mIsProcessing = false;
  bool mContinuesLater = false;
  /// An answer was sent, after which the idle time starts.
  bool mStartsIdleTime = false;
  /// Expires with the connection.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace parsleystair
