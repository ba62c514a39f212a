#include "UnitTests/Support/RandomActions.h"

#include "Parsleystair/Request/BeginRound.h"
#include "Parsleystair/Request/RequestRecordTable.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>

namespace parsleystair {

namespace {

constexpr int kNodes = 4;
constexpr int kKeys = 2;
constexpr duration kDeadline = 30s;
const group_index kGroup(7);

using packet = std::function<void()>;

/// What the runs of all cases reached, to show that the test isn't empty.
struct totals
{
  int mRuns = 0;
  int mRepeats = 0;
  int mNotRun = 0;
  int mReplacements = 0;
  int mForced = 0;
};
totals sTotals;

struct node
{
  vm_identity mVm;
  std::unique_ptr<request_record_table> mTable;
  group_record mKnown;
};

struct tried_attempt
{
  begin_round mBegin;
  size_t mKey = 0;
  time_point mDeadline;
  std::optional<begin_verdict> mVerdict;
  bool mSent = false;
  /// Finished, or withdrawn after a verdict that would have let it run.
  bool mClosed = false;
};

struct tried_key
{
  request_key mKey;
  uint64_t mTimeMs = 0;
  std::vector<time_point> mRuns;
};

http_response AnswerOf(const request_key& aKey)
{
  return { 200, {}, "answer of " + aKey.mKey };
}

/// Routers that are entry routers and holders, the store's group record and the
/// messages between them. All arguments are raw choices, taken modulo what
/// there is.
class world
{
public:
  world()
  {
    mStore.mGroup = kGroup;
    mStore.mRevision = store_revision(1);
    for (int i = 0; i < kNodes; ++i) {
      mNodes.push_back(MakeNode(i));
    }
    for (int i = 0; i < 3; ++i) {
      mStore.mHolders.push_back(
        { mNodes[i].mVm.mName, mNodes[i].mVm.mIncarnation, false });
    }
    for (node& router : mNodes) {
      router.mKnown = mStore;
      router.mTable->UpdateGroup(mStore, true, mNow);
    }
    for (int i = 0; i < kKeys; ++i) {
      ReplaceKey(i, i);
    }
  }

  void Begin(uint32_t aNode, uint32_t aKey)
  {
    const size_t key = aKey % kKeys;
    begin_message message;
    message.mGroup = kGroup;
    message.mKey = mKeys[key].mKey;
    message.mExecution = execution_id(std::to_string(mAttempts.size() + 1));
    message.mFingerprint = 1;
    message.mKeyTimeMs = mKeys[key].mTimeMs;
    const group_record& known = mNodes[aNode % kNodes].mKnown;
    const time_point deadline = mNow + kDeadline;
    mAttempts.push_back(
      { begin_round(known, message, 0, deadline), key, deadline, {} });
    tried_attempt& attempt = mAttempts.back();
    attempt.mVerdict = attempt.mBegin.CheckHolders();
    for (const vm_identity& holder : attempt.mBegin.Holders()) {
      SendBegin(mAttempts.size() - 1, holder);
    }
  }

  void Deliver(uint32_t aPacket, uint32_t aKeep)
  {
    if (mPackets.empty()) {
      return;
    }
    // Mostly one of the oldest packets, so that attempts come to an end.
    const size_t choices =
      aKeep % 5 == 0 ? mPackets.size() : std::min<size_t>(4, mPackets.size());
    const size_t index = aPacket % choices;
    const packet taken = mPackets[index];
    if (aKeep % 16 != 0) {
      mPackets.erase(mPackets.begin() + static_cast<long>(index));
    }
    taken();
  }

  void TimeOut(uint32_t aAttempt, uint32_t aHolder)
  {
    if (mAttempts.empty()) {
      return;
    }
    const size_t recent = std::min<size_t>(4, mAttempts.size());
    const size_t index = mAttempts.size() - 1 - aAttempt % recent;
    const auto holders = mAttempts[index].mBegin.Holders();
    TakeResult(index, holders[aHolder % holders.size()], {});
  }

