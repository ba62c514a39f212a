#include "Parsleystair/Core/Compression.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <array>
#include <zlib.h>

namespace parsleystair {

namespace {

/// First byte of the result: the rest is as given, or in the zlib format
/// (RFC 1950).
constexpr char kStored = 0;
constexpr char kDeflated = 1;
/// Shorter inputs become hardly shorter, and each compression allocates and
/// clears a window of 256 KiB.
constexpr size_t kMinDeflatedBytes = 1024;

/// Frees the state of a decompression on each way out of a function.
class inflater
{
public:
  explicit inflater(std::string_view aInput)
    : mInput(aInput)
  {
    mStream.next_in = reinterpret_cast<Bytef*>(mInput.data());
    mStream.avail_in = static_cast<uInt>(mInput.size());
    const int status = inflateInit(&mStream);
    PARSLEYSTAIR_INVARIANT(status == Z_OK);
  }
  ~inflater() { inflateEnd(&mStream); }
  inflater(const inflater&) = delete;
  inflater& operator=(const inflater&) = delete;

  /// Appends the next bytes; returns false at the end of the input. Throws
  /// `parse_error` if it is malformed.
  bool Append(std::string& aOutput)
  {
    mStream.next_out = reinterpret_cast<Bytef*>(mChunk.data());
    mStream.avail_out = static_cast<uInt>(mChunk.size());
    const int status = inflate(&mStream, Z_NO_FLUSH);
    aOutput.append(mChunk.data(), mChunk.size() - mStream.avail_out);
    if (status == Z_OK) {
      return true;
    }
    if (status != Z_STREAM_END || mStream.avail_in != 0) {
      throw parse_error("malformed compressed bytes");
    }
    return false;
  }

private:
  static constexpr size_t kChunkBytes = 16 * 1024;

  std::string mInput;
  z_stream mStream{};
  std::array<char, kChunkBytes> mChunk{};
};

} // namespace

std::string Compress(std::string_view aBytes)
{
  if (aBytes.size() < kMinDeflatedBytes) {
    return kStored + std::string(aBytes);
  }
  uLongf length = compressBound(aBytes.size());
  std::string result(length + 1, kDeflated);
  const int status = compress2(reinterpret_cast<Bytef*>(result.data() + 1),
                               &length,
                               reinterpret_cast<const Bytef*>(aBytes.data()),
                               aBytes.size(),
                               Z_BEST_SPEED);
  PARSLEYSTAIR_INVARIANT(status == Z_OK);
  result.resize(length + 1);
  return result;
}

std::string Decompress(std::string_view aBytes, size_t aMaxBytes)
{
  if (aBytes.empty() || (aBytes[0] != kStored && aBytes[0] != kDeflated)) {
    throw parse_error("bytes have no known compression");
  }
  std::string result;
  if (aBytes[0] == kStored) {
    result = aBytes.substr(1);
  } else {
    inflater rest(aBytes.substr(1));
    while (result.size() <= aMaxBytes && rest.Append(result)) {
    }
  }
  if (result.size() > aMaxBytes) {
    throw parse_error("compressed bytes hold more than " +
                      std::to_string(aMaxBytes));
  }
  return result;
}

} // namespace parsleystair
