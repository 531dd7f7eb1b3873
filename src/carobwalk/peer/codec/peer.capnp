@0xb3c1a9d2f4e86751;

# Frames between the processes of the router. Each frame is preceded on the
# wire by its length in bytes as an unsigned 32-bit little-endian integer.

struct Address {
  host @0 :Text;
  port @1 :UInt16;
}

struct Endpoint {
  name @0 :Text;
  address @1 :Address;
  region @2 :Text;
  dataCentre @3 :Text;
}

struct Header {
  name @0 :Data;
  content @1 :Data;
}

struct Placement {
  server @0 :Endpoint;
  dispatcher @1 :Endpoint;
  shard @2 :Int32;  # -1 for an unkeyed request
  epoch @3 :UInt64;  # 0 for an unkeyed request
  sequence @4 :UInt64;
}

struct Request {
  requestId @0 :Text;
  service @1 :Text;
  rank @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(Header);
  key @6 :Text;
  hasKey @7 :Bool;
  deadline @8 :Float64;  # seconds remaining when sent
  idempotent @9 :Bool;
  idempotencyKey @10 :Text;  # empty for none
  caller @11 :Text;
  bodyLength @12 :Int64;  # bytes, -1 for a chunked body
  placement @13 :Placement;
}

struct ReplyHead {
  status @0 :UInt16;
  headers @1 :List(Header);
}

struct Completion {
  status @0 :UInt16;
  server @1 :Text;
  sentBytes @2 :UInt64;
  receivedBytes @3 :UInt64;
}

struct Failure {
  kind @0 :Text;
  outcome @1 :Text;
  detail @2 :Text;
  retryAfter @3 :Float64;  # seconds, negative for unknown
}

struct Ask {
  topic @0 :Text;
  payload @1 :Data;
}

struct Frame {
  exchange @0 :UInt64;  # correlation id chosen by the connecting side
  wall @1 :UInt64;  # hybrid logical time of the sender, microseconds
  counter @15 :UInt32;  # number of earlier stamps with the same wall time
  union {
    hello @2 :Text;  # process id of the connecting side
    ask @3 :Ask;
    answer @4 :Data;
    askFailed @5 :Text;
    request @6 :Request;
    chunk @7 :Data;
    bodyEnd @8 :Void;
    bodyBroken @9 :Void;  # the caller disconnected before the end of its body
    credit @10 :UInt32;  # further body bytes that the receiver accepts
    cancel @11 :Void;
    replyHead @12 :ReplyHead;
    completion @13 :Completion;
    failure @14 :Failure;
  }
}
