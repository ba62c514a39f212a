#pragma once

#include "Parsleystair/Ownership/GrantSender.h"
#include "Parsleystair/Ownership/OwnershipActions.h"
#include "Parsleystair/Ownership/OwnershipDump.h"
#include "Parsleystair/Ownership/RecordEditor.h"
#include "Parsleystair/Platform/PlatformStore.h"

#include <memory>

namespace parsleystair {

/// Decides for one router which target owns which slot. It does no I/O: each
/// input returns the actions to perform. `aNow` must never decrease. `aAskedAt`
/// and `aSentAt` are the times just before the request or message was sent.
class ownership_controller
{
public:
  ownership_controller(live_router aSelf,
                       const ownership_settings& aSettings,
                       time_point aNow);

  /// Applies a configuration. It is ignored unless its revision is newer than
  /// the current one.
  ownership_actions HandleConfiguration(
    std::shared_ptr<const configuration> aConfiguration,
    time_point aNow);

  ownership_actions HandleRouters(const router_view& aView, time_point aNow);

  /// Range to read from the store every `ownership_settings::mPollInterval`.
  [[nodiscard]] range_request NextPoll() const;

  /// Reply to `NextPoll`.
  ownership_actions HandlePollReply(const range_reply& aReply,
                                    time_point aAskedAt,
                                    time_point aNow);

  /// Reply to `read_group`.
  ownership_actions HandleGroupRead(group_index aGroup,
                                    const range_reply& aReply,
                                    time_point aAskedAt,
                                    time_point aNow);

  /// Reply to `write_group`.
  ownership_actions HandleWriteReply(group_index aGroup,
                                     const transaction_reply& aReply,
                                     time_point aNow);

  /// Reply of a holder to one entry of `request_confirmation`.
  ownership_actions HandleConfirmReply(const vm_name& aHolder,
                                       const group_revision& aRevision,
                                       confirm_result aResult,
                                       time_point aAskedAt,
                                       time_point aNow);

  /// Reply of a holder to `announce_record`.
  ownership_actions HandleAnnounceAck(const vm_name& aHolder,
                                      const group_revision& aRevision,
                                      time_point aSentAt,
                                      time_point aNow);

  /// Handles a record announced by another router. The reply to the
  /// announcement serves as acknowledgement.
  ownership_actions HandleAnnouncement(const group_record& aRecord,
                                       time_point aNow);

  /// Reply to `fetch_groups`.
  ownership_actions HandleFetchGroupsReply(const vm_name& aVm,
                                           const groups_reply& aReply,
                                           time_point aAskedAt,
                                           time_point aNow);

  /// The at-most-once records of a group that this router joins have been
  /// copied. `aLostUntil` is the time up to which some were lost with their
  /// holders.
  ownership_actions HandleRecordsCopied(group_index aGroup,
                                        std::optional<wall_time> aLostUntil,
                                        time_point aNow);

  /// True when a VM has been missing from the platform's list for so long that
  /// no process on it can still run.
  [[nodiscard]] bool IsTerminated(const vm_name& aVm, time_point aNow) const;

  /// Reply to `send_grants`.
  ownership_actions HandleGrantReply(const target_id& aTarget,
                                     const grant_reply& aReply,
                                     time_point aSentAt,
                                     time_point aNow);

  /// A grant message or probe was not answered. The loss timeout already counts
  /// from when it was sent.
  ownership_actions HandleGrantFailure(const target_id& aTarget,
                                       time_point aNow);

  /// The target answered a request or probe sent at `aSentAt`.
  ownership_actions HandleAnswered(const target_id& aTarget,
                                   time_point aSentAt,
                                   time_point aNow);

  /// Moves requested by the placement planner. Each is kept for
  /// `ownership_settings::mPlannedMoveTtl` until it can start.
  ownership_actions HandlePlannedMoves(const std::vector<planned_move>& aMoves,
                                       time_point aNow);

