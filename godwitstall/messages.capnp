@0xbf5147cbbecf40c1;

# Wire and disk format of every message. The data classes in messages.py have
# the same fields in snake_case; a test compares the two.

struct Hello { role @0 :UInt8; senderId @1 :Text; nonce @2 :Data; }
struct HelloReply { senderId @0 :Text; nonce @1 :Data; proof @2 :Data; }
struct HelloProof { proof @0 :Data; }
struct Error { seq @0 :UInt64; kind @1 :UInt8; detail @2 :Text; retryAfterMs @3 :UInt32; }

struct LoadReport {
  inFlight @0 :UInt32; queued @1 :UInt32; limit @2 :UInt32; state @3 :UInt8;
}
struct Call {
  callId @0 :UInt64; service @1 :Text; method @2 :Text; path @3 :Text;
  headers @4 :Data; body @5 :Data; workspace @6 :Text; keyId @7 :Text;
  routeName @8 :Text; priority @9 :UInt8; deadlineMs @10 :UInt32;
  attempts @11 :UInt32; operationId @12 :Text; isIdempotent @13 :Bool;
  fingerprint @14 :Data;
}
struct Answer {
  callId @0 :UInt64; kind @1 :UInt8; outcome @2 :UInt8; status @3 :UInt16;
  headers @4 :Data; body @5 :Data; detail @6 :Text; retryAfterMs @7 :UInt32;
  attemptsUsed @8 :UInt32; isFinal @9 :Bool; isReplayed @10 :Bool;
  load @11 :LoadReport;
}
struct Cancel { callId @0 :UInt64; }

struct Heartbeat {
  seq @0 :UInt64; nodeId @1 :Text; incarnation @2 :UInt64;
  appliedIndex @3 :UInt64; isSubscribed @4 :Bool;
}
struct HeartbeatReply {
  seq @0 :UInt64; isFresh @1 :Bool; appliedIndex @2 :UInt64;
  mustMove @3 :Bool;
}
struct Workspace { name @0 :Text; rate @1 :Float64; burst @2 :UInt32; }
struct Key { keyId @0 :Text; workspace @1 :Text; digest @2 :Text; }
struct Route {
  name @0 :Text; pathPrefix @1 :Text; methods @2 :List(Text);
  service @3 :Text; priority @4 :UInt8; isIdempotent @5 :Bool;
  isOpen @6 :Bool; attempts @7 :UInt32; timeoutMs @8 :UInt32;
  dispatchAttempts @9 :UInt32;
}
struct UpstreamRule {
  name @0 :Text; service @1 :Text; maxSlots @2 :UInt32;
  isWithdrawn @3 :Bool;
}
struct Configuration {
  number @0 :UInt64; index @1 :UInt64; workspaces @2 :List(Workspace);
  keys @3 :List(Key); routes @4 :List(Route);
  upstreams @5 :List(UpstreamRule);
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
struct StateUpdate {
  index @0 :UInt64; isFull @1 :Bool; hasConfiguration @2 :Bool;
  configuration @3 :Configuration; members @4 :List(Member);
  removedMembers @5 :List(Text); hasQuarantines @6 :Bool;
  quarantines @7 :List(Quarantine);
}
struct Want { workspace @0 :Text; held @1 :UInt32; wanted @2 :UInt32; }
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
struct Voter { slot @0 :Text; diskId @1 :Text; address @2 :Text; }
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

struct ApplyNote {
  number @0 :UInt64; digest @1 :Text; operator @2 :Text; changes @3 :Data;
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
struct AddVoter { voter @0 :Voter; }
struct RemoveVoter { slot @0 :Text; diskId @1 :Text; }

struct CommandResult { isAccepted @0 :Bool; detail @1 :Text; }
struct NoteResult {
  verdict @0 :UInt8; number @1 :UInt64; digest @2 :Text; operator @3 :Text;
  timeMs @4 :UInt64; detail @5 :Text;
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
}
struct MembersSnapshot {
  members @0 :List(Member); drained @1 :List(Text); gone @2 :List(NodeBeat);
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
}
struct SnapshotFile {
  lastIndex @0 :UInt64; lastTerm @1 :UInt64; timeMs @2 :UInt64;
  voters @3 :List(Voter); state @4 :Data; votersIndex @5 :UInt64;
}

struct Frame {
  union {
    hello @0 :Hello; helloReply @1 :HelloReply; helloProof @2 :HelloProof;
    error @3 :Error; call @4 :Call; answer @5 :Answer; cancel @6 :Cancel;
    heartbeat @7 :Heartbeat; heartbeatReply @8 :HeartbeatReply;
    stateUpdate @9 :StateUpdate; grantRequest @10 :GrantRequest;
    grantReply @11 :GrantReply; propose @12 :Propose;
    proposeReply @13 :ProposeReply; query @14 :Query;
    queryReply @15 :QueryReply; voteRequest @16 :VoteRequest;
    voteReply @17 :VoteReply; appendRequest @18 :AppendRequest;
    appendReply @19 :AppendReply; snapshotChunk @20 :SnapshotChunk;
    snapshotReply @21 :SnapshotReply;
    transferLeadership @22 :TransferLeadership;
    barrierRequest @23 :BarrierRequest; barrierReply @24 :BarrierReply;
    livenessReport @25 :LivenessReport; done @26 :Done;
    applyNote @27 :ApplyNote; join @28 :Join;
    setUpstreamState @29 :SetUpstreamState; leave @30 :Leave;
    expire @31 :Expire; drain @32 :Drain; claim @33 :Claim;
    complete @34 :Complete; release @35 :Release;
    reportCrash @36 :ReportCrash; lift @37 :Lift; addVoter @38 :AddVoter;
    removeVoter @39 :RemoveVoter; commandResult @40 :CommandResult;
    noteResult @41 :NoteResult; claimResult @42 :ClaimResult;
    configurationSnapshot @43 :ConfigurationSnapshot;
    membersSnapshot @44 :MembersSnapshot;
    operationsSnapshot @45 :OperationsSnapshot;
    quarantineSnapshot @46 :QuarantineSnapshot;
    machineSnapshot @47 :MachineSnapshot; snapshotFile @48 :SnapshotFile;
    entry @49 :Entry;
  }
}
