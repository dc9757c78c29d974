"""Data classes of all messages between processes and all stored records.

The classes mirror the structs of messages.capnp field by field, and codec.py
encodes and decodes them. The file has these sections, in order:

ids and states            NewTypes, Role to QueryKind
handshake                 Hello, HelloReply, HelloProof, Error
request path              LoadReport, Call, Answer, Cancel, Take, TakeReply
node and control          Heartbeat, HeartbeatReply; state: Workspace to
                          Quarantine in a StateUpdate; tokens: Want to
                          GrantReply
commands and reads        Propose, ProposeReply, Query, QueryReply
consensus                 Entry to TransferLeadership, BarrierRequest,
                          BarrierReply
liveness of nodes         NodeBeat, LivenessReport, Done
discovery                 Introduce, Directory
commands in the log       ReplaceConfiguration to RemoveVoter, and their
                          results: CommandResult, NoteResult, ClaimResult
state in a snapshot       OperationRecord, AcceptedNote, CrashRecord, and
                          ConfigurationSnapshot to SnapshotFile

Example: Cancel(call_id=7)
"""

import dataclasses
import enum
import math
import typing

import msgspec

from godwitstall import errors

WorkspaceName = typing.NewType('WorkspaceName', str)
ServiceName = typing.NewType('ServiceName', str)
NodeId = typing.NewType('NodeId', str)
KeyId = typing.NewType('KeyId', str)
OperationId = typing.NewType('OperationId', str)
AttemptId = typing.NewType('AttemptId', str)
SlotId = typing.NewType('SlotId', str)
DiskId = typing.NewType('DiskId', str)

# A non-negative number; messages with a negative one are rejected.
Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class Role(enum.Enum):
    """Role of a process, exchanged in the handshake."""

    NODE = 0
    CONTROL = 1
    OPERATOR = 2


class Priority(enum.Enum):
    """Priority of a request; the highest number is shed first."""

    PAYMENT = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class UpstreamState(enum.Enum):
    """Whether an upstream may receive new requests."""

    DOWN = 0
    READY = 1
    DRAINING = 2


class OperationState(enum.Enum):
    """State of an operation record."""

    CLAIMED = 0
    RUN = 1
    UNKNOWN = 2
    RELEASED = 3


class ClaimVerdict(enum.Enum):
    """Result of a claim."""

    GRANTED = 0
    RUNNING = 1
    DONE = 2
    UNKNOWN = 3
    MISMATCH = 4
    EXPIRED = 5
    INVALID = 6


class NoteVerdict(enum.Enum):
    """Result of a release note."""

    ACCEPTED = 0
    ALREADY_IN_FORCE = 1
    NUMBER_TAKEN = 2
    NUMBER_GAP = 3
    INVALID = 4
    # The base of the new configuration is no longer in force.
    BASE_CHANGED = 5


class QueryKind(enum.Enum):
    """Kinds of reads that an operator can request."""

    STATUS = 0
    CONFIGURATION = 1
    MEMBERS = 2
    OPERATION = 3
    QUARANTINE = 4
    NOTES = 5
    # Validates the release note in the field text and returns its problems.
    NOTE_CHECK = 6
    # Returns the last complete configuration, as sent by the operator.
    DOCUMENT = 7


@dataclasses.dataclass(slots=True)
class Hello:
    """First message on a link."""

    # Role of the connecting process.
    role: Role = Role.NODE
    # Id of the sender.
    sender_id: str = ''
    # Random bytes that the proof of the peer must cover.
    nonce: bytes = b''


@dataclasses.dataclass(slots=True)
class HelloReply:
    """Reply to Hello with a proof and the nonce of the accepting side."""

    # Id of the sender.
    sender_id: str = ''
    # Random bytes that the proof of the peer must cover.
    nonce: bytes = b''
    # HMAC-SHA-256 with the fleet secret over the nonce of the peer.
    proof: bytes = b''


@dataclasses.dataclass(slots=True)
class HelloProof:
    """Last message of the handshake."""

    # HMAC-SHA-256 with the fleet secret over the nonce of the peer.
    proof: bytes = b''


