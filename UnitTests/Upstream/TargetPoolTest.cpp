#include "Parsleystair/Upstream/TargetPool.h"
#include "Parsleystair/Core/Clock.h"
#include "UnitTests/Support/ScriptedTarget.h"

namespace parsleystair {

namespace {

const std::string kRefusal = "HTTP/1.1 503 Service Unavailable\r\n"
                             "Request-Outcome: not-run\r\n"
                             "Content-Length: 0\r\n\r\n";
const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr duration kWork = 50ms;

} // namespace

// Guards against an earlier refusal, written once more on a kept connection,
// that is taken for the refusal of a request that runs.
TEST(TargetPool, RepeatedRefusalIsNotBelieved)
{
  event_loop loop;
  size_t runs = 0;
  bool isFull = true;
  scripted_target target(
    loop, [&](scripted_target::connection& aConnection, const http_request&) {
      if (isFull || aConnection.Requests() > 1) {
        aConnection.Send(kRefusal);
      }
      if (!isFull) {
        ++runs;
        aConnection.SendAfter(kWork, kAnswer);
      }
    });
  constexpr uint32_t kMaxIdle = 4;
  target_pool pool(loop, "127.0.0.1", target.Port(), kMaxIdle);
  const auto send = [&](const std::string& aId) {
    http_request request;
    request.mMethod = "POST";
    request.mPath = "/";
    attempt_result result;
    pool.Send(request, aId, 2s, MonotonicNow(), [&](attempt_result aResult) {
      result = std::move(aResult);
      loop.Stop();
    });
    loop.Run();
    return result.mStatus;
  };
  EXPECT_EQ(send("1"), attempt_status::kRejectedNotRun);
  isFull = false;
  EXPECT_EQ(send("2"), attempt_status::kResponded);
  EXPECT_EQ(runs, 1u);
}

} // namespace parsleystair
