@0xe1b7c93d52f0a846;

struct AskItem {
  key @0 :UInt64;
  want @1 :UInt16;
  held @2 :UInt16;
  need @3 :UInt16;
  stage @4 :UInt16;
  successes @5 :UInt32;
  cold @6 :UInt32;
  epoch @7 :UInt32;
  running @8 :UInt16;
}

struct CapacityAsk {
  number @0 :UInt64;
  items @1 :List(AskItem);
}

struct GrantItem {
  key @0 :UInt64;
  number @1 :UInt64;
  target @2 :UInt16;
  stage @3 :UInt16;
  epoch @4 :UInt32;
  report @5 :Bool;
}

struct CapacityGrant {
  items @0 :List(GrantItem);
}
