#pragma once

#include "Parsleystair/Ownership/GrantSender.h"
#include "Parsleystair/Ownership/OwnershipActions.h"
#include "Parsleystair/Ownership/OwnershipDump.h"
#include "Parsleystair/Ownership/RecordEditor.h"
#include "Parsleystair/Platform/PlatformStore.h"

#include <memory>

namespace parsleystair {

/// All decisions of one router on who owns which slots. Each input returns
/// what is to be done; `aNow` never goes back. `aAskedAt` and `aSentAt` are
/// the times just before the question was sent.
class ownership_controller
{
public:
  ownership_controller(live_router aSelf,
                       const ownership_settings& aSettings,
                       time_point aNow);

  /// Takes over a configuration; an older revision than the present one changes
  /// nothing.
  ownership_actions HandleConfiguration(
    std::shared_ptr<const configuration> aConfiguration,
    time_point aNow);

  ownership_actions HandleRouters(const router_view& aView, time_point aNow);

  /// Range to read every `ownership_settings::mPollInterval`.
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

  /// Reply of a holder to one entry of `ask_confirm`.
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

  /// A record from another router; acknowledged by any reply.
  ownership_actions HandleAnnounce(const group_record& aRecord,
                                   time_point aNow);

  /// Reply to `fetch_groups`.
  ownership_actions HandleFetchedGroups(const vm_name& aVm,
                                        const groups_reply& aReply,
                                        time_point aAskedAt,
                                        time_point aNow);

  /// The at-most-once records of a group that this router joins were copied.
  /// `aLostUntil`: time up to which some were lost with their holders.
  ownership_actions HandleRecordsCopied(group_index aGroup,
                                        std::optional<wall_time> aLostUntil,
                                        time_point aNow);

  /// True when a VM has been off the platform's list for so long that no
  /// process of it runs.
  [[nodiscard]] bool IsGone(const vm_name& aVm, time_point aNow) const;

  /// Reply to `send_grants`.
  ownership_actions HandleGrantReply(const target_id& aTarget,
                                     const grant_reply& aReply,
                                     time_point aSentAt,
                                     time_point aNow);

  /// A grant or probe had no answer. It counts as silence from when it was
  /// sent.
  ownership_actions HandleGrantFailure(const target_id& aTarget,
                                       time_point aNow);

  /// The target answered a request or probe that was sent at `aSentAt`.
  ownership_actions HandleAnswered(const target_id& aTarget,
                                   time_point aSentAt,
                                   time_point aNow);

  /// Moves that the planner wants; each waits until its group is free.
  ownership_actions HandlePlannedMoves(const std::vector<planned_move>& aMoves,
                                       time_point aNow);

  /// To be called about every 10 ms. `aWall` goes into records only.
  ownership_actions Tick(time_point aNow, wall_time aWall);

  /// Answer to another router's question.
  [[nodiscard]] confirm_result HandleConfirm(
    const confirm_message& aMessage) const;

  /// Records of the groups whose newest record this router is sure to know as
  /// well as before a restart.
  [[nodiscard]] groups_reply HandleFetchGroups() const;

  /// Null while no record is known.
  [[nodiscard]] const group_record* FindRecord(group_index aGroup) const;

  [[nodiscard]] bool HasAuthority(group_index aGroup, time_point aNow) const;

  /// Time until which this router's record of the group is proven to be the
  /// newest.
  [[nodiscard]] time_point AuthorityUntil(group_index aGroup) const;

  /// Place in line for the group's duties: 0 is the first renewer, 1 the
  /// second.
  [[nodiscard]] size_t Rank(group_index aGroup) const;

  [[nodiscard]] bool IsRenewer(group_index aGroup) const;

  [[nodiscard]] const ownership_counters& Counters() const { return mCounters; }

  [[nodiscard]] ownership_dump Dump(time_point aNow) const;

private:
  group_state& State(group_index aGroup);
  void ApplyRecord(const group_record& aRecord, time_point aNow);
  /// False when the store did not answer.
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
  /// Groups to look at before the present input ends.
  std::set<group_index> mChangedGroups;
  /// All changes of the store up to this revision are known.
  store_revision mPolledRevision;
  std::optional<time_point> mAnsweredPollSentAt;
  time_point mConfirmationsRequestedAt = time_point::min();
  time_point mRecordsRequestedAt = time_point::min();
  std::optional<time_point> mTickAt;
  wall_time mWallTime;
  ownership_counters mCounters;
};

} // namespace parsleystair
