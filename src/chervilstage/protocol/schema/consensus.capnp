@0xa4d1c7720be93f58;

struct ReplicaMember {
  name @0 :Text;
  identity @1 :UInt64;
  dataCentre @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  voter @5 :Bool;
  outgoing @6 :Bool;
}

struct ChangeRecord {
  document @0 :Data;
  at @1 :Float64;
}

struct MembersRecord {
  members @0 :List(ReplicaMember);
  operationId @1 :Text;
  operator @2 :Text;
  at @3 :Float64;
  difference @4 :Text;
}

struct LogRecord {
  position @0 :UInt64;
  term @1 :UInt64;
  union {
    none @2 :Void;
    change @3 :ChangeRecord;
    members @4 :MembersRecord;
  }
}

struct SnapshotRecord {
  position @0 :UInt64;
  term @1 :UInt64;
  members @2 :List(ReplicaMember);
  document @3 :Data;
}

struct ReplicaMeta {
  identity @0 :UInt64;
  term @1 :UInt64;
  candidate @2 :UInt64;
  logNumber @3 :UInt32;
  snapshotNumber @4 :UInt32;
  syncedBytes @5 :UInt64;
}

struct VoteRequest {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  trial @3 :Bool;
  handedOver @4 :Bool;
}

struct HandOver {
  term @0 :UInt64;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  trial @2 :Bool;
  leaderless @3 :Bool;
}

struct Append {
  term @0 :UInt64;
  previousIndex @1 :UInt64;
  previousTerm @2 :UInt64;
  entries @3 :List(LogRecord);
  commit @4 :UInt64;
  sentAt @5 :Float64;
}

struct AppendReply {
  term @0 :UInt64;
  success @1 :Bool;
  matched @2 :UInt64;
  sentAt @3 :Float64;
}

struct InstallSnapshot {
  term @0 :UInt64;
  snapshot @1 :SnapshotRecord;
  sentAt @2 :Float64;
}

struct ReplicaMessage {
  sender @0 :UInt64;
  to @1 :UInt64;
  host @2 :Text;
  port @3 :UInt16;
  union {
    voteRequest @4 :VoteRequest;
    voteReply @5 :VoteReply;
    append @6 :Append;
    appendReply @7 :AppendReply;
    installSnapshot @8 :InstallSnapshot;
    handOver @9 :HandOver;
  }
}

struct Hello {
  name @0 :Text;
  identity @1 :UInt64;
  dataCentre @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  formed @5 :Bool;
  members @6 :List(ReplicaMember);
  leader @7 :UInt64;
}

struct OperatorCall {
  method @0 :Text;
  target @1 :Text;
  body @2 :Data;
}

struct OperatorAnswer {
  status @0 :UInt16;
  code @1 :Text;
  body @2 :Data;
}