@dataclasses.dataclass(slots=True)
class Error:
    """Reply to a request that failed."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Error kind.
    kind: errors.ErrorKind = errors.ErrorKind.NONE
    # Human-readable explanation in one sentence.
    detail: str = ''
    # Recommended delay before a retry, milliseconds; 0 when unknown.
    retry_after_ms: int = 0


class LoadReport(msgspec.Struct, array_like=True):
    """Load of one upstream as seen by its owner node."""

    # Requests that the upstream is running.
    in_flight: int = 0
    # Requests in the queue of the owner node.
    queued: int = 0
    # Current concurrency limit, requests.
    limit: int = 0
    # State of the upstream.
    state: UpstreamState = UpstreamState.DOWN
    # Incarnation of the upstream process; 0 if there is none.
    upstream_incarnation: int = 0
    # Requests per second that the upstream accepts; infinite without a limit,
    # None if the owner node does not know because it has just started.
    rate_limit: float | None = None


class Call(msgspec.Struct, array_like=True, tag=1):
    """A request that is forwarded to an owner node."""

    # Number of the call, unique on its link.
    call_id: int = 0
    # Service that runs the request.
    service: ServiceName = ServiceName('')
    # HTTP method.
    method: str = ''
    # Path and query as sent by the caller.
    path: str = ''
    # Header lines "name: value", each terminated by CRLF.
    headers: bytes = b''
    # Complete body.
    body: bytes = b''
    # Workspace of the request; empty on open routes.
    workspace: WorkspaceName = WorkspaceName('')
    # Id of the key that authorized the chain; empty on open routes.
    key_id: KeyId = KeyId('')
    # Name of the matched route.
    route_name: str = ''
    # Priority of the call chain.
    priority: Priority = Priority.NORMAL
    # Time until the deadline, milliseconds, counted from receipt.
    deadline_ms: int = 0
    # Runs allowed for this call and its onward calls.
    attempts: int = 0
    # UUIDv7 of the operation; empty if there is none.
    operation_id: OperationId = OperationId('')
    # Whether the request may safely be run twice.
    is_idempotent: bool = False
    # SHA-256 of workspace, method, path and body.
    fingerprint: bytes = b''
    # Id that the upstream returns in its response and extends in the ids of
    # its onward calls; empty if the mesh has none.
    request_id: bytes = b''
    # Host header for the upstream; empty for its address.
    host: bytes = b''
    # Rank of the workspace, compared before priority; 0 is the highest.
    order: int = 0
    # Whether a request that is already running needs this call.
    is_onward: bool = False
    # Upstream process of the owner that named a limit to the entry node, and
    # that limit, requests per second; 0 and infinite if none did.
    limited_incarnation: int = 0
    rate_limit: float = math.inf


class Answer(msgspec.Struct, array_like=True, tag=2):
    """Response to a Call."""

    # Number of the call, unique on its link.
    call_id: int = 0
    # Error kind; NONE when the response came from the upstream.
    kind: errors.ErrorKind = errors.ErrorKind.NONE
    # Whether the request was run.
    outcome: errors.Outcome = errors.Outcome.NOT_RUN
    # HTTP status.
    status: int = 0
    # Header lines "name: value", each terminated by CRLF.
    headers: bytes = b''
    # Complete body.
    body: bytes = b''
    # Human-readable explanation in one sentence.
    detail: str = ''
    # Recommended delay before a retry, milliseconds; 0 when unknown.
    retry_after_ms: int = 0
    # Runs used by this call and its onward calls.
    attempts_used: int = 0
    # Whether an onward call gave up, so that no layer may retry.
    is_final: bool = False
    # Whether the response comes from the operation record.
    is_replayed: bool = False
    # Load of the owner node at the time of the response.
    load: LoadReport = msgspec.field(default_factory=LoadReport)


class Cancel(msgspec.Struct, array_like=True, tag=3):
    """Cancels a Call whose caller no longer waits for the response."""

    # Number of the call, unique on its link.
    call_id: int = 0


class Take(msgspec.Struct, array_like=True, tag=4):
    """Asks another node for a token while the ledger is unreachable."""

    # Number of the request, unique among requests and calls of its link.
    call_id: int = 0
    # Empty to ask only whether the receiver can reach the ledger.
    workspace: WorkspaceName = WorkspaceName('')
    # Whether the token must come from the ledger.
    is_relayed: bool = False


class TakeReply(msgspec.Struct, array_like=True, tag=5):
    """Reply to Take."""

    # Number of the request.
    call_id: int = 0
    # Whether a token was taken, so that the call may proceed.
    is_taken: bool = False
    # Whether the sender can reach the ledger.
    has_ledger: bool = False
    # Recommended delay before a retry, milliseconds.
    retry_after_ms: int = 0


class Heartbeat(msgspec.Struct, array_like=True, tag=6):
    """Renews the lease of a node and reports that it is alive."""

    # Sequence number that matches a reply to its request.
    seq: Count = 0
    # Id of the node.
    node_id: NodeId = NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: Count = 0
    # Last log index that the node has applied.
    applied_index: Count = 0
    # Whether the node wants state updates on this link.
    is_subscribed: bool = False


class HeartbeatReply(msgspec.Struct, array_like=True, tag=7):
    """Reply to Heartbeat, which renews the lease if is_fresh is set."""

    # Sequence number that matches a reply to its request.
    seq: Count = 0
    # Whether the replica confirmed its state after the heartbeat arrived.
    is_fresh: bool = False
    # Last log index that the replica has applied; 0 without is_fresh.
    applied_index: Count = 0
    # Whether the replica is stopping and the node must use another one.
    must_move: bool = False


@dataclasses.dataclass(slots=True)
class Workspace:
    """A customer with a rate and a burst."""

    # Unique name.
    name: str = ''
    # Allowed requests per second, for the whole fleet.
    rate: float = 0.0
    # Requests allowed at once, for the whole fleet.
    burst: int = 0
    # Rank of its requests; 0 is the highest, -1 uses that of the route.
    rank: int = -1


@dataclasses.dataclass(slots=True)
class Key:
    """A key, stored as a digest."""

    # Id of the key.
    key_id: KeyId = KeyId('')
    # Workspace that the key belongs to.
    workspace: WorkspaceName = WorkspaceName('')
    # SHA-256 digest of the key, hexadecimal.
    digest: str = ''


@dataclasses.dataclass(slots=True)
class Target:
    """A service that receives a share of a route's requests."""

    # Service that receives the requests.
    service: ServiceName = ServiceName('')
    # Share of the requests, relative to the other targets.
    weight: float = 0.0


