#include "Parsleystair/Http/HttpServer.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Http/EventHttp.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/time.h>
#include <unordered_map>

namespace parsleystair {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kHeaderFieldsTooLarge = 431;
/// evhttp answers 400 above its own limit. It is set to this multiple of ours,
/// so that headers between the two get the status that says what is wrong.
constexpr uint32_t kHeaderSlack = 4;

/// Size of a request's line and headers as sent, in bytes.
size_t HeaderBytes(const http_request& aRequest)
{
  constexpr size_t kLineOverhead = 14;
  constexpr size_t kHeaderOverhead = 4;
  size_t bytes = aRequest.mMethod.size() + aRequest.mPath.size() +
                 aRequest.mQuery.size() + kLineOverhead;
  for (const http_header& header : aRequest.mHeaders) {
    bytes += header.mName.size() + header.mValue.size() + kHeaderOverhead;
  }
  return bytes;
}

/// Tells if a request's framing is ambiguous, so that another parser could see
/// a second request in its body (RFC 9112 section 6.1).
bool HasAmbiguousLength(const std::vector<http_header>& aHeaders)
{
  int lengths = 0;
  int encodings = 0;
  for (const http_header& header : aHeaders) {
    lengths += SameHeaderName(header.mName, "content-length") ? 1 : 0;
    encodings += SameHeaderName(header.mName, "transfer-encoding") ? 1 : 0;
  }
  return lengths + encodings > 1;
}

void RefuseAndClose(evhttp_request* aRequest, int aStatus, const char* aReason)
{
  evhttp_add_header(
    evhttp_request_get_output_headers(aRequest), "Connection", "close");
  evhttp_send_error(aRequest, aStatus, aReason);
}

http_request ReadRequest(evhttp_request* aRequest)
{
  http_request request;
  request.mMethod = MethodName(evhttp_request_get_command(aRequest));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  if (const char* path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr) {
    request.mPath = path;
  }
  if (const char* query =
        uri != nullptr ? evhttp_uri_get_query(uri) : nullptr) {
    request.mQuery = query;
  }
  request.mHeaders = ReadHeaders(evhttp_request_get_input_headers(aRequest));
  request.mBody = TakeBody(evhttp_request_get_input_buffer(aRequest));
  char* host = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  evhttp_connection_get_peer(connection, &host, &port);
  request.mRemoteHost = host != nullptr ? host : "";
  request.mRemotePort = port;
  return request;
}

} // namespace

struct http_server::state
{
  event_loop& mLoop;
  http_server_settings mSettings;
  handler mHandler;
  close_handler mCloseHandler;
  evhttp* mServer = nullptr;
  evhttp_bound_socket* mSocket = nullptr;
  uint16_t mPort = 0;
  uint64_t mNextExchange = 1;
  bool mCloseAfterAnswers = false;
  std::unordered_map<exchange_id, evhttp_request*> mOpen;
  std::unordered_map<evhttp_connection*, exchange_id> mByConnection;

  state(event_loop& aLoop,
        const http_server_settings& aSettings,
        handler aHandler)
    : mLoop(aLoop)
    , mSettings(aSettings)
    , mHandler(std::move(aHandler))
  {
  }

  void Handle(evhttp_request* aRequest);
  void HandleClose(evhttp_connection* aConnection);
  evhttp_request* Take(exchange_id aExchange);
};

void http_server::state::Handle(evhttp_request* aRequest)
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  http_request request = ReadRequest(aRequest);
  if (HasAmbiguousLength(request.mHeaders)) {
    RefuseAndClose(aRequest, HTTP_BADREQUEST, "ambiguous body length");
    return;
  }
  if (HeaderBytes(request) > mSettings.mMaxHeaderBytes) {
    RefuseAndClose(aRequest, kHeaderFieldsTooLarge, "headers too large");
    return;
  }
  const exchange_id exchange(mNextExchange++);
  mOpen[exchange] = aRequest;
  mByConnection[connection] = exchange;
  evhttp_connection_set_closecb(
    connection,
    [](evhttp_connection* aConnection, void* aArgument) {
      static_cast<state*>(aArgument)->HandleClose(aConnection);
    },
    this);
  mHandler(exchange, std::move(request));
}

void http_server::state::HandleClose(evhttp_connection* aConnection)
{
  const auto found = mByConnection.find(aConnection);
  if (found == mByConnection.end()) {
    return;
  }
  const exchange_id exchange = found->second;
  mByConnection.erase(found);
  mOpen.erase(exchange);
  if (mCloseHandler) {
    mCloseHandler(exchange);
  }
}

evhttp_request* http_server::state::Take(exchange_id aExchange)
{
  const auto found = mOpen.find(aExchange);
  if (found == mOpen.end()) {
    return nullptr;
  }
  evhttp_request* request = found->second;
  mOpen.erase(found);
  mByConnection.erase(evhttp_request_get_connection(request));
  return request;
}

