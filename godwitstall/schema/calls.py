"""Messages of the request path between nodes.

Example: Cancel(call_id=7)
"""

import math

import msgspec

from godwitstall import errors
from godwitstall.schema import ids
from godwitstall.schema import states


class LoadReport(msgspec.Struct, array_like=True):
    """Load of one upstream as seen by its owner node."""

    # Requests that the upstream is running.
    in_flight: int = 0
    # Requests in the queue of the owner node.
    queued: int = 0
    # Current concurrency limit, requests.
    limit: int = 0
    # State of the upstream.
    state: states.UpstreamState = states.UpstreamState.DOWN
    # Incarnation of the upstream process; 0 if there is none.
    upstream_incarnation: int = 0
    # Requests per second that the upstream accepts; infinite without a limit,
    # None if the owner node does not know because it has just started.
    rate_limit: float | None = None
    # Time for which the upstream stays cold, milliseconds; 0 if it is warm.
    cold_ms: int = 0


class ServiceRoom(msgspec.Struct, array_like=True):
    """Room that a service has left for new work, as one node has seen it."""

    # Service that the mark describes.
    service: ids.ServiceName = ids.ServiceName('')
    # Levels of requests that the service admits. A level follows from rank and
    # priority, and a higher one is admitted later. Levels below the whole part
    # are admitted whole, the level of the whole part by the fraction.
    level: float = 0.0
    # Time since the measurement, milliseconds, at the time of sending.
    age_ms: int = 0
    # Calls that one request of the answered route makes to the service, on
    # average.
    fan_out: float = 0.0


class Call(msgspec.Struct, array_like=True, tag=1):
    """A request that is forwarded to an owner node."""

    # Number of the call, unique on its link.
    call_id: int = 0
    # Service that runs the request.
    service: ids.ServiceName = ids.ServiceName('')
    # HTTP method.
    method: str = ''
    # Path and query as sent by the caller.
    path: str = ''
    # Header lines "name: value", each terminated by CRLF.
    headers: bytes = b''
    # Complete body.
    body: bytes = b''
    # Workspace of the request; empty on open routes.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
    # Id of the key that authorized the chain; empty on open routes.
    key_id: ids.KeyId = ids.KeyId('')
    # Name of the matched route.
    route_name: str = ''
    # Priority of the call chain.
    priority: states.Priority = states.Priority.NORMAL
    # Time until the deadline, milliseconds, counted from receipt.
    deadline_ms: int = 0
    # Runs allowed for this call and its onward calls.
    attempts: int = 0
    # UUIDv7 of the operation; empty if there is none.
    operation_id: ids.OperationId = ids.OperationId('')
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
    # Share of the requests of this kind that the first node of the chain
    # admitted, 0 to 1; 1 if it admits all.
    admitted_share: float = 1.0
    # Size of a body that was sent ahead in parts, bytes; 0 if body is whole.
    body_bytes: int = 0


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
    # Time that the upstream itself has spent, milliseconds, without onward
    # calls and without the wait for a slot; 0 if the request was not run.
    own_time_ms: float = 0.0
    # Room of the services that the request's chain needs.
    rooms: list[ServiceRoom] = msgspec.field(default_factory=list)
    # Size of a body that was sent ahead in parts, bytes; 0 if body is whole.
    body_bytes: int = 0


class Cancel(msgspec.Struct, array_like=True, tag=3):
    """Cancels a Call whose caller no longer waits for the response."""

    # Number of the call, unique on its link.
    call_id: int = 0


class Take(msgspec.Struct, array_like=True, tag=4):
    """Asks another node for a token while the ledger is unreachable."""

    # Number of the request, unique among requests and calls of its link.
    call_id: int = 0
    # Empty to ask only whether the receiver can reach the ledger.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
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


class BodyOffer(msgspec.Struct, array_like=True, tag=12):
    """Asks for room for the body of a Call or an Answer."""

    # Number of the call, unique on its link.
    call_id: int = 0
    # Size of the body, bytes.
    size: int = 0


class BodyGrant(msgspec.Struct, array_like=True, tag=13):
    """Allows the body that was offered to be sent."""

    # Number of the call, unique on its link.
    call_id: int = 0


class BodyPart(msgspec.Struct, array_like=True, tag=14):
    """A part of a body, ahead of its Call or Answer."""

    # Number of the call, unique on its link.
    call_id: int = 0
    data: bytes = b''
