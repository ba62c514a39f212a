#include "Parsleystair/Http/MessageParser.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

constexpr uint32_t kMaxHeader = 4096;
constexpr uint32_t kMaxBody = 1000;

/// Status with which a request is refused; 0 for one that is taken.
uint32_t RefusalOf(const std::string& aBytes)
{
  request_parser parser(kMaxHeader, kMaxBody);
  parser.Feed(aBytes);
  EXPECT_NE(parser.State(), parse_state::kIncomplete) << aBytes;
  return parser.FailureStatus();
}

std::string Get(const std::string& aTarget, const std::string& aFields)
{
  return "GET " + aTarget + " HTTP/1.1\r\n" + aFields + "\r\n";
}

std::string Post(const std::string& aFields, const std::string& aBody)
{
  return "POST / HTTP/1.1\r\nHost: a\r\n" + aFields + "\r\n" + aBody;
}

} // namespace

// Guards against requests that another parser would read differently.
TEST(RequestParser, RefusesAmbiguousRequests)
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<std::pair<std::string, uint32_t>> cases = {
    { Get("/", ""), 400 },
    { Get("/", "Host: a\r\nHost: b\r\n"), 400 },
    { Get("/", "Host: a/b\r\n"), 400 },
    { Get("/", "Host: a\r\nX: \x01\r\n"), 400 },
    { Get("/", "Host: a\r\nX : b\r\n"), 400 },
    { Get("/", "Host: a\nX: b\r\n"), 400 },
    { Get("/%2", "Host: a\r\n"), 400 },
    { Get("/%zz", "Host: a\r\n"), 400 },
    { Get("x", "Host: a\r\n"), 400 },
    { "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 400 },
    { "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
    { "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501 },
    { Post("Content-Length: 3\r\n" + chunked, "0\r\n\r\n"), 400 },
    { Post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 400 },
    { Post("Content-Length: +3\r\n", "abc"), 400 },
    { Post("Content-Length: -1\r\n", ""), 400 },
    { Post("Transfer-Encoding: gzip\r\n", ""), 501 },
    { Post("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"), 501 },
    { Post(chunked, "zz\r\nabc\r\n0\r\n\r\n"), 400 },
    { Post(chunked, "3\r\nabcd\r\n0\r\n\r\n"), 400 },
    { Post("Content-Length: 2000\r\n", ""), 413 },
    { Get("/", "Host: a\r\nX: " + std::string(5000, 'x') + "\r\n"), 431 },
  };
  for (const auto& [bytes, status] : cases) {
    EXPECT_EQ(RefusalOf(bytes), status) << bytes;
  }
}

// Guards against proper requests that are refused.
TEST(RequestParser, TakesProperRequests)
{
  const std::vector<std::string> cases = {
    Get("/a%20b?c=%2F", "Host: a:80\r\nX: b\tc\r\n"),
    Get("http://b/x?y", "Host: a\r\n"),
    Post("Content-Length: 3\r\n", "abc"),
    Post("Transfer-Encoding: chunked\r\n", "3;x=y\r\nabc\r\n0\r\n\r\n"),
    Post("Content-Length: 0\r\n", ""),
    "GET / HTTP/1.0\r\n\r\n",
  };
  for (const std::string& bytes : cases) {
    EXPECT_EQ(RefusalOf(bytes), 0u) << bytes;
  }
}

// Guards against a result that depends on where the stream was cut.
TEST(RequestParser, ReadsTheSameByteByByte)
{
  const std::string bytes =
    Post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  request_parser parser(kMaxHeader, kMaxBody);
  std::string pending;
  for (const char byte : bytes) {
    pending += byte;
    pending.erase(0, parser.Feed(pending));
  }
  ASSERT_EQ(parser.State(), parse_state::kComplete);
  EXPECT_EQ(parser.Take().mBody, "abcde");
  EXPECT_TRUE(pending.empty());
}

// Guards against a second request that is read as part of the first.
TEST(RequestParser, LeavesTheNextRequest)
{
  const std::string next = Get("/two", "Host: a\r\n");
  const std::string bytes = Post("Content-Length: 3\r\n", "abc") + next;
  request_parser parser(kMaxHeader, kMaxBody);
  EXPECT_EQ(bytes.substr(parser.Feed(bytes)), next);
}

// Guards against a host that differs between router and target.
TEST(RequestParser, HostOfAbsoluteTargetCounts)
{
  request_parser parser(kMaxHeader, kMaxBody);
  parser.Feed(Get("http://b/x?y", "Host: a\r\n"));
  const http_request request = parser.Take();
  EXPECT_EQ(FindHeader(request.mHeaders, "host"), "b");
  EXPECT_EQ(request.mTarget, "/x?y");
  EXPECT_EQ(request.mPath, "/x");
}

// Guards against interim answers that are taken for the final one.
TEST(AnswerParser, SkipsInterimAnswers)
{
  answer_parser parser(kMaxBody, false);
  parser.Feed("HTTP/1.1 100 Continue\r\n\r\n"
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_EQ(parser.State(), parse_state::kComplete);
  EXPECT_EQ(parser.Take().mBody, "ok");
}

// Guards against an answer without a length that counts as whole too early.
TEST(AnswerParser, UnframedAnswerEndsWithTheStream)
{
  answer_parser parser(kMaxBody, false);
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nhalf");
  EXPECT_EQ(parser.State(), parse_state::kIncomplete);
  EXPECT_TRUE(parser.EndsWithStream());
  parser.FeedEnd();
  ASSERT_EQ(parser.State(), parse_state::kComplete);
  EXPECT_EQ(parser.Take().mBody, "half");
}

} // namespace parsleystair
