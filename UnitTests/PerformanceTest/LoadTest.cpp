#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Http/HttpServer.h"
#include "PerformanceTest/parsleystair_load/LoadRunner.h"
#include "PerformanceTest/parsleystair_load/UuidV7.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <set>

namespace parsleystair {

namespace {

using json = nlohmann::json;

http_response Answer(const std::string& aKey, const std::string& aRequestId)
{
  return { 200,
           {},
           json{ { "key", aKey }, { "requestId", aRequestId } }.dump() };
}

/// The last segment of the path.
std::string KeyOf(const http_request& aRequest)
{
  return aRequest.mPath.substr(aRequest.mPath.rfind('/') + 1);
}

/// Runs each request and counts executions, without any routing.
class fake_router
{
public:
  explicit fake_router(event_loop& aLoop)
    : mServer(aLoop, {}, [this](exchange_id aId, const http_request& aRequest) {
      mServer.Respond(aId, Handle(aRequest));
    })
  {
    mServer.Listen("127.0.0.1", 0);
  }

  [[nodiscard]] endpoint_address Address() const
  {
    return { "127.0.0.1", mServer.Port() };
  }

  http_response Handle(const http_request& aRequest)
  {
    if (aRequest.mPath == "/executions") {
      json executions = json::array();
      for (const auto& [key, count] : mExecutions) {
        executions.push_back({ { "idempotencyKey", key }, { "count", count } });
      }
      return { 200, {}, json{ { "executions", executions } }.dump() };
    }
    ++mRequests;
    const auto key = FindHeader(aRequest.mHeaders, "idempotency-key");
    if (key) {
      ++mExecutions[*key];
    }
    if (mRefuses) {
      return { 503,
               { { "Content-Type", "application/problem+json" } },
               R"({"outcome":"not-run","reason":"overloaded"})" };
    }
    const std::string id =
      FindHeader(aRequest.mHeaders, "request-id").value_or("");
    return Answer(KeyOf(aRequest), mMixesUp ? "another" : id);
  }

  int mRequests = 0;
  bool mRefuses = false;
  bool mMixesUp = false;
  std::map<std::string, int> mExecutions;

private:
  http_server mServer;
};

class load_test : public testing::Test
{
protected:
  load_test()
  {
    mSettings.mRouters = { mFirst.Address(), mSecond.Address() };
    mSettings.mRate = 2000;
    mSettings.mLength = 200ms;
    mSettings.mConnections = 8;
    mSettings.mTimeout = 60s;
    mSettings.mSeed = 20261204;
  }

  json Run(const std::string& aKind)
  {
    load_runner runner(
      mLoop, mSettings, ParseRequestMix(R"({"requests":[)" + aKind + "]}"));
    const load_account& account = runner.Run();
    mHasFindings = account.HasFindings();
    return json::parse(account.WriteJson());
  }

