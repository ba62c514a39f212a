#pragma once

#include "Parsleystair/Platform/EtcdStore.h"

#include <optional>

namespace parsleystair {

/// Polls the store as a router does, and measures how soon it is answered again
/// after an outage.
class store_poller
{
public:
  store_poller(event_loop& aLoop,
               const etcd_store_settings& aSettings,
               duration aInterval);
  store_poller(const store_poller&) = delete;
  store_poller& operator=(const store_poller&) = delete;

  /// Notes the end of an outage.
  void StartMeasuring(time_point aNow);

  /// Time from the end of the outage to the first answer; none before it.
  [[nodiscard]] std::optional<duration> FoundAfter() const;

  [[nodiscard]] const store_counters& Counters() const
  {
    return mStore.Counters();
  }

private:
  void Poll();

  etcd_store mStore;
  store_revision mHead;
  int mOpen = 0;
  time_point mMeasuredFrom{};
  std::optional<duration> mFoundAfter;
  timer mTimer;
};

} // namespace parsleystair
