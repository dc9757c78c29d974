@0xbf5147cbbecf40c1;

# Schema of the messages and stored records that use Cap'n Proto. The data
# classes in messages have the same fields in snake_case, which a test
# checks.

struct Hello { role @0 :UInt8; senderId @1 :Text; nonce @2 :Data; takesParts @3 :Bool; }
struct HelloReply {
  senderId @0 :Text; nonce @1 :Data; proof @2 :Data; takesParts @3 :Bool;
}
struct HelloProof { proof @0 :Data; }
struct Error { seq @0 :UInt64; kind @1 :UInt8; detail @2 :Text; retryAfterMs @3 :UInt32; }


struct Heartbeat {
  seq @0 :UInt64; nodeId @1 :Text; incarnation @2 :UInt64;
  appliedIndex @3 :UInt64; isSubscribed @4 :Bool;
}
struct HeartbeatReply {
  seq @0 :UInt64; isFresh @1 :Bool; appliedIndex @2 :UInt64;
  mustMove @3 :Bool;
}
struct Workspace {
  name @0 :Text; rate @1 :Float64; burst @2 :UInt32; rank @3 :Int16 = -1;
}
struct Key { keyId @0 :Text; workspace @1 :Text; digest @2 :Text; }
struct Route {
  name @0 :Text; pathPrefix @1 :Text; methods @2 :List(Text);
  service @3 :Text; priority @4 :UInt8; isIdempotent @5 :Bool;
  isOpen @6 :Bool; attempts @7 :UInt32; timeoutMs @8 :UInt32;
  dispatchAttempts @9 :UInt32; host @10 :Text; targets @11 :List(Target);
  targetLatencyMs @12 :UInt32;
}
struct Target { service @0 :Text; weight @1 :Float64; }
struct ServiceRule {
  name @0 :Text; healthPath @1 :Text; maxConnections @2 :UInt32;
  coldStartMs @3 :UInt32; coldPerS @4 :Float64;
}
struct ClientLimits {
  maxHeaderBytes @0 :UInt32; maxBodyBytes @1 :UInt32;
  headerTimeoutMs @2 :UInt32; idleTimeoutMs @3 :UInt32;
}
struct UpstreamRule {
  name @0 :Text; service @1 :Text; maxSlots @2 :UInt32;
  isWithdrawn @3 :Bool;
}
struct Configuration {
  number @0 :UInt64; index @1 :UInt64; workspaces @2 :List(Workspace);
  keys @3 :List(Key); routes @4 :List(Route);
  upstreams @5 :List(UpstreamRule); services @6 :List(ServiceRule);
  limits @7 :ClientLimits;
}
struct Member {
  nodeId @0 :Text; incarnation @1 :UInt64; service @2 :Text; zone @3 :Text;
  region @4 :Text; address @5 :Text; state @6 :UInt8; isDrained @7 :Bool;
  slots @8 :UInt32; upstreamIncarnation @9 :UInt64;
}
struct Quarantine {
  fingerprint @0 :Data; reports @1 :UInt32; isQuarantined @2 :Bool;
  routeName @3 :Text; workspace @4 :Text; lastTimeMs @5 :UInt64;
}
struct Evacuation {
  zone @0 :Text; isActive @1 :Bool; index @2 :UInt64; timeMs @3 :UInt64;
  operator @4 :Text;
}
struct StateUpdate {
  index @0 :UInt64; isFull @1 :Bool; hasConfiguration @2 :Bool;
  configuration @3 :Configuration; members @4 :List(Member);
  removedMembers @5 :List(Text); hasQuarantines @6 :Bool;
  quarantines @7 :List(Quarantine); hasEvacuations @8 :Bool;
  evacuations @9 :List(Evacuation);
}
struct Want {
  workspace @0 :Text; held @1 :UInt32; wanted @2 :UInt32;
  number @3 :UInt64; returned @4 :UInt32; waiting @5 :UInt32;
}
struct Grant { workspace @0 :Text; tokens @1 :UInt32; retryAfterMs @2 :UInt32; }
struct GrantRequest {
  seq @0 :UInt64; nodeId @1 :Text; incarnation @2 :UInt64;
  wants @3 :List(Want);
}
struct GrantReply { seq @0 :UInt64; grants @1 :List(Grant); lifetimeMs @2 :UInt32; }
struct Propose { seq @0 :UInt64; command @1 :Data; }
struct ProposeReply { seq @0 :UInt64; result @1 :Data; index @2 :UInt64; }
struct Query { seq @0 :UInt64; kind @1 :UInt8; text @2 :Text; }
struct QueryReply { seq @0 :UInt64; body @1 :Data; }

