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
  hasConfiguration @4 :Bool;
  routingVersion @5 :UInt64;
  routing @6 :Data;
  out @7 :List(Text);
  items @8 :List(FeedItem);
  replicas @9 :List(Consensus.ReplicaMember);
  entries @10 :List(Text);
}

struct SavedUpstreams {
  items @0 :List(FeedItem);
}
