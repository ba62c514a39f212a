#pragma once

#include "Parsleystair/Peers/Messages.h"
#include "Parsleystair/Peers/Peer.capnp.h"
#include "Parsleystair/Peers/PeerClient.h"

// Included by source files of this folder only, since it brings in Cap'n
// Proto's headers.

namespace parsleystair {

/// Largest message that is received; a larger one closes its connection.
inline constexpr uint64_t kMaxReceivedWords = 4 * 1024 * 1024 / 8;

/// Largest message that is sent. It is smaller than what is received because
/// the receiver counts a field each time it is read.
inline constexpr uint64_t kMaxSentWords = kMaxReceivedWords * 7 / 8;

/// Each pair below copies a value to and from its wire form. Decoding throws
/// `parse_error` when a value is out of range.
void Encode(const heartbeat_message& aValue, wire::Heartbeat::Builder aWire);
heartbeat_message Decode(wire::Heartbeat::Reader aWire);

void Encode(const group_record& aValue, wire::GroupRecord::Builder aWire);
group_record Decode(wire::GroupRecord::Reader aWire);

wire::ConfirmResult ToWire(confirm_result aValue);
confirm_result FromWire(wire::ConfirmResult aWire);

void Encode(const begin_message& aValue, wire::BeginMessage::Builder aWire);
begin_message Decode(wire::BeginMessage::Reader aWire);

void Encode(const begin_reply& aValue, wire::BeginReply::Builder aWire);
begin_reply Decode(wire::BeginReply::Reader aWire);

void Encode(const finish_message& aValue, wire::FinishMessage::Builder aWire);
finish_message Decode(wire::FinishMessage::Reader aWire);

void Encode(const withdraw_message& aValue,
            wire::WithdrawMessage::Builder aWire);
withdraw_message Decode(wire::WithdrawMessage::Reader aWire);

void Encode(const copy_records_reply& aValue,
            wire::CopyRecordsReply::Builder aWire);
copy_records_reply Decode(wire::CopyRecordsReply::Reader aWire);

void Encode(const configuration_reply& aValue,
            wire::ConfigurationReply::Builder aWire);
configuration_reply Decode(wire::ConfigurationReply::Reader aWire);

void Encode(const groups_reply& aValue, wire::GroupsReply::Builder aWire);
groups_reply Decode(wire::GroupsReply::Reader aWire);

} // namespace parsleystair
