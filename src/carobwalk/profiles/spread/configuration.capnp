@0x9d1f6ab35c08e247;

# Questions and answers of the topic `configuration.exchange`.

struct ConfigurationState {
  revision @0 :UInt64;  # in force at the sender; 0 for none
  heard @1 :UInt64;  # highest revision that the sender heard of
  wantsContent @2 :Bool;  # whether to answer with a higher revision
  content @3 :Data;  # configuration of the revision; empty if not sent
}
