@0xb3a1c7d2e4f50617;
# Messages between the load balancer's own processes. `codec` maps them to the types in `messages`.

struct Message {
  union {
    passedPacket @0 :PassedPacket;
    flowHints @1 :RecordTable;
    flowQuery @2 :FlowQuery;
    flowAnswer @3 :FlowAnswer;
    handover @4 :Handover;
    handoverAck @5 :HandoverAck;
    slotReport @6 :SlotReport;
    slotReleases @7 :SlotReleases;
    grantRequest @8 :GrantRequest;
    grant @9 :Grant;
    openingOutcomes @10 :OpeningOutcomes;
    leavingNotice @11 :Leaving;
    leavingAck @12 :Leaving;
    ping @13 :Ping;
    ack @14 :SubjectProbe;
    pingRequest @15 :SubjectProbe;
    versionFetch @16 :VersionFetch;
    versionBody @17 :Data;
    viewUpdate @18 :Data;
    entryReport @19 :Data;
    slotQuery @20 :SlotQuery;
    releaseQuery @21 :ReleaseQuery;
  }
}

struct PassedPacket {
  version @0 :UInt64;
  packet @1 :Data;
}

# Flow records in columns. `pairs` are indexes into `services` and `upstreams`, which list each
# distinct pair of service and upstream once.
struct RecordTable {
  services @0 :List(Text);
  upstreams @1 :List(Text);
  flows @2 :List(UInt64);
  pairs @3 :List(UInt16);
}

struct SlotName {
  service @0 :Text;
  slot @1 :UInt32;
  size @2 :UInt32;
}

struct SlotQuestion {
  slot @0 :SlotName;
  base @1 :Text;
}

struct FlowQuery {
  query @0 :UInt64;
  questions @1 :List(SlotQuestion);
}

struct SlotFloor {
  slot @0 :SlotName;
  version @1 :UInt64;
}

struct FlowAnswer {
  query @0 :UInt64;
  records @1 :RecordTable;
  floors @2 :List(SlotFloor);
}

struct Handover {
  number @0 :UInt64;
  records @1 :RecordTable;
  releases @2 :List(SlotRelease);
}

struct HandoverAck {
  number @0 :UInt64;
}

struct SlotActivity {
  slot @0 :SlotName;
  version @1 :UInt64;
  live @2 :Bool;
}

struct SlotQuery {
  query @0 :UInt64;
  slots @1 :List(SlotName);
}

struct ReleaseQuery {
  slots @0 :List(SlotName);
}

struct SlotReport {
  query @0 :UInt64;
  activities @1 :List(SlotActivity);
}

struct SlotRelease {
  slot @0 :SlotName;
  version @1 :UInt64;
  epoch @2 :UInt64;
}

struct SlotReleases {
  releases @0 :List(SlotRelease);
}

struct GrantRequest {
  request @0 :UInt64;
  upstream @1 :Text;
  openings @2 :UInt32;
}

struct Grant {
  request @0 :UInt64;
  upstream @1 :Text;
  openings @2 :UInt32;
  lifetimeS @3 :Float64;
}

struct OpeningOutcomes {
  upstream @0 :Text;
  answered @1 :UInt32;
  refused @2 :UInt32;
  lost @3 :UInt32;
}

struct Leaving {
  instance @0 :Text;
}

enum MemberState {
  alive @0;
  suspect @1;
  hidden @2;
  leaving @3;
  gone @4;
}

enum UpstreamState {
  cold @0;
  warming @1;
  ready @2;
  shedding @3;
  draining @4;
  unreachable @5;
  gone @6;
}

struct MemberUpdate {
  instance @0 :Text;
  state @1 :MemberState;
  incarnation @2 :UInt64;
}

struct UpstreamCondition {
  upstream @0 :Text;
  state @1 :UpstreamState;
  epoch @2 :UInt64;
  sinceS @3 :Float64;
}

struct Gossip {
  version @0 :UInt64;
  members @1 :List(MemberUpdate);
  conditions @2 :List(UpstreamCondition);
}

struct Ping {
  number @0 :UInt64;
  gossip @1 :Gossip;
}

struct SubjectProbe {
  number @0 :UInt64;
  subject @1 :Text;
  gossip @2 :Gossip;
}

struct VersionFetch {
  have @0 :UInt64;
}
