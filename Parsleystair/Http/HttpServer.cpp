#include "Parsleystair/Http/HttpServer.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/SystemAddress.h"
#include "Parsleystair/Http/ServerConnection.h"

#include <algorithm>
#include <array>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unordered_map>

namespace parsleystair {

namespace {

constexpr int kListenBacklog = 1024;

/// IP address and port of a socket address.
std::pair<std::string, uint16_t> ToHostAndPort(const sockaddr_storage& aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (aAddress.ss_family == AF_INET6) {
    const auto& address = reinterpret_cast<const sockaddr_in6&>(aAddress);
    evutil_inet_ntop(AF_INET6, &address.sin6_addr, text.data(), text.size());
    return { text.data(), ntohs(address.sin6_port) };
  }
  const auto& address = reinterpret_cast<const sockaddr_in&>(aAddress);
  evutil_inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return { text.data(), ntohs(address.sin_port) };
}

uint16_t LocalPort(int aDescriptor)
{
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (getsockname(
        aDescriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    throw system_error("a listener has no address");
  }
  return ToHostAndPort(address).second;
}

} // namespace

struct http_server::state : server_connection_owner
{
  event_loop& mLoop;
  http_server_settings mSettings;
  handler mHandler;
  close_handler mCloseHandler;
  evconnlistener* mListener = nullptr;
  uint16_t mPort = 0;
  uint64_t mNextConnection = 1;
  uint64_t mNextExchange = 1;
  bool mCloseAfterAnswers = false;
  std::unordered_map<connection_id, std::unique_ptr<server_connection>>
    mConnections;
  std::unordered_map<exchange_id, connection_id> mOpen;
  std::unordered_map<connection_id, exchange_id> mByConnection;

  state(event_loop& aLoop,
        const http_server_settings& aSettings,
        handler aHandler)
    : mLoop(aLoop)
    , mSettings(aSettings)
    , mHandler(std::move(aHandler))
  {
  }

  void Accept(int aDescriptor, const sockaddr_storage& aPeer);
  void HandleRequest(connection_id aConnection, http_request aRequest) override;
  void HandleGone(connection_id aConnection) override;
  server_connection* Find(exchange_id aExchange);
  server_connection* Take(exchange_id aExchange);
};

void http_server::state::Accept(int aDescriptor, const sockaddr_storage& aPeer)
{
  const connection_id id(mNextConnection++);
  auto connection = std::make_unique<server_connection>(
    id, mLoop, aDescriptor, mSettings, *this);
  auto [host, port] = ToHostAndPort(aPeer);
  connection->SetPeer(std::move(host), port);
  mConnections[id] = std::move(connection);
}

void http_server::state::HandleRequest(connection_id aConnection,
                                       http_request aRequest)
{
  const exchange_id exchange(mNextExchange++);
  mOpen[exchange] = aConnection;
  mByConnection[aConnection] = exchange;
  mHandler(exchange, std::move(aRequest));
}

void http_server::state::HandleGone(connection_id aConnection)
{
  mConnections.erase(aConnection);
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

server_connection* http_server::state::Find(exchange_id aExchange)
{
  const auto found = mOpen.find(aExchange);
  return found == mOpen.end() ? nullptr : mConnections.at(found->second).get();
}

server_connection* http_server::state::Take(exchange_id aExchange)
{
  const auto found = mOpen.find(aExchange);
  if (found == mOpen.end()) {
    return nullptr;
  }
  const connection_id connection = found->second;
  mOpen.erase(found);
  mByConnection.erase(connection);
  return mConnections.at(connection).get();
}

http_server::http_server(event_loop& aLoop,
                         const http_server_settings& aSettings,
                         handler aHandler)
  : mState(std::make_unique<state>(aLoop, aSettings, std::move(aHandler)))
{
}

http_server::~http_server()
{
  StopListening();
}

void http_server::OnClose(close_handler aHandler)
{
  mState->mCloseHandler = std::move(aHandler);
}

void http_server::Listen(const std::string& aHost, uint16_t aPort)
{
  system_address address = ParseSystemAddress(aHost, aPort);
  unsigned flags =
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  if (mState->mSettings.mReusePort) {
    flags |= LEV_OPT_REUSEABLE_PORT;
  }
  mState->mListener = evconnlistener_new_bind(
    mState->mLoop.Base(),
    [](evconnlistener*,
       evutil_socket_t aDescriptor,
       sockaddr* aPeer,
       int aLength,
       void* aArgument) {
      sockaddr_storage peer{};
      std::copy_n(reinterpret_cast<const char*>(aPeer),
                  std::min(static_cast<size_t>(aLength), sizeof(peer)),
                  reinterpret_cast<char*>(&peer));
      static_cast<state*>(aArgument)->Accept(aDescriptor, peer);
    },
    mState.get(),
    flags,
    kListenBacklog,
    address.Get(),
    address.mLength);
  if (mState->mListener == nullptr) {
    throw system_error("could not listen on " + aHost + ":" +
                       std::to_string(aPort));
  }
  mState->mPort = LocalPort(evconnlistener_get_fd(mState->mListener));
}

uint16_t http_server::Port() const
{
  return mState->mPort;
}

void http_server::StopListening()
{
  if (mState->mListener != nullptr) {
    evconnlistener_free(mState->mListener);
    mState->mListener = nullptr;
  }
}

void http_server::Respond(exchange_id aExchange, const http_response& aAnswer)
{
  if (server_connection* connection = mState->Take(aExchange)) {
    connection->Respond(aAnswer, mState->mCloseAfterAnswers);
  }
}

void http_server::Drop(exchange_id aExchange)
{
  const auto found = mState->mOpen.find(aExchange);
  if (found == mState->mOpen.end()) {
    return;
  }
  const connection_id connection = found->second;
  mState->mOpen.erase(found);
  mState->mByConnection.erase(connection);
  mState->mConnections.erase(connection);
}

void http_server::StartStream(exchange_id aExchange, const http_response& aHead)
{
  if (server_connection* connection = mState->Find(aExchange)) {
    connection->StartStream(aHead);
  }
}

void http_server::SendChunk(exchange_id aExchange, const std::string& aChunk)
{
  if (server_connection* connection = mState->Find(aExchange)) {
    connection->SendChunk(aChunk);
  }
}

void http_server::EndStream(exchange_id aExchange)
{
  if (server_connection* connection = mState->Take(aExchange)) {
    connection->EndStream();
  }
}

size_t http_server::OpenRequests() const
{
  return mState->mOpen.size();
}

void http_server::SetLimits(const http_server_settings& aSettings)
{
  mState->mSettings = aSettings;
}

void http_server::CloseAfterResponses()
{
  mState->mCloseAfterAnswers = true;
}

void http_server::CloseIdle()
{
  std::erase_if(mState->mConnections, [](const auto& aConnection) {
    return aConnection.second->IsIdle();
  });
}

bool http_server::HasUnsentOutput() const
{
  return std::any_of(mState->mConnections.begin(),
                     mState->mConnections.end(),
                     [](const auto& aConnection) {
                       return aConnection.second->HasUnsentOutput();
                     });
}

} // namespace parsleystair
