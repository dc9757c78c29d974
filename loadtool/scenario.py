"""Option classes of the TOML file that describes a load run.

Example:
    targets = ['127.0.1.1:8080', '127.0.1.2:8080']
    [[phases]]
    name = 'normal'
    seconds = 10.0
    [[loads]]
    workspace = 'siop-fawr'
    key = 'example'
    rates = [200.0]
    path = '/orders'
"""

import dataclasses
import enum

from godwitstall import errors


class Arrivals(enum.Enum):
    """Distribution of the intended send times."""

    # Exponential intervals, as from many independent callers.
    POISSON = 'poisson'
    # Equal intervals.
    EVEN = 'even'


class Policy(enum.Enum):
    """Behaviour of a client after a refusal or failure."""

    # Does not resend.
    NONE = 'none'
    # Resends after the time in Retry-After; does not resend without this
    # header.
    POLITE = 'polite'
    # Resends immediately.
    HARD = 'hard'


@dataclasses.dataclass
class Phase:
    """A period with constant rates."""

    # Name in the report.
    name: str
    # Duration, seconds.
    seconds: float


@dataclasses.dataclass
class Load:
    """A stream of calls from one workspace to one route."""

    # Path of the route, without a query.
    path: str
    # Calls per second in each phase, in the order of the phases.
    rates: list[float]
    # Workspace in the report.
    workspace: str = ''
    # API key of the workspace; empty sends no key.
    key: str = ''
    # Name in the report; empty selects the workspace.
    name: str = ''
    # HTTP method.
    method: str = 'GET'
    # Minimum size of the body, bytes. GET requests have no body.
    body_bytes: int = 0
    # Body of all calls; empty makes each request unique.
    fixed_body: str = ''
    # Whether calls carry an operation id, which resends repeat.
    has_operation: bool = False
    # Value of Godwitstall-Priority; empty sends no header.
    priority: str = ''
    # Time limit for the response to a send, milliseconds. It starts at the
    # intended time of the first send and at the actual time of a resend.
    deadline_ms: int = 2000
    # Whether the deadline is sent as Godwitstall-Deadline-Ms.
    is_deadline_sent: bool = True
    # Distribution of the intended send times.
    arrivals: Arrivals = Arrivals.POISSON
    # Behaviour of the client after a refusal or failure.
    policy: Policy = Policy.NONE
    # Maximum number of resends of a call.
    resends: int = 0
    # Caller listeners, 'host:port'; empty selects the scenario's targets.
    targets: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Scenario:
    """A load run."""

    # Caller listeners, 'host:port', which calls use in rotation.
    targets: list[str]
    # Consecutive phases.
    phases: list[Phase]
    # Concurrent streams of calls.
    loads: list[Load]
    # Seed of the arrival times.
    seed: int = 1
    # Maximum number of connections to each target.
    connections: int = 64
    # Time from the deadline until the client closes its connection,
    # milliseconds. A response in this time is counted as late.
    patience_ms: int = 200
    # Maximum number of open calls; further calls fail as unsent.
    max_open: int = 20_000
    # Number of calls after which the run ends.
    max_calls: int = 5_000_000
    # Whether the event loop polls instead of sleeping. Polling uses a full
    # core and removes the wake-up delay of timers and sockets.
    is_spinning: bool = False
    # Whether responses must carry the digest of their request. Otherwise any
    # complete 2xx response is good, for servers other than standin.
    is_digest_checked: bool = True


def check(scenario: Scenario) -> None:
    """Raise SettingsError if a scenario is inconsistent."""
    problems = []
    if not scenario.phases:
        problems.append('phases: must not be empty')
    for index, load in enumerate(scenario.loads):
        location = f'loads[{index}]'
        if len(load.rates) != len(scenario.phases):
            problems.append(
                f'{location}.rates: must have one rate for each phase'
            )
        if any(rate < 0 for rate in load.rates):
            problems.append(f'{location}.rates: must not be negative')
        if not load.targets and not scenario.targets:
            problems.append(f'{location}.targets: must not be empty')
        if load.fixed_body and load.method == 'GET':
            problems.append(f'{location}.fixed_body: must be empty for GET')
    if problems:
        raise errors.SettingsError(problems)
