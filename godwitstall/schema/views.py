"""Heartbeats of nodes, and the state that control sends to them.

Example: Heartbeat(node_id=ids.NodeId('siop-1'))
"""

import dataclasses

import msgspec

from godwitstall.schema import ids
from godwitstall.schema import states


class Heartbeat(msgspec.Struct, array_like=True, tag=6):
    """Renews the lease of a node and reports that it is alive."""

    # Sequence number that matches a reply to its request.
    seq: ids.Count = 0
    # Id of the node.
    node_id: ids.NodeId = ids.NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: ids.Count = 0
    # Last log index that the node has applied.
    applied_index: ids.Count = 0
    # Whether the node wants state updates on this link.
    is_subscribed: bool = False


class HeartbeatReply(msgspec.Struct, array_like=True, tag=7):
    """Reply to Heartbeat, which renews the lease if is_fresh is set."""

    # Sequence number that matches a reply to its request.
    seq: ids.Count = 0
    # Whether the replica confirmed its state after the heartbeat arrived.
    is_fresh: bool = False
    # Last log index that the replica has applied; 0 without is_fresh.
    applied_index: ids.Count = 0
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
    key_id: ids.KeyId = ids.KeyId('')
    # Workspace that the key belongs to.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
    # SHA-256 digest of the key, hexadecimal.
    digest: str = ''


@dataclasses.dataclass(slots=True)
class Target:
    """A service that receives a share of a route's requests."""

    # Service that receives the requests.
    service: ids.ServiceName = ids.ServiceName('')
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
    service: ids.ServiceName = ids.ServiceName('')
    # Priority of the call chain.
    priority: states.Priority = states.Priority.NORMAL
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
    # Time for which an upstream is cold after its start, milliseconds.
    cold_start_ms: int = 0
    # Requests per second that a cold upstream tolerates; 0 without a limit.
    cold_per_s: float = 0.0


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
    service: ids.ServiceName = ids.ServiceName('')
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
    node_id: ids.NodeId = ids.NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0
    # Service of the upstream.
    service: ids.ServiceName = ids.ServiceName('')
    # Availability zone.
    zone: str = ''
    # Region.
    region: str = ''
    # Address for links, 'host:port'.
    address: str = ''
    # State of the upstream.
    state: states.UpstreamState = states.UpstreamState.DOWN
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
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
    # Wall-clock time of the last crash, milliseconds.
    last_time_ms: int = 0


@dataclasses.dataclass(slots=True)
class Evacuation:
    """The last order about the evacuation of a zone."""

    # Availability zone.
    zone: str = ''
    # Whether the zone is evacuated, or its evacuation has ended.
    is_active: bool = False
    # Log index of the order.
    index: int = 0
    # Wall-clock time of the order, milliseconds.
    time_ms: int = 0
    # Name of the operator.
    operator: str = ''


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
    # Whether the field evacuations is set.
    has_evacuations: bool = False
    # All zones that are or were evacuated.
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
