#pragma once

#include "Parsleystair/Http/HttpServer.h"
#include "review/support-2/Record.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// Stand-in of an upstream. With keys it runs a request only while it holds the
/// request's key by a grant.
class upstream
{
public:
  using run_handler =
    std::function<void(const std::string& aId, const std::string& aUpstream)>;
  /// May change the answer to an order before it is sent.
  using order_filter =
    std::function<void(const parsleystair::http_request& aOrder,
                       parsleystair::http_response& aAnswer)>;

  upstream(parsleystair::event_loop& aLoop,
           record_file& aRecord,
           std::string aName,
           const std::string& aHost,
           bool aKeyed);
  upstream(const upstream&) = delete;
  upstream& operator=(const upstream&) = delete;

  [[nodiscard]] const std::string& Name() const { return mName; }
  [[nodiscard]] uint16_t Port() const { return mServer.Port(); }
  /// Its entry in the store.
  [[nodiscard]] std::string Entry(const std::string& aService,
                                  const std::string& aZone,
                                  const std::string& aState);
  /// Another address in its entry, as of a proxy before it.
  void SetPublicPort(uint16_t aPort) { mPublicPort = aPort; }
  void SetWork(duration aWork) { mWork = aWork; }
  void SetBodyBytes(size_t aBytes) { mBodyBytes = aBytes; }
  void OnRun(run_handler aHandler) { mRunHandler = std::move(aHandler); }
  void SetOrderFilter(order_filter aFilter)
  {
    mOrderFilter = std::move(aFilter);
  }

  [[nodiscard]] bool Holds(uint32_t aKey) const;
  /// Highest fence that it has seen for a key.
  [[nodiscard]] uint64_t FenceOf(uint32_t aKey) const
  {
    return mKeys[aKey].mFence;
  }
  /// Answers that it has given.
  [[nodiscard]] uint64_t Answers() const { return mAnswers; }
  [[nodiscard]] size_t Running() const { return mRunning.size(); }

private:
  struct key_state
  {
    uint64_t mFence = 0;
    time_point mUntil = time_point::min();
  };
  struct running_request
  {
    std::optional<uint32_t> mKey;
    std::unique_ptr<parsleystair::timer> mTimer;
  };
  struct pending_release
  {
    uint32_t mFrom = 0;
    uint32_t mTo = 0;
    parsleystair::http_request mOrder;
  };

  void Handle(parsleystair::exchange_id aExchange,
              const parsleystair::http_request& aRequest);
  void HandleGrant(parsleystair::exchange_id aExchange,
                   const parsleystair::http_request& aOrder);
  void HandleRelease(parsleystair::exchange_id aExchange,
                     const parsleystair::http_request& aOrder);
  void AnswerReleases();
  void Run(parsleystair::exchange_id aExchange,
           const parsleystair::http_request& aRequest);
  void Finish(parsleystair::exchange_id aExchange, const std::string& aId);
  void Answer(parsleystair::exchange_id aExchange,
              const parsleystair::http_response& aAnswer);
  void AnswerOrder(parsleystair::exchange_id aExchange,
                   const parsleystair::http_request& aOrder,
                   parsleystair::http_response aAnswer);

  parsleystair::event_loop& mLoop;
  record_file& mRecord;
  std::string mName;
  std::string mHost;
  bool mKeyed;
  std::optional<uint16_t> mPublicPort;
  duration mWork{};
  size_t mBodyBytes = 200;
  uint64_t mReports = 0;
  uint64_t mBorn;
  uint64_t mAnswers = 0;
  uint64_t mHandovers = 0;
  std::vector<key_state> mKeys;
  std::map<parsleystair::exchange_id, running_request> mRunning;
  std::map<parsleystair::exchange_id, pending_release> mReleases;
  run_handler mRunHandler;
  order_filter mOrderFilter;
  parsleystair::http_server mServer;
};

} // namespace review
