@0xc3a1f0e2b7d94a11;

struct Envelope {
  kind @0 :UInt16;
  sender @1 :Text;
  body @2 :Data;
}