@dataclasses.dataclass(slots=True)
class Route:
    """Rule that maps requests to services by path prefix, method and host."""

    # Unique name.
    name: str = ''
    # Path prefix that the route matches.
    path_prefix: str = ''
    # HTTP methods that the route matches; empty for all.
    methods: list[str] = dataclasses.field(default_factory=list)
    # Service that receives the requests.
    service: ServiceName = ServiceName('')
    # Priority of the call chain.
    priority: Priority = Priority.NORMAL
    # Whether the requests may safely be run twice.
    is_idempotent: bool = False
    # Whether requests need no key.
    is_open: bool = False
    # Runs allowed for a request and its onward calls.
    attempts: int = 0
    # Maximum duration of one call, milliseconds.
    timeout_ms: int = 0
    # Runs that one dispatch and its onward calls may use.
    dispatch_attempts: int = 0
    # Host that the route matches, in lower case; empty for all.
    host: str = ''
    # Services that share the requests; empty to send all to service.
    targets: list[Target] = dataclasses.field(default_factory=list)
    # Latency up to which a response is fully useful, ms; 0 if unknown.
    target_latency_ms: int = 0


@dataclasses.dataclass(slots=True)
class ServiceRule:
    """Settings of the operator for all upstreams of one service."""

    # Name of the service.
    name: str = ''
    # Path of the health endpoint.
    health_path: str = ''
    # Maximum connections to one upstream; 0 for the announced number.
    max_connections: int = 0


@dataclasses.dataclass(slots=True)
class ClientLimits:
    """Limits for the requests of callers; 0 uses the value of the settings."""

    # Maximum size of request line and headers together, bytes.
    max_header_bytes: int = 0
    # Maximum size of a request body, bytes.
    max_body_bytes: int = 0
    # Maximum time to receive the headers of a request, milliseconds.
    header_timeout_ms: int = 0
    # Maximum idle time of a connection, milliseconds.
    idle_timeout_ms: int = 0


@dataclasses.dataclass(slots=True)
class UpstreamRule:
    """Settings of the operator for one upstream."""

    # Unique name.
    name: str = ''
    # Service of the upstream.
    service: ServiceName = ServiceName('')
    # Maximum of the concurrency limit; 0 for the announced number.
    max_slots: int = 0
    # Whether the upstream must not receive requests.
    is_withdrawn: bool = False