  void Send(uint32_t aAttempt, uint32_t = 0)
  {
    tried_attempt* attempt = FindRunning(aAttempt, false);
    if (attempt == nullptr || mNow >= attempt->mDeadline) {
      return;
    }
    attempt->mSent = true;
    tried_key& key = mKeys[attempt->mKey];
    if (key.mKey != attempt->mBegin.Message().mKey) {
      return;
    }
    // Keys without a time are recognised for the record time only.
    for (const time_point run : key.mRuns) {
      RC_ASSERT(key.mTimeMs == 0);
      RC_ASSERT(mNow - run >= 600s);
    }
    key.mRuns.push_back(mNow);
    ++sTotals.mRuns;
  }

  void Finish(uint32_t aAttempt, uint32_t aWithAnswer)
  {
    tried_attempt* attempt = FindRunning(aAttempt, true);
    if (attempt == nullptr) {
      return;
    }
    attempt->mClosed = true;
    std::optional<http_response> answer;
    if (aWithAnswer % 4 != 0) {
      answer = AnswerOf(attempt->mBegin.Message().mKey);
    }
    const finish_message message = attempt->mBegin.FinishMessage(answer);
    for (const vm_identity& holder : attempt->mBegin.Holders()) {
      mPackets.emplace_back([this, holder, message] {
        NodeOf(holder.mName).mTable->HandleFinish(message, mNow);
      });
    }
  }

  void Abandon(uint32_t aAttempt, uint32_t = 0)
  {
    tried_attempt* attempt = FindRunning(aAttempt, false);
    if (attempt != nullptr) {
      attempt->mClosed = true;
      Withdraw(*attempt);
    }
  }

  void Learn(uint32_t aNode, uint32_t = 0)
  {
    node& router = mNodes[aNode % kNodes];
    router.mKnown = mStore;
    router.mTable->UpdateGroup(mStore, false, mNow);
  }

  void Restart(uint32_t aNode, uint32_t = 0)
  {
    const size_t index = aNode % kNodes;
    group_record known = mNodes[index].mKnown;
    mNodes[index] = MakeNode(index);
    mNodes[index].mKnown = std::move(known);
  }

  /// Puts a router that isn't a holder, or a restarted one, in a holder's
  /// place.
  void Replace(uint32_t aHolder, uint32_t aNode)
  {
    if (Joining() != nullptr) {
      return;
    }
    group_holder& replaced = mStore.mHolders[aHolder % mStore.mHolders.size()];
    const node& added = mNodes[aNode % kNodes];
    for (const group_holder& holder : mStore.mHolders) {
      if (&holder != &replaced && holder.mVm == added.mVm.mName) {
        return;
      }
    }
    replaced = { added.mVm.mName, added.mVm.mIncarnation, true };
    Write();
    Learn(aNode);
    ++sTotals.mReplacements;
  }

  void Copy(uint32_t, uint32_t)
  {
    const group_holder* joining = Joining();
    if (joining == nullptr) {
      return;
    }
    mCopies.clear();
    const vm_name joiner = joining->mVm;
    for (const group_holder& holder : mStore.mHolders) {
      if (!holder.mJoining) {
        mPackets.emplace_back(
          [this, joiner, from = holder.mVm, asked = mStore] {
            node& router = NodeOf(from);
            const copy_records_reply reply =
              router.mTable->HandleCopyRecords({ asked }, router.mKnown, mNow);
            mPackets.emplace_back(
              [=, this] { TakeCopy(joiner, from, asked.mRevision, reply); });
          });
      }
    }
  }

  /// Forces the joining holder when each other holder is gone or has moved to
  /// the newest record.
  void Force(uint32_t, uint32_t)
  {
    const group_holder* joining = Joining();
    if (joining == nullptr) {
      return;
    }
    bool gone = false;
    for (const group_holder& holder : mStore.mHolders) {
      const bool isGone = MemoryIsGone(holder);
      gone = gone || isGone;
      if (!holder.mJoining && !isGone && !mCopies.contains(holder.mVm)) {
        return;
      }
    }
    node& router = NodeOf(joining->mVm);
    if (!gone || MemoryIsGone(*joining)) {
      return;
    }
    router.mTable->UpdateGroup(mStore, false, mNow);
    router.mTable->MarkReadySince(kGroup, WallNow(), mNow);
    mLostUntilMs = static_cast<uint64_t>(WallNow().time_since_epoch().count());
    ++sTotals.mForced;
  }

