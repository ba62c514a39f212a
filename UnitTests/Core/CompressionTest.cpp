#include "Parsleystair/Core/Compression.h"

#include "Parsleystair/Core/Error.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

constexpr size_t kMaxBytes = 1'000'000;

} // namespace

// Guards against messages between routers that arrive altered.
TEST(Compression, RoundTrips)
{
  for (const size_t length : { 0, 1, 1023, 1024, 1'000'000 }) {
    std::string bytes;
    for (size_t i = 0; i < length; ++i) {
      bytes += static_cast<char>(i * i % 251);
    }
    const std::string compressed = Compress(bytes);
    EXPECT_EQ(Decompress(compressed, kMaxBytes), bytes);
    EXPECT_LE(compressed.size(), bytes.size() + 1);
  }
}

// Guards against a message that makes a router allocate without bound, or that
// is cut short and read as a whole one.
TEST(Compression, RefusesMalformedAndOversizedInput)
{
  const std::string whole = Compress(std::string(100'000, 'a'));
  EXPECT_THROW(Decompress(whole, 99'999), parse_error);
  EXPECT_THROW(Decompress(Compress("abc"), 2), parse_error);
  EXPECT_THROW(Decompress("", kMaxBytes), parse_error);
  EXPECT_THROW(Decompress("\x07", kMaxBytes), parse_error);
  EXPECT_THROW(Decompress(whole + "a", kMaxBytes), parse_error);
  for (size_t length = 1; length < whole.size(); ++length) {
    EXPECT_THROW(Decompress(whole.substr(0, length), kMaxBytes), parse_error);
  }
}

} // namespace parsleystair
