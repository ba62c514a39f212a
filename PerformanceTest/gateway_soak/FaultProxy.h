#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/SocketStream.h"

#include <list>
#include <memory>
#include <string>

struct evconnlistener;
struct sockaddr;

namespace parsleystair {

/// What a proxy does to the bytes that pass it.
enum class link_fault
{
  kNone,
  /// Bytes are held back for a while, in both directions.
  kDelay,
  /// Bytes of one direction, or of both, are swallowed.
  kCutThere,
  kCutBack,
  kSilence,
  /// New connections are reset.
  kReset,
  /// The last answer is sent once more before the next one.
  kRepeatAnswers,
  /// Answers end with their connection within their head.
  kCutAnswers,
  /// Answers have fields without end.
  kEndlessAnswers,
  /// Answers have a body without end.
  kEndlessBodies,
};

/// Passes connections on to another loopback port, with faults.
class fault_proxy
{
public:
  /// Listens on a free port.
  fault_proxy(event_loop& aLoop, uint16_t aTo);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  [[nodiscard]] uint16_t Port() const { return mPort; }

  /// Where new connections go from now on.
  void SetTo(uint16_t aTo) { mTo = aTo; }
  void SetFault(link_fault aFault) { mFault = aFault; }
  /// Resets all open connections.
  void ResetAll();

private:
  class passage;

  static void HandleAccept(evconnlistener* aListener,
                           int aDescriptor,
                           sockaddr* aAddress,
                           int aLength,
                           void* aSelf);

  event_loop& mLoop;
  uint16_t mTo;
  uint16_t mPort = 0;
  link_fault mFault = link_fault::kNone;
  evconnlistener* mListener = nullptr;
  std::list<std::unique_ptr<passage>> mPassages;
};

} // namespace parsleystair
