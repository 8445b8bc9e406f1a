@0xe1b7c05d93f24a68;

# Packing drops the zero bytes of 64-bit words: a 40-bit fingerprint takes 6 bytes on
# the wire.

struct Upstream {
  host @0 :Text;
  port @1 :UInt16;
  incarnation @2 :UInt64;
  service @3 :Text;
}

struct ViewIdentity {
  number @0 :UInt32;
  coordinator @1 :Text;
}

struct Move {
  service @0 :Text;
  # Index in the list of upstreams plus 1; 0 stands for no upstream.
  upstream @1 :UInt16;
  # Pairs of first and last bucket.
  ranges @2 :List(UInt16);
}

struct Prepare {
  view @0 :ViewIdentity;
  base @1 :ViewIdentity;
  urgent @2 :Bool;
  upstreams @3 :List(Upstream);
  moves @4 :List(Move);
}

struct Prepared {
  view @0 :ViewIdentity;
  needsWhole @1 :Bool;
  settled @2 :Bool;
}

struct Activate {
  view @0 :ViewIdentity;
}

# Flows of one upstream; words holds flow keys, or fingerprints if bucket is not 0xffff.
struct Pins {
  upstream @0 :UInt16;
  number @1 :UInt32;
  pinned @2 :Bool;
  bucket @3 :UInt16 = 0xffff;
  words @4 :List(UInt64);
}

struct PinItems {
  query @0 :UInt32;
  service @1 :Text;
  confirm @2 :Bool;
  upstreams @3 :List(Upstream);
  pins @4 :List(Pins);
  adopt @5 :Bool;
}

struct ListRequest {
  view @0 :ViewIdentity;
  service @1 :Text;
  # Pairs of first and last bucket, in the requested order.
  ranges @2 :List(UInt16);
  after @3 :UInt64;
  early @4 :Bool;
  whole @5 :Bool;
  hadEarly @6 :Bool;
}

struct ListPage {
  view @0 :ViewIdentity;
  early @1 :Bool;
  done @2 :List(UInt16);
  knownOf @3 :List(Text);
  partial @4 :Int32;
  after @5 :UInt64;
  items @6 :PinItems;
}

struct HeldRequest {
  service @0 :Text;
  ranges @1 :List(UInt16);
}

struct HeldPage {
  service @0 :Text;
  buckets @1 :List(UInt16);
  # 24 bits of each fingerprint, one list per bucket.
  digests @2 :List(List(UInt32));
}
