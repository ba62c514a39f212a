#pragma once

#include "Parsleystair/Http/HttpMessage.h"

#include <event2/http.h>
#include <string>
#include <vector>

struct evbuffer;
struct evkeyvalq;

namespace parsleystair {

/// Conversions between evhttp's types and ours; for sources of this module.

/// Name of a method in capitals; empty for one that evhttp doesn't know.
std::string MethodName(evhttp_cmd_type aMethod);

/// Throws `error` for a name that evhttp doesn't know.
evhttp_cmd_type MethodFromName(const std::string& aName);

std::vector<http_header> ReadHeaders(const evkeyvalq* aHeaders);

/// Moves all bytes out of a buffer.
std::string TakeBody(evbuffer* aBuffer);

/// Port that a socket is bound to; 0 when that is not known.
uint16_t LocalPort(int aDescriptor);

} // namespace parsleystair