  void ClearJoining(uint32_t, uint32_t)
  {
    const group_holder* joining = Joining();
    if (joining == nullptr || MemoryIsGone(*joining)) {
      return;
    }
    if (NodeOf(joining->mVm).mTable->IsReady(kGroup)) {
      for (group_holder& holder : mStore.mHolders) {
        holder.mJoining = false;
      }
      mStore.mRecordsLostUntilMs = mLostUntilMs;
      Write();
    }
  }

  void Advance(uint32_t aAmount, uint32_t = 0)
  {
    const duration longest = aAmount % 12 == 0 ? duration(700s) : duration(2s);
    mNow += duration(aAmount * 7919LL % longest.count());
  }

  void ReplaceKey(uint32_t aKey, uint32_t aKind)
  {
    tried_key& key = mKeys[aKey % kKeys];
    key = {};
    key.mKey = { service_name("orders"), rule_name("release"), {} };
    key.mKey.mKey = "key-" + std::to_string(++mMadeKeys);
    if (aKind % 3 != 0) {
      // From 9 minutes old to one minute ahead.
      const auto age = std::chrono::milliseconds(aKind * 331LL % 600'000);
      key.mTimeMs = static_cast<uint64_t>(
        (WallNow() + 60s - age).time_since_epoch().count());
    }
  }

private:
  node MakeNode(size_t aIndex)
  {
    const vm_identity vm{ vm_name(
                            std::string(1, static_cast<char>('a' + aIndex))),
                          incarnation(++mIncarnations) };
    return { vm,
             std::make_unique<request_record_table>(vm,
                                                    request_record_limits{}),
             {} };
  }

  [[nodiscard]] wall_time WallNow() const
  {
    return wall_time(1'800'000'000s) +
           std::chrono::duration_cast<std::chrono::milliseconds>(
             mNow.time_since_epoch());
  }

  node& NodeOf(const vm_name& aName) { return mNodes[aName.Value()[0] - 'a']; }

  bool MemoryIsGone(const group_holder& aHolder)
  {
    return NodeOf(aHolder.mVm).mVm.mIncarnation != aHolder.mIncarnation;
  }

  const group_holder* Joining()
  {
    for (const group_holder& holder : mStore.mHolders) {
      if (holder.mJoining) {
        return &holder;
      }
    }
    return nullptr;
  }

  void Write()
  {
    mStore.mRevision = store_revision(mStore.mRevision.Value() + 1);
    mCopies.clear();
  }

  void SendBegin(size_t aAttempt, const vm_identity& aHolder)
  {
    mPackets.emplace_back([=, this] {
      node& router = NodeOf(aHolder.mName);
      const begin_reply reply = router.mTable->HandleBegin(
        mAttempts[aAttempt].mBegin.Message(), router.mKnown, mNow, WallNow());
      mPackets.emplace_back([=, this] {
        TakeResult(aAttempt, aHolder, { peer_status::kReplied, reply });
      });
    });
  }

  void Withdraw(const tried_attempt& aAttempt)
  {
    const withdraw_message message = aAttempt.mBegin.WithdrawMessage();
    for (const vm_identity& holder : aAttempt.mBegin.PossibleAcceptors()) {
      mPackets.emplace_back([this, holder, message] {
        NodeOf(holder.mName).mTable->HandleWithdraw(message, mNow);
      });
    }
  }

  tried_attempt* FindRunning(uint32_t aAttempt, bool aSent)
  {
    std::vector<tried_attempt*> found;
    for (tried_attempt& attempt : mAttempts) {
      const bool mayRun =
        attempt.mVerdict &&
        std::holds_alternative<begin_accepted>(*attempt.mVerdict);
      if (mayRun && !attempt.mClosed && attempt.mSent == aSent) {
        found.push_back(&attempt);
      }
    }
    return found.empty() ? nullptr : found[aAttempt % found.size()];
  }

  void TakeResult(size_t aAttempt,
                  const vm_identity& aHolder,
                  const peer_result<begin_reply>& aResult)
  {
    tried_attempt& attempt = mAttempts[aAttempt];
    const auto verdict =
      attempt.mBegin.HandleResult(aHolder, aResult, mNow, mRandom);
    if (!verdict) {
      return;
    }
    RC_ASSERT(!attempt.mVerdict.has_value());
    RC_ASSERT(!attempt.mSent);
    attempt.mVerdict = verdict;
    if (const auto* repeat = std::get_if<begin_finished>(&*verdict)) {
      const tried_key& key = mKeys[attempt.mKey];
      if (key.mKey == attempt.mBegin.Message().mKey) {
        RC_ASSERT(!key.mRuns.empty());
        RC_ASSERT(repeat->mResponse == AnswerOf(key.mKey));
      }
      ++sTotals.mRepeats;
    }
    sTotals.mNotRun += std::holds_alternative<refused_not_run>(*verdict);
    if (!std::holds_alternative<begin_accepted>(*verdict)) {
      Withdraw(attempt);
    }
  }

  void TakeCopy(const vm_name& aJoiner,
                const vm_name& aFrom,
                store_revision aRevision,
                const copy_records_reply& aReply)
  {
    const group_holder* joining = Joining();
    if (joining == nullptr || aRevision != mStore.mRevision ||
        MemoryIsGone(*joining) || joining->mVm != aJoiner) {
      return;
    }
    mCopies[aFrom] = aReply;
    if (mCopies.size() == mStore.mHolders.size() - 1) {
      std::vector<copy_records_reply> copies;
      for (const auto& [name, copy] : mCopies) {
        copies.push_back(copy);
      }
      NodeOf(aJoiner).mTable->InstallCopies(mStore, copies, mNow);
    }
  }

  group_record mStore;
  time_point mNow{ 1h };
  uint64_t mIncarnations = 0;
  /// Time of the last forced holder, written with its `ready`.
  uint64_t mLostUntilMs = 0;
  int mMadeKeys = 0;
  std::vector<node> mNodes;
  tried_key mKeys[kKeys];
  std::vector<tried_attempt> mAttempts;
  std::vector<packet> mPackets;
  /// Complete copies that the joining holder has, by sender.
  std::map<vm_name, copy_records_reply> mCopies;
  std::mt19937_64 mRandom{ 1 };
};

const std::vector<weighted_action<world>> kActions = {
  { "deliver", 100, &world::Deliver },  { "begin", 10, &world::Begin },
  { "send", 10, &world::Send },         { "finish", 3, &world::Finish },
  { "abandon", 1, &world::Abandon },    { "timeout", 3, &world::TimeOut },
  { "learn", 10, &world::Learn },       { "replace", 3, &world::Replace },
  { "copy", 4, &world::Copy },          { "force", 2, &world::Force },
  { "clear", 5, &world::ClearJoining }, { "restart", 2, &world::Restart },
  { "advance", 2, &world::Advance },    { "key", 2, &world::ReplaceKey },
};

} // namespace

// Guards against a request that runs twice, and against a "not run" or repeated
// answer that is wrong, while holders are replaced, restarted and forced and
// messages are lost, late or repeated.
TEST(AtMostOnceState, EachRequestRunsAtMostOnce)
{
  // Several worlds a case reach the rare rules with the default of 100 cases. A
  // failure may take minutes to shrink; RC_PARAMS="noshrink=1" shows it at
  // once.
  constexpr int kWorlds = 10;
  EXPECT_TRUE(rc::check([] {
    for (int i = 0; i < kWorlds; ++i) {
      world sut;
      RunRandomActions(sut, kActions, 10.0);
    }
  }));
  std::cout << "runs " << sTotals.mRuns << ", repeats " << sTotals.mRepeats
            << ", not run " << sTotals.mNotRun << ", replacements "
            << sTotals.mReplacements << ", forced " << sTotals.mForced << "\n";
  // The cases reach what the test is made for.
  EXPECT_GT(sTotals.mRuns, 0);
  EXPECT_GT(sTotals.mRepeats, 0);
  EXPECT_GT(sTotals.mNotRun, 0);
  EXPECT_GT(sTotals.mForced, 0);
}

} // namespace parsleystair
