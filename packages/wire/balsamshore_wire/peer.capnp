@0xb3c5a6f1d2e49780;

# Messages between balsamshore nodes. Fields are only added, never removed or
# renumbered, so that nodes of adjacent releases interoperate while VMs are
# replaced.

struct MemberUpdate {
  name @0 :Text;
  incarnation @1 :UInt64;
  refutation @2 :UInt32;
  status @3 :Text;
  address @4 :Text;
  peerAddress @5 :Text;
  failureDomain @6 :Text;
}

struct SuspectNotice {
  fingerprint @0 :Text;
  losses @1 :UInt16;
  remainingS @2 :Float32;
}

struct SlowServer {
  server @0 :Text;
  latencyS @1 :Float32;
}

struct PeerMessage {
  kind @0 :Text;
  sender @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  target @4 :Text;
  configVersion @5 :UInt64;
  configDigest @6 :Text;
  configAgeS @7 :Float64;
  updates @8 :List(MemberUpdate);
  suspects @9 :List(SuspectNotice);
  draining @10 :List(Text);
  slow @11 :List(SlowServer);
}

struct Forward {
  className @0 :Text;
  requestId @1 :Text;
  deadlineS @2 :Float64;
  body @3 :Data;
  traceparent @4 :Text;
}

struct ShardResult {
  shard @0 :Text;
  body @1 :Data;
}

struct LackingShard {
  shard @0 :Text;
  reason @1 :Text;
}

struct ForwardAnswer {
  outcome @0 :Text;
  reason @1 :Text;
  snapshotId @2 :Int64;
  results @3 :List(ShardResult);
  lacking @4 :List(LackingShard);
  coverage @5 :Float64;
  retryAfterS @6 :Float64;
}

struct Frame {
  union {
    fetchConfiguration @0 :Void;
    configuration @1 :Data;
    forward @2 :Forward;
    forwardAnswer @3 :ForwardAnswer;
  }
}
