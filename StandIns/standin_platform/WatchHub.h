#pragma once

#include "Parsleystair/Http/HttpServer.h"
#include "StandIns/standin_platform/KeyValueCore.h"

#include <map>

namespace parsleystair {

/// Lines to send to one watch.
struct watch_output
{
  exchange_id mExchange;
  std::string mLines;
  /// The watch was cancelled and its stream ends after the lines.
  bool mEnds = false;

  bool operator==(const watch_output&) const = default;
};

/// Open watches and how far each has got in the history.
class watch_hub
{
public:
  explicit watch_hub(const key_value_core& aCore);

  /// Adds a watch by the body of `POST /v3/watch`; returns its first line.
  /// Throws `parse_error`.
  std::string Add(exchange_id aExchange, const std::string& aBody);

  void Remove(exchange_id aExchange);

  /// Changes that the watches have not got yet. A watch that starts at a
  /// compacted revision is cancelled and removed.
  std::vector<watch_output> TakeOutput();

  [[nodiscard]] size_t Count() const { return mWatches.size(); }

  /// Removes all watches and returns them.
  std::vector<exchange_id> RemoveAll();

private:
  struct open_watch
  {
    kv_interval mKeys;
    uint64_t mNextRevision = 0;
  };

  const key_value_core& mCore;
  std::map<exchange_id, open_watch> mWatches;
};

} // namespace parsleystair