@dataclasses.dataclass(slots=True)
class Configuration:
    """Result of all release notes and documents applied so far."""

    # Number of the release note or document that was applied last.
    number: int = 0
    # Log index of that command.
    index: int = 0
    # All workspaces.
    workspaces: list[Workspace] = dataclasses.field(default_factory=list)
    # All keys, as digests only.
    keys: list[Key] = dataclasses.field(default_factory=list)
    # All routes.
    routes: list[Route] = dataclasses.field(default_factory=list)
    # Rules for individual upstreams.
    upstreams: list[UpstreamRule] = dataclasses.field(default_factory=list)
    # Rules for services.
    services: list[ServiceRule] = dataclasses.field(default_factory=list)
    # Limits for the requests of callers.
    limits: ClientLimits = dataclasses.field(default_factory=ClientLimits)


@dataclasses.dataclass(slots=True)
class Member:
    """A node and its upstream."""

    # Id of the node.
    node_id: NodeId = NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0
    # Service of the upstream.
    service: ServiceName = ServiceName('')
    # Availability zone.
    zone: str = ''
    # Region.
    region: str = ''
    # Address for links, 'host:port'.
    address: str = ''
    # State of the upstream.
    state: UpstreamState = UpstreamState.DOWN
    # Whether an operator has drained the upstream.
    is_drained: bool = False
    # Concurrent requests that the upstream announced.
    slots: int = 0
    # Incarnation of the upstream process.
    upstream_incarnation: int = 0


@dataclasses.dataclass(slots=True)
class Quarantine:
    """A suspect or quarantined request."""

    # SHA-256 of workspace, method, path and body.
    fingerprint: bytes = b''
    # Number of crashes reported.
    reports: int = 0
    # Whether requests with this fingerprint are rejected.
    is_quarantined: bool = False
    # Name of the matched route.
    route_name: str = ''
    # Workspace of the request; empty on open routes.
    workspace: WorkspaceName = WorkspaceName('')
    # Wall-clock time of the last crash, milliseconds.
    last_time_ms: int = 0


@dataclasses.dataclass(slots=True)
class StateUpdate:
    """State that control pushes to a node."""

    # Log index of the state.
    index: int = 0
    # Whether the update replaces all earlier state; otherwise it contains only
    # the changes.
    is_full: bool = False
    # Whether the field configuration is set.
    has_configuration: bool = False
    # Configuration in force.
    configuration: Configuration = dataclasses.field(
        default_factory=Configuration
    )
    # Members that were added or changed.
    members: list[Member] = dataclasses.field(default_factory=list)
    # Node ids of the members that were removed.
    removed_members: list[str] = dataclasses.field(default_factory=list)
    # Whether the field quarantines is set.
    has_quarantines: bool = False
    # All suspect and quarantined requests.
    quarantines: list[Quarantine] = dataclasses.field(default_factory=list)


class Want(msgspec.Struct, array_like=True):
    """Tokens that a node requests for one workspace."""

    # Workspace that the tokens are for.
    workspace: WorkspaceName = WorkspaceName('')
    # Unspent tokens of the node when it sent the request.
    held: Count = 0
    # Number of tokens requested.
    wanted: Count = 0
    # Request number, increasing within a process. The ledger discards a
    # request that arrives late through another replica, because its held is
    # out of date.
    number: Count = 0
    # Unspent tokens that the node returns with this request.
    returned: Count = 0
    # Part of wanted for calls that are already waiting; the rest is for
    # expected demand.
    waiting: Count = 0


class Grant(msgspec.Struct, array_like=True):
    """Tokens that a node may spend."""

    # Workspace that the tokens are for.
    workspace: WorkspaceName = WorkspaceName('')
    # Number of tokens granted.
    tokens: Count = 0
    # Recommended delay before a retry, milliseconds; 0 when unknown.
    retry_after_ms: Count = 0


class GrantRequest(msgspec.Struct, array_like=True, tag=8):
    """Requests tokens from the ledger."""

    # Sequence number that matches a reply to its request.
    seq: Count = 0
    # Id of the node.
    node_id: NodeId = NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: Count = 0
    # One entry for each workspace.
    wants: list[Want] = msgspec.field(default_factory=list)


