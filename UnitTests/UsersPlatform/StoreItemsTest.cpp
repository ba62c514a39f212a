#include "Parsleystair/Http/HttpServer.h"
#include "platform/KvStore.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

/// Store that gives prepared responses, one for each call; the last one is
/// repeated.
class prepared_store
{
public:
  prepared_store(event_loop& aLoop, std::vector<std::string> aBodies)
    : mBodies(std::move(aBodies))
    , mServer(aLoop,
              {},
              [this](exchange_id aExchange, http_request aRequest) {
                mQueries.push_back(std::move(aRequest.mQuery));
                const size_t index =
                  std::min(mQueries.size(), mBodies.size()) - 1;
                mServer.Respond(aExchange, { 200, {}, mBodies[index] });
              })
    , mClient(aLoop, "127.0.0.1", Listen())
  {
  }

  [[nodiscard]] platform::kv_store& Client() { return mClient; }
  [[nodiscard]] const std::vector<std::string>& Queries() const
  {
    return mQueries;
  }

private:
  uint16_t Listen()
  {
    mServer.Listen("127.0.0.1", 0);
    return mServer.Port();
  }

  std::vector<std::string> mBodies;
  std::vector<std::string> mQueries;
  http_server mServer;
  platform::kv_store mClient;
};

const std::vector<std::string> kInvalidItems = {
  R"({"key":"p/odd","value":"!!!!","revision":3})",
  R"({"key":"p/odd","value":"YQ=","revision":3})",
  R"({"key":"p/odd","value":7,"revision":3})",
  R"({"key":"p/odd","value":null,"revision":3})",
  R"({"key":"p/odd","revision":3})",
  R"({"key":"p/odd","value":"YQ==","revision":"3"})",
  R"({"key":"p/odd","value":"YQ=="})",
  R"({"key":7,"value":"YQ==","revision":3})",
  R"({})",
  R"([])",
  R"(null)",
  R"("text")",
};

std::vector<std::string> Keys(const prefix_reply& aReply)
{
  std::vector<std::string> keys;
  for (const stored_item& item : aReply.mItems) {
    keys.push_back(item.mKey);
  }
  return keys;
}

prefix_reply Read(event_loop& aLoop, prepared_store& aStore)
{
  prefix_reply result;
  aStore.Client().ReadPrefix("p/", [&](prefix_reply aReply) {
    result = std::move(aReply);
    aLoop.Stop();
  });
  aLoop.Run();
  return result;
}

} // namespace

// Guards against one invalid item that makes all items of a read unusable.
TEST(StoreItems, ReadSkipsInvalidItems)
{
  for (const std::string& item : kInvalidItems) {
    event_loop loop;
    prepared_store store(
      loop,
      { R"({"items":[{"key":"p/a","value":"YQ==","revision":1},)" + item +
        R"(,{"key":"p/z","value":"eg==","revision":2}],"store_revision":9})" });
    const prefix_reply reply = Read(loop, store);
    EXPECT_EQ(reply.mOutcome, call_outcome::kDone) << item;
    EXPECT_EQ(Keys(reply), std::vector<std::string>({ "p/a", "p/z" })) << item;
    EXPECT_EQ(reply.mRevision, store_revision(9)) << item;
  }
}

// Guards against one invalid event that ends the following of a prefix.
TEST(StoreItems, WatchSkipsInvalidEvents)
{
  for (const std::string& item : kInvalidItems) {
    event_loop loop;
    prepared_store store(
      loop,
      { R"({"events":[)" + item +
        R"(,{"key":"p/z","deleted":true,"revision":2}],"store_revision":9})" });
    watch_reply result;
    store.Client().Watch("p/", store_revision(1), 1s, [&](watch_reply aReply) {
      result = std::move(aReply);
      loop.Stop();
    });
    loop.Run();
    EXPECT_EQ(result.mOutcome, call_outcome::kDone) << item;
    ASSERT_EQ(result.mChanges.size(), 1U) << item;
    EXPECT_EQ(result.mChanges[0].mKey, "p/z") << item;
    EXPECT_EQ(result.mRevision, store_revision(9)) << item;
  }
}

// Guards against a page without valid items that is read again and again, and
// against a watch that starts from the revision of a later page.
TEST(StoreItems, PagesContinueAfterInvalidItems)
{
  event_loop loop;
  prepared_store store(
    loop,
    { R"({"items":[{"key":"p/b","value":7,"revision":3}],"has_more":true,)"
      R"("store_revision":5})",
      R"({"items":[{"key":"p/z","value":"eg==","revision":2}],)"
      R"("store_revision":9})" });
  const prefix_reply reply = Read(loop, store);
  EXPECT_EQ(reply.mOutcome, call_outcome::kDone);
  EXPECT_EQ(Keys(reply), std::vector<std::string>({ "p/z" }));
  EXPECT_EQ(reply.mRevision, store_revision(5));
  ASSERT_EQ(store.Queries().size(), 2U);
  EXPECT_NE(store.Queries()[1].find("b"), std::string::npos);
}

} // namespace parsleystair
