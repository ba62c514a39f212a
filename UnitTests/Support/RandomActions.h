#pragma once

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <memory>
#include <vector>

namespace parsleystair {

/// One kind of step of a state test. Its arguments are raw choices that the
/// world takes modulo what there is, so that every step is possible.
template<typename World>
struct weighted_action
{
  const char* mName;
  size_t mWeight;
  void (World::*mAction)(uint32_t, uint32_t);
};

struct no_model
{};

template<typename World>
class random_step : public rc::state::Command<no_model, World>
{
public:
  random_step(const weighted_action<World>& aAction,
              uint32_t aFirst,
              uint32_t aSecond)
    : mAction(aAction)
    , mFirst(aFirst)
    , mSecond(aSecond)
  {
  }

  void run(const no_model&, World& aWorld) const override
  {
    (aWorld.*mAction.mAction)(mFirst, mSecond);
  }

  void show(std::ostream& aStream) const override
  {
    aStream << mAction.mName << "(" << mFirst << "," << mSecond << ")";
  }

private:
  weighted_action<World> mAction;
  uint32_t mFirst;
  uint32_t mSecond;
};

/// Runs up to 100 * `aScale` random steps; shrinks to fewer on a failure.
template<typename World>
void RunRandomActions(World& aWorld,
                      const std::vector<weighted_action<World>>& aActions,
                      double aScale)
{
  using command = rc::state::Command<no_model, World>;
  std::vector<size_t> choices;
  for (size_t i = 0; i < aActions.size(); ++i) {
    choices.insert(choices.end(), aActions[i].mWeight, i);
  }
  // A failing case is shrunk after this function has returned, so that the
  // generators own what they use.
  const auto anyStep = [choices, aActions](const no_model&) {
    return rc::gen::noShrink(rc::gen::exec([choices, aActions] {
      const size_t chosen = *rc::gen::elementOf(choices);
      const auto first = *rc::gen::inRange<uint32_t>(0, 1'000'000);
      const auto second = *rc::gen::inRange<uint32_t>(0, 1'000'000);
      return std::shared_ptr<const command>(
        std::make_shared<random_step<World>>(aActions[chosen], first, second));
    }));
  };
  const auto steps =
    *rc::gen::scale(aScale, rc::state::gen::commands(no_model(), anyStep));
  rc::state::runAll(steps, no_model(), aWorld);
}

} // namespace parsleystair
