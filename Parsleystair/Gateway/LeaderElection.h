#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Platform/CoordinationStore.h"

#include <functional>
#include <random>

namespace parsleystair {

/// The leading router as recorded in the store.
struct leader_entry
{
  vm_name mVm;
  /// Identifies one run of the process.
  incarnation mIncarnation;
  /// Address of the leader's server for requests of other routers.
  std::string mHost;
  uint16_t mPort = 0;

  bool operator==(const leader_entry&) const = default;
};

std::string EncodeLeaderEntry(const leader_entry& aEntry);

/// Throws `parse_error`.
leader_entry DecodeLeaderEntry(const std::string& aText);

/// Elects at most one router as the leader through a store key that is bound to
/// a lease. A router may believe that it leads for some time after its lease
/// ended, so each write of a leader is conditional on the key's revision.
class leader_election
{
public:
  using change_handler = std::function<void()>;
  using lease_confirmed_handler = std::function<void(time_point)>;

  /// `aCampaignDelay`: how much later than other routers this router campaigns.
  leader_election(event_loop& aLoop,
                  coordination_store& aStore,
                  std::string aKey,
                  leader_entry aSelf,
                  duration aCampaignDelay,
                  uint64_t aSeed);
  leader_election(const leader_election&) = delete;
  leader_election& operator=(const leader_election&) = delete;

  /// Called when this router starts or stops leading.
  void OnChange(change_handler aHandler);
  /// Called for each lease renewal that the store confirmed, with the time at
  /// which the renewal was sent.
  void OnLeadershipConfirmed(lease_confirmed_handler aHandler);

  /// Handles the present state of the leader key in the store; `aItem` is empty
  /// if the key doesn't exist.
  void HandleKey(const std::optional<stored_item>& aItem);

  /// Stops leading at once, without waiting for the store, because another
  /// router is the leader. Does nothing if this router doesn't lead.
  void StepDown();

  /// Stops leading and never campaigns again.
  void Resign();

  [[nodiscard]] bool IsLeading() const { return mLeading; }
  /// Write condition that holds only while this router leads.
  [[nodiscard]] item_condition Condition() const { return { mKey, mRevision }; }
  /// The last other router that was recorded as the leader.
  [[nodiscard]] const std::optional<leader_entry>& FormerLeader() const
  {
    return mFormerLeader;
  }
  /// The recorded leader: this router or another one.
  [[nodiscard]] const std::optional<leader_entry>& Leader() const
  {
    return mLeader;
  }

private:
  void Campaign();
  void OpenLease();
  void WriteKey();
  void HandleKeyWritten(const write_reply& aReply);
  void RenewOwnLease();
  void HandleLeaseRenewed(const lease_reply& aReply, time_point aSentAt);
  void StartLeading(store_revision aRevision);
  void StopLeading(const char* aReason);
  void ScheduleCampaign(duration aDelay);

  event_loop& mLoop;
  coordination_store& mStore;
  std::string mKey;
  leader_entry mSelf;
  duration mCampaignDelay;
  std::mt19937_64 mRandom;
  change_handler mChangeHandler;
  lease_confirmed_handler mLeaseConfirmedHandler;
  std::optional<leader_entry> mLeader;
  std::optional<leader_entry> mFormerLeader;
  store_revision mRevision;
  lease_id mLease;
  time_point mLeaseRequestedAt = time_point::min();
  /// The state of the leader key has been received at least once.
  bool mKeyObserved = false;
  bool mKeyExists = false;
  /// The write of the leader key was sent, and its outcome isn't known.
  bool mKeyWritePending = false;
  bool mLeading = false;
  bool mResigned = false;
  timer mTimer;
};

} // namespace parsleystair
