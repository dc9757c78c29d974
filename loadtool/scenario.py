"""What a load run does: the TOML scenario as option classes.

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
    """How the intended send times are spread."""

    # Exponential gaps, as from many independent callers.
    POISSON = 'poisson'
    # Equal gaps.
    EVEN = 'even'


class Policy(enum.Enum):
    """What a client does after a refusal or a failure."""

    # Gives up.
    NONE = 'none'
    # Waits as long as Retry-After says, then sends again; without such a
    # header it gives up.
    POLITE = 'polite'
    # Sends again at once.
    HARD = 'hard'


@dataclasses.dataclass
class Phase:
    """A stretch of time over which the rates are constant."""

    # Name in the report.
    name: str
    # Length, seconds.
    seconds: float


@dataclasses.dataclass
class Load:
    """A stream of calls of one workspace to one route."""

    # Path of the route, without a query.
    path: str
    # Calls a second in each phase, in the order of the phases.
    rates: list[float]
    # Workspace in the report.
    workspace: str = ''
    # Key of the workspace; empty sends none.
    key: str = ''
    # Name in the report; empty takes the workspace.
    name: str = ''
    # HTTP method.
    method: str = 'GET'
    # Smallest size of the body, bytes. GET requests have none.
    body_bytes: int = 0
    # Body that all calls share; empty makes every request unique.
    fixed_body: str = ''
    # Calls carry an operation id, the same one on each resend.
    has_operation: bool = False
    # Godwitstall-Priority; empty sends none.
    priority: str = ''
    # Time in which a send must be answered, milliseconds. It runs from the
    # intended time for the first send and from its own start for a resend.
    deadline_ms: int = 2000
    # The deadline is sent as Godwitstall-Deadline-Ms.
    is_deadline_sent: bool = True
    # How the intended send times are spread.
    arrivals: Arrivals = Arrivals.POISSON
    # What the client does after a refusal or a failure.
    policy: Policy = Policy.NONE
    # Most resends of one call.
    resends: int = 0
    # Listeners for this load only; empty takes those of the scenario.
    targets: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Scenario:
    """A whole run."""

    # Caller listeners, 'host:port'; calls take them in turn.
    targets: list[str]
    # Phases, one after the other.
    phases: list[Phase]
    # Streams of calls.
    loads: list[Load]
    # Seed of the arrivals.
    seed: int = 1
    # Connections to each target.
    connections: int = 64
    # Extra time after the deadline before the client closes its connection,
    # milliseconds; an answer in it is counted as late.
    patience_ms: int = 200
    # Calls open at once; further ones are counted as failed, unsent.
    max_open: int = 20_000
    # Calls in the whole run; the run ends there.
    max_calls: int = 5_000_000
    # The event loop polls instead of sleeping. This takes a whole core and
    # removes the wake-up delay of the timer and of the sockets.
    is_spinning: bool = False
    # Answers must carry the digest of their request. Without it any whole
    # answer with a status of 2xx is good, for servers other than standin.
    is_digest_checked: bool = True


def check(scenario: Scenario) -> None:
    """Raise SettingsError unless the parts of a scenario fit together."""
    problems = []
    if not scenario.phases:
        problems.append('phases: needs at least one')
    for place, load in enumerate(scenario.loads):
        where = f'loads[{place}]'
        if len(load.rates) != len(scenario.phases):
            problems.append(f'{where}.rates: needs one rate for each phase')
        if any(rate < 0 for rate in load.rates):
            problems.append(f'{where}.rates: must not be negative')
        if not load.targets and not scenario.targets:
            problems.append(f'{where}.targets: no target is given')
        if load.fixed_body and load.method == 'GET':
            problems.append(f'{where}.fixed_body: GET has no body')
    if problems:
        raise errors.SettingsError(problems)
