#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Platform/CoordinationStore.h"

#include <functional>
#include <random>

namespace parsleystair {

/// Who leads, as recorded in the store.
struct leader_entry
{
  vm_name mVm;
  /// One life of the process.
  incarnation mIncarnation;
  /// Where the leader takes reports of other routers.
  std::string mHost;
  uint16_t mPort = 0;

  bool operator==(const leader_entry&) const = default;
};

std::string EncodeLeaderEntry(const leader_entry& aEntry);

/// Throws `parse_error`.
leader_entry DecodeLeaderEntry(const std::string& aText);

/// Makes at most one router the leader by a key under a lease. A router may
/// believe that it leads for a while after the lease ended, so each write of a
/// leader has the key's revision as a condition.
class leader_election
{
public:
  using change_handler = std::function<void()>;
  using lease_confirmed_handler = std::function<void(time_point)>;

  /// `aCampaignDelay`: how much later than others this router stands.
  leader_election(event_loop& aLoop,
                  coordination_store& aStore,
                  std::string aKey,
                  leader_entry aSelf,
                  duration aCampaignDelay,
                  uint64_t aSeed);
  leader_election(const leader_election&) = delete;
  leader_election& operator=(const leader_election&) = delete;

  /// Called when leading starts or ends.
  void OnChange(change_handler aHandler);
  /// Called with the time of each question that the store answered with yes.
  void OnProof(lease_confirmed_handler aHandler);

  /// The key as the store holds it now; nothing when it doesn't exist.
  void HandleKey(const std::optional<stored_item>& aItem);

  /// Stops leading if this router does, without waiting for the store, because
  /// another router leads.
  void Abdicate();

  /// Gives up leading and takes no part from now on.
  void Leave();

  [[nodiscard]] bool IsLeading() const { return mLeading; }
  /// Condition that holds while this router leads.
  [[nodiscard]] item_condition Condition() const { return { mKey, mRevision }; }
  /// The last other router that was recorded as leader.
  [[nodiscard]] const std::optional<leader_entry>& Former() const
  {
    return mFormerLeader;
  }
  /// The recorded leader, this router or another.
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
  bool mKeyObserved = false;
  bool mKeyExists = false;
  bool mKeyWritePending = false;
  bool mLeading = false;
  bool mResigned = false;
  timer mTimer;
};

} // namespace parsleystair
