#include "review/support-2/World.h"

#include <cstdlib>
#include <iostream>
#include <random>

// Case 6: some upstreams spoil a few of their answers. See claim.txt.

using namespace review;

namespace {

/// Limits of the trouble `garble` in the site's list: share of the upstreams,
/// share of their answers, and seconds. It comes more than once.
constexpr size_t kGarbledUpstreams = 2; // of 6: 0.33, at most 0.35
constexpr double kGarbledAnswers = 0.02;
constexpr duration kGarbledTime = std::chrono::milliseconds(5500);
constexpr duration kCalmTime = std::chrono::milliseconds(1500);
constexpr duration kRestartDelay = std::chrono::milliseconds(500);
constexpr duration kWholeTime = std::chrono::seconds(90);
/// The rule: processes end by themselves three times on a tenth of the
/// machines, two at least.
constexpr size_t kEndsToBreak = 3;
constexpr size_t kMachinesToBreak = 2;
constexpr uint32_t kKeys = 65'536;

class garble_case
{
public:
  garble_case(const std::string& aDirectory, bool aHasTrouble)
    : mHasTrouble(aHasTrouble)
    , mWorld(aDirectory + "/record.txt", aDirectory, 3)
    , mEnds(3)
    , mSpoiled(6)
    , mAnswersBefore(6)
  {
  }

  int Run()
  {
    mWorld.Deploy({ { "sanifica", true, 6, std::chrono::milliseconds(30) } },
                  { { "sanit",
                      "sanifica",
                      "safe",
                      std::chrono::milliseconds(1500),
                      std::chrono::milliseconds(600) } },
                  64 * 1024 * 1024);
    for (size_t i = 0; i < kGarbledUpstreams; ++i) {
      mWorld.Upstreams()[i]->SetOrderFilter(
        [this, i](const parsleystair::http_request& aOrder,
                  parsleystair::http_response& aAnswer) {
          Spoil(i, aOrder, aAnswer);
        });
    }
    for (auto& each : mWorld.Machines()) {
      each->Start(true);
    }
    mWorld.Run(std::chrono::seconds(8));
    mEndTimer.StartRepeating(
      mWorld.Loop(), std::chrono::milliseconds(50), [this] { HandleEnds(); });
    mSendTimer.StartRepeating(
      mWorld.Loop(), std::chrono::milliseconds(5), [this] { Send(); });
    mHotTimer.StartRepeating(mWorld.Loop(), std::chrono::seconds(3), [this] {
      mHot = mRandom() % kKeys;
      mWorld.Record().Add("busy keys from", mHot);
    });
    mWorld.Run(std::chrono::seconds(4));
    SwitchGarble();
    mWorld.Run(kWholeTime);
    return Verdict();
  }

private:
  void SwitchGarble()
  {
    mIsGarbling = mHasTrouble && !mIsGarbling;
    for (size_t i = 0; i < kGarbledUpstreams; ++i) {
      mSpoiled[i] = 0;
      mAnswersBefore[i] = mWorld.Upstreams()[i]->Answers();
    }
    if (mHasTrouble) {
      mWorld.Record().Add("garble", mIsGarbling ? "begins" : "ends");
    }
    mGarbleTimer.StartOnce(mWorld.Loop(),
                           mIsGarbling ? kGarbledTime : kCalmTime,
                           [this] { SwitchGarble(); });
  }

  /// Puts wrong bytes into the answer to a release, in at most the allowed
  /// share of the upstream's answers.
  void Spoil(size_t aUpstream,
             const parsleystair::http_request& aOrder,
             parsleystair::http_response& aAnswer)
  {
    const auto answers = static_cast<double>(
      mWorld.Upstreams()[aUpstream]->Answers() - mAnswersBefore[aUpstream]);
    const bool isAllowed = mSpoiled[aUpstream] + 1 <= kGarbledAnswers * answers;
    if (!mIsGarbling || !isAllowed || aOrder.mPath != "/api/release") {
      return;
    }
    mSpoiled[aUpstream] += 1;
    aAnswer.mHeaders.front().mValue = "5c0e\xa9\xff"
                                      "b36f8";
    mWorld.Record().Add("answer to a release spoiled by",
                        mWorld.Upstreams()[aUpstream]->Name(),
                        "answers in this time",
                        answers);
  }

  void HandleEnds()
  {
    for (size_t i = 0; i < mWorld.Machines().size(); ++i) {
      machine& each = *mWorld.Machines()[i];
      if (each.TakeEnd()) {
        ++mEnds[i];
        mRestarts[i].StartOnce(
          mWorld.Loop(), kRestartDelay, [&each] { each.Start(false); });
      }
    }
  }

  void Send()
  {
    // A third of the requests are about few keys, which are close together.
    constexpr uint32_t kBusyKeys = 200;
    const uint32_t key = mRandom() % 3 == 0
                           ? (mHot + mRandom() % kBusyKeys) % kKeys
                           : mRandom() % kKeys;
    size_t target = mRandom() % mWorld.Machines().size();
    if (!mWorld.Machines()[target]->IsRunning()) {
      target = (target + 1) % mWorld.Machines().size();
    }
    ++mSent;
    mWorld.Send(target,
                "GET",
                "/sanit/" + std::to_string(key),
                std::to_string(key),
                "",
                std::chrono::milliseconds(1500),
                [this](const client_end& aEnd) {
                  ++mAnswers[aEnd.mStatus];
                  if (aEnd.mStatus == 0 &&
                      aEnd.mFailure != parsleystair::http_failure::kConnect) {
                    mWorld.Record().Add("request", aEnd.mId, "got no answer");
                  }
                });
  }

  int Verdict()
  {
    record_file& record = mWorld.Record();
    record.Add("requests sent", mSent);
    for (const auto& [status, count] : mAnswers) {
      record.Add("answers with status", status, count);
    }
    size_t broken = 0;
    for (size_t i = 0; i < mEnds.size(); ++i) {
      record.Add("machine", i + 1, "ends by itself", mEnds[i]);
      std::cout << "machine " << i + 1 << ": " << mEnds[i]
                << " ends by itself\n";
      broken += mEnds[i] >= kEndsToBreak ? 1 : 0;
    }
    if (mAnswers[200] < mSent / 4) {
      record.Add("the deployment did not serve");
      std::cout << "the deployment did not serve\n";
      return broken >= kMachinesToBreak ? 1 : 2;
    }
    record.Add(broken >= kMachinesToBreak ? "broken" : "held");
    return broken >= kMachinesToBreak ? 1 : 0;
  }

  bool mHasTrouble;
  world mWorld;
  std::mt19937 mRandom{ 6 };
  bool mIsGarbling = false;
  uint32_t mHot = 0;
  uint64_t mSent = 0;
  std::map<uint32_t, uint64_t> mAnswers;
  std::vector<size_t> mEnds;
  std::vector<double> mSpoiled;
  std::vector<uint64_t> mAnswersBefore;
  parsleystair::timer mEndTimer;
  parsleystair::timer mSendTimer;
  parsleystair::timer mHotTimer;
  parsleystair::timer mGarbleTimer;
  std::map<size_t, parsleystair::timer> mRestarts;
};

} // namespace

int main(int aCount, char** aArguments)
{
  try {
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    garble_case test(aCount > 1 ? aArguments[1] : ".", hasTrouble);
    return test.Run();
  } catch (const std::exception& exception) {
    std::cerr << exception.what() << "\n";
    return 2;
  }
}
