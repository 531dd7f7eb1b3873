@0x9d1f6ab35c08e247;

# Requests and responses of the topic `configuration.exchange`.

struct ConfigurationState {
  revision @0 :UInt64;  # active at the sender; 0 for none
  heard @1 :UInt64;  # highest revision that the sender knows of
  wantsContent @2 :Bool;  # whether to respond with a newer configuration
  content @3 :Data;  # encoded configuration; empty if not sent
}
