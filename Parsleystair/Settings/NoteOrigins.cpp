#include "Parsleystair/Settings/NoteOrigins.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace parsleystair {

namespace {

/// One step of a path, as it is written (`.targets`, `[3]`) and as a key.
struct path_step
{
  std::string mText;
  std::string mKey;
};

std::vector<std::string> SplitSteps(const std::string& aPath)
{
  std::vector<std::string> steps;
  std::string step;
  for (const char character : aPath) {
    if ((character == '.' || character == '[') && !step.empty()) {
      steps.push_back(step);
      step.clear();
    }
    step += character;
  }
  steps.push_back(step);
  return steps;
}

size_t IndexOf(const std::string& aStep)
{
  size_t index = 0;
  std::from_chars(aStep.data() + 1, aStep.data() + aStep.size(), index);
  return index;
}

std::string MemberOf(const std::string& aStep)
{
  return aStep.starts_with('.') ? aStep.substr(1) : aStep;
}

/// Name of the element of a list that has names; the step itself otherwise.
std::string NameInService(const service_configuration& aService,
                          const std::string& aList,
                          const std::string& aStep)
{
  if (aList == "targets") {
    return aService.mTargets.at(IndexOf(aStep)).mName.Value();
  }
  if (aList == "rules") {
    return aService.mRules.at(IndexOf(aStep)).mName.Value();
  }
  return aStep;
}

std::vector<path_step> MakeSteps(const configuration& aConfiguration,
                                 const std::string& aPath)
{
  std::vector<path_step> steps;
  const service_configuration* service = nullptr;
  for (const std::string& text : SplitSteps(aPath)) {
    std::string key = MemberOf(text);
    if (text.starts_with('[')) {
      const std::string& list = steps.back().mKey;
      if (service != nullptr) {
        key = NameInService(*service, list, text);
      } else if (list == "services") {
        service = &aConfiguration.mServices.at(IndexOf(text));
        key = service->mName.Value();
      } else if (list == "failureDomains") {
        key = aConfiguration.mFailureDomains.at(IndexOf(text)).mName.Value();
      }
    }
    steps.push_back({ text, std::move(key) });
  }
  return steps;
}

} // namespace

void note_origins::Set(const std::string& aKey, const std::string& aNotePath)
{
  mPaths.emplace(aKey, aNotePath);
}

bool note_origins::Has(const std::string& aKey) const
{
  return mPaths.contains(aKey);
}

std::optional<std::string> note_origins::Find(
  const configuration& aConfiguration,
  const std::string& aPath) const
{
  std::string key;
  std::optional<std::string> path;
  for (const path_step& step : MakeSteps(aConfiguration, aPath)) {
    key += (key.empty() ? "" : "/") + step.mKey;
    const auto origin = mPaths.find(key);
    if (origin != mPaths.end()) {
      path = origin->second;
    } else if (path) {
      *path += step.mText;
    }
  }
  return path;
}

} // namespace parsleystair
