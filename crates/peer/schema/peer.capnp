@0xd1c4a6e2f8b3907b;
# The RPC interface between entry instances. Any call may arrive twice or late, so
# handlers must be idempotent.

interface Peer {
  exchange @0 (digest :Digest) -> (digest :Digest);
  # Sends the caller's digest and returns the receiver's digest.

  hold @1 (instance :Text, incarnation :UInt64, bills :List(Bill)) -> (held :Bool);
  # Stores copies of the caller's bills that are not in the table yet. `held` is false
  # if the receiver has no room for them.

  release @2 (instance :Text, incarnation :UInt64, ids :List(Id)) -> ();
  # Removes copies of the caller's bills that are in the table now.

  state @3 () -> (number :UInt64, pieces :List(Text), servers :List(Text));
  # Returns the receiver's configuration, and the backend servers that it knows. Called
  # by an instance that can't reach the platform.
}

# A 128-bit request id.
struct Id {
  high @0 :UInt64;
  low @1 :UInt64;
}

# The charge for one request.
struct Bill {
  id @0 :Id;
  account @1 :Text;
  route @2 :Text;
  version @3 :Text;
  promptTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  amountMicro @6 :UInt64;
  atMs @7 :UInt64;
}

# A summary of an instance's state, which peers merge into their own.
struct Digest {
  instance @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  sequence @3 :UInt64;
  leaving @4 :Bool;
  configNumber @5 :UInt64;
  confirmed @6 :Bool;
  confirmedAgeMs @7 :UInt64;
  members @8 :List(Member);
  leavingServers @9 :List(Text);
  halts @10 :List(Halt);
  poison @11 :List(Poison);
  loads @12 :List(Load);
  evidence @13 :List(Evidence);
}

# The latest heartbeat of an instance that the sender knows of.
struct Member {
  instance @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  leaving @3 :Bool;
}

# A halted generation of a version.
struct Halt {
  route @0 :Text;
  version @1 :Text;
  generation @2 :UInt64;
}

# The number of server crashes attributed to requests with one fingerprint.
struct Poison {
  fingerprint @0 :UInt64;
  deaths @1 :UInt32;
}

# The load that the sender puts on a server.
struct Load {
  server @0 :Text;
  inFlight @1 :UInt32;
  suspect @2 :Bool;
}

# The outcome counts of a version in one epoch.
struct Evidence {
  route @0 :Text;
  version @1 :Text;
  epoch @2 :UInt64;
  ok @3 :UInt32;
  errors @4 :UInt32;
  fast @5 :UInt32;
  slow @6 :UInt32;
  ratings @7 :List(UInt32);
}