struct Entry {
  index @0 :UInt64; term @1 :UInt64; timeMs @2 :UInt64; command @3 :Data;
}
struct Voter {
  slot @0 :Text; diskId @1 :Text; address @2 :Text; zone @3 :Text;
}
struct VoteRequest {
  seq @0 :UInt64; term @1 :UInt64; slot @2 :Text; diskId @3 :Text;
  lastIndex @4 :UInt64; lastTerm @5 :UInt64; isPreVote @6 :Bool;
  isTransfer @7 :Bool;
}
struct VoteReply {
  seq @0 :UInt64; term @1 :UInt64; isGranted @2 :Bool; diskId @3 :Text;
}
struct AppendRequest {
  seq @0 :UInt64; term @1 :UInt64; slot @2 :Text; previousIndex @3 :UInt64;
  previousTerm @4 :UInt64; entries @5 :List(Entry); commitIndex @6 :UInt64;
}
struct AppendReply {
  seq @0 :UInt64; term @1 :UInt64; isSuccess @2 :Bool; matchIndex @3 :UInt64;
  diskId @4 :Text;
}
struct SnapshotChunk {
  seq @0 :UInt64; term @1 :UInt64; slot @2 :Text; lastIndex @3 :UInt64;
  lastTerm @4 :UInt64; offset @5 :UInt64; isLast @6 :Bool; data @7 :Data;
}
struct SnapshotReply {
  seq @0 :UInt64; term @1 :UInt64; nextOffset @2 :UInt64; diskId @3 :Text;
}
struct TransferLeadership { seq @0 :UInt64; term @1 :UInt64; }
struct BarrierRequest { seq @0 :UInt64; }
struct BarrierReply { seq @0 :UInt64; index @1 :UInt64; }
struct NodeBeat { nodeId @0 :Text; incarnation @1 :UInt64; ageMs @2 :UInt32; }
struct LivenessReport { seq @0 :UInt64; beats @1 :List(NodeBeat); }
struct Done { seq @0 :UInt64; }
struct Introduce { seq @0 :UInt64; replica @1 :Voter; isInitial @2 :Bool; }
struct Directory {
  seq @0 :UInt64; replicas @1 :List(Voter); isFormed @2 :Bool;
}

struct ApplyNote {
  number @0 :UInt64; digest @1 :Text; operator @2 :Text; changes @3 :Data;
}
struct ReplaceConfiguration {
  base @0 :UInt64; number @1 :UInt64; digest @2 :Text; operator @3 :Text;
  document @4 :Data; configuration @5 :Configuration;
}
struct Join { member @0 :Member; }
struct SetUpstreamState {
  nodeId @0 :Text; incarnation @1 :UInt64; state @2 :UInt8; slots @3 :UInt32;
  upstreamIncarnation @4 :UInt64;
}
struct Leave { nodeId @0 :Text; incarnation @1 :UInt64; }
struct Expire { nodes @0 :List(NodeBeat); }
struct Drain { nodeId @0 :Text; isDrained @1 :Bool; operator @2 :Text; }
struct Claim {
  operationId @0 :Text; workspace @1 :Text; requestDigest @2 :Data;
  attemptId @3 :Text; nodeId @4 :Text; incarnation @5 :UInt64;
  upstream @6 :Text; routeName @7 :Text;
}
struct Complete {
  operationId @0 :Text; attemptId @1 :Text; outcome @2 :UInt8;
  status @3 :UInt16; headers @4 :Data; body @5 :Data; isTruncated @6 :Bool;
  workspace @7 :Text;
}
struct Release { operationId @0 :Text; attemptId @1 :Text; workspace @2 :Text; }
struct ReportCrash {
  fingerprint @0 :Data; workspace @1 :Text; routeName @2 :Text;
  nodeId @3 :Text; upstreamIncarnation @4 :UInt64;
}
struct Lift { fingerprint @0 :Data; operator @1 :Text; }
struct Evacuate {
  zone @0 :Text; isActive @1 :Bool; operator @2 :Text;
  knownZones @3 :List(Text); seenIndex @4 :UInt64;
}
struct AddVoter { voter @0 :Voter; }
struct RemoveVoter { slot @0 :Text; diskId @1 :Text; }