  /// To be called about every 10 ms. `aWall` is used only for timestamps in
  /// records.
  ownership_actions Tick(time_point aNow, wall_time aWall);

  /// Answers another router's request to confirm a revision.
  [[nodiscard]] confirm_result HandleConfirmRequest(
    const confirm_message& aMessage) const;

  /// Records of the groups for which this router is ready to confirm: it knows
  /// every record that it acknowledged before a restart.
  [[nodiscard]] groups_reply HandleFetchGroupsRequest() const;

  /// Returns null while no record of the group is known.
  [[nodiscard]] const group_record* FindRecord(group_index aGroup) const;

  [[nodiscard]] bool HasAuthority(group_index aGroup, time_point aNow) const;

  /// Time until which a confirmation that this router's record of the group is
  /// the newest is valid.
  [[nodiscard]] time_point AuthorityUntil(group_index aGroup) const;

  /// Rank of this router for the group's duties: 0 is the first renewer, 1 the
  /// second.
  [[nodiscard]] size_t Rank(group_index aGroup) const;

  [[nodiscard]] bool IsRenewer(group_index aGroup) const;

  [[nodiscard]] const ownership_counters& Counters() const { return mCounters; }

  [[nodiscard]] ownership_dump Dump(time_point aNow) const;

private:
  group_state& State(group_index aGroup);
  void ApplyRecord(const group_record& aRecord, time_point aNow);
  /// Returns false when the store did not answer.
  bool ApplyEntries(const range_reply& aReply,
                    time_point aAskedAt,
                    time_point aNow);
  void ApplyEntry(const store_entry& aEntry, time_point aNow);
  void FinishReadBack(group_state& aState, time_point aAskedAt);
  void UpdateRank(group_state& aState);
  void Advance(group_state& aState,
               time_point aNow,
               ownership_actions& aActions);
  void ReadBack(group_state& aState,
                time_point aNow,
                ownership_actions& aActions) const;
  void DropStartedMoves(const group_record& aRecord);
  void Announce(group_state& aState,
                time_point aNow,
                ownership_actions& aActions) const;
  void WriteNextRecord(group_state& aState,
                       time_point aNow,
                       ownership_actions& aActions);
  std::optional<group_record> NextRecord(const group_state& aState,
                                         time_point aNow) const;
  void RequestConfirmations(time_point aNow, ownership_actions& aActions);
  void RequestRecords(time_point aNow, ownership_actions& aActions);
  ownership_actions ProcessChanges(time_point aNow, ownership_actions aActions);
  [[nodiscard]] bool IsJoining(const group_state& aState) const;
  [[nodiscard]] size_t WritesInFlight() const;
  [[nodiscard]] bool HasPollWithin(duration aTime, time_point aNow) const;
  [[nodiscard]] bool HasOwnerWithoutGrantChecks(
    const group_record& aRecord) const;
  [[nodiscard]] uint64_t WallTimeMs(time_point aNow) const;

  ownership_settings mSettings;
  router_table mRouters;
  time_point mStartedAt;
  std::shared_ptr<const configuration> mConfiguration;
  time_point mConfigurationSince;
  std::map<service_name, duration> mLongestDeadlines;
  std::map<group_index, std::vector<slot_id>> mSlotsOfGroup;
  std::map<group_index, group_state> mGroups;
  grant_sender mGrantSender;
  std::set<target_id> mLostTargets;
  bool mIsCutOff = false;
  std::map<slot_id, planned_move> mPlannedMoves;
  std::map<slot_id, time_point> mPlannedMoveExpiry;
  /// Groups to evaluate before the current input returns.
  std::set<group_index> mChangedGroups;
  /// All changes in the store up to this revision are known.
  store_revision mPolledRevision;
  std::optional<time_point> mAnsweredPollSentAt;
  time_point mConfirmationsRequestedAt = time_point::min();
  time_point mRecordsRequestedAt = time_point::min();
  std::optional<time_point> mTickAt;
  wall_time mWallTime;
  ownership_counters mCounters;
};

} // namespace parsleystair
