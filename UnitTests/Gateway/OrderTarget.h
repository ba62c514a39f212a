#pragma once

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpMessage.h"
#include "Parsleystair/Http/MessageParser.h"
#include "Parsleystair/Http/SocketStream.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <vector>

namespace parsleystair {

/// Target that records the orders which it receives. The test sends the bytes
/// of the responses, at any time and on any connection.
class order_target
{
public:
  struct received_order
  {
    size_t mConnection = 0;
    http_request mRequest;

    [[nodiscard]] bool IsRelease() const
    {
      return mRequest.mPath == "/api/release";
    }
    [[nodiscard]] std::string Id() const
    {
      return FindHeader(mRequest.mHeaders, "X-Request-Id").value_or("");
    }
  };

  using handler = std::function<void(const received_order&)>;

  explicit order_target(event_loop& aLoop)
    : mLoop(aLoop)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    mListener = evconnlistener_new_bind(
      aLoop.Base(),
      [](evconnlistener*,
         evutil_socket_t aDescriptor,
         sockaddr*,
         int,
         void* aArgument) {
        static_cast<order_target*>(aArgument)->Accept(aDescriptor);
      },
      this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      -1,
      reinterpret_cast<sockaddr*>(&address),
      sizeof(address));
    if (mListener == nullptr) {
      throw system_error("the target can't listen");
    }
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(mListener),
                reinterpret_cast<sockaddr*>(&address),
                &length);
    mPort = ntohs(address.sin_port);
  }

  ~order_target() { evconnlistener_free(mListener); }
  order_target(const order_target&) = delete;
  order_target& operator=(const order_target&) = delete;

  void OnOrder(handler aHandler) { mHandler = std::move(aHandler); }

  /// Sends bytes; does nothing if the connection has ended.
  void Send(size_t aConnection, const std::string& aBytes)
  {
    const auto found = mConnections.find(aConnection);
    if (found != mConnections.end()) {
      found->second->mStream->Write(aBytes);
    }
  }

  /// Closes all connections, like the end of the target's process. New ones are
  /// accepted, as by a process that has replaced it. Not for use in a handler.
  void CloseConnections() { mConnections.clear(); }

  /// The same for one connection.
  void CloseConnection(size_t aConnection) { mConnections.erase(aConnection); }

  /// Reads nothing more from the open connections, like a target behind an
  /// overloaded link.
  void StopReading()
  {
    for (auto& [id, open] : mConnections) {
      open->mStream->SetReading(false);
    }
  }

  /// Text of a response without a body. `aId` is echoed if it isn't empty.
  static std::string Response(uint32_t aStatus, const std::string& aId)
  {
    const std::string id = aId.empty() ? "" : "X-Request-Id: " + aId + "\r\n";
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " Status\r\nContent-Length: 0\r\n" + id + "\r\n";
  }

  [[nodiscard]] uint16_t Port() const { return mPort; }
  [[nodiscard]] const std::vector<received_order>& Orders() const
  {
    return mOrders;
  }
  [[nodiscard]] size_t Releases() const
  {
    size_t count = 0;
    for (const received_order& each : mOrders) {
      count += each.IsRelease() ? 1 : 0;
    }
    return count;
  }

private:
  struct connection : stream_handler
  {
    connection(order_target& aTarget, size_t aId, int aDescriptor)
      : mTarget(aTarget)
      , mId(aId)
      , mStream(std::make_unique<socket_stream>(aTarget.mLoop,
                                                aDescriptor,
                                                stream_settings(),
                                                *this))
    {
    }

    void HandleBytes(std::string_view aBytes) override
    {
      mInput += aBytes;
      while (!mInput.empty()) {
        mInput.erase(0, mParser.Feed(mInput));
        if (mParser.State() != parse_state::kComplete) {
          return;
        }
        received_order order{ mId, mParser.Take() };
        mParser = request_parser(kMaxBytes, kMaxBytes);
        mTarget.mOrders.push_back(order);
        if (mTarget.mHandler) {
          mTarget.mHandler(order);
        }
      }
    }
    void HandleEnd(stream_end) override { mTarget.mConnections.erase(mId); }
    void HandleTimeout() override {}

    static constexpr uint32_t kMaxBytes = 16 * 1024;

    order_target& mTarget;
    size_t mId;
    std::unique_ptr<socket_stream> mStream;
    request_parser mParser{ kMaxBytes, kMaxBytes };
    std::string mInput;
  };

  void Accept(int aDescriptor)
  {
    const size_t id = mNextConnection++;
    mConnections[id] = std::make_unique<connection>(*this, id, aDescriptor);
  }

  event_loop& mLoop;
  evconnlistener* mListener = nullptr;
  uint16_t mPort = 0;
  handler mHandler;
  std::vector<received_order> mOrders;
  size_t mNextConnection = 0;
  std::map<size_t, std::unique_ptr<connection>> mConnections;
};

} // namespace parsleystair
