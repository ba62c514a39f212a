#include "PerformanceTest/gateway_soak/FaultProxy.h"

#include "Parsleystair/Core/Error.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <unistd.h>
#include <utility>

namespace parsleystair {

namespace {

/// Longer than the round trip between regions by far, shorter than timeouts.
constexpr duration kDelayTime = 80ms;
/// Part of an answer that is passed on before it is cut, in bytes.
constexpr size_t kCutLength = 30;
/// Size and interval of the parts of an endless answer.
constexpr size_t kEndlessFields = 200;
constexpr size_t kEndlessBodyBytes = 64 * 1024;
constexpr duration kEndlessInterval = 5ms;

} // namespace

/// One connection and the one that it is passed on to.
class fault_proxy::passage
{
public:
  passage(fault_proxy& aProxy, int aDescriptor)
    : mProxy(aProxy)
    , mCallerSide(*this, true)
    , mTargetSide(*this, false)
    , mCaller(std::make_unique<socket_stream>(aProxy.mLoop,
                                              aDescriptor,
                                              stream_settings{},
                                              mCallerSide))
    , mTarget(std::make_unique<socket_stream>(aProxy.mLoop,
                                              "127.0.0.1",
                                              aProxy.mTo,
                                              stream_settings{},
                                              mTargetSide))
  {
  }

  void Reset()
  {
    mCaller->ResetOnClose();
    mTarget->ResetOnClose();
  }

private:
  class side : public stream_handler
  {
  public:
    side(passage& aPassage, bool aFromCaller)
      : mPassage(aPassage)
      , mFromCaller(aFromCaller)
    {
    }

    void HandleBytes(std::string_view aBytes) override
    {
      mPassage.Pass(mFromCaller, aBytes);
    }
    void HandleEnd(stream_end) override { mPassage.End(); }
    void HandleTimeout() override {}

  private:
    passage& mPassage;
    bool mFromCaller;
  };

  void Pass(bool aFromCaller, std::string_view aBytes)
  {
    const link_fault fault = mProxy.mFault;
    if (!mSwallowBack) {
      aBytes =
        aFromCaller ? PassRequest(fault, aBytes) : PassAnswer(fault, aBytes);
    }
    const bool swallowed =
      fault == link_fault::kSilence ||
      fault == (aFromCaller ? link_fault::kCutThere : link_fault::kCutBack);
    if (swallowed) {
      // The rest of a stream with a hole would be garbage.
      (aFromCaller ? mSwallowThere : mSwallowBack) = true;
    }
    if (aFromCaller ? mSwallowThere : mSwallowBack) {
      return;
    }
    std::string& held = aFromCaller ? mHeldThere : mHeldBack;
    held += aBytes;
    if (fault != link_fault::kDelay && !mHolding) {
      Flush();
      return;
    }
    if (!mHolding) {
      mHolding = true;
      mTimer.StartOnce(mProxy.mLoop, kDelayTime, [this] { Flush(); });
    }
  }

  /// Plays the faults of a target that sends its last answer again. Returns
  /// the bytes to pass on; so does the next function.
  std::string_view PassRequest(link_fault aFault, std::string_view aBytes)
  {
    if (aFault == link_fault::kRepeatAnswers) {
      mCaller->Write(std::exchange(mLastAnswer, ""));
    }
    return aBytes;
  }

  /// Plays the faults of a target that doesn't end its answers.
  std::string_view PassAnswer(link_fault aFault, std::string_view aBytes)
  {
    mLastAnswer = aBytes;
    if (aFault == link_fault::kCutAnswers) {
      mSwallowBack = true;
      mCaller->Write(aBytes.substr(0, kCutLength));
      mCaller->FinishWriting();
    } else if (aFault == link_fault::kEndlessAnswers) {
      std::string fields;
      for (size_t field = 0; field < kEndlessFields; ++field) {
        fields += "X-Field: without end\r\n";
      }
      AnswerWithoutEnd("HTTP/1.1 200 OK\r\n", fields);
    } else if (aFault == link_fault::kEndlessBodies) {
      AnswerWithoutEnd("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                       std::string(kEndlessBodyBytes, 'x'));
    }
    return aBytes;
  }

  void AnswerWithoutEnd(std::string_view aBeginning,
                        const std::string& aRepeated)
  {
    mSwallowBack = true;
    mCaller->Write(aBeginning);
    mEndless.StartRepeating(mProxy.mLoop, kEndlessInterval, [this, aRepeated] {
      // The router may be paused, and these bytes would fill the memory here.
      if (mCaller->Unsent() == 0) {
        mCaller->Write(aRepeated);
      }
    });
  }

  void Flush()
  {
    mHolding = false;
    mTarget->Write(std::exchange(mHeldThere, ""));
    mCaller->Write(std::exchange(mHeldBack, ""));
  }

  void End()
  {
    mEndless.Cancel();
    Flush();
    // The stream that ended must not be destroyed within its own event.
    mTimer.StartOnce(mProxy.mLoop, duration::zero(), [this] {
      mProxy.mPassages.remove_if(
        [this](const auto& aEach) { return aEach.get() == this; });
    });
  }

  fault_proxy& mProxy;
  side mCallerSide;
  side mTargetSide;
  std::unique_ptr<socket_stream> mCaller;
  std::unique_ptr<socket_stream> mTarget;
  std::string mHeldThere;
  std::string mHeldBack;
  bool mSwallowThere = false;
  bool mSwallowBack = false;
  bool mHolding = false;
  std::string mLastAnswer;
  timer mTimer;
  timer mEndless;
};

fault_proxy::fault_proxy(event_loop& aLoop, uint16_t aTo)
  : mLoop(aLoop)
  , mTo(aTo)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  mListener = evconnlistener_new_bind(aLoop.Base(),
                                      &fault_proxy::HandleAccept,
                                      this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      SOMAXCONN,
                                      reinterpret_cast<sockaddr*>(&address),
                                      sizeof(address));
  if (mListener == nullptr) {
    throw system_error("the proxy can't listen");
  }
  socklen_t length = sizeof(address);
  getsockname(evconnlistener_get_fd(mListener),
              reinterpret_cast<sockaddr*>(&address),
              &length);
  mPort = ntohs(address.sin_port);
}

fault_proxy::~fault_proxy()
{
  evconnlistener_free(mListener);
}

void fault_proxy::HandleAccept(evconnlistener* /*aListener*/,
                               int aDescriptor,
                               sockaddr* /*aAddress*/,
                               int /*aLength*/,
                               void* aSelf)
{
  auto& self = *static_cast<fault_proxy*>(aSelf);
  if (self.mFault == link_fault::kReset) {
    close(aDescriptor);
    return;
  }
  self.mPassages.push_back(std::make_unique<passage>(self, aDescriptor));
}

void fault_proxy::ResetAll()
{
  for (const auto& each : mPassages) {
    each->Reset();
  }
  mPassages.clear();
}

} // namespace parsleystair
