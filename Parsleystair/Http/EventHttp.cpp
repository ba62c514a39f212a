#include "Parsleystair/Http/EventHttp.h"

#include "Parsleystair/Core/Error.h"

#include <array>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace parsleystair {

namespace {

constexpr std::array<std::pair<evhttp_cmd_type, const char*>, 6> kMethods = { {
  { EVHTTP_REQ_GET, "GET" },
  { EVHTTP_REQ_POST, "POST" },
  { EVHTTP_REQ_HEAD, "HEAD" },
  { EVHTTP_REQ_PUT, "PUT" },
  { EVHTTP_REQ_DELETE, "DELETE" },
  { EVHTTP_REQ_PATCH, "PATCH" },
} };

} // namespace

std::string MethodName(evhttp_cmd_type aMethod)
{
  for (const auto& [method, name] : kMethods) {
    if (method == aMethod) {
      return name;
    }
  }
  return "";
}

evhttp_cmd_type MethodFromName(const std::string& aName)
{
  for (const auto& [method, name] : kMethods) {
    if (aName == name) {
      return method;
    }
  }
  throw error("unknown HTTP method " + aName);
}

std::vector<http_header> ReadHeaders(const evkeyvalq* aHeaders)
{
  std::vector<http_header> headers;
  for (const evkeyval* pair = aHeaders->tqh_first; pair != nullptr;
       pair = pair->next.tqe_next) {
    headers.push_back({ pair->key, pair->value });
  }
  return headers;
}

std::string TakeBody(evbuffer* aBuffer)
{
  std::string body(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, body.data(), body.size());
  return body;
}

uint16_t LocalPort(int aDescriptor)
{
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (getsockname(
        aDescriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return 0;
  }
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
  }
  return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

} // namespace parsleystair