struct CommandResult { isAccepted @0 :Bool; detail @1 :Text; }
struct NoteResult {
  verdict @0 :UInt8; number @1 :UInt64; digest @2 :Text; operator @3 :Text;
  timeMs @4 :UInt64; detail @5 :Text;
}
struct EvacuationResult {
  verdict @0 :UInt8; index @1 :UInt64; detail @2 :Text;
}
struct OperationRecord {
  operationId @0 :Text; workspace @1 :Text; requestDigest @2 :Data;
  attemptId @3 :Text; nodeId @4 :Text; incarnation @5 :UInt64;
  upstream @6 :Text; routeName @7 :Text; state @8 :UInt8;
  claimedMs @9 :UInt64; endedMs @10 :UInt64; status @11 :UInt16;
  headers @12 :Data; body @13 :Data; isTruncated @14 :Bool;
  claims @15 :UInt32;
}
struct ClaimResult { verdict @0 :UInt8; record @1 :OperationRecord; }

struct AcceptedNote {
  number @0 :UInt64; digest @1 :Text; operator @2 :Text; timeMs @3 :UInt64;
}
struct ConfigurationSnapshot {
  configuration @0 :Configuration; notes @1 :List(AcceptedNote);
  document @2 :Data;
}
struct MembersSnapshot {
  members @0 :List(Member); drained @1 :List(Text); gone @2 :List(NodeBeat);
  departed @3 :List(NodeBeat);
}
struct OperationsSnapshot {
  records @0 :List(OperationRecord); timeMs @1 :UInt64;
}
struct CrashRecord {
  fingerprint @0 :Data; workspace @1 :Text; routeName @2 :Text;
  incarnations @3 :List(Text); firstTimeMs @4 :UInt64; lastTimeMs @5 :UInt64;
}
struct QuarantineSnapshot { records @0 :List(CrashRecord); }
struct MachineSnapshot {
  configuration @0 :ConfigurationSnapshot; members @1 :MembersSnapshot;
  operations @2 :OperationsSnapshot; quarantine @3 :QuarantineSnapshot;
  evacuations @4 :List(Evacuation);
}
struct SnapshotFile {
  lastIndex @0 :UInt64; lastTerm @1 :UInt64; timeMs @2 :UInt64;
  voters @3 :List(Voter); state @4 :Data; votersIndex @5 :UInt64;
}

struct Frame {
  union {
    hello @0 :Hello; helloReply @1 :HelloReply; helloProof @2 :HelloProof;
    error @3 :Error; heartbeat @4 :Heartbeat; heartbeatReply @5 :HeartbeatReply;
    stateUpdate @6 :StateUpdate; grantRequest @7 :GrantRequest;
    grantReply @8 :GrantReply; propose @9 :Propose;
    proposeReply @10 :ProposeReply; query @11 :Query;
    queryReply @12 :QueryReply; voteRequest @13 :VoteRequest;
    voteReply @14 :VoteReply; appendRequest @15 :AppendRequest;
    appendReply @16 :AppendReply; snapshotChunk @17 :SnapshotChunk;
    snapshotReply @18 :SnapshotReply;
    transferLeadership @19 :TransferLeadership;
    barrierRequest @20 :BarrierRequest; barrierReply @21 :BarrierReply;
    livenessReport @22 :LivenessReport; done @23 :Done;
    applyNote @24 :ApplyNote; join @25 :Join;
    setUpstreamState @26 :SetUpstreamState; leave @27 :Leave;
    expire @28 :Expire; drain @29 :Drain; claim @30 :Claim;
    complete @31 :Complete; release @32 :Release;
    reportCrash @33 :ReportCrash; lift @34 :Lift; addVoter @35 :AddVoter;
    removeVoter @36 :RemoveVoter; commandResult @37 :CommandResult;
    noteResult @38 :NoteResult; claimResult @39 :ClaimResult;
    configurationSnapshot @40 :ConfigurationSnapshot;
    membersSnapshot @41 :MembersSnapshot;
    operationsSnapshot @42 :OperationsSnapshot;
    quarantineSnapshot @43 :QuarantineSnapshot;
    machineSnapshot @44 :MachineSnapshot; snapshotFile @45 :SnapshotFile;
    entry @46 :Entry; introduce @47 :Introduce; directory @48 :Directory;
    replaceConfiguration @49 :ReplaceConfiguration;
    evacuate @50 :Evacuate; evacuationResult @51 :EvacuationResult;
  }
}
