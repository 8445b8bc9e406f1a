@0xd0f4b6c18e2a7753;

struct UpstreamRecord {
  host @0 :Text;
  port @1 :UInt16;
  requestPort @2 :UInt16;
  incarnation @3 :UInt64;
  service @4 :Text;
  dataCentre @5 :Text;
  sequence @6 :UInt64;
  leaving @7 :Bool;
  slots @8 :UInt16;
  load @9 :UInt16;
  label @10 :UInt64;
  coldSeconds @11 :Float64;
  left @12 :Bool;
}

struct UpstreamRecords {
  records @0 :List(UpstreamRecord);
}

struct SilentUpstream {
  record @0 :UpstreamRecord;
  seconds @1 :Float64;
}

struct SilentUpstreams {
  records @0 :List(SilentUpstream);
}

struct DigestItem {
  key @0 :UInt64;
  sequence @1 :UInt64;
  load @2 :UInt16;
  leaving @3 :Bool;
  left @4 :Bool;
  silent @5 :Bool;
}

struct UpstreamDigest {
  items @0 :List(DigestItem);
}

struct UpstreamFetch {
  keys @0 :List(UInt64);
}