class GrantReply(msgspec.Struct, array_like=True, tag=9):
    """Reply to GrantRequest."""

    # Sequence number that matches a reply to its request.
    seq: Count = 0
    # One entry for each workspace.
    grants: list[Grant] = msgspec.field(default_factory=list)
    # Lifetime of the tokens, milliseconds, from the sending of the request.
    lifetime_ms: Count = 0


@dataclasses.dataclass(slots=True)
class Propose:
    """Requests that a command be logged and applied."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Encoded command.
    command: bytes = b''


@dataclasses.dataclass(slots=True)
class ProposeReply:
    """Result of an applied command."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Encoded result.
    result: bytes = b''
    # Log index of the command.
    index: int = 0


@dataclasses.dataclass(slots=True)
class Query:
    """Requests a linearizable read."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # What is read.
    kind: QueryKind = QueryKind.STATUS
    # Argument of the query.
    text: str = ''


@dataclasses.dataclass(slots=True)
class QueryReply:
    """Result of a Query."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # JSON document.
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class Entry:
    """One log entry."""

    # Log index.
    index: int = 0
    # Election term.
    term: int = 0
    # Wall-clock time, milliseconds; never decreases along the log.
    time_ms: int = 0
    # Encoded command.
    command: bytes = b''


@dataclasses.dataclass(slots=True)
class Voter:
    """A replica that votes."""

    # Replica slot from the settings.
    slot: SlotId = SlotId('')
    # Id of the data folder, assigned when it was formatted.
    disk_id: DiskId = DiskId('')
    # Address for links, 'host:port'.
    address: str = ''
    # Availability zone; empty when unknown.
    zone: str = ''


@dataclasses.dataclass(slots=True)
class VoteRequest:
    """Request of a candidate for a vote."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Replica slot of the candidate.
    slot: SlotId = SlotId('')
    # Id of the data folder, assigned when it was formatted.
    disk_id: DiskId = DiskId('')
    # Index of the last log entry of the candidate.
    last_index: int = 0
    # Term of that entry.
    last_term: int = 0
    # Whether this is a pre-vote, which does not increase the term.
    is_pre_vote: bool = False
    # Whether the leader requested this election.
    is_transfer: bool = False


@dataclasses.dataclass(slots=True)
class VoteReply:
    """Reply to VoteRequest."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Whether the vote is granted.
    is_granted: bool = False
    # Id of the data folder, assigned when it was formatted.
    disk_id: DiskId = DiskId('')


@dataclasses.dataclass(slots=True)
class AppendRequest:
    """Replicates log entries of the leader, and serves as its heartbeat."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Replica slot of the leader.
    slot: SlotId = SlotId('')
    # Index of the entry before entries.
    previous_index: int = 0
    # Term of that entry.
    previous_term: int = 0
    # Log entries in order; empty for a heartbeat.
    entries: list[Entry] = dataclasses.field(default_factory=list)
    # Commit index of the leader.
    commit_index: int = 0


@dataclasses.dataclass(slots=True)
class AppendReply:
    """Reply to AppendRequest."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Whether the entries are stored and synced.
    is_success: bool = False
    # Highest index known to match; on failure, a hint where to continue.
    match_index: int = 0
    # Id of the data folder, assigned when it was formatted.
    disk_id: DiskId = DiskId('')


@dataclasses.dataclass(slots=True)
class SnapshotChunk:
    """Part of a snapshot that the leader sends to a follower."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Replica slot of the leader.
    slot: SlotId = SlotId('')
    # Index of the last entry that the snapshot covers.
    last_index: int = 0
    # Term of that entry.
    last_term: int = 0
    # Offset of the chunk in the snapshot, bytes.
    offset: int = 0
    # Whether this is the last chunk.
    is_last: bool = False
    # Bytes of the snapshot.
    data: bytes = b''


@dataclasses.dataclass(slots=True)
class SnapshotReply:
    """Reply to SnapshotChunk."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Offset of the next chunk to send, bytes.
    next_offset: int = 0
    # Id of the data folder, assigned when it was formatted.
    disk_id: DiskId = DiskId('')


