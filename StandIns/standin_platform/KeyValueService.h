#pragma once

#include "Parsleystair/Http/HttpMessage.h"
#include "StandIns/standin_platform/KeyValueCore.h"

namespace parsleystair {

/// Answers the calls of etcd's v3 JSON mapping that have one answer each.
class key_value_service
{
public:
  explicit key_value_service(key_value_core& aCore);

  /// Tells if the service has this path.
  [[nodiscard]] static bool HasPath(const std::string& aPath);

  /// Tells if calls of this path count as writes.
  [[nodiscard]] static bool IsWrite(const std::string& aPath);

  /// Handles a call; a wrong one gets an error of etcd's form.
  http_response Handle(const std::string& aPath,
                       const std::string& aBody,
                       time_point aNow);

private:
  key_value_core& mCore;
};

/// Answer with a JSON body.
http_response JsonAnswer(uint32_t aStatus, std::string aBody);

/// Error of etcd's form; the HTTP status follows from the code.
http_response ErrorAnswer(int aCode, const std::string& aText);

} // namespace parsleystair
