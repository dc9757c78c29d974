"""Options of the stand-in: the table [standin] of its settings file."""

import dataclasses

from standin import behaviour as behaviours


@dataclasses.dataclass
class OnwardCall:
    """Calls that a run makes through the upstream listener of its node."""

    # Path of the route, without a query.
    path: str
    # Prefix of the paths whose runs make the calls; empty selects all.
    for_prefix: str = ''
    # Number of calls of a run; they are made one after the other.
    count: int = 1
    # HTTP method.
    method: str = 'GET'
    # Size of the body, bytes; 0 sends no body.
    body_bytes: int = 0
    # Whether each call carries a new operation id.
    has_operation: bool = False


@dataclasses.dataclass
class StandinOptions:
    """The table [standin]."""

    # Name of the announced service.
    service: str
    # Listen address, 'host:port'.
    address: str
    # Upstream listener of the node, 'host:port'; empty disables announcements.
    node_address: str = ''
    # Requests that run concurrently.
    slots: int = 8
    # Concurrent connections; calls are aborted while more are open.
    connections: int = 1000
    # Queued requests; further requests are shed.
    max_queue: int = 100
    # Mean duration of a run without its onward calls, milliseconds.
    service_ms: float = 5.0
    # Sigma of the log-normal service time; 0 makes it constant.
    spread: float = 0.0
    # Factor by which the service time is multiplied at the start.
    cold_factor: float = 1.0
    # Time in which the cold start factor decreases to 1, seconds.
    cold_s: float = 5.0
    # Onward calls of each run.
    onward: list[OnwardCall] = dataclasses.field(default_factory=list)
    # Deadline of onward calls if the request has no deadline, milliseconds.
    onward_deadline_ms: int = 10_000
    # Size to which responses are padded, bytes; 0 disables padding.
    answer_bytes: int = 0
    # Path of the health endpoint.
    health_path: str = '/health'
    # Interval between announcements, seconds.
    announce_s: float = 1.0
    # Shortest time between SIGTERM and exit, seconds. Other nodes learn of the
    # draining state during this time.
    drain_min_s: float = 1.0
    # Longest time between SIGTERM and exit, seconds.
    drain_max_s: float = 30.0
    # Seed of the generator of service times, error responses and faults.
    seed: int = 1
    # Journal file of runs, which survives a crash; empty disables it.
    runs_file: str = ''
    # Runs kept for GET /_standin/runs; further runs are only counted.
    max_runs: int = 1_000_000
    # Initial behaviour. Tests of requests that crash every upstream need it,
    # since a restarted process must apply the crash marker at once.
    behaviour: behaviours.Behaviour = dataclasses.field(
        default_factory=behaviours.Behaviour
    )