@dataclasses.dataclass(slots=True)
class TransferLeadership:
    """Request of the leader that a follower start an election now."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0


class BarrierRequest(msgspec.Struct, array_like=True, tag=10):
    """Requests a confirmed commit index from the leader."""

    # Sequence number that matches a reply to its request.
    seq: Count = 0


class BarrierReply(msgspec.Struct, array_like=True, tag=11):
    """Reply to BarrierRequest."""

    # Sequence number that matches a reply to its request.
    seq: Count = 0
    # Confirmed commit index.
    index: Count = 0


@dataclasses.dataclass(slots=True)
class NodeBeat:
    """Time since the last heartbeat of a node."""

    # Id of the node.
    node_id: NodeId = NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0
    # Time since the last heartbeat, milliseconds.
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class LivenessReport:
    """Reports to the leader the heartbeats that a follower received."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Nodes that send heartbeats to this replica.
    beats: list[NodeBeat] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Done:
    """Empty reply."""

    # Sequence number that matches a reply to its request.
    seq: int = 0


@dataclasses.dataclass(slots=True)
class Introduce:
    """Requests the list of replicas; a replica also announces itself."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # The sending replica; its slot is empty when a node sends this.
    replica: Voter = dataclasses.field(default_factory=Voter)
    # Whether the replica's disk is empty and formatted for a new fleet.
    is_initial: bool = False


@dataclasses.dataclass(slots=True)
class Directory:
    """Reply to Introduce."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Replicas that vote or are connected, including the sender.
    replicas: list[Voter] = dataclasses.field(default_factory=list)
    # Whether the sender knows voters, so that the fleet already exists.
    is_formed: bool = False


@dataclasses.dataclass(slots=True)
class ReplaceConfiguration:
    """Command: replace the whole configuration."""

    # Number of the configuration that is replaced.
    base: int = 0
    # Number of the new configuration.
    number: int = 0
    # SHA-256 digest of the document, hexadecimal.
    digest: str = ''
    # Name of the operator.
    operator: str = ''
    # Document as sent by the operator.
    document: bytes = b''
    # Parsed document, validated before it was proposed.
    configuration: Configuration = dataclasses.field(
        default_factory=Configuration
    )


@dataclasses.dataclass(slots=True)
class ApplyNote:
    """Command: apply a release note."""

    # Number of the release note.
    number: int = 0
    # SHA-256 digest of the release note by digest_of(), which ignores line
    # endings and trailing white space, hexadecimal.
    digest: str = ''
    # Name of the operator.
    operator: str = ''
    # TOML text of the release note.
    changes: bytes = b''


@dataclasses.dataclass(slots=True)
class Join:
    """Command: a node joins or rejoins."""

    # The member that joins.
    member: Member = dataclasses.field(default_factory=Member)


@dataclasses.dataclass(slots=True)
class SetUpstreamState:
    """Command: change the state of the upstream of a node."""

    # Id of the node.
    node_id: NodeId = NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0
    # State of the upstream.
    state: UpstreamState = UpstreamState.DOWN
    # Concurrent requests that the upstream announced.
    slots: int = 0
    # Incarnation of the upstream process.
    upstream_incarnation: int = 0


@dataclasses.dataclass(slots=True)
class Leave:
    """Command: a node leaves in a planned stop."""

    # Id of the node.
    node_id: NodeId = NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0


@dataclasses.dataclass(slots=True)
class Expire:
    """Command: remove nodes that stopped sending heartbeats."""

    # Nodes without a recent heartbeat.
    nodes: list[NodeBeat] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Drain:
    """Command: an operator starts or ends the draining of an upstream."""

    # Id of the node.
    node_id: NodeId = NodeId('')
    # Whether to start or to end the draining.
    is_drained: bool = False
    # Name of the operator.
    operator: str = ''


@dataclasses.dataclass(slots=True)
class Claim:
    """Command: claim an operation before it is dispatched."""

    # UUIDv7 of the operation.
    operation_id: OperationId = OperationId('')
    # Workspace of the request; empty on open routes.
    workspace: WorkspaceName = WorkspaceName('')
    # SHA-256 of method, path and body.
    request_digest: bytes = b''
    # Random id of one dispatch.
    attempt_id: AttemptId = AttemptId('')
    # Id of the node.
    node_id: NodeId = NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0
    # Upstream that the operation is dispatched to.
    upstream: str = ''
    # Name of the matched route.
    route_name: str = ''


@dataclasses.dataclass(slots=True)
class Complete:
    """Command: record the outcome of a claimed operation."""

    # UUIDv7 of the operation.
    operation_id: OperationId = OperationId('')
    # Random id of one dispatch.
    attempt_id: AttemptId = AttemptId('')
    # Whether the request was run.
    outcome: errors.Outcome = errors.Outcome.NOT_RUN
    # HTTP status.
    status: int = 0
    # Header lines "name: value", each terminated by CRLF.
    headers: bytes = b''
    # Complete body.
    body: bytes = b''
    # Whether the body was too large to store.
    is_truncated: bool = False
    # Workspace of the request; empty on open routes.
    workspace: WorkspaceName = WorkspaceName('')


