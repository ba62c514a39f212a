#include "Parsleystair/Peers/PeerCodec.h"
#include "Parsleystair/Peers/WireValues.h"

#include <limits>
#include <map>

namespace parsleystair {

namespace {

/// Numbers the distinct names of a record in the order of their first use.
class name_table
{
public:
  uint16_t IndexOf(const std::string& aName)
  {
    const auto [position, isNew] =
      mIndexes.try_emplace(aName, static_cast<uint16_t>(mNames.size()));
    if (isNew) {
      if (mNames.size() > std::numeric_limits<uint16_t>::max()) {
        throw error("group record with more than 65,536 names");
      }
      mNames.push_back(aName);
    }
    return position->second;
  }

  [[nodiscard]] const std::vector<std::string>& Names() const { return mNames; }

private:
  std::map<std::string, uint16_t> mIndexes;
  std::vector<std::string> mNames;
};

void EncodeSlot(const slot_id& aSlot,
                const slot_ownership& aOwnership,
                name_table& aNames,
                wire::Slot::Builder aWire)
{
  aWire.setService(aNames.IndexOf(aSlot.mService.Value()));
  aWire.setOwner(aNames.IndexOf(aOwnership.mOwner.Value()));
  aWire.setSlot(aSlot.mSlot.Value());
  aWire.setFence(aOwnership.mFence.Value());
  aWire.setSinceMs(aOwnership.mSinceMs);
  if (aOwnership.mMove) {
    aWire.setHasMove(true);
    aWire.setMoveTo(aNames.IndexOf(aOwnership.mMove->mDestination.Value()));
    aWire.setMoveReason(ConvertEnum(
      aOwnership.mMove->mReason, wire::MoveReason::OPERATOR, "move reason"));
  }
}

slot_ownership DecodeOwnership(wire::Slot::Reader aWire,
                               const std::vector<std::string>& aNames)
{
  slot_ownership value;
  value.mOwner = target_name(aNames.at(aWire.getOwner()));
  value.mFence = fence(aWire.getFence());
  value.mSinceMs = aWire.getSinceMs();
  if (aWire.getHasMove()) {
    value.mMove = slot_move{
      target_name(aNames.at(aWire.getMoveTo())),
      ConvertEnum(aWire.getMoveReason(), move_reason::kOperator, "move reason")
    };
  }
  return value;
}

} // namespace

void Encode(const group_record& aValue, wire::GroupRecord::Builder aWire)
{
  aWire.setGroup(aValue.mGroup.Value());
  aWire.setRevision(aValue.mRevision.Value());
  aWire.setRecordsLostUntilMs(aValue.mRecordsLostUntilMs);
  auto holders = aWire.initHolders(aValue.mHolders.size());
  for (unsigned i = 0; i < holders.size(); ++i) {
    holders[i].setVm(aValue.mHolders[i].mVm.Value());
    holders[i].setIncarnation(aValue.mHolders[i].mIncarnation.Value());
    holders[i].setJoining(aValue.mHolders[i].mJoining);
  }
  auto slots = aWire.initSlots(aValue.mSlots.size());
  name_table table;
  unsigned next = 0;
  for (const auto& [slot, ownership] : aValue.mSlots) {
    EncodeSlot(slot, ownership, table, slots[next]);
    ++next;
  }
  auto names = aWire.initNames(table.Names().size());
  for (unsigned i = 0; i < names.size(); ++i) {
    names.set(i, table.Names()[i]);
  }
}

group_record Decode(wire::GroupRecord::Reader aWire)
{
  group_record value;
  value.mGroup = group_index(aWire.getGroup());
  value.mRevision = store_revision(aWire.getRevision());
  value.mRecordsLostUntilMs = aWire.getRecordsLostUntilMs();
  for (const auto holder : aWire.getHolders()) {
    value.mHolders.push_back({ vm_name(ToName(holder.getVm())),
                               incarnation(holder.getIncarnation()),
                               holder.getJoining() });
  }
  std::vector<std::string> names;
  for (const auto name : aWire.getNames()) {
    names.push_back(ToName(name));
  }
  try {
    for (const auto slot : aWire.getSlots()) {
      const slot_id id{ service_name(names.at(slot.getService())),
                        slot_index(slot.getSlot()) };
      value.mSlots.insert_or_assign(id, DecodeOwnership(slot, names));
    }
  } catch (const std::out_of_range&) {
    throw parse_error("group record refers to a name that it lacks");
  }
  return value;
}

} // namespace parsleystair
