#include "Parsleystair/Gateway/OwnerFeed.h"

#include "Parsleystair/Core/Compression.h"

#include <gtest/gtest.h>

namespace parsleystair {

// Guards against a router that stops polling for owners forever when the peer
// that it picks after failed polls is the router that it polled before. Found
// by gateway_soak, seed 8.
TEST(OwnerFeedClient, PollsAgainWhenTheOnlyPeerFailed)
{
  constexpr size_t kFailedPolls = 5;
  event_loop loop;
  size_t polls = 0;
  std::unique_ptr<http_server> server;
  server = std::make_unique<http_server>(
    loop,
    http_server_settings{},
    [&](exchange_id aExchange, const http_request&) {
      const bool fails = ++polls <= kFailedPolls;
      const owner_records noRecords;
      server->Respond(aExchange,
                      { fails ? 503U : 200U,
                        {},
                        fails ? "" : Compress(EncodeOwnerRecords(noRecords)) });
    });
  server->Listen("127.0.0.1", 0);
  bool answered = false;
  owner_feed_client client(
    loop,
    [] { return owner_revisions(); },
    [&](const owner_records&) {
      answered = true;
      loop.Stop();
    },
    1);
  client.SetPeers({ "127.0.0.1" });
  leader_entry leader;
  leader.mHost = "127.0.0.1";
  leader.mPort = server->Port();
  client.SetSource(leader);
  timer limit;
  limit.StartOnce(loop, 5s, [&] { loop.Stop(); });
  loop.Run();
  EXPECT_TRUE(answered);
}

} // namespace parsleystair
