@0xb8e5a2d94c107f63;

struct Heartbeat {
  sentAt @0 :Float64;
  echo @1 :Float64;
  incarnation @2 :UInt64;
  revision @3 :UInt32;
  viewNumber @4 :UInt32;
  epoch @5 :UInt32;
  leaving @6 :Bool;
  newestNumber @7 :UInt32;
  newestCoordinator @8 :Text;
}
