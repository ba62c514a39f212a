#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Http/CollectingParser.h"
#include "Parsleystair/Http/MessageParser.h"

namespace parsleystair {

namespace {

constexpr uint32_t kFirstFinalStatus = 200;
/// Longest header of an answer, in bytes; above what servers send in practice.
constexpr uint32_t kMaxAnswerHeaderBytes = 64 * 1024;

} // namespace

struct answer_parser::state
{
  std::unique_ptr<collecting_parser<false>> mParser;
  uint32_t mMaxBodyBytes = 0;
  bool mToHead = false;
  bool mFailed = false;
  bool mStarted = false;

  void Start()
  {
    mParser = std::make_unique<collecting_parser<false>>();
    mParser->header_limit(kMaxAnswerHeaderBytes);
    mParser->body_limit(mMaxBodyBytes);
    mParser->eager(false);
    mParser->skip(mToHead);
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
    mState->mStarted = mState->mStarted || !aBytes.empty();
    if (failure) {
      mState->mFailed = true;
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

bool answer_parser::EndsWithStream() const
{
  return mState->mParser->is_header_done() && mState->mParser->need_eof();
}

bool answer_parser::EndsConnection() const
{
  return !mState->mParser->keep_alive();
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
