@0xe41b7f03a96d25c8;

struct FlowQuery {
  service @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
}

struct FlowExplanation {
  bucket @0 :UInt16;
  viewNumber @1 :UInt32;
  viewCoordinator @2 :Text;
  upstream @3 :Text;
  reason @4 :Text;
  candidates @5 :List(Text);
}
