#include "Parsleystair/Core/Compression.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Gateway/OwnerFeed.h"
#include "Parsleystair/Gateway/PeerReport.h"
#include "Parsleystair/Gateway/PrefixSnapshot.h"
#include "Parsleystair/Gateway/RecordSurvey.h"
#include "Parsleystair/Gateway/WatchHistory.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <random>

// Messages of other routers arrive over a network and may be cut, changed or
// from another release. A handler catches `parse_error`; any other exception
// ends the process.

namespace parsleystair {

namespace {

std::string ToText(const std::vector<uint8_t>& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

/// A message of CBOR arrays that are nested `aLevels` deep.
std::string Nested(size_t aLevels)
{
  return Compress(std::string(aLevels, '\x81') + '\x00');
}

/// Decodes a text; returns whether it could be read.
template<typename Decoder>
bool IsRead(Decoder aDecode, const std::string& aText)
{
  try {
    aDecode(aText);
    return true;
  } catch (const parse_error&) {
    return false;
  }
}

/// Calls a decoder with changed copies of a valid text. Any exception but
/// `parse_error` fails the test.
template<typename Decoder>
void FeedChanged(Decoder aDecode, const std::string& aValid)
{
  ASSERT_TRUE(IsRead(aDecode, aValid));
  constexpr size_t kCopies = 2000;
  constexpr uint32_t kByteValues = 256;
  std::mt19937 random(20261207); // NOLINT: the same copies in each run
  for (size_t copy = 0; copy < kCopies; ++copy) {
    std::string text = aValid;
    const size_t changes = 1 + random() % 3;
    for (size_t change = 0; change < changes && !text.empty(); ++change) {
      const size_t position = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[position] = static_cast<char>(random() % kByteValues);
          break;
        case 1:
          text.resize(position);
          break;
        default:
          text.insert(position, text.substr(position / 2, random() % 20));
      }
    }
    IsRead(aDecode, text);
  }
}

/// The same for the content of a compressed message.
template<typename Decoder>
void FeedChangedContent(Decoder aDecode, const std::string& aValid)
{
  FeedChanged(
    [&](const std::string& aText) { return aDecode(Compress(aText)); },
    Decompress(aValid, aValid.size() * 100));
}

range_record Record()
{
  range_record record;
  record.mNextFence = 8;
  record.mRanges = { { { 0, 99 }, { target_name("t-1"), 5 }, fence(7), "5c" } };
  return record;
}

} // namespace

// Guards against a key that is not UTF-8 in a message of a relay: a service of
// that name would end this router when it encodes the owners.
TEST(PeerMessage, TextsMustBeUtf8)
{
  const std::string key = "owners/a\xff";
  const auto changes = nlohmann::json::to_cbor(
    { { "revision", 5 },
      { "age_us", 0 },
      { "changes", { { { "key", key }, { "revision", 4 } } } } });
  EXPECT_THROW(DecodeWatchReply(Compress(ToText(changes))), parse_error);
  const auto items = nlohmann::json::to_cbor(
    { { "revision", 5 },
      { "items",
        nlohmann::json::array({ nlohmann::json::array(
          { key, nlohmann::json::binary({ 1 }), 4 }) }) } });
  EXPECT_THROW(DecodePrefixReply(Compress(ToText(items))), parse_error);
}

// Guards against nested messages, each level of which takes a part of the
// stack.
TEST(PeerMessage, DepthIsBounded)
{
  EXPECT_THROW(DecodeWatchReply(Nested(300'000)), parse_error);
  EXPECT_THROW(DecodePrefixReply(Nested(300'000)), parse_error);
}

// Guards against exceptions of the JSON library and others that handlers don't
// expect, for changed bytes in each kind of message.
TEST(PeerMessage, ChangedBytesAreOnlyParseErrors)
{
  const watch_reply watch{ call_outcome::kDone,
                           { { "owners/a", "value", store_revision(4) },
                             { "owners/b", std::nullopt, store_revision(5) } },
                           store_revision(5) };
  FeedChanged(DecodeWatchReply, EncodeWatchReply({ watch, 3ms }));
  FeedChangedContent(DecodeWatchReply, EncodeWatchReply({ watch, 3ms }));
  const prefix_reply prefix{ call_outcome::kDone,
                             { { "op/config", "value", store_revision(4) } },
                             store_revision(5) };
  FeedChanged(DecodePrefixReply, EncodePrefixReply(prefix));
  FeedChangedContent(DecodePrefixReply, EncodePrefixReply(prefix));
  FeedChanged(DecodeRangeRecord, EncodeRangeRecord(Record()));
  const owner_records owners{ { service_name("keyed"),
                                { store_revision(4), Record() } } };
  FeedChanged(DecodeOwnerRecords, EncodeOwnerRecords(owners));
  FeedChanged(
    DecodeOwnerRevisions,
    EncodeOwnerRevisions({ { service_name("a"), store_revision(3) } }));
  FeedChanged(DecodeSurveyResponse, EncodeSurveyResponse({ owners, {} }));
  leader_entry leader;
  leader.mVm = vm_name("vm-1");
  leader.mHost = "10.0.0.1";
  FeedChanged(DecodeLeaderEntry, EncodeLeaderEntry(leader));
  leader_terms terms;
  terms.mLeaders = { leader };
  FeedChanged(DecodeLeaderTerms, EncodeLeaderTerms(terms));
  peer_report report;
  report.mRouter.mHost = "10.0.0.1";
  report.mLoad[service_name("keyed")].mCounts[key_bucket(3)] = 5;
  FeedChanged(DecodePeerReport, EncodePeerReport(report));
  report_response response;
  response.mRouters = router_list{ { "10.0.0.1", failure_domain_name("a") } };
  FeedChanged(DecodeReportResponse, EncodeReportResponse(response));
  FeedChangedContent(DecodeReportResponse, EncodeReportResponse(response));
}

} // namespace parsleystair