  event_loop mLoop;
  fake_router mFirst{ mLoop };
  fake_router mSecond{ mLoop };
  load_settings mSettings;
  bool mHasFindings = false;
};

constexpr const char* kRead =
  R"({"name":"r","method":"GET","path":"/r/{key}"})";
constexpr const char* kOrder =
  R"({"name":"o","method":"POST","path":"/o/{key}","idempotent":false,)"
  R"("repeatShare":0.3,"body":"{key}"})";

} // namespace

// Guards against requests that are counted twice, under no end, or not at all.
TEST_F(load_test, AccountAddsUp)
{
  const json account = Run(kRead);
  EXPECT_TRUE(account.at("addsUp"));
  EXPECT_FALSE(mHasFindings);
  EXPECT_GT(account.at("sent"), 100);
  EXPECT_EQ(account.at("sent"), mFirst.mRequests + mSecond.mRequests);
  EXPECT_EQ(account.at("answered"), account.at("sent"));
  EXPECT_EQ(account.at("latencyAnswered").at("count"), account.at("sent"));
}

// Guards against arrivals that wait for answers, and against arrivals that the
// cap keeps back and nobody counts.
TEST_F(load_test, CountsWhatItCouldNotSend)
{
  http_server silent(mLoop, {}, [](exchange_id, const http_request&) {});
  silent.Listen("127.0.0.1", 0);
  mSettings.mRouters = { { "127.0.0.1", silent.Port() } };
  mSettings.mTimeout = 300ms;
  mSettings.mMaxWaiting = 5;
  const json account = Run(kRead);
  EXPECT_TRUE(account.at("addsUp"));
  EXPECT_GT(account.at("notStarted"), 100);
  EXPECT_EQ(account.at("unknown").at("timedOut"), account.at("sent"));
}

// Guards against an answer of another request that counts as right.
TEST_F(load_test, FindsWrongAnswers)
{
  mFirst.mMixesUp = true;
  const json account = Run(kRead);
  EXPECT_EQ(account.at("wrongAnswers"), mFirst.mRequests);
  EXPECT_TRUE(mHasFindings);
}

// Guards against runs that are doubled, or run in spite of `not-run`, unseen.
// The fakes run everything, so each repeat is a doubled run.
TEST_F(load_test, FindsDoubledRunsAndFalseRefusals)
{
  mSettings.mTargets = mSettings.mRouters;
  json account = Run(kOrder);
  std::map<std::string, int> sums = mFirst.mExecutions;
  for (const auto& [key, count] : mSecond.mExecutions) {
    sums[key] += count;
  }
  const auto doubled = std::count_if(
    sums.begin(), sums.end(), [](auto& aSum) { return aSum.second > 1; });
  EXPECT_GT(doubled, 10);
  EXPECT_EQ(account.at("executions").at("doubled"), doubled);
  EXPECT_EQ(account.at("executions").at("ran"), sums.size());
  EXPECT_EQ(account.at("executions").at("ranDespiteNotRun"), 0);
  EXPECT_EQ(account.at("wrongAnswers"), 0);
  EXPECT_TRUE(mHasFindings);

  mFirst.mRefuses = mSecond.mRefuses = true;
  account = Run(kOrder);
  EXPECT_GT(account.at("executions").at("ranDespiteNotRun"), 10);
  EXPECT_EQ(
    account.at("refusedByOutcomeAndReason").at("not-run").at("overloaded"),
    account.at("sent"));
}

// Guards against a dead router that swallows the load of the others.
TEST_F(load_test, LeavesOutARouterThatRefusesConnections)
{
  const uint16_t closed = [this] {
    http_server gone(mLoop, {}, [](exchange_id, const http_request&) {});
    gone.Listen("127.0.0.1", 0);
    return gone.Port();
  }();
  mSettings.mRouters[1] = { "127.0.0.1", closed };
  const json account = Run(kRead);
  EXPECT_TRUE(account.at("addsUp"));
  EXPECT_GE(account.at("notConnected"), 1);
  EXPECT_LE(account.at("notConnected"), 8);
  EXPECT_EQ(account.at("answered"), mFirst.mRequests);
}

// Guards against keys drawn with other weights than Zipf's law, or out of
// range.
TEST(ZipfDistribution, FollowsTheLaw)
{
  constexpr int kDraws = 200'000;
  constexpr uint64_t kRanks = 50;
  for (const double exponent : { 0.0, 0.5, 0.99, 1.0, 2.0 }) {
    const zipf_distribution distribution(kRanks, exponent);
    std::mt19937_64 random(20261204);
    std::vector<double> counts(kRanks + 1);
    for (int i = 0; i < kDraws; ++i) {
      const uint64_t rank = distribution(random);
      ASSERT_GE(rank, 1u);
      ASSERT_LE(rank, kRanks);
      counts[rank] += 1;
    }
    double sum = 0;
    for (uint64_t rank = 1; rank <= kRanks; ++rank) {
      sum += std::pow(rank, -exponent);
    }
    for (uint64_t rank = 1; rank <= kRanks; ++rank) {
      const double expected = kDraws * std::pow(rank, -exponent) / sum;
      // Five standard deviations; the seed is fixed.
      EXPECT_NEAR(counts[rank], expected, 5 * std::sqrt(expected) + 1)
        << exponent << " " << rank;
    }
  }
  std::mt19937_64 random(1);
  EXPECT_EQ(zipf_distribution(1, 1.0)(random), 1u);
  EXPECT_LE(zipf_distribution(330'000'000, 0.99)(random), 330'000'000u);
}

// Guards against quantiles that hide slow requests.
TEST(FineHistogram, QuantilesAreWithinOnePercentAndNeverBelow)
{
  fine_histogram histogram;
  EXPECT_EQ(histogram.Quantile(0.99), duration(0));
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(i * 1ms);
  }
  for (const auto& [share, wanted] :
       { std::pair(0.5, 500), std::pair(0.99, 990), std::pair(1.0, 1000) }) {
    const auto quantile = histogram.Quantile(share).count();
    EXPECT_GE(quantile, wanted * 1000);
    EXPECT_LE(quantile, wanted * 1011);
  }
  EXPECT_EQ(histogram.Max(), duration(1s));
  fine_histogram extremes;
  extremes.Add(1us);
  extremes.Add(1h);
  EXPECT_GE(extremes.Quantile(0.5), duration(10us));
  EXPECT_LE(extremes.Quantile(0.5), duration(11us));
  EXPECT_GE(extremes.Quantile(1.0), duration(100s));
}