http_server::http_server(event_loop& aLoop,
                         const http_server_settings& aSettings,
                         handler aHandler)
  : mState(std::make_unique<state>(aLoop, aSettings, std::move(aHandler)))
{
  mState->mServer = evhttp_new(aLoop.Base());
  if (mState->mServer == nullptr) {
    throw system_error("libevent could not create an HTTP server");
  }
  evhttp* server = mState->mServer;
  evhttp_set_max_headers_size(
    server, static_cast<ev_ssize_t>(aSettings.mMaxHeaderBytes) * kHeaderSlack);
  evhttp_set_max_body_size(server, aSettings.mMaxBodyBytes);
  const timeval timeout = ToTimeval(aSettings.mIdleTimeout);
  evhttp_set_timeout_tv(server, &timeout);
  evhttp_set_allowed_methods(server,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                               EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
    server,
    [](evhttp_request* aRequest, void* aArgument) {
      static_cast<state*>(aArgument)->Handle(aRequest);
    },
    mState.get());
}

http_server::~http_server()
{
  mState->mCloseHandler = nullptr;
  evhttp_free(mState->mServer);
}

void http_server::OnClose(close_handler aHandler)
{
  mState->mCloseHandler = std::move(aHandler);
}

void http_server::Listen(const std::string& aHost, uint16_t aPort)
{
  sockaddr_storage address{};
  int length = sizeof(address);
  const bool isIpv6 = aHost.find(':') != std::string::npos;
  const std::string host = isIpv6 ? "[" + aHost + "]" : aHost;
  // libevent takes no port 0 in the text and means it when there is none.
  const std::string text =
    aPort == 0 ? host : host + ":" + std::to_string(aPort);
  if (evutil_parse_sockaddr_port(
        text.c_str(), reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    throw system_error("not an IP address: " + aHost);
  }
  unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC |
                   LEV_OPT_REUSEABLE | LEV_OPT_DEFERRED_ACCEPT;
  if (mState->mSettings.mReusePort) {
    flags |= LEV_OPT_REUSEABLE_PORT;
  }
  evconnlistener* listener =
    evconnlistener_new_bind(mState->mLoop.Base(),
                            nullptr,
                            nullptr,
                            flags,
                            kListenBacklog,
                            reinterpret_cast<sockaddr*>(&address),
                            length);
  if (listener == nullptr) {
    throw system_error("could not listen on " + text);
  }
  mState->mSocket = evhttp_bind_listener(mState->mServer, listener);
  mState->mPort = LocalPort(evconnlistener_get_fd(listener));
}

uint16_t http_server::Port() const
{
  return mState->mPort;
}

void http_server::StopListening()
{
  if (mState->mSocket != nullptr) {
    evhttp_del_accept_socket(mState->mServer, mState->mSocket);
    mState->mSocket = nullptr;
  }
}

void http_server::Respond(exchange_id aExchange, const http_answer& aAnswer)
{
  evhttp_request* request = mState->Take(aExchange);
  if (request == nullptr) {
    return;
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const http_header& header : aAnswer.mHeaders) {
    evhttp_add_header(headers, header.mName.c_str(), header.mValue.c_str());
  }
  if (mState->mCloseAfterAnswers) {
    evhttp_add_header(headers, "Connection", "close");
  }
  evbuffer_add(evhttp_request_get_output_buffer(request),
               aAnswer.mBody.data(),
               aAnswer.mBody.size());
  evhttp_send_reply(
    request, static_cast<int>(aAnswer.mStatus), nullptr, nullptr);
}

void http_server::Drop(exchange_id aExchange)
{
  evhttp_request* request = mState->Take(aExchange);
  if (request != nullptr) {
    evhttp_connection_free(evhttp_request_get_connection(request));
  }
}

void http_server::StartStream(exchange_id aExchange, const http_answer& aHead)
{
  const auto found = mState->mOpen.find(aExchange);
  if (found == mState->mOpen.end()) {
    return;
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(found->second);
  for (const http_header& header : aHead.mHeaders) {
    evhttp_add_header(headers, header.mName.c_str(), header.mValue.c_str());
  }
  evhttp_send_reply_start(
    found->second, static_cast<int>(aHead.mStatus), nullptr);
}

void http_server::SendChunk(exchange_id aExchange, const std::string& aChunk)
{
  const auto found = mState->mOpen.find(aExchange);
  // A chunk of length 0 would end the stream.
  if (found == mState->mOpen.end() || aChunk.empty()) {
    return;
  }
  evbuffer* buffer = evbuffer_new();
  if (buffer == nullptr) {
    throw system_error("libevent could not create a buffer");
  }
  evbuffer_add(buffer, aChunk.data(), aChunk.size());
  evhttp_send_reply_chunk(found->second, buffer);
  evbuffer_free(buffer);
}

void http_server::EndStream(exchange_id aExchange)
{
  evhttp_request* request = mState->Take(aExchange);
  if (request != nullptr) {
    evhttp_send_reply_end(request);
  }
}

size_t http_server::OpenRequests() const
{
  return mState->mOpen.size();
}

void http_server::CloseAfterAnswers()
{
  mState->mCloseAfterAnswers = true;
}

} // namespace parsleystair
