#include "Parsleystair/Peers/PeerCodec.h"

#include "Parsleystair/Peers/WireValues.h"

namespace parsleystair {

namespace {

void Encode(const member_notice& aValue, wire::Member::Builder aWire)
{
  aWire.setName(aValue.mVm.mName.Value());
  aWire.setIncarnation(aValue.mVm.mIncarnation.Value());
  aWire.setHost(aValue.mHost);
  aWire.setPeerPort(aValue.mPeerPort);
  aWire.setFailureDomain(aValue.mFailureDomain.Value());
  aWire.setLeaving(aValue.mLeaving);
  aWire.setAgeMs(aValue.mAgeMs);
  aWire.setConfiguration(aValue.mConfiguration.Value());
  aWire.setInForceMs(aValue.mInForceMs);
}

member_notice Decode(wire::Member::Reader aWire)
{
  member_notice value;
  value.mVm.mName = vm_name(ToName(aWire.getName()));
  value.mVm.mIncarnation = incarnation(aWire.getIncarnation());
  value.mHost = ToName(aWire.getHost());
  value.mPeerPort = aWire.getPeerPort();
  value.mFailureDomain = failure_domain_name(ToName(aWire.getFailureDomain()));
  value.mLeaving = aWire.getLeaving();
  value.mAgeMs = aWire.getAgeMs();
  value.mConfiguration = configuration_revision(aWire.getConfiguration());
  value.mInForceMs = aWire.getInForceMs();
  return value;
}

void Encode(const request_key& aValue, wire::RequestKey::Builder aWire)
{
  aWire.setService(aValue.mService.Value());
  aWire.setRule(aValue.mRule.Value());
  aWire.setKey(aValue.mKey);
}

request_key Decode(wire::RequestKey::Reader aWire)
{
  return { service_name(ToName(aWire.getService())),
           rule_name(ToName(aWire.getRule())),
           ToString(aWire.getKey()) };
}

void Encode(const http_response& aValue, wire::Answer::Builder aWire)
{
  aWire.setStatus(aValue.mStatus);
  auto headers = aWire.initHeaders(aValue.mHeaders.size());
  for (unsigned i = 0; i < headers.size(); ++i) {
    headers[i].setName(aValue.mHeaders[i].mName);
    headers[i].setValue(aValue.mHeaders[i].mValue);
  }
  const auto* body = reinterpret_cast<const kj::byte*>(aValue.mBody.data());
  aWire.setBody(kj::arrayPtr(body, aValue.mBody.size()));
}

http_response Decode(wire::Answer::Reader aWire)
{
  http_response value;
  value.mStatus = aWire.getStatus();
  for (const auto header : aWire.getHeaders()) {
    value.mHeaders.push_back(
      { ToString(header.getName()), ToString(header.getValue()) });
  }
  const auto body = aWire.getBody();
  value.mBody.assign(reinterpret_cast<const char*>(body.begin()), body.size());
  return value;
}

/// Sets the optional answer of any struct that has one.
template<typename Builder>
void EncodeAnswer(const std::optional<http_response>& aAnswer, Builder aWire)
{
  if (aAnswer) {
    Encode(*aAnswer, aWire.initAnswer());
  }
}

template<typename Reader>
std::optional<http_response> DecodeAnswer(Reader aWire)
{
  if (!aWire.hasAnswer()) {
    return std::nullopt;
  }
  return Decode(aWire.getAnswer());
}

void Encode(const request_record& aValue, wire::RequestRecord::Builder aWire)
{
  Encode(aValue.mKey, aWire.initKey());
  aWire.setAttempt(aValue.mExecution.Value());
  aWire.setFingerprint(aValue.mFingerprint);
  aWire.setFinished(aValue.mFinished);
  EncodeAnswer(aValue.mResponse, aWire);
  aWire.setAgeMs(aValue.mAgeMs);
}

request_record Decode(wire::RequestRecord::Reader aWire)
{
  request_record value;
  value.mKey = Decode(aWire.getKey());
  value.mExecution = execution_id(ToString(aWire.getAttempt()));
  value.mFingerprint = aWire.getFingerprint();
  value.mFinished = aWire.getFinished();
  value.mResponse = DecodeAnswer(aWire);
  value.mAgeMs = aWire.getAgeMs();
  return value;
}

} // namespace

void Encode(const heartbeat_message& aValue, wire::Heartbeat::Builder aWire)
{
  auto members = aWire.initMembers(aValue.mMembers.size());
  for (unsigned i = 0; i < members.size(); ++i) {
    Encode(aValue.mMembers[i], members[i]);
  }
  aWire.setGroupDigest(aValue.mGroupDigest);
  auto crashes = aWire.initCrashes(aValue.mCrashes.size());
  for (unsigned i = 0; i < crashes.size(); ++i) {
    crashes[i].setFingerprint(aValue.mCrashes[i].mFingerprint);
    crashes[i].setCrashes(aValue.mCrashes[i].mCrashes);
    crashes[i].setRemainingMs(aValue.mCrashes[i].mRemainingMs);
  }
}

heartbeat_message Decode(wire::Heartbeat::Reader aWire)
{
  heartbeat_message value;
  for (const auto member : aWire.getMembers()) {
    value.mMembers.push_back(Decode(member));
  }
  value.mGroupDigest = aWire.getGroupDigest();
  for (const auto crash : aWire.getCrashes()) {
    value.mCrashes.push_back(
      { crash.getFingerprint(), crash.getCrashes(), crash.getRemainingMs() });
  }
  return value;
}

wire::ConfirmResult ToWire(confirm_result aValue)
{
  return ConvertEnum(aValue, wire::ConfirmResult::NOT_READY, "confirm result");
}

confirm_result FromWire(wire::ConfirmResult aWire)
{
  return ConvertEnum(aWire, confirm_result::kNotReady, "confirm result");
}

void Encode(const begin_message& aValue, wire::BeginMessage::Builder aWire)
{
  aWire.setGroup(aValue.mGroup.Value());
  aWire.setRevision(aValue.mRevision.Value());
  Encode(aValue.mKey, aWire.initKey());
  aWire.setAttempt(aValue.mExecution.Value());
  aWire.setFingerprint(aValue.mFingerprint);
  aWire.setKeyTimeMs(aValue.mKeyTimeMs);
}

begin_message Decode(wire::BeginMessage::Reader aWire)
{
  begin_message value;
  value.mGroup = group_index(aWire.getGroup());
  value.mRevision = store_revision(aWire.getRevision());
  value.mKey = Decode(aWire.getKey());
  value.mExecution = execution_id(ToString(aWire.getAttempt()));
  value.mFingerprint = aWire.getFingerprint();
  value.mKeyTimeMs = aWire.getKeyTimeMs();
  return value;
}

void Encode(const begin_reply& aValue, wire::BeginReply::Builder aWire)
{
  aWire.setResult(
    ConvertEnum(aValue.mResult, wire::BeginResult::FULL, "begin result"));
  aWire.setWinner(aValue.mWinner.Value());
  EncodeAnswer(aValue.mResponse, aWire);
}

begin_reply Decode(wire::BeginReply::Reader aWire)
{
  begin_reply value;
  value.mResult =
    ConvertEnum(aWire.getResult(), begin_result::kFull, "begin result");
  value.mWinner = execution_id(ToString(aWire.getWinner()));
  value.mResponse = DecodeAnswer(aWire);
  return value;
}

void Encode(const finish_message& aValue, wire::FinishMessage::Builder aWire)
{
  aWire.setGroup(aValue.mGroup.Value());
  Encode(aValue.mKey, aWire.initKey());
  aWire.setAttempt(aValue.mExecution.Value());
  EncodeAnswer(aValue.mResponse, aWire);
}

finish_message Decode(wire::FinishMessage::Reader aWire)
{
  finish_message value;
  value.mGroup = group_index(aWire.getGroup());
  value.mKey = Decode(aWire.getKey());
  value.mExecution = execution_id(ToString(aWire.getAttempt()));
  value.mResponse = DecodeAnswer(aWire);
  return value;
}

void Encode(const withdraw_message& aValue,
            wire::WithdrawMessage::Builder aWire)
{
  aWire.setGroup(aValue.mGroup.Value());
  Encode(aValue.mKey, aWire.initKey());
  aWire.setAttempt(aValue.mExecution.Value());
}

withdraw_message Decode(wire::WithdrawMessage::Reader aWire)
{
  return { group_index(aWire.getGroup()),
           Decode(aWire.getKey()),
           execution_id(ToString(aWire.getAttempt())) };
}

void Encode(const copy_records_reply& aValue,
            wire::CopyRecordsReply::Builder aWire)
{
  aWire.setReady(aValue.mReady);
  aWire.setLost(aValue.mLost);
  auto records = aWire.initRecords(aValue.mRecords.size());
  for (unsigned i = 0; i < records.size(); ++i) {
    Encode(aValue.mRecords[i], records[i]);
  }
}

copy_records_reply Decode(wire::CopyRecordsReply::Reader aWire)
{
  copy_records_reply value;
  value.mReady = aWire.getReady();
  value.mLost = aWire.getLost();
  for (const auto record : aWire.getRecords()) {
    value.mRecords.push_back(Decode(record));
  }
  return value;
}

void Encode(const configuration_reply& aValue,
            wire::ConfigurationReply::Builder aWire)
{
  aWire.setRevision(aValue.mRevision.Value());
  aWire.setText(aValue.mText);
}

configuration_reply Decode(wire::ConfigurationReply::Reader aWire)
{
  return { configuration_revision(aWire.getRevision()),
           ToString(aWire.getText()) };
}

void Encode(const groups_reply& aValue, wire::GroupsReply::Builder aWire)
{
  auto records = aWire.initRecords(aValue.mRecords.size());
  for (unsigned i = 0; i < records.size(); ++i) {
    Encode(aValue.mRecords[i], records[i]);
  }
}

groups_reply Decode(wire::GroupsReply::Reader aWire)
{
  groups_reply value;
  for (const auto record : aWire.getRecords()) {
    value.mRecords.push_back(Decode(record));
  }
  return value;
}

} // namespace parsleystair
