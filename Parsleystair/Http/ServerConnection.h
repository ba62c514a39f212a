#pragma once

#include "Parsleystair/Http/HttpServer.h"
#include "Parsleystair/Http/MessageParser.h"
#include "Parsleystair/Http/SocketStream.h"

namespace parsleystair {

/// Names one connection of a server.
using connection_id = strong_id<struct connection_tag, uint64_t>;

/// What a connection tells its server. Each function may remove the
/// connection.
class server_connection_owner
{
public:
  virtual ~server_connection_owner() = default;

  virtual void HandleRequest(connection_id aConnection,
                             http_request aRequest) = 0;
  /// The connection has ended and must be removed.
  virtual void HandleGone(connection_id aConnection) = 0;
};

/// One connection of a client to an `http_server`: reads a request, waits for
/// its answer, reads the next.
class server_connection
  : public stream_handler
  , public byte_holder
{
public:
  server_connection(connection_id aId,
                    event_loop& aLoop,
                    int aDescriptor,
                    const http_server_settings& aSettings,
                    server_connection_owner& aOwner);

  /// Sends a whole answer to the open request. `aClose` closes the connection
  /// afterwards.
  void Respond(const http_response& aAnswer, bool aClose);

  /// Sends the head of a chunked answer, then its chunks and its end.
  void StartStream(const http_response& aHead);
  void SendChunk(const std::string& aChunk);
  void EndStream();

  /// Tells if no request is open, none has started to arrive, and all answers
  /// have been sent.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] bool HasUnsentOutput() const { return mStream.Unsent() > 0; }

  /// Address of the client.
  void SetPeer(std::string aHost, uint16_t aPort);

  // stream_handler
  void HandleBytes(std::string_view aBytes) override;
  void HandleEnd(stream_end aEnd) override;
  void HandleTimeout() override;

  // byte_holder
  [[nodiscard]] size_t HeldBytes() const override;
  void DropBytes() override;

private:
  void CountBytes();
  void ReadNext();
  void Refuse(uint32_t aStatus, const std::string& aReason);
  void FinishAnswer(bool aClose);
  void CloseWhenFlushed();
  /// Starts the timer that ends the connection unless the client has read
  /// output by then.
  void StartSendTimer(duration aDelay);

  connection_id mId;
  event_loop& mLoop;
  http_server_settings mSettings;
  server_connection_owner& mOwner;
  socket_stream mStream;
  request_parser mParser;
  std::string mInput;
  std::string mPeerHost;
  uint16_t mPeerPort = 0;
  size_t mUnacknowledgedAtTimerStart = 0;
  bool mAwaitsAnswer = false;
  bool mEndsAfterAnswer = false;
  bool mSaidContinue = false;
  bool mRequestStarted = false;
  bool mClosing = false;
  bool mHeadOnly = false;
};

} // namespace parsleystair
