#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace parsleystair {

struct endless_options
{
  /// Sends nothing before a request arrives.
  bool mWaitsForRequest = true;
  /// Time between the beginning and the first of the repeated bytes.
  std::chrono::milliseconds mPause{ 0 };
  /// Requests that must have arrived before any answer is begun.
  size_t mMinRequests = 0;
};

/// Server that answers each request with a beginning and then with the same
/// bytes again and again until the peer closes the connection. Runs in its own
/// thread and keeps none of what it sends.
class endless_server
{
public:
  /// `aRepeated`: a long text, as it is sent in one piece.
  endless_server(std::string aBeginning,
                 std::string aRepeated,
                 const endless_options& aOptions = {})
    : mBeginning(std::move(aBeginning))
    , mRepeated(std::move(aRepeated))
    , mOptions(aOptions)
    , mListener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* any = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(mListener, any, length), 0);
    EXPECT_EQ(listen(mListener, SOMAXCONN), 0);
    EXPECT_EQ(getsockname(mListener, any, &length), 0);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Run(); });
  }
  ~endless_server()
  {
    mStops = true;
    mThread.join();
    for (const peer& each : mPeers) {
      close(each.mDescriptor);
    }
    close(mListener);
  }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  [[nodiscard]] uint16_t Port() const { return mPort; }
  /// Connections to which an answer was begun, at any time.
  [[nodiscard]] size_t Answers() const { return mAnswers; }
  [[nodiscard]] uint64_t SentBytes() const { return mSentBytes; }
  /// Most connections to which answers were sent at the same time.
  [[nodiscard]] size_t MostAnswers() const { return mMostAnswers; }

private:
  struct peer
  {
    int mDescriptor = -1;
    bool mHasRequest = false;
    size_t mPosition = 0;
    bool mIsClosed = false;
    std::chrono::steady_clock::time_point mResumeAt{};

    [[nodiscard]] bool Sends() const
    {
      return mHasRequest && std::chrono::steady_clock::now() >= mResumeAt;
    }
  };

  void Run()
  {
    while (!mStops) {
      std::vector<pollfd> waits{ { mListener, POLLIN, 0 } };
      size_t answers = 0;
      for (const peer& each : mPeers) {
        answers += each.mHasRequest ? 1 : 0;
        const bool sends = mRequests >= mOptions.mMinRequests && each.Sends();
        const int events = sends ? POLLIN | POLLOUT : POLLIN;
        waits.push_back({ each.mDescriptor, static_cast<int16_t>(events), 0 });
      }
      mMostAnswers = std::max<size_t>(mMostAnswers, answers);
      constexpr int kWaitMilliseconds = 10;
      poll(waits.data(), waits.size(), kWaitMilliseconds);
      for (size_t index = 0; index < mPeers.size(); ++index) {
        Serve(mPeers[index], waits[index + 1].revents);
      }
      std::erase_if(mPeers, [](const peer& aPeer) {
        if (aPeer.mIsClosed) {
          close(aPeer.mDescriptor);
        }
        return aPeer.mIsClosed;
      });
      const int accepted =
        accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (accepted >= 0) {
        mPeers.push_back({ accepted, !mOptions.mWaitsForRequest });
        mRequests += mOptions.mWaitsForRequest ? 0 : 1;
      }
    }
  }

  void Serve(peer& aPeer, int aEvents)
  {
    if ((aEvents & POLLIN) != 0) {
      char input[4096]; // NOLINT: filled by recv
      const ssize_t count = recv(aPeer.mDescriptor, input, sizeof(input), 0);
      aPeer.mIsClosed = count == 0 || (count < 0 && errno != EAGAIN);
      mRequests += aPeer.mHasRequest || aPeer.mIsClosed ? 0 : 1;
      aPeer.mHasRequest = true;
    }
    if ((aEvents & (POLLERR | POLLHUP)) != 0) {
      aPeer.mIsClosed = true;
    }
    if (aPeer.mIsClosed || (aEvents & POLLOUT) == 0) {
      return;
    }
    const bool begins = aPeer.mPosition < mBeginning.size();
    const size_t offset =
      begins ? aPeer.mPosition
             : (aPeer.mPosition - mBeginning.size()) % mRepeated.size();
    const std::string& text = begins ? mBeginning : mRepeated;
    const ssize_t count = send(aPeer.mDescriptor,
                               text.data() + offset,
                               text.size() - offset,
                               MSG_NOSIGNAL);
    if (count < 0) {
      aPeer.mIsClosed = errno != EAGAIN;
      return;
    }
    mAnswers += aPeer.mPosition == 0 ? 1 : 0;
    aPeer.mPosition += static_cast<size_t>(count);
    if (aPeer.mPosition == mBeginning.size()) {
      aPeer.mResumeAt = std::chrono::steady_clock::now() + mOptions.mPause;
    }
    mSentBytes += static_cast<uint64_t>(count);
  }

  std::string mBeginning;
  std::string mRepeated;
  endless_options mOptions;
  int mListener;
  uint16_t mPort = 0;
  std::vector<peer> mPeers;
  size_t mRequests = 0;
  std::atomic<bool> mStops = false;
  std::atomic<uint64_t> mSentBytes = 0;
  std::atomic<size_t> mMostAnswers = 0;
  std::atomic<size_t> mAnswers = 0;
  std::thread mThread;
};

} // namespace parsleystair
