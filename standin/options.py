"""Options of the upstream stand-in: the table [standin] of its file."""

import dataclasses

from standin import behaviour as behaviours


@dataclasses.dataclass
class OnwardCall:
    """Calls that each run makes through the node's upstream listener."""

    # Path of the route, without a query.
    path: str
    # Only runs whose path starts with this make the calls.
    for_prefix: str = ''
    # Calls a run makes, one after the other.
    count: int = 1
    # HTTP method.
    method: str = 'GET'
    # Size of the body, bytes; 0 sends none.
    body_bytes: int = 0
    # Each call carries a new operation id.
    has_operation: bool = False


@dataclasses.dataclass
class StandinOptions:
    """The table [standin]."""

    # Service that is announced.
    service: str
    # Where the node connects, 'host:port'.
    address: str
    # Upstream listener of the own node, 'host:port'; empty announces nothing.
    node_address: str = ''
    # Requests run at once.
    slots: int = 8
    # Connections accepted at once.
    connections: int = 1000
    # Requests that wait for a slot before further ones are shed.
    max_queue: int = 100
    # Mean time a run takes, milliseconds, without its onward calls.
    service_ms: float = 5.0
    # Sigma of the log-normal service time; 0 makes every run the same.
    spread: float = 0.0
    # Service time right after the start, as a multiple of the mean.
    cold_factor: float = 1.0
    # Time over which the cold start eases to a factor of 1, seconds.
    cold_s: float = 5.0
    # Onward calls of every run.
    onward: list[OnwardCall] = dataclasses.field(default_factory=list)
    # Deadline of onward calls when the request brings none, milliseconds.
    onward_deadline_ms: int = 10_000
    # Size that answers are padded to, bytes; 0 pads nothing.
    answer_bytes: int = 0
    # Path of the health endpoint.
    health_path: str = '/health'
    # Time between announcements, seconds.
    announce_s: float = 1.0
    # Shortest time between SIGTERM and the end, seconds; in it other nodes
    # hear of the draining state.
    drain_min_s: float = 1.0
    # Longest time between SIGTERM and the end, seconds.
    drain_max_s: float = 30.0
    # Seed of service times, error rates and fault shares.
    seed: int = 1
    # Journal of runs that survives a crash; empty keeps runs in memory only.
    runs_file: str = ''
    # Runs kept for GET /_standin/runs; later ones are only counted.
    max_runs: int = 1_000_000
    # Behaviour at the start; a restarted process has it again at once, which
    # a request that crashes every upstream needs.
    behaviour: behaviours.Behaviour = dataclasses.field(
        default_factory=behaviours.Behaviour
    )
