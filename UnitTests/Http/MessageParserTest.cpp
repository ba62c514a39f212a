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

// Guards against an answer that was cut anywhere and counts as whole.
TEST(AnswerParser, CutAnswerIsNeverComplete)
{
  const std::string head = "HTTP/1.1 200 OK\r\nServer: a\r\n";
  const std::vector<std::string> answers = {
    head + "Content-Length: 4\r\n\r\nabcd",
    head + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n2\r\ncd\r\n"
           "0\r\nX-Trailer: t\r\n\r\n",
    head + "\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head +
      "Content-Length: 0\r\n\r\n",
  };
  for (const std::string& answer : answers) {
    for (size_t length = 0; length < answer.size(); ++length) {
      answer_parser parser(kMaxBody, false);
      parser.Feed(answer.substr(0, length));
      EXPECT_NE(parser.State(), parse_state::kComplete)
        << answer.substr(0, length);
      EXPECT_FALSE(parser.EndsWithStream()) << answer.substr(0, length);
      parser.FeedEnd();
      EXPECT_EQ(parser.State(), parse_state::kFailed)
        << answer.substr(0, length);
    }
  }
}

// Guards against bytes of another protocol that are read as an answer.
TEST(AnswerParser, RefusesSwitchOfProtocols)
{
  answer_parser parser(kMaxBody, false);
  parser.Feed("HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n");
  EXPECT_EQ(parser.State(), parse_state::kFailed);
}

namespace {

/// Rest of an answer after its status line.
struct answer_rest
{
  const char* mName;
  std::string mText;
  bool mToHead = false;
};

std::vector<answer_rest> AnswerRests()
{
  return {
    { "head only", "Content-Length: 4\r\n\r\n" },
    { "to HEAD", "Content-Length: 4\r\n\r\n", true },
    { "empty", "Content-Length: 0\r\n\r\n" },
    { "length", "Content-Length: 4\r\n\r\nbody" },
    { "chunked", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" },
    { "no length", "Server: s\r\n\r\nbody" },
  };
}

} // namespace

// Guards against statuses outside 100 to 599 that are taken for interim
// answers, so that a call waits until its deadline, or are passed on as an
// answer. The head is enough to tell.
TEST(AnswerParser, RefusesStatusesOutOfRange)
{
  for (const std::string status : { "000",
                                    "001",
                                    "020",
                                    "099",
                                    "600",
                                    "999",
                                    "0",
                                    "20",
                                    "2000",
                                    "-20",
                                    "+20",
                                    "2x0" }) {
    for (const answer_rest& rest : AnswerRests()) {
      answer_parser parser(kMaxBody, rest.mToHead);
      parser.Feed("HTTP/1.1 " + status + " Text\r\n" + rest.mText);
      EXPECT_EQ(parser.State(), parse_state::kFailed)
        << status << ", " << rest.mName;
      parser.FeedEnd();
      EXPECT_EQ(parser.State(), parse_state::kFailed)
        << status << ", " << rest.mName << ", ended";
    }
  }
}

// Guards against a range that leaves out its ends, and against a status out of
// range after an interim answer.
TEST(AnswerParser, TakesStatusesInRange)
{
  const std::string length = "Content-Length: 4\r\n\r\nbody";
  for (const uint32_t status : { 200U, 299U, 300U, 404U, 500U, 599U }) {
    answer_parser parser(kMaxBody, false);
    parser.Feed("HTTP/1.1 " + std::to_string(status) + " Text\r\n" + length);
    ASSERT_EQ(parser.State(), parse_state::kComplete) << status;
    EXPECT_EQ(parser.Take().mStatus, status);
  }
  for (const std::string interim : { "100", "102", "199" }) {
    const std::string head = "HTTP/1.1 " + interim + " Text\r\n\r\n";
    answer_parser parser(kMaxBody, false);
    parser.Feed(head);
    EXPECT_EQ(parser.State(), parse_state::kIncomplete) << interim;
    parser.Feed("HTTP/1.1 200 OK\r\n" + length);
    EXPECT_EQ(parser.State(), parse_state::kComplete) << interim;
    answer_parser wrong(kMaxBody, false);
    wrong.Feed(head + "HTTP/1.1 000 Text\r\n" + length);
    EXPECT_EQ(wrong.State(), parse_state::kFailed) << interim;
  }
}

// Guards against bodies in a coding that this parser does not undo: they would
// be passed on as if they were whole and plain.
TEST(AnswerParser, RefusesUnknownTransferCodings)
{
  for (const std::string coding :
       { "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked" }) {
    answer_parser parser(kMaxBody, false);
    parser.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                "\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    EXPECT_EQ(parser.State(), parse_state::kFailed) << coding;
  }
}

namespace {

/// Feeds `aStart` and then `aPart` again and again, as a connection does.
/// Returns the bytes fed before the parser failed or `aLimit` was reached.
size_t FeedEndlessly(const std::string& aStart,
                     const std::string& aPart,
                     size_t aLimit)
{
  answer_parser parser(kMaxBody, false);
  std::string pending = aStart;
  size_t fed = 0;
  while (fed < aLimit) {
    pending.erase(0, parser.Feed(pending));
    if (parser.State() != parse_state::kIncomplete) {
      EXPECT_EQ(parser.State(), parse_state::kFailed) << aStart << aPart;
      return fed;
    }
    pending += aPart;
    fed += aPart.size();
  }
  return fed;
}

} // namespace

// Guards against heads, interim answers, chunk headers and trailers without
// end, which would fill the memory until the call's deadline.
TEST(AnswerParser, BoundsBytesThatAreNoBody)
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> kinds = {
    { head + "X-Long: ", "x" },
    { head, "X-Field: some value\r\n" },
    { "HTTP/1.1 200 ", "x" },
    { "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
    { chunked, "0" },
    { chunked + "2;", "x" },
    { chunked, "1;" + std::string(500, 'x') + "\r\na\r\n" },
    { chunked, std::string(500, '0') + "1\r\na\r\n" },
    { chunked + "0;", "x" },
    { chunked + "0\r\n", "X-Field: some value\r\n" },
    { chunked + "0\r\nX-Long: ", "x" },
  };
  constexpr size_t kLongestHead = 64 * 1024;
  constexpr size_t kLimit = 1024 * 1024;
  // A byte of a body, and the framing of a chunk without extensions.
  constexpr size_t kPlainChunk = 1 + 12;
  for (const auto& [start, part] : kinds) {
    const size_t fed = FeedEndlessly(start, part, kLimit);
    const bool isChunk = part.ends_with("\r\na\r\n");
    const size_t plain = isChunk ? fed / part.size() * kPlainChunk : 0;
    EXPECT_LE(fed - plain, kLongestHead + part.size())
      << start << part.substr(0, 50);
  }
}

// Guards against a bound on framing that refuses an answer in many small
// chunks.
TEST(AnswerParser, TakesManySmallChunks)
{
  constexpr uint32_t kChunks = 200'000;
  answer_parser parser(kChunks, false);
  parser.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (uint32_t chunk = 0; chunk < kChunks; ++chunk) {
    parser.Feed(chunk == 0 ? "1\r\na" : "\r\n1\r\na");
  }
  parser.Feed("\r\n0\r\n\r\n");
  ASSERT_EQ(parser.State(), parse_state::kComplete);
  EXPECT_EQ(parser.Take().mBody.size(), kChunks);
}

} // namespace parsleystair
