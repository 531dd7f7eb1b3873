@0xc3f1a94be0d25677;
# Ownership messages between carobwalk processes.

struct Place {
  # Name, address and location of a process or backend server.
  name @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  region @3 :Text;
  dataCentre @4 :Text;
}

struct ShardRow {
  # Owner and successor are server names; empty if there is none.
  service @0 :Text;
  shard @1 :UInt32;
  owner @2 :Text;
  epoch @3 :UInt64;
  sequence @4 :UInt64;
  successor @5 :Text;
}

struct ServerRow {
  place @0 :Place;
  service @1 :Text;
  dispatcher @2 :Text;
  leaving @3 :Bool;
}

struct Division {
  service @0 :Text;
  shardCount @1 :UInt32;
  groups @2 :List(Text);
}

struct MapPush {
  group @0 :Text;
  epoch @1 :UInt64;
  revision @2 :UInt64;
  base @3 :UInt64;
  coordinator @4 :Place;
  dispatchers @5 :List(Place);
  servers @6 :List(ServerRow);
  removed @7 :List(Text);
  shards @8 :List(ShardRow);
  divisions @9 :List(Division);
  leases @10 :List(Text);
  echo @11 :Float64;
  ttl @12 :Float64;
  resigning @13 :Bool;
  sequence @14 :UInt64;
  record @15 :UInt64;
}

struct MapAnswer {
  process @0 :Text;
  epoch @1 :UInt64;
  revision @2 :UInt64;
  clock @3 :Float64;
  leases @4 :List(Text);
  leaving @5 :Bool;
}

struct HeardQuery {
  group @0 :Text;
}

struct HeardAnswer {
  # Age in seconds of the last received push; negative if there was none.
  epoch @0 :UInt64;
  age @1 :Float64;
}

struct GateOrder {
  # An order to the dispatcher of a server that does not check grants, in
  # the JSON encoding for servers that do.
  server @0 :Text;
  kind @1 :Kind;
  order @2 :Data;

  enum Kind {
    grant @0;
    fence @1;
    release @2;
  }
}

struct GateAnswer {
  # The report as JSON; empty if the process is not the dispatcher.
  report @0 :Data;
}
