#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/MessageParser.h"
#include "Parsleystair/Http/SocketStream.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <functional>
#include <gtest/gtest.h>
#include <list>
#include <netinet/in.h>
#include <sys/socket.h>

namespace parsleystair {

/// Target that writes whatever bytes a test's script says, so that a test can
/// play faulty targets. Runs in the loop of the test.
class scripted_target
{
public:
  /// One connection to the target.
  class connection : public stream_handler
  {
  public:
    connection(scripted_target& aTarget, int aDescriptor)
      : mTarget(aTarget)
      , mStream(std::make_unique<socket_stream>(aTarget.mLoop,
                                                aDescriptor,
                                                stream_settings{},
                                                *this))
    {
    }

    /// Number of requests read, with the current one.
    [[nodiscard]] size_t Requests() const { return mRequests; }

    void Send(std::string_view aBytes) { mStream->Write(aBytes); }

    void SendAfter(duration aDelay, const std::string& aBytes)
    {
      mTimers.emplace_back();
      mTimers.back().StartOnce(
        mTarget.mLoop, aDelay, [this, aBytes] { Send(aBytes); });
    }

    /// Closes the connection after all bytes were sent.
    void Finish() { mStream->FinishWriting(); }

    /// Sends bytes again and again until the peer closes the connection.
    void SendEndlessly(const std::string& aBytes, duration aInterval)
    {
      mTimers.emplace_back();
      mTimers.back().StartRepeating(mTarget.mLoop, aInterval, [this, aBytes] {
        if (mStream->Unsent() == 0) {
          mTarget.mEndlessBytes += aBytes.size();
          Send(aBytes);
        }
      });
    }

    // stream_handler
    void HandleBytes(std::string_view aBytes) override
    {
      mInput += aBytes;
      while (!mInput.empty()) {
        mInput.erase(0, mParser.Feed(mInput));
        if (mParser.State() != parse_state::kComplete) {
          return;
        }
        const http_request request = mParser.Take();
        mParser = NewParser();
        ++mRequests;
        mTarget.mScript(*this, request);
      }
    }
    void HandleEnd(stream_end /*aEnd*/) override
    {
      // The stream must not be destroyed within its own event.
      ++mTarget.mClosed;
      mTimers.clear();
      mTimers.emplace_back();
      mTimers.back().StartOnce(mTarget.mLoop, duration::zero(), [this] {
        mTarget.mConnections.remove_if(
          [this](const auto& aEach) { return aEach.get() == this; });
      });
    }
    void HandleTimeout() override {}

  private:
    static request_parser NewParser()
    {
      constexpr uint32_t kMaxBytes = 1024 * 1024;
      return { kMaxBytes, kMaxBytes };
    }

    scripted_target& mTarget;
    std::unique_ptr<socket_stream> mStream;
    request_parser mParser = NewParser();
    std::string mInput;
    size_t mRequests = 0;
    std::list<timer> mTimers;
  };

  /// Called with each whole request.
  using script = std::function<void(connection&, const http_request&)>;

  scripted_target(event_loop& aLoop, script aScript)
    : mLoop(aLoop)
    , mScript(std::move(aScript))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    mListener =
      evconnlistener_new_bind(aLoop.Base(),
                              &scripted_target::HandleAccept,
                              this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                              SOMAXCONN,
                              reinterpret_cast<sockaddr*>(&address),
                              sizeof(address));
    EXPECT_NE(mListener, nullptr);
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(mListener),
                reinterpret_cast<sockaddr*>(&address),
                &length);
    mPort = ntohs(address.sin_port);
  }
  ~scripted_target() { evconnlistener_free(mListener); }
  scripted_target(const scripted_target&) = delete;
  scripted_target& operator=(const scripted_target&) = delete;

  [[nodiscard]] uint16_t Port() const { return mPort; }
  [[nodiscard]] size_t Accepted() const { return mAccepted; }
  /// Connections that the peer has closed.
  [[nodiscard]] size_t Closed() const { return mClosed; }
  /// Bytes handed to the system by `SendEndlessly`.
  [[nodiscard]] size_t EndlessBytes() const { return mEndlessBytes; }
  [[nodiscard]] connection& LastConnection() { return *mConnections.back(); }

private:
  static void HandleAccept(evconnlistener* /*aListener*/,
                           int aDescriptor,
                           sockaddr* /*aAddress*/,
                           int /*aLength*/,
                           void* aSelf)
  {
    auto& self = *static_cast<scripted_target*>(aSelf);
    ++self.mAccepted;
    self.mConnections.push_back(
      std::make_unique<connection>(self, aDescriptor));
  }

  event_loop& mLoop;
  script mScript;
  uint16_t mPort = 0;
  size_t mAccepted = 0;
  size_t mClosed = 0;
  size_t mEndlessBytes = 0;
  evconnlistener* mListener = nullptr;
  std::list<std::unique_ptr<connection>> mConnections;
};

} // namespace parsleystair
