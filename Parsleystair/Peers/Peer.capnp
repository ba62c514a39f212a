@0xd4bdcebe0d13cd98;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("parsleystair::wire");

# Calls between routers. Each method mirrors one method of peer_client; the
# structs mirror the value types of Messages.h. Ages are in ms.

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  host @2 :Text;
  peerPort @3 :UInt16;
  failureDomain @4 :Text;
  leaving @5 :Bool;
  ageMs @6 :UInt32;
  configuration @7 :UInt64;
  inForceMs @8 :UInt32;
}

struct CrashNotice {
  fingerprint @0 :UInt64;
  crashes @1 :UInt32;
  remainingMs @2 :UInt32;
}

struct Heartbeat {
  members @0 :List(Member);
  groupDigest @1 :UInt64;
  crashes @2 :List(CrashNotice);
}

struct Holder {
  vm @0 :Text;
  incarnation @1 :UInt64;
  joining @2 :Bool;
}

enum MoveReason {
  initial @0;
  targetLost @1;
  targetLeaving @2;
  balance @3;
  operator @4;
}

# service, owner and moveTo are indexes into GroupRecord.names, so that a slot
# takes 32 bytes.
struct Slot {
  service @0 :UInt16;
  owner @1 :UInt16;
  slot @2 :UInt32;
  fence @3 :UInt64;
  sinceMs @4 :UInt64;
  hasMove @5 :Bool;
  moveTo @6 :UInt16;
  moveReason @7 :MoveReason;
}

struct GroupRecord {
  group @0 :UInt32;
  revision @1 :UInt64;
  holders @2 :List(Holder);
  names @3 :List(Text);
  slots @4 :List(Slot);
  recordsLostUntilMs @5 :UInt64;
}

enum ConfirmResult {
  confirmed @0;
  newer @1;
  notReady @2;
}

struct RequestKey {
  service @0 :Text;
  rule @1 :Text;
  key @2 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Answer {
  status @0 :UInt32;
  headers @1 :List(Header);
  body @2 :Data;
}

struct BeginMessage {
  group @0 :UInt32;
  revision @1 :UInt64;
  key @2 :RequestKey;
  attempt @3 :Text;
  fingerprint @4 :UInt64;
  keyTimeMs @5 :UInt64;
}

enum BeginResult {
  accepted @0;
  duplicate @1;
  finished @2;
  fingerprintMismatch @3;
  staleRevision @4;
  notReady @5;
  expired @6;
  full @7;
}

struct BeginReply {
  result @0 :BeginResult;
  winner @1 :Text;
  answer @2 :Answer;
}

struct FinishMessage {
  group @0 :UInt32;
  key @1 :RequestKey;
  attempt @2 :Text;
  answer @3 :Answer;
}

struct WithdrawMessage {
  group @0 :UInt32;
  key @1 :RequestKey;
  attempt @2 :Text;
}

struct RequestRecord {
  key @0 :RequestKey;
  attempt @1 :Text;
  fingerprint @2 :UInt64;
  finished @3 :Bool;
  answer @4 :Answer;
  ageMs @5 :UInt32;
}

struct CopyRecordsReply {
  ready @0 :Bool;
  records @1 :List(RequestRecord);
  lost @2 :Bool;
}

struct ConfigurationReply {
  revision @0 :UInt64;
  text @1 :Text;
}

struct GroupsReply {
  records @0 :List(GroupRecord);
}

interface Peer {
  heartbeat @0 (message :Heartbeat) -> (reply :Heartbeat);
  confirm @1 (group :UInt32, revision :UInt64) -> (result :ConfirmResult);
  announce @2 (record :GroupRecord) -> ();
  begin @3 (message :BeginMessage) -> (reply :BeginReply);
  finish @4 (message :FinishMessage) -> ();
  withdraw @5 (message :WithdrawMessage) -> ();
  copyRecords @6 (record :GroupRecord) -> (reply :CopyRecordsReply);
  fetchConfiguration @7 () -> (reply :ConfigurationReply);
  fetchGroups @8 () -> (reply :GroupsReply);
}
