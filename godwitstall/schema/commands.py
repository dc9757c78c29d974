"""Commands in the replicated log, and their results.

Example: Drain(node_id=ids.NodeId('siop-1'))
"""

import dataclasses

from godwitstall import errors
from godwitstall.schema import consensus
from godwitstall.schema import ids
from godwitstall.schema import liveness
from godwitstall.schema import states
from godwitstall.schema import views


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
    configuration: views.Configuration = dataclasses.field(
        default_factory=views.Configuration
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
    member: views.Member = dataclasses.field(default_factory=views.Member)


@dataclasses.dataclass(slots=True)
class SetUpstreamState:
    """Command: change the state of the upstream of a node."""

    # Id of the node.
    node_id: ids.NodeId = ids.NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0
    # State of the upstream.
    state: states.UpstreamState = states.UpstreamState.DOWN
    # Concurrent requests that the upstream announced.
    slots: int = 0
    # Incarnation of the upstream process.
    upstream_incarnation: int = 0


@dataclasses.dataclass(slots=True)
class Leave:
    """Command: a node leaves in a planned stop."""

    # Id of the node.
    node_id: ids.NodeId = ids.NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0


@dataclasses.dataclass(slots=True)
class Expire:
    """Command: remove nodes that stopped sending heartbeats."""

    # Nodes without a recent heartbeat.
    nodes: list[liveness.NodeBeat] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Drain:
    """Command: an operator starts or ends the draining of an upstream."""

    # Id of the node.
    node_id: ids.NodeId = ids.NodeId('')
    # Whether to start or to end the draining.
    is_drained: bool = False
    # Name of the operator.
    operator: str = ''


@dataclasses.dataclass(slots=True)
class Evacuate:
    """Command: an operator starts or ends the evacuation of a zone."""

    # Availability zone.
    zone: str = ''
    # Whether to start or to end the evacuation.
    is_active: bool = False
    # Name of the operator.
    operator: str = ''
    # Zones that the process that received the order knows, members or not.
    known_zones: list[str] = dataclasses.field(default_factory=list)
    # Log index that this process had applied when it received the order.
    seen_index: int = 0


@dataclasses.dataclass(slots=True)
class Claim:
    """Command: claim an operation before it is dispatched."""

    # UUIDv7 of the operation.
    operation_id: ids.OperationId = ids.OperationId('')
    # Workspace of the request; empty on open routes.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
    # SHA-256 of method, path and body.
    request_digest: bytes = b''
    # Random id of one dispatch.
    attempt_id: ids.AttemptId = ids.AttemptId('')
    # Id of the node.
    node_id: ids.NodeId = ids.NodeId('')
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
    operation_id: ids.OperationId = ids.OperationId('')
    # Random id of one dispatch.
    attempt_id: ids.AttemptId = ids.AttemptId('')
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
    workspace: ids.WorkspaceName = ids.WorkspaceName('')


@dataclasses.dataclass(slots=True)
class Release:
    """Command: release a claim whose dispatch provably was not run."""

    # UUIDv7 of the operation.
    operation_id: ids.OperationId = ids.OperationId('')
    # Random id of one dispatch.
    attempt_id: ids.AttemptId = ids.AttemptId('')
    # Workspace of the request; empty on open routes.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')


@dataclasses.dataclass(slots=True)
class ReportCrash:
    """Command: report that an upstream crashed while running a request."""

    # SHA-256 of workspace, method, path and body.
    fingerprint: bytes = b''
    # Workspace of the request; empty on open routes.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
    # Name of the matched route.
    route_name: str = ''
    # Id of the node.
    node_id: ids.NodeId = ids.NodeId('')
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
    voter: consensus.Voter = dataclasses.field(default_factory=consensus.Voter)


@dataclasses.dataclass(slots=True)
class RemoveVoter:
    """Command: remove a replica from the voters."""

    # Replica slot from the settings.
    slot: ids.SlotId = ids.SlotId('')
    # Id of the data folder, assigned when it was formatted.
    disk_id: ids.DiskId = ids.DiskId('')


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
    verdict: states.NoteVerdict = states.NoteVerdict.ACCEPTED
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
class EvacuationResult:
    """Result of Evacuate."""

    # Whether the order was accepted, or why not.
    verdict: states.EvacuationVerdict = states.EvacuationVerdict.ACCEPTED
    # Log index of the last order that changed the zone; 0 if there is none.
    index: int = 0
    # Human-readable explanation in one sentence.
    detail: str = ''


@dataclasses.dataclass(slots=True)
class OperationRecord:
    """State of one operation."""

    # UUIDv7 of the operation.
    operation_id: ids.OperationId = ids.OperationId('')
    # Workspace of the request; empty on open routes.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
    # SHA-256 of method, path and body.
    request_digest: bytes = b''
    # Random id of one dispatch.
    attempt_id: ids.AttemptId = ids.AttemptId('')
    # Id of the node.
    node_id: ids.NodeId = ids.NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0
    # Upstream that the operation was dispatched to.
    upstream: str = ''
    # Name of the matched route.
    route_name: str = ''
    # State of the operation.
    state: states.OperationState = states.OperationState.CLAIMED
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
    verdict: states.ClaimVerdict = states.ClaimVerdict.GRANTED
    # Record after the claim.
    record: OperationRecord = dataclasses.field(
        default_factory=OperationRecord
    )
