#include "Parsleystair/Http/HttpConnection.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Http/EventHttp.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

namespace parsleystair {

namespace {

/// Answers without a body by their status (RFC 9112 section 6.3).
bool HasNoBody(uint32_t aStatus, const std::string& aMethod)
{
  constexpr uint32_t kNoContent = 204;
  constexpr uint32_t kNotModified = 304;
  return aMethod == "HEAD" || aStatus == kNoContent || aStatus == kNotModified;
}

/// An answer that ends with its connection can't be told from one that was cut
/// short, so it doesn't count as whole.
bool HasKnownLength(const http_answer& aAnswer, const std::string& aMethod)
{
  return HasNoBody(aAnswer.mStatus, aMethod) ||
         FindHeader(aAnswer.mHeaders, "content-length") ||
         FindHeader(aAnswer.mHeaders, "transfer-encoding");
}

/// Frees a connection from the loop, as evhttp may still use it when its
/// callback returns.
void FreeLater(event_base* aBase, evhttp_connection* aConnection)
{
  const timeval now{};
  event_base_once(
    aBase,
    -1,
    EV_TIMEOUT,
    [](evutil_socket_t, short, void* aArgument) {
      evhttp_connection_free(static_cast<evhttp_connection*>(aArgument));
    },
    aConnection,
    &now);
}

} // namespace

struct http_connection::state
{
  event_loop& mLoop;
  std::string mHost;
  uint16_t mPort;
  uint32_t mMaxBodyBytes;
  evhttp_connection* mConnection = nullptr;
  evhttp_request* mRequest = nullptr;
  std::string mMethod;
  callback mCallback;
  bool mTimedOut = false;
  timer mDeadline;

  state(event_loop& aLoop,
        std::string aHost,
        uint16_t aPort,
        uint32_t aMaxBodyBytes)
    : mLoop(aLoop)
    , mHost(std::move(aHost))
    , mPort(aPort)
    , mMaxBodyBytes(aMaxBodyBytes)
  {
  }

  void Connect();
  void Send(const http_request& aRequest);
  void Handle(evhttp_request* aRequest);
  void Finish(http_result aResult);
  void Close();
};

void http_connection::state::Connect()
{
  if (mConnection != nullptr) {
    return;
  }
  mConnection =
    evhttp_connection_base_new(mLoop.Base(), nullptr, mHost.c_str(), mPort);
  if (mConnection == nullptr) {
    throw system_error("libevent could not create a connection to " + mHost);
  }
  evhttp_connection_set_max_body_size(mConnection, mMaxBodyBytes);
  evhttp_connection_set_retries(mConnection, 0);
}

void http_connection::state::Send(const http_request& aRequest)
{
  mRequest = evhttp_request_new(
    [](evhttp_request* aDone, void* aArgument) {
      static_cast<state*>(aArgument)->Handle(aDone);
    },
    this);
  evkeyvalq* headers = evhttp_request_get_output_headers(mRequest);
  for (const http_header& header : aRequest.mHeaders) {
    evhttp_add_header(headers, header.mName.c_str(), header.mValue.c_str());
  }
  if (!FindHeader(aRequest.mHeaders, "host")) {
    evhttp_add_header(headers, "Host", mHost.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(mRequest),
               aRequest.mBody.data(),
               aRequest.mBody.size());
  std::string uri = aRequest.mPath;
  if (!aRequest.mQuery.empty()) {
    uri += '?';
    uri += aRequest.mQuery;
  }
  evhttp_make_request(
    mConnection, mRequest, MethodFromName(aRequest.mMethod), uri.c_str());
}

void http_connection::state::Handle(evhttp_request* aRequest)
{
  mRequest = nullptr;
  http_result result;
  result.mTimedOut = mTimedOut;
  // evhttp passes null after a failure on an open connection, and the request
  // with status 0 when the connection could not be made.
  if (aRequest == nullptr) {
    Finish(std::move(result));
    return;
  }
  const int status = evhttp_request_get_response_code(aRequest);
  if (status == 0) {
    result.mStatus = http_status::kNotSent;
    Finish(std::move(result));
    return;
  }
  result.mAnswer.mStatus = static_cast<uint32_t>(status);
  result.mAnswer.mHeaders =
    ReadHeaders(evhttp_request_get_input_headers(aRequest));
  result.mAnswer.mBody = TakeBody(evhttp_request_get_input_buffer(aRequest));
  if (HasKnownLength(result.mAnswer, mMethod)) {
    result.mStatus = http_status::kAnswered;
  }
  Finish(std::move(result));
}

void http_connection::state::Finish(http_result aResult)
{
  mDeadline.Cancel();
  if (aResult.mStatus != http_status::kAnswered) {
    Close();
  }
  const callback done = std::move(mCallback);
  mCallback = nullptr;
  if (done) {
    done(std::move(aResult));
  }
}

void http_connection::state::Close()
{
  if (mRequest != nullptr) {
    evhttp_cancel_request(mRequest);
    mRequest = nullptr;
  }
  if (mConnection != nullptr) {
    FreeLater(mLoop.Base(), mConnection);
    mConnection = nullptr;
  }
}

http_connection::http_connection(event_loop& aLoop,
                                 std::string aHost,
                                 uint16_t aPort,
                                 uint32_t aMaxBodyBytes)
  : mState(
      std::make_shared<state>(aLoop, std::move(aHost), aPort, aMaxBodyBytes))
{
}

http_connection::~http_connection()
{
  mState->mCallback = nullptr;
  mState->mDeadline.Cancel();
  mState->Close();
}

void http_connection::Call(const http_request& aRequest,
                           duration aTimeout,
                           callback aCallback)
{
  PARSLEYSTAIR_INVARIANT(!IsBusy());
  mState->mCallback = std::move(aCallback);
  mState->mMethod = aRequest.mMethod;
  mState->mTimedOut = false;
  mState->Connect();
  mState->mDeadline.StartOnce(mState->mLoop, aTimeout, [this] { Abort(true); });
  mState->Send(aRequest);
}

bool http_connection::IsBusy() const
{
  return static_cast<bool>(mState->mCallback);
}

void http_connection::Abort(bool aTimedOut)
{
  // The callback may destroy this object, so the state is kept until the end.
  const std::shared_ptr<state> kept = mState;
  http_result result;
  result.mTimedOut = aTimedOut;
  kept->Finish(std::move(result));
}

} // namespace parsleystair
