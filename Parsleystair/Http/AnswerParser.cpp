#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Http/CollectingParser.h"
#include "Parsleystair/Http/MessageParser.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr uint32_t kFirstStatus = 100;
constexpr uint32_t kSwitchingProtocols = 101;
constexpr uint32_t kFirstFinalStatus = 200;
constexpr uint32_t kLastStatus = 599;
/// Longest head of an answer, in bytes, together with interim answers, chunk
/// extensions and trailers; above what servers send in practice.
constexpr uint32_t kMaxAnswerHeaderBytes = 64 * 1024;
/// Longest framing of a chunk without extensions, in bytes: a size of eight
/// digits and two line ends.
constexpr uint32_t kChunkFramingBytes = 12;

} // namespace

struct answer_parser::state
{
  std::unique_ptr<collecting_parser<false>> mParser;
  uint32_t mMaxBodyBytes = 0;
  bool mToHead = false;
  bool mFailed = false;
  bool mTooLong = false;
  bool mStarted = false;
  bool mHeadChecked = false;
  /// Bytes consumed, with those of interim answers.
  uint64_t mConsumed = 0;

  void Start()
  {
    mHeadChecked = false;
    mParser = std::make_unique<collecting_parser<false>>();
    mParser->header_limit(kMaxAnswerHeaderBytes);
    mParser->body_limit(mMaxBodyBytes);
    mParser->eager(false);
    mParser->skip(mToHead);
  }

  /// Tells if the bytes that are no body exceed the limit. `aWaiting`: number
  /// of bytes that are not consumed yet.
  [[nodiscard]] bool IsOverLimit(size_t aWaiting) const
  {
    const uint64_t allowed = kMaxAnswerHeaderBytes +
                             mParser->mContent.mBody.size() +
                             mParser->mChunks * kChunkFramingBytes;
    return mConsumed + aWaiting > allowed;
  }

  /// Tells if a head means something that can't be read here. Statuses outside
  /// of the classes of RFC 9110 section 15 come from servers in trouble.
  [[nodiscard]] bool IsUnreadable() const
  {
    const auto& headers = mParser->mContent.mHeaders;
    const uint32_t status = mParser->mStatus;
    return status < kFirstStatus || status > kLastStatus ||
           status == kSwitchingProtocols ||
           std::any_of(
             headers.begin(), headers.end(), [](const http_header& aHeader) {
               return SameHeaderName(aHeader.mName, "transfer-encoding") &&
                      !SameHeaderName(aHeader.mValue, "chunked");
             });
  }

  /// Checks what Beast leaves to its users.
  void Check(size_t aWaiting)
  {
    if (mParser->is_header_done() && !mHeadChecked) {
      mHeadChecked = true;
      mFailed = mFailed || IsUnreadable();
    }
    mFailed = mFailed || IsOverLimit(aWaiting);
  }
};

answer_parser::answer_parser(uint32_t aMaxBodyBytes, bool aToHead)
  : mState(std::make_unique<state>())
{
  mState->mMaxBodyBytes = aMaxBodyBytes;
  mState->mToHead = aToHead;
  mState->Start();
}

answer_parser::~answer_parser() = default;
answer_parser::answer_parser(answer_parser&&) noexcept = default;
answer_parser& answer_parser::operator=(answer_parser&&) noexcept = default;

size_t answer_parser::Feed(std::string_view aBytes)
{
  size_t consumed = 0;
  while (State() == parse_state::kIncomplete) {
    boost::system::error_code failure;
    const size_t used =
      FeedParser(*mState->mParser, aBytes.substr(consumed), failure);
    consumed += used;
    mState->mConsumed += used;
    mState->mStarted = mState->mStarted || !aBytes.empty();
    // What is left when nothing more is consumed is part of a head, a chunk
    // header or the trailers.
    mState->mFailed = static_cast<bool>(failure);
    mState->mTooLong = failure == boost::beast::http::error::body_limit;
    mState->Check(used == 0 ? aBytes.size() - consumed : 0);
    if (mState->mFailed) {
      break;
    }
    const bool interim = mState->mParser->is_done() &&
                         mState->mParser->mStatus < kFirstFinalStatus;
    if (interim) {
      mState->Start();
      continue;
    }
    if (used == 0) {
      break;
    }
  }
  return consumed;
}

void answer_parser::FeedEnd()
{
  if (State() != parse_state::kIncomplete) {
    return;
  }
  if (!mState->mParser->is_header_done()) {
    mState->mFailed = true;
    return;
  }
  boost::system::error_code failure;
  mState->mParser->put_eof(failure);
  mState->mFailed = static_cast<bool>(failure) || !mState->mParser->is_done();
}

parse_state answer_parser::State() const
{
  if (mState->mFailed) {
    return parse_state::kFailed;
  }
  const bool done =
    mState->mParser->is_done() && mState->mParser->mStatus >= kFirstFinalStatus;
  return done ? parse_state::kComplete : parse_state::kIncomplete;
}

bool answer_parser::HasStarted() const
{
  return mState->mStarted;
}

bool answer_parser::IsTooLong() const
{
  return mState->mTooLong;
}

bool answer_parser::EndsWithStream() const
{
  return mState->mParser->is_header_done() && mState->mParser->need_eof();
}

std::optional<http_response> answer_parser::Head() const
{
  if (!mState->mParser->is_header_done()) {
    return std::nullopt;
  }
  return http_response{ mState->mParser->mStatus,
                        mState->mParser->mContent.mHeaders,
                        "" };
}

bool answer_parser::EndsConnection() const
{
  return !mState->mParser->keep_alive();
}

size_t answer_parser::HeldBytes() const
{
  return mState->mParser->mContent.HeldBytes();
}

http_response answer_parser::Take()
{
  PARSLEYSTAIR_INVARIANT(State() == parse_state::kComplete);
  collecting_parser<false>& parser = *mState->mParser;
  return { parser.mStatus,
           std::move(parser.mContent.mHeaders),
           std::move(parser.mContent.mBody) };
}

} // namespace parsleystair
