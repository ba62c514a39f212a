#include "Parsleystair/LogReading/RequestChain.h"

#include <algorithm>
#include <functional>
#include <map>

namespace parsleystair {

namespace {

using condition = std::function<bool(const log_record&)>;

/// Lines that say what a process knows of a target.
bool IsOfTarget(const log_record& aRecord, const std::string& aTarget)
{
  const bool changes =
    aRecord.mEvent == "target_changed" || aRecord.mEvent == "target_removed" ||
    aRecord.mEvent == "target_set_aside" || aRecord.mEvent == "target_probed";
  return changes && aRecord.Has("target", aTarget);
}

/// Orders and moves of the leader for a range of keys with this key.
bool IsOrderForKey(const log_record& aRecord, uint64_t aKey)
{
  const bool orders = aRecord.mEvent == "keys_released" ||
                      aRecord.mEvent == "grant_failed" ||
                      aRecord.mEvent == "move_ready";
  return orders && aRecord.Number("from") <= aKey &&
         aKey <= aRecord.Number("to");
}

bool IsOwnersOf(const log_record& aRecord, const std::string& aService)
{
  return aRecord.mEvent == "owners_changed" && aRecord.Has("service", aService);
}

bool IsStoreState(const log_record& aRecord)
{
  return aRecord.mEvent == "store_lost" || aRecord.mEvent == "store_back";
}

bool IsLeadership(const log_record& aRecord)
{
  return aRecord.mEvent == "leading_started" ||
         aRecord.mEvent == "leading_ended";
}

/// Collects lines of a chain, each once.
class chain_builder
{
public:
  explicit chain_builder(const std::vector<log_record>& aRecords)
    : mRecords(aRecords)
  {
  }

  void AddRequestLine(size_t aIndex)
  {
    mLines[aIndex] = { mRecords[aIndex], true, "" };
  }

  /// Adds the newest line before an index that meets the condition.
  void AddStateBefore(size_t aIndex,
                      const std::string& aAbout,
                      const condition& aCondition)
  {
    for (size_t index = aIndex; index-- > 0;) {
      if (aCondition(mRecords[index])) {
        mLines.try_emplace(index, chain_line{ mRecords[index], false, aAbout });
        return;
      }
    }
  }

  [[nodiscard]] std::vector<chain_line> Lines() const
  {
    std::vector<chain_line> lines;
    lines.reserve(mLines.size());
    for (const auto& [index, line] : mLines) {
      lines.push_back(line);
    }
    return lines;
  }

private:
  const std::vector<log_record>& mRecords;
  std::map<size_t, chain_line> mLines;
};

/// State of the process that wrote the line, which decided with it.
void AddOwnState(chain_builder& aChain, size_t aIndex, const log_record& aLine)
{
  const auto here = [&aLine](const log_record& aRecord) {
    return aRecord.mSource == aLine.mSource;
  };
  for (const char* key : { "target", "first", "second", "owner" }) {
    if (const std::string* target = aLine.Find(key)) {
      aChain.AddStateBefore(
        aIndex, "target " + *target, [&](const log_record& aRecord) {
          return here(aRecord) && IsOfTarget(aRecord, *target);
        });
    }
  }
  if (aLine.Find("version") != nullptr) {
    aChain.AddStateBefore(
      aIndex, "configuration", [&](const log_record& aRecord) {
        return here(aRecord) && aRecord.mEvent == "configuration_applied";
      });
  }
  aChain.AddStateBefore(aIndex, "store", [&](const log_record& aRecord) {
    return here(aRecord) && IsStoreState(aRecord);
  });
}

/// State of the key's ownership: owners as this process routed by them, and
/// orders and leaders of the whole deployment.
void AddKeyState(chain_builder& aChain, size_t aIndex, const log_record& aLine)
{
  const std::string* key = aLine.Find("key");
  const std::string* service = aLine.Find("service");
  if (key == nullptr || service == nullptr) {
    return;
  }
  aChain.AddStateBefore(
    aIndex, "owners of " + *service, [&](const log_record& aRecord) {
      return aRecord.mSource == aLine.mSource && IsOwnersOf(aRecord, *service);
    });
  const uint64_t number = aLine.Number("key");
  aChain.AddStateBefore(
    aIndex, "key " + *key, [number](const log_record& aRecord) {
      return IsOrderForKey(aRecord, number);
    });
  aChain.AddStateBefore(aIndex, "leader", IsLeadership);
}

} // namespace

std::vector<chain_line> FindRequestChain(
  const std::vector<log_record>& aRecords,
  const std::string& aRequest)
{
  chain_builder chain(aRecords);
  for (size_t index = 0; index < aRecords.size(); ++index) {
    const log_record& line = aRecords[index];
    if (!line.Has("request", aRequest)) {
      continue;
    }
    chain.AddRequestLine(index);
    AddOwnState(chain, index, line);
    AddKeyState(chain, index, line);
  }
  return chain.Lines();
}

} // namespace parsleystair
