@0xb93c5e0d17f4a26b;

using Upstreams = import "upstreams.capnp";
using Consensus = import "consensus.capnp";
using Control = import "control.capnp";

struct FeedQuery {
  sender @0 :Control.Place;
  isEntry @1 :Bool;
  run @2 :UInt64;
  cursor @3 :UInt64;
  revision @4 :UInt64;
  waitSeconds @5 :Float64;
  heard @6 :List(UInt64);
}

struct FeedItem {
  record @0 :Upstreams.UpstreamRecord;
  ageSeconds @1 :Float64;
  isGone @2 :Bool;
  origin @3 :UInt64;
}

struct FeedAnswer {
  run @0 :UInt64;
  cursor @1 :UInt64;
  revision @2 :UInt64;
  isCurrent @3 :Bool;
  routingVersion @4 :UInt64;
  out @5 :List(Text);
  items @6 :List(FeedItem);
  replicas @7 :List(Consensus.ReplicaMember);
  entries @8 :List(Text);
}

struct RoutingQuery {
  version @0 :UInt64;
}

struct RoutingTable {
  version @0 :UInt64;
  content @1 :Data;
}

struct SavedUpstreams {
  items @0 :List(FeedItem);
}
