@0xe2b94d07c51a8f36;

struct Place {
  name @0 :Text;
  dataCentre @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
}

struct ConfigurationQuery {
  revision @0 :UInt64;
  waitSeconds @1 :Float64;
  group @2 :List(Place);
}

struct Gauge {
  name @0 :Text;
  value @1 :Float64;
}

struct ProcessStatus {
  revision @0 :UInt64;
  gauges @1 :List(Gauge);
  group @2 :List(Place);
}
