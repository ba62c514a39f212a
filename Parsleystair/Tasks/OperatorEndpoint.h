#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Dump/RouterReport.h"
#include "Parsleystair/Http/HttpServer.h"

#include <functional>

namespace parsleystair {

/// Operators' HTTP address: /healthz, /readyz, /metrics, /dump, /status and
/// /owner?service=NAME&key=KEY.
class operator_endpoint
{
public:
  using report_source = std::function<router_report()>;

  /// Throws `system_error` when it can't listen.
  operator_endpoint(event_loop& aLoop,
                    const std::string& aHost,
                    uint16_t aPort,
                    report_source aSource);

  [[nodiscard]] uint16_t Port() const { return mServer.Port(); }

private:
  [[nodiscard]] http_response Answer(const http_request& aRequest) const;

  report_source mSource;
  http_server mServer;
};

} // namespace parsleystair
