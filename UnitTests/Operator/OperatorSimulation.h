#pragma once

#include "Parsleystair/Core/Mailbox.h"
#include "Parsleystair/Http/HttpServer.h"
#include "Parsleystair/Operator/OperatorCommand.h"
#include "StandIns/standin_platform/PlatformServer.h"

#include <future>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace parsleystair {

/// A platform and a router's operators' address on a thread of their own.
class operator_simulation
{
public:
  operator_simulation()
    : mThread([this] { Serve(); })
  {
    mStarted.get_future().wait();
  }
  ~operator_simulation()
  {
    mInbox->Send([this] { mLoop->Stop(); });
    mThread.join();
  }
  operator_simulation(const operator_simulation&) = delete;
  operator_simulation& operator=(const operator_simulation&) = delete;

  /// Sets the router's answer to a path.
  void Answer(const std::string& aPath, const http_response& aAnswer)
  {
    const std::lock_guard lock(mMutex);
    mAnswers[aPath] = aAnswer;
  }

  /// Requests that the router got, as path?query.
  std::vector<std::string> Requests()
  {
    const std::lock_guard lock(mMutex);
    return mRequests;
  }

  [[nodiscard]] std::string Platform() const
  {
    return "--platform=127.0.0.1:" + std::to_string(mPlatformPort);
  }

  [[nodiscard]] std::string Router() const
  {
    return "--router=127.0.0.1:" + std::to_string(mRouterPort);
  }

private:
  void Serve()
  {
    event_loop loop;
    platform_server_settings settings;
    settings.mPort = 0;
    platform_server platform(loop, settings);
    http_server router(
      loop, {}, [&](exchange_id aExchange, const http_request& aRequest) {
        router.Respond(aExchange, Handle(aRequest));
      });
    router.Listen("127.0.0.1", 0);
    mailbox<std::function<void()>> inbox(
      loop, [](const std::function<void()>& aWork) { aWork(); });
    mLoop = &loop;
    mInbox = &inbox;
    mPlatformPort = platform.Port();
    mRouterPort = router.Port();
    mStarted.set_value();
    loop.Run();
  }

  http_response Handle(const http_request& aRequest)
  {
    const std::lock_guard lock(mMutex);
    mRequests.push_back(aRequest.mPath + "?" + aRequest.mQuery);
    const auto answer = mAnswers.find(aRequest.mPath);
    return answer == mAnswers.end() ? http_response{ 404, {}, "" }
                                    : answer->second;
  }

  std::promise<void> mStarted;
  event_loop* mLoop = nullptr;
  mailbox<std::function<void()>>* mInbox = nullptr;
  uint16_t mPlatformPort = 0;
  uint16_t mRouterPort = 0;
  std::mutex mMutex;
  std::map<std::string, http_response> mAnswers;
  std::vector<std::string> mRequests;
  std::thread mThread;
};

/// What one run of the command gave.
struct command_run
{
  int mCode = 0;
  std::string mOut;
  std::string mError;
};

inline command_run RunCommand(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream errors;
  const int code = RunOperatorCommand(aArguments, out, errors);
  return { code, out.str(), errors.str() };
}

/// Runs with `--json`; the exit code in the object is the real one.
inline nlohmann::json RunJson(std::vector<std::string> aArguments)
{
  aArguments.emplace_back("--json");
  const command_run run = RunCommand(aArguments);
  nlohmann::json document = nlohmann::json::parse(run.mOut);
  if (run.mError.empty() && document.at("exitCode") == run.mCode) {
    return document;
  }
  return { { "error", "not one object with the exit code" } };
}

} // namespace parsleystair
