#include "Parsleystair/Gateway/PeerMessage.h"

#include "Parsleystair/Core/Compression.h"
#include "Parsleystair/Core/Error.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using nlohmann::json;

/// Most values of a message: twenty times those of 5,000 targets.
constexpr size_t kMaxValues = 400'000;

/// Counts the values of a message without keeping them.
class value_counter : public nlohmann::json_sax<json>
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
  bool string(string_t& /*aValue*/) override { return Count(); }
  bool binary(binary_t& /*aValue*/) override { return Count(); }
  bool start_object(std::size_t /*aElements*/) override { return Count(); }
  bool key(string_t& /*aValue*/) override { return Count(); }
  bool end_object() override { return true; }
  bool start_array(std::size_t /*aElements*/) override { return Count(); }
  bool end_array() override { return true; }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::detail::exception& /*aError*/) override
  {
    return false;
  }

private:
  bool Count() { return ++mValues <= kMaxValues; }

  size_t mValues = 0;
};

} // namespace

nlohmann::json ReadCborMessage(const std::string& aCompressed)
{
  const std::string bytes = Decompress(aCompressed, kMaxPeerMessageBytes);
  value_counter counter;
  if (!json::sax_parse(bytes, &counter, json::input_format_t::cbor)) {
    throw parse_error("malformed message, or one with more than " +
                      std::to_string(kMaxValues) + " values");
  }
  return json::from_cbor(bytes);
}

} // namespace parsleystair