@dataclasses.dataclass(slots=True)
class Release:
    """Command: release a claim whose dispatch provably was not run."""

    # UUIDv7 of the operation.
    operation_id: OperationId = OperationId('')
    # Random id of one dispatch.
    attempt_id: AttemptId = AttemptId('')
    # Workspace of the request; empty on open routes.
    workspace: WorkspaceName = WorkspaceName('')


@dataclasses.dataclass(slots=True)
class ReportCrash:
    """Command: report that an upstream crashed while running a request."""

    # SHA-256 of workspace, method, path and body.
    fingerprint: bytes = b''
    # Workspace of the request; empty on open routes.
    workspace: WorkspaceName = WorkspaceName('')
    # Name of the matched route.
    route_name: str = ''
    # Id of the node.
    node_id: NodeId = NodeId('')
    # Incarnation of the upstream process.
    upstream_incarnation: int = 0


@dataclasses.dataclass(slots=True)
class Lift:
    """Command: an operator ends a quarantine."""

    # SHA-256 of workspace, method, path and body.
    fingerprint: bytes = b''
    # Name of the operator.
    operator: str = ''


@dataclasses.dataclass(slots=True)
class AddVoter:
    """Command: make a replica that has caught up a voter."""

    # Replica that becomes a voter.
    voter: Voter = dataclasses.field(default_factory=Voter)


@dataclasses.dataclass(slots=True)
class RemoveVoter:
    """Command: remove a replica from the voters."""

    # Replica slot from the settings.
    slot: SlotId = SlotId('')
    # Id of the data folder, assigned when it was formatted.
    disk_id: DiskId = DiskId('')


@dataclasses.dataclass(slots=True)
class CommandResult:
    """Result of a command without a result type of its own."""

    # Whether the command took effect.
    is_accepted: bool = False
    # Human-readable explanation in one sentence.
    detail: str = ''


@dataclasses.dataclass(slots=True)
class NoteResult:
    """Result of ApplyNote and ReplaceConfiguration."""

    # Whether the note was accepted, or why not.
    verdict: NoteVerdict = NoteVerdict.ACCEPTED
    # Number of the release note.
    number: int = 0
    # SHA-256 digest, hexadecimal.
    digest: str = ''
    # Name of the operator.
    operator: str = ''
    # Wall-clock time, milliseconds; never decreases along the log.
    time_ms: int = 0
    # Human-readable explanation in one sentence.
    detail: str = ''


@dataclasses.dataclass(slots=True)
class OperationRecord:
    """State of one operation."""

    # UUIDv7 of the operation.
    operation_id: OperationId = OperationId('')
    # Workspace of the request; empty on open routes.
    workspace: WorkspaceName = WorkspaceName('')
    # SHA-256 of method, path and body.
    request_digest: bytes = b''
    # Random id of one dispatch.
    attempt_id: AttemptId = AttemptId('')
    # Id of the node.
    node_id: NodeId = NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0
    # Upstream that the operation was dispatched to.
    upstream: str = ''
    # Name of the matched route.
    route_name: str = ''
    # State of the operation.
    state: OperationState = OperationState.CLAIMED
    # Wall-clock time of the claim, milliseconds.
    claimed_ms: int = 0
    # Wall-clock time of the outcome, milliseconds; 0 until then.
    ended_ms: int = 0
    # HTTP status.
    status: int = 0
    # Header lines "name: value", each terminated by CRLF.
    headers: bytes = b''
    # Complete body.
    body: bytes = b''
    # Whether the body was too large to store.
    is_truncated: bool = False
    # Number of claims received for this operation.
    claims: int = 0


@dataclasses.dataclass(slots=True)
class ClaimResult:
    """Result of Claim."""

    # Whether the claim was granted, or why not.
    verdict: ClaimVerdict = ClaimVerdict.GRANTED
    # Record after the claim.
    record: OperationRecord = dataclasses.field(
        default_factory=OperationRecord
    )


