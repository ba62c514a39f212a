#include "Parsleystair/Http/HttpServer.h"
#include "UnitTests/Support/PipelinedClient.h"
#include "UnitTests/Support/RandomActions.h"

#include <deque>
#include <event2/event.h>
#include <map>

namespace parsleystair {

namespace {

constexpr size_t kMaxOwed = 16;

/// What a client sends. The path names the connection and the request.
enum class sent_kind
{
  kConcurrent,
  kExclusive,
  kClosing,
  kMalformed,
};

std::string TextOf(sent_kind aKind, const std::string& aPath)
{
  if (aKind == sent_kind::kMalformed) {
    return "GET / HTTP/1.1\r\nbad field\r\n\r\n";
  }
  const std::string close =
    aKind == sent_kind::kClosing ? "Connection: close\r\n" : "";
  const std::string prefix = aKind == sent_kind::kExclusive ? "/x" : "/c";
  return "GET " + prefix + aPath + " HTTP/1.1\r\nHost: a\r\n" + close + "\r\n";
}

std::string AnswerOf(const std::string& aBody, bool aCloses)
{
  return std::string("HTTP/1.1 200 OK\r\n") +
         (aCloses ? "Connection: close\r\n" : "") +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Model of one connection: which requests are handed over, and what the client
/// receives.
struct connection_model
{
  struct request
  {
    sent_kind mKind = sent_kind::kConcurrent;
    std::string mPath;
  };
  struct owed
  {
    request mRequest;
    std::string mAnswer;
  };

  std::deque<request> mSent;
  std::deque<owed> mOwed;
  std::vector<std::string> mHandedOver;
  std::string mReceived;
  bool mReads = true;
  bool mRefuses = false;
  bool mClosed = false;

  [[nodiscard]] bool MayStart(bool aShutdown) const
  {
    const bool allConcurrent =
      std::all_of(mOwed.begin(), mOwed.end(), [](const owed& aOwed) {
        return aOwed.mRequest.mKind != sent_kind::kExclusive;
      });
    return mOwed.empty() ||
           (allConcurrent && !aShutdown && mOwed.size() < kMaxOwed);
  }

  void Close()
  {
    mClosed = true;
    mReads = false;
    mSent.clear();
  }

  bool Deliver(bool aShutdown)
  {
    if (mOwed.empty() || mOwed.front().mAnswer.empty()) {
      return false;
    }
    const bool closes = mOwed.front().mRequest.mKind == sent_kind::kClosing ||
                        (aShutdown && mOwed.size() == 1 && !mRefuses);
    mReceived += AnswerOf(mOwed.front().mAnswer, closes);
    mOwed.pop_front();
    if (closes) {
      Close();
    }
    return true;
  }

  bool Take(bool aShutdown)
  {
    if (!mReads || mSent.empty() || !MayStart(aShutdown)) {
      return false;
    }
    const request next = mSent.front();
    if (next.mKind == sent_kind::kExclusive && !mOwed.empty()) {
      return false;
    }
    mSent.pop_front();
    if (next.mKind == sent_kind::kMalformed) {
      mReads = false;
      mRefuses = true;
      return false;
    }
    mReads = next.mKind != sent_kind::kClosing;
    mHandedOver.push_back(next.mPath);
    mOwed.push_back({ next, "" });
    return true;
  }

  void Advance(bool aShutdown)
  {
    while (Deliver(aShutdown) || Take(aShutdown)) {
    }
    if (mRefuses && mOwed.empty() && !mClosed) {
      mReceived += "HTTP/1.1 400 ";
      Close();
    }
  }
};

/// Clients of one server, and the model of each.
class pipelining_world : public concurrency_policy
{
public:
  static constexpr size_t kClients = 2;

  pipelining_world()
    : mServer(mLoop, {}, [this](exchange_id aId, const http_request& aRequest) {
      HandleRequest(aId, aRequest);
    })
  {
    mServer.SetConcurrency(*this);
    mServer.OnClose([this](exchange_id aId) {
      mCancelled.push_back(mExchanges.at(aId).second);
    });
    mServer.Listen("127.0.0.1", 0);
    for (size_t index = 0; index < kClients; ++index) {
      Connect(index);
    }
  }

  [[nodiscard]] bool IsConcurrent(const http_request& aRequest) const override
  {
    return aRequest.mPath.starts_with("/c");
  }

  void SendOne(uint32_t aClient, uint32_t aKind)
  {
    client& sender = mClients[aClient % kClients];
    constexpr std::array<sent_kind, 10> kKinds = {
      sent_kind::kConcurrent, sent_kind::kConcurrent, sent_kind::kConcurrent,
      sent_kind::kConcurrent, sent_kind::kConcurrent, sent_kind::kConcurrent,
      sent_kind::kExclusive,  sent_kind::kExclusive,  sent_kind::kClosing,
      sent_kind::kMalformed,
    };
    Send(sender, kKinds[aKind % kKinds.size()]);
    Check();
  }

  /// Sends concurrent requests in one piece, up to more than may be owed.
  void SendMany(uint32_t aClient, uint32_t aCount)
  {
    for (uint32_t each = 0; each < aCount % 24; ++each) {
      Send(mClients[aClient % kClients], sent_kind::kConcurrent);
    }
    Check();
  }

  /// Responds to any exchange of the past, also to those that are over.
  void Respond(uint32_t aExchange, uint32_t /*aUnused*/)
  {
    if (mExchanges.empty()) {
      return;
    }
    auto position = mExchanges.begin();
    std::advance(position, aExchange % mExchanges.size());
    RespondTo(position->first);
    Check();
  }

  void RespondToAll(uint32_t /*aUnused*/, uint32_t /*aUnused2*/)
  {
    const auto exchanges = mExchanges;
    for (const auto& [id, path] : exchanges) {
      RespondTo(id);
    }
    Check();
  }

  void CloseClient(uint32_t aClient, uint32_t /*aUnused*/)
  {
    client& closed = mClients[aClient % kClients];
    std::vector<std::string> expected;
    for (const auto& owed : closed.mModel.mOwed) {
      if (owed.mAnswer.empty()) {
        expected.push_back(owed.mRequest.mPath);
      }
    }
    mCancelled.clear();
    closed.mSocket.reset();
    Turn();
    EXPECT_EQ(mCancelled, expected);
    mCancelled.clear();
    Connect(aClient % kClients);
    Check();
  }

  void Shutdown(uint32_t aChance, uint32_t /*aUnused*/)
  {
    if (aChance % 4 == 0) {
      mShutdown = true;
      mServer.CloseAfterResponses();
      Check();
    }
  }

private:
  struct client
  {
    std::unique_ptr<pipelined_client> mSocket;
    connection_model mModel;
    std::vector<std::string> mHandedOver;
    uint32_t mGeneration = 0;
  };

  void Connect(size_t aIndex)
  {
    client& connected = mClients[aIndex];
    connected.mSocket = std::make_unique<pipelined_client>(mServer.Port());
    connected.mModel = {};
    connected.mHandedOver.clear();
    ++connected.mGeneration;
    Turn();
  }

  void Send(client& aClient, sent_kind aKind)
  {
    const std::string path = "/" + std::to_string(&aClient - mClients.data()) +
                             "/" + std::to_string(aClient.mGeneration) + "/" +
                             std::to_string(++mNextNumber);
    aClient.mSocket->Send(TextOf(aKind, path));
    if (aClient.mModel.mReads) {
      aClient.mModel.mSent.push_back({ aKind, path });
    }
  }

  void HandleRequest(exchange_id aId, const http_request& aRequest)
  {
    const std::string path = aRequest.mPath.substr(2);
    client& sender = mClients[static_cast<size_t>(path[1] - '0')];
    sender.mHandedOver.push_back(path);
    mExchanges[aId] = { &sender, path };
  }

  void RespondTo(exchange_id aId)
  {
    const auto& [sender, path] = mExchanges.at(aId);
    for (auto& owed : sender->mModel.mOwed) {
      if (owed.mRequest.mPath == path && owed.mAnswer.empty()) {
        owed.mAnswer = path;
      }
    }
    sender->mModel.Advance(mShutdown);
    mServer.Respond(aId, { 200, {}, path });
    // The server must not send a second response to the same request.
    mServer.Respond(aId, { 200, {}, "duplicate of " + path });
  }

  void Turn()
  {
    constexpr int kIterations = 12;
    for (int each = 0; each < kIterations; ++each) {
      event_base_loop(mLoop.Base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
  }

  void Check()
  {
    Turn();
    for (client& each : mClients) {
      each.mModel.Advance(mShutdown);
      RC_ASSERT(each.mHandedOver == each.mModel.mHandedOver);
      const std::string& received = each.mSocket->Read();
      RC_ASSERT(each.mSocket->IsClosed() == each.mModel.mClosed);
      // The text of a refusal isn't modelled.
      const std::string& expected = each.mModel.mReceived;
      RC_ASSERT(received.substr(0, expected.size()) == expected);
      RC_ASSERT(received.size() == expected.size() ||
                expected.ends_with("HTTP/1.1 400 "));
    }
    RC_ASSERT(mCancelled.empty());
  }

  event_loop mLoop;
  http_server mServer;
  std::array<client, kClients> mClients;
  std::map<exchange_id, std::pair<client*, std::string>> mExchanges;
  std::vector<std::string> mCancelled;
  uint32_t mNextNumber = 0;
  bool mShutdown = false;
};

} // namespace

// Guards against responses out of order or to another request, against
// requests that are handed over beside one that has to run alone, above the
// bound, or after a closing response, and against a request in progress that
// gets no response though its client stays.
RC_GTEST_PROP(PipeliningState, FollowsTheModel, ())
{
  pipelining_world world;
  RunRandomActions(world,
                   { { "send", 12, &pipelining_world::SendOne },
                     { "send many", 2, &pipelining_world::SendMany },
                     { "respond", 16, &pipelining_world::Respond },
                     { "respond to all", 1, &pipelining_world::RespondToAll },
                     { "close", 2, &pipelining_world::CloseClient },
                     { "shutdown", 1, &pipelining_world::Shutdown } },
                   1);
}

} // namespace parsleystair
