#include "Parsleystair/Gateway/PeerMessage.h"

#include "Parsleystair/Core/Compression.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Text.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using nlohmann::json;

/// Most values of a message: twenty times those of 5,000 targets.
constexpr size_t kMaxValues = 400'000;

/// Deepest nesting of a message; those of routers have three levels.
constexpr size_t kMaxDepth = 16;

/// Checks what the decoder leaves open, without keeping the values: their
/// number, their depth (the decoder calls itself for each level), and that
/// texts are UTF-8.
class message_checker : public nlohmann::json_sax<json>
{
public:
  bool null() override { return Count(); }
  bool boolean(bool /*aValue*/) override { return Count(); }
  bool number_integer(number_integer_t /*aValue*/) override { return Count(); }
  bool number_unsigned(number_unsigned_t /*aValue*/) override
  {
    return Count();
  }
  bool number_float(number_float_t /*aValue*/,
                    const string_t& /*aText*/) override
  {
    return Count();
  }
  bool string(string_t& aValue) override { return Count() && IsUtf8(aValue); }
  bool binary(binary_t& /*aValue*/) override { return Count(); }
  bool start_object(std::size_t /*aElements*/) override { return Enter(); }
  bool key(string_t& aValue) override { return Count() && IsUtf8(aValue); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*aElements*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::detail::exception& /*aError*/) override
  {
    return false;
  }

private:
  bool Count() { return ++mValues <= kMaxValues; }
  bool Enter() { return Count() && ++mDepth <= kMaxDepth; }
  bool Leave()
  {
    --mDepth;
    return true;
  }

  size_t mValues = 0;
  size_t mDepth = 0;
};

} // namespace

nlohmann::json ReadCborMessage(const std::string& aCompressed)
{
  const std::string bytes = Decompress(aCompressed, kMaxPeerMessageBytes);
  message_checker checker;
  if (!json::sax_parse(bytes, &checker, json::input_format_t::cbor)) {
    throw parse_error("malformed message, one with more than " +
                      std::to_string(kMaxValues) + " values or " +
                      std::to_string(kMaxDepth) +
                      " levels, or with a text that is not UTF-8");
  }
  return json::from_cbor(bytes);
}

} // namespace parsleystair