@dataclasses.dataclass(slots=True)
class AcceptedNote:
    """An accepted release note."""

    # Number of the release note.
    number: int = 0
    # SHA-256 digest, hexadecimal.
    digest: str = ''
    # Name of the operator.
    operator: str = ''
    # Wall-clock time, milliseconds; never decreases along the log.
    time_ms: int = 0


@dataclasses.dataclass(slots=True)
class ConfigurationSnapshot:
    """Replicated state of the configuration."""

    # Configuration in force.
    configuration: Configuration = dataclasses.field(
        default_factory=Configuration
    )
    # Accepted notes, oldest first.
    notes: list[AcceptedNote] = dataclasses.field(default_factory=list)
    # Last complete configuration as sent; empty after a release note.
    document: bytes = b''


@dataclasses.dataclass(slots=True)
class MembersSnapshot:
    """Replicated state of the members."""

    # All members.
    members: list[Member] = dataclasses.field(default_factory=list)
    # Ids of the nodes that operators have drained.
    drained: list[str] = dataclasses.field(default_factory=list)
    # Removed nodes, with the lowest incarnation that may join again.
    gone: list[NodeBeat] = dataclasses.field(default_factory=list)
    # Incarnation of the last upstream that drained, by node.
    departed: list[NodeBeat] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class OperationsSnapshot:
    """Replicated state of the operations."""

    # All operation records.
    records: list[OperationRecord] = dataclasses.field(default_factory=list)
    # Wall-clock time, milliseconds; never decreases along the log.
    time_ms: int = 0


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """Crashes that requests with one fingerprint caused."""

    # SHA-256 of workspace, method, path and body.
    fingerprint: bytes = b''
    # Workspace of the request; empty on open routes.
    workspace: WorkspaceName = WorkspaceName('')
    # Name of the matched route.
    route_name: str = ''
    # Distinct upstream processes that crashed.
    incarnations: list[str] = dataclasses.field(default_factory=list)
    # Wall-clock time of the first crash, milliseconds.
    first_time_ms: int = 0
    # Wall-clock time of the last crash, milliseconds.
    last_time_ms: int = 0


@dataclasses.dataclass(slots=True)
class QuarantineSnapshot:
    """Replicated state of the crash reports."""

    # All crash records.
    records: list[CrashRecord] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class MachineSnapshot:
    """Complete replicated state."""

    # Snapshot of the configuration.
    configuration: ConfigurationSnapshot = dataclasses.field(
        default_factory=ConfigurationSnapshot
    )
    # Snapshot of the members.
    members: MembersSnapshot = dataclasses.field(
        default_factory=MembersSnapshot
    )
    # Snapshot of the operations.
    operations: OperationsSnapshot = dataclasses.field(
        default_factory=OperationsSnapshot
    )
    # Snapshot of the crash records.
    quarantine: QuarantineSnapshot = dataclasses.field(
        default_factory=QuarantineSnapshot
    )


@dataclasses.dataclass(slots=True)
class SnapshotFile:
    """Header of a snapshot file."""

    # Index of the last entry that the snapshot covers.
    last_index: int = 0
    # Term of that entry.
    last_term: int = 0
    # Wall-clock time, milliseconds; never decreases along the log.
    time_ms: int = 0
    # Current voters.
    voters: list[Voter] = dataclasses.field(default_factory=list)
    # Empty in files, where the state follows the header.
    state: bytes = b''
    # Log index of the entry that set the voters.
    voters_index: int = 0


Message = (
    Hello
    | HelloReply
    | HelloProof
    | Error
    | Call
    | Answer
    | Cancel
    | Take
    | TakeReply
    | Heartbeat
    | HeartbeatReply
    | StateUpdate
    | GrantRequest
    | GrantReply
    | Propose
    | ProposeReply
    | Query
    | QueryReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TransferLeadership
    | BarrierRequest
    | BarrierReply
    | LivenessReport
    | Done
    | ApplyNote
    | Join
    | SetUpstreamState
    | Leave
    | Expire
    | Drain
    | Claim
    | Complete
    | Release
    | ReportCrash
    | Lift
    | AddVoter
    | RemoveVoter
    | CommandResult
    | NoteResult
    | ClaimResult
    | ConfigurationSnapshot
    | MembersSnapshot
    | OperationsSnapshot
    | QuarantineSnapshot
    | MachineSnapshot
    | SnapshotFile
    | Entry
    | Introduce
    | Directory
    | ReplaceConfiguration
)
