#include "Parsleystair/Http/HttpServer.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/SystemAddress.h"
#include "Parsleystair/Http/ServerConnection.h"

#include <algorithm>
#include <array>
#include <deque>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unordered_map>

namespace parsleystair {

namespace {

constexpr int kListenBacklog = 1024;
/// Connections that go on with waiting requests in one iteration of the event
/// loop; together with the limit of each connection it bounds the time of one.
constexpr size_t kMaxContinuedConnections = 4;

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
  const concurrency_policy* mPolicy = nullptr;
  http_server_counters mCounters;
  std::unordered_map<connection_id, std::unique_ptr<server_connection>>
    mConnections;
  std::unordered_map<exchange_id, connection_id> mOpen;
  /// Connections with requests that have arrived and wait for their turn.
  std::deque<connection_id> mContinuing;
  timer mContinueTimer;

  state(event_loop& aLoop,
        const http_server_settings& aSettings,
        handler aHandler)
    : mLoop(aLoop)
    , mSettings(aSettings)
    , mHandler(std::move(aHandler))
  {
  }

  void Accept(int aDescriptor, const sockaddr_storage& aPeer);
  exchange_id OpenExchange(connection_id aConnection) override;
  void HandleRequest(exchange_id aExchange, http_request aRequest) override;
  void HandleGone(connection_id aConnection) override;
  void ContinueLater(connection_id aConnection) override;
  http_server_counters& ConnectionCounters() override { return mCounters; }
  void ContinueConnections();
  server_connection* Find(exchange_id aExchange);
  server_connection* Take(exchange_id aExchange);
};

void http_server::state::Accept(int aDescriptor, const sockaddr_storage& aPeer)
{
  const connection_id id(mNextConnection++);
  auto connection = std::make_unique<server_connection>(
    id, mLoop, aDescriptor, mSettings, mPolicy, *this);
  auto [host, port] = ToHostAndPort(aPeer);
  connection->SetPeer(std::move(host), port);
  if (mCloseAfterAnswers) {
    connection->CloseAfterResponses();
  }
  mConnections[id] = std::move(connection);
}

exchange_id http_server::state::OpenExchange(connection_id aConnection)
{
  const exchange_id exchange(mNextExchange++);
  mOpen[exchange] = aConnection;
  return exchange;
}

void http_server::state::HandleRequest(exchange_id aExchange,
                                       http_request aRequest)
{
  mHandler(aExchange, std::move(aRequest));
}

void http_server::state::HandleGone(connection_id aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  std::vector<exchange_id> open = found->second->OwedExchanges();
  mConnections.erase(found);
  // Exchanges that have their response are not open any more.
  std::erase_if(open, [this](exchange_id aExchange) {
    return mOpen.erase(aExchange) == 0;
  });
  for (const exchange_id exchange : open) {
    if (mCloseHandler) {
      mCloseHandler(exchange);
    }
  }
}

void http_server::state::ContinueLater(connection_id aConnection)
{
  mContinuing.push_back(aConnection);
  if (mContinuing.size() == 1) {
    mContinueTimer.StartOnce(
      mLoop, duration::zero(), [this] { ContinueConnections(); });
  }
}

void http_server::state::ContinueConnections()
{
  const size_t count = std::min(mContinuing.size(), kMaxContinuedConnections);
  for (size_t each = 0; each < count; ++each) {
    const auto found = mConnections.find(mContinuing.front());
    // The connection comes last if it has to continue once more. It stays in
    // the list until then, so that its request doesn't start the timer.
    if (found != mConnections.end()) {
      found->second->Continue();
    }
    mContinuing.pop_front();
  }
  if (!mContinuing.empty()) {
    mContinueTimer.StartOnce(
      mLoop, duration::zero(), [this] { ContinueConnections(); });
  }
}

server_connection* http_server::state::Find(exchange_id aExchange)
{
  const auto found = mOpen.find(aExchange);
  return found == mOpen.end() ? nullptr : mConnections.at(found->second).get();
}

server_connection* http_server::state::Take(exchange_id aExchange)
{
  server_connection* connection = Find(aExchange);
  mOpen.erase(aExchange);
  return connection;
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

void http_server::SetConcurrency(const concurrency_policy& aPolicy)
{
  mState->mPolicy = &aPolicy;
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
    connection->Respond(aExchange, aAnswer);
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
  mState->HandleGone(connection);
}

void http_server::StartStream(exchange_id aExchange, const http_response& aHead)
{
  if (server_connection* connection = mState->Find(aExchange)) {
    connection->StartStream(aExchange, aHead);
  }
}

void http_server::SendChunk(exchange_id aExchange, const std::string& aChunk)
{
  if (server_connection* connection = mState->Find(aExchange)) {
    connection->SendChunk(aExchange, aChunk);
  }
}

void http_server::EndStream(exchange_id aExchange)
{
  if (server_connection* connection = mState->Take(aExchange)) {
    connection->EndStream(aExchange);
  }
}

size_t http_server::OpenRequests() const
{
  return mState->mOpen.size();
}

std::vector<exchange_id> http_server::BlockingRequests() const
{
  std::vector<exchange_id> blocking;
  for (const auto& [id, connection] : mState->mConnections) {
    const std::vector<exchange_id> each = connection->BlockingExchanges();
    blocking.insert(blocking.end(), each.begin(), each.end());
  }
  return blocking;
}

const http_server_counters& http_server::Counters() const
{
  return mState->mCounters;
}

void http_server::SetLimits(const http_server_settings& aSettings)
{
  mState->mSettings = aSettings;
}

void http_server::CloseAfterResponses()
{
  mState->mCloseAfterAnswers = true;
  for (const auto& [id, connection] : mState->mConnections) {
    connection->CloseAfterResponses();
  }
}

void http_server::CheckDelivery(time_point aNow)
{
  for (const auto& [id, connection] : mState->mConnections) {
    connection->CheckDelivery(aNow);
  }
}

void http_server::CloseIdle()
{
  std::erase_if(mState->mConnections, [](const auto& aConnection) {
    return aConnection.second->CloseIdle();
  });
}

bool http_server::IsDelivering(time_point aNow) const
{
  return std::any_of(mState->mConnections.begin(),
                     mState->mConnections.end(),
                     [aNow](const auto& aConnection) {
                       return aConnection.second->IsDelivering(aNow);
                     });
}

void http_server::Abandon()
{
  for (const auto& [id, connection] : mState->mConnections) {
    connection->Abandon();
  }
  mState->mOpen.clear();
  mState->mConnections.clear();
}

} // namespace parsleystair
