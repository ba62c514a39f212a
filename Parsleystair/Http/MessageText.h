#pragma once

#include "Parsleystair/Http/HttpMessage.h"

#include <string>

namespace parsleystair {

/// Bytes of a whole answer with its length. Framing fields among the headers
/// are left out, as they are written anew. `aHeadOnly` leaves out the body.
std::string AnswerText(const http_response& aAnswer,
                       bool aClose,
                       bool aHeadOnly);

/// Bytes of the head of a chunked answer, and of one chunk.
std::string StreamHeadText(const http_response& aHead, bool aClose);
std::string ChunkText(const std::string& aChunk);

/// Bytes of a request. `aHost` is used when the request has no Host field.
std::string RequestText(const http_request& aRequest, const std::string& aHost);

} // namespace parsleystair
