@0x9d3b61f07a4ec825;

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Answer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct Key {
  text @0 :Text;
  stampMs @1 :UInt64;
  home @2 :Text;
}

enum Phase {
  sent @0;
  open @1;
  answered @2;
}

struct Record {
  key @0 :Key;
  digest @1 :Data;
  phase @2 :Phase;
  epoch @3 :UInt32;
  version @4 :UInt32;
  answer @5 :Answer;
  refused @6 :UInt32;
}

struct Push {
  epoch @0 :UInt32;
  records @1 :List(Record);
  last @2 :Bool;
}

struct Taken {
  taken @0 :Bool;
}

struct KeyedRequest {
  key @0 :Text;
  service @1 :Text;
  method @2 :Text;
  target @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  attempt @6 :UInt32;
  timeoutMs @7 :UInt32;
  expiresMs @8 :UInt64;
}

struct RelayAnswer {
  union {
    answered @0 :Answer;
    notRun @1 :Text;
    unknown @2 :Text;
    refused @3 :Refusal;
    notOwner @4 :UInt32;
  }
}

struct Refusal {
  status @0 :UInt16;
  code @1 :Text;
  reason @2 :Text;
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
}

struct Floor {
  home @0 :Text;
  stampMs @1 :UInt64;
}

struct Epoch {
  number @0 :UInt32;
  members @1 :List(Member);
  lost @2 :List(Member);
  floors @3 :List(Floor);
  firstFloorMs @4 :UInt64;
  formedFloorMs @5 :UInt64;
  fenced @6 :List(Text);
  joined @7 :List(Text);
}

struct Ballot {
  round @0 :UInt32;
  proposer @1 :Text;
}

struct EpochMessage {
  base @0 :UInt32;
  ballot @1 :Ballot;
  acceptedBallot @2 :Ballot;
  epoch @3 :Epoch;
  kind @4 :EpochKind;
}

enum EpochKind {
  prepare @0;
  promise @1;
  accept @2;
  accepted @3;
  commit @4;
  settled @5;
  query @6;
}