// Guards against keys whose version, variant or time another parser refuses.
TEST(UuidV7, HasTimeVersionAndVariant)
{
  std::mt19937_64 random(1);
  const std::string uuid =
    MakeUuidV7(wall_time(std::chrono::milliseconds(0x017F22E279B0)), random);
  EXPECT_EQ(uuid.size(), 36u);
  EXPECT_EQ(uuid.substr(0, 15), "017f22e2-79b0-7");
  EXPECT_NE(std::string("89ab").find(uuid[19]), std::string::npos);
  EXPECT_NE(MakeUuidV7({}, random), MakeUuidV7({}, random));
}

// Guards against an answer of the wrong form that counts as right, and against
// a refusal whose outcome is lost.
TEST(AnswerCheck, TellsAnswersRefusalsAndSilenceApart)
{
  operation asked;
  asked.mKey = "k1";
  asked.mRequestIds = { "a", "b" };
  const auto check = [&](http_status aStatus, const http_response& aAnswer) {
    return CheckAnswer(asked, { aStatus, aAnswer, false });
  };
  const auto answered = http_status::kResponded;
  EXPECT_EQ(check(answered, Answer("k1", "b")).mEnd, request_end::kAnswered);
  http_response foreign = Answer("k1", "a");
  foreign.mHeaders = { { "Request-Id", "c" } };
  for (const http_response& wrong : { Answer("k2", "a"),
                                      Answer("k1", "c"),
                                      foreign,
                                      http_response{ 200, {}, "" },
                                      http_response{ 200, {}, "[]" } }) {
    EXPECT_EQ(check(answered, wrong).mEnd, request_end::kWrongAnswer);
  }
  EXPECT_EQ(check(http_status::kNotSent, {}).mEnd, request_end::kNotConnected);
  EXPECT_EQ(check(http_status::kNoResponse, {}).mEnd,
            request_end::kConnectionLost);
  const ended_request refused =
    check(answered,
          { 409,
            { { "content-type", "application/problem+json" } },
            R"({"outcome":5})" });
  EXPECT_EQ(refused.mEnd, request_end::kRefused);
  EXPECT_EQ(refused.mOutcome, "missing");
  EXPECT_TRUE(MayHaveRun(refused));
  ended_request notRun = refused;
  notRun.mOutcome = "not-run";
  EXPECT_FALSE(MayHaveRun(notRun));
  EXPECT_FALSE(MayHaveRun(check(http_status::kNotSent, {})));
}

// Guards against a wrong argument that is taken, or an error that doesn't name
// it.
TEST(LoadSettings, WrongArgumentsAreNamed)
{
  const std::vector<const char*> right = {
    "load", "--router", "[::1]:80", "--mix", "f"
  };
  const auto parse = [](const std::vector<const char*>& aArguments) {
    return ParseLoadArguments(static_cast<int>(aArguments.size()),
                              aArguments.data());
  };
  EXPECT_EQ(parse(right).mRouters.at(0), (endpoint_address{ "::1", 80 }));
  for (const auto& [name, value] :
       std::vector<std::pair<const char*, const char*>>{
         { "--router", "host" },
         { "--target", "a:0" },
         { "--rate", "nan" },
         { "--rate", "-1" },
         { "--seconds", "0" },
         { "--connections", "1e9" },
         { "--timeout-ms", "" },
         { "--hot", "1001" },
         { "--hot-share", "1.1" },
         { "--seed", "0x1" } }) {
    std::vector<const char*> arguments = right;
    arguments.insert(arguments.end(), { name, value });
    try {
      parse(arguments);
      ADD_FAILURE() << name << " " << value;
    } catch (const value_error& failure) {
      EXPECT_EQ(failure.Path(), name);
      EXPECT_EQ(failure.Value(), value);
    }
  }
  EXPECT_THROW(parse({ "load", "--mix", "f" }), value_error);
  EXPECT_THROW(parse({ "load", "--nonsense" }), value_error);
}

// Guards against a mix that is read in part or with a typing error.
TEST(RequestMix, WrongMembersAreNamed)
{
  const std::string start = R"({"name":"r","method":"GET","path":"/r")";
  for (const auto& [member, path] :
       std::vector<std::pair<std::string, std::string>>{
         { R"(,"shares":1)", "mix.requests[0].shares" },
         { R"(,"share":-1)", "mix.requests[0].share" },
         { R"(,"repeatShare":0.5)", "mix.requests[0].repeatShare" },
         { R"(,"headers":{"a":1})", "mix.requests[0].headers" },
         { R"(,"share":0)", "mix.requests" } }) {
    try {
      ParseRequestMix(R"({"requests":[)" + start + member + "}]}");
      ADD_FAILURE() << member;
    } catch (const value_error& failure) {
      EXPECT_EQ(failure.Path(), path);
    }
  }
  for (const char* wrong :
       { "", "[]", R"({"requests":[]})", R"({"requests":[5]})" }) {
    EXPECT_THROW(ParseRequestMix(wrong), value_error) << wrong;
  }
}

} // namespace parsleystair
