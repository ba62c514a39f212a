#include "Parsleystair/Tasks/OperatorEndpoint.h"

namespace parsleystair {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kNotFound = 404;
constexpr uint32_t kMethodNotAllowed = 405;
constexpr uint32_t kUnavailable = 503;

http_response Text(uint32_t aStatus, std::string aBody)
{
  return { aStatus,
           { { "Content-Type", "text/plain; charset=utf-8" } },
           std::move(aBody) };
}

http_response Json(std::string aBody)
{
  return { kOk, { { "Content-Type", "application/json" } }, std::move(aBody) };
}

http_response Owner(const router_report& aReport, const http_request& aRequest)
{
  const auto service = FindQueryValue(aRequest.mQuery, "service");
  const auto key = FindQueryValue(aRequest.mQuery, "key");
  if (!service || !key) {
    return Text(kBadRequest, "service and key are needed\n");
  }
  std::string body = OwnerJson(aReport, service_name(*service), *key);
  if (body.empty()) {
    return Text(kNotFound, "unknown service " + *service + "\n");
  }
  return Json(std::move(body));
}

} // namespace

operator_endpoint::operator_endpoint(event_loop& aLoop,
                                     const std::string& aHost,
                                     uint16_t aPort,
                                     report_source aSource)
  : mSource(std::move(aSource))
  , mServer(aLoop,
            {},
            [this](exchange_id aExchange, const http_request& aRequest) {
              mServer.Respond(aExchange, Answer(aRequest));
            })
{
  mServer.Listen(aHost, aPort);
}

http_response operator_endpoint::Answer(const http_request& aRequest) const
{
  if (aRequest.mMethod != "GET") {
    return Text(kMethodNotAllowed, "only GET is allowed here\n");
  }
  if (aRequest.mPath == "/healthz") {
    return Text(kOk, "ok\n");
  }
  const router_report report = mSource();
  if (aRequest.mPath == "/readyz") {
    return report.mIsReady ? Text(kOk, "ready\n")
                           : Text(kUnavailable, "not ready\n");
  }
  if (aRequest.mPath == "/metrics") {
    return Text(kOk, MetricsText(report));
  }
  if (aRequest.mPath == "/dump") {
    return Json(DumpJson(report));
  }
  if (aRequest.mPath == "/status") {
    return Json(StatusJson(report));
  }
  if (aRequest.mPath == "/owner") {
    return Owner(report, aRequest);
  }
  return Text(kNotFound, "unknown path\n");
}

} // namespace parsleystair
