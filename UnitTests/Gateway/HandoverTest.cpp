#include "GatewayFixture.h"

// A target that releases keys states a handover, which the leader stores with
// the move and sends to the next owner. A faulty target may state anything
// there. A leader that can't store the value must not end, nor keep the keys
// from the next owner: the next leader would meet the same answer.

namespace parsleystair {

namespace {

class handover_test : public gateway_test
{
protected:
  /// Lets the owner of key 100 leave, with these values in its answers to
  /// releases, and waits until the other target serves the key.
  void MoveKeys(const std::vector<std::string>& aHandovers)
  {
    const gateway_instance& gateway = StartGateway("a");
    EXPECT_TRUE(RunUntil([&] {
      return mTargets.at("keyed-1")->Holds(100) ||
             mTargets.at("keyed-2")->Holds(100);
    }));
    const bool isFirst = mTargets.at("keyed-1")->Holds(100);
    keyed_target& from = *mTargets.at(isFirst ? "keyed-1" : "keyed-2");
    mNewOwner = mTargets.at(isFirst ? "keyed-2" : "keyed-1").get();
    from.SetHandovers(aHandovers);
    mKv.Put(TargetKey(from.Name()), from.Entry("keyed", "draining"));
    EXPECT_TRUE(RunUntil([&] { return mNewOwner->Holds(100); }));
    http_request request = Request("GET", "/history/a", "after");
    request.mHeaders.push_back({ "X-Shard-Key", "100" });
    EXPECT_EQ(Call(gateway, request).mResponse.mStatus, 200U);
  }

  keyed_target* mNewOwner = nullptr;
};

} // namespace

// Guards against handovers that don't reach the next owner, whose keys are slow
// then.
TEST_F(handover_test, HandoverReachesTheNextOwner)
{
  MoveKeys({ "5c0e7a21d94b36f8" });
  EXPECT_EQ(mNewOwner->ReceivedHandover(), "5c0e7a21d94b36f8");
}

// Guards against bytes that are not UTF-8, and so can't be written as JSON: the
// exception ended the leader when it recorded the move.
TEST_F(handover_test, BytesThatAreNotTextMoveKeysWithoutHandover)
{
  MoveKeys({ "5c0e\xff\x80"
             "1d94b36f8" });
  EXPECT_EQ(mNewOwner->ReceivedHandover(), "");
}

// Guards against text that ends within a character.
TEST_F(handover_test, CutCharacterMovesKeysWithoutHandover)
{
  MoveKeys({ "5c0e7a\xc3" });
  EXPECT_EQ(mNewOwner->ReceivedHandover(), "");
}

// Guards against surrogates, which UTF-8 doesn't allow.
TEST_F(handover_test, EncodedSurrogateMovesKeysWithoutHandover)
{
  MoveKeys({ "\xed\xa0\x80" });
  EXPECT_EQ(mNewOwner->ReceivedHandover(), "");
}

// Guards against values that make the record longer than the store allows.
TEST_F(handover_test, LongValueMovesKeysWithoutHandover)
{
  MoveKeys({ std::string(40'000, 'a') });
  EXPECT_EQ(mNewOwner->ReceivedHandover(), "");
}

// Guards against a choice between two values, of which one is wrong.
TEST_F(handover_test, TwoValuesMoveKeysWithoutHandover)
{
  MoveKeys({ "5c0e7a21d94b36f8", "0000000000000000" });
  EXPECT_EQ(mNewOwner->ReceivedHandover(), "");
}

// Guards against a repeated value that is taken for two.
TEST_F(handover_test, EqualValuesAreOne)
{
  MoveKeys({ "5c0e7a21d94b36f8", "5c0e7a21d94b36f8" });
  EXPECT_EQ(mNewOwner->ReceivedHandover(), "5c0e7a21d94b36f8");
}

// Guards against an empty value, which is no handover.
TEST_F(handover_test, EmptyValueMovesKeysWithoutHandover)
{
  MoveKeys({ "" });
  EXPECT_EQ(mNewOwner->ReceivedHandover(), "");
}

// Guards against control characters in a header field, by which the response is
// malformed as a whole: the keys move when the grant has expired.
TEST_F(handover_test, ControlCharactersMoveKeysAfterTheGrant)
{
  MoveKeys({ "5c0e\x01\x1b[31m" });
  EXPECT_EQ(mNewOwner->ReceivedHandover(), "");
}

} // namespace parsleystair
