"""An upstream that names a rate limit gets no more than that.

The pattern: some upstreams of a service name in their answers the requests per
second that they accept from all nodes together, while callers send as many as
before. Everything runs in simulated time.
"""

import asyncio
import math
import typing

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from tests import simulated_fleet

_LIMIT_PER_S = 15.0
_LIMITED = [(b'x-limit', b'15.0')]

# Requests in a window that users accept, relative to the limit and in addition
# to that, and the time until a node must observe a limit, seconds.
_WINDOW_S = 4.0
_ACCEPTED_RATIO = 1.5
_ACCEPTED_REQUESTS = 5
_REACTION_S = 3.0
# Longest time to a refusal, seconds: the wait in the queues of two owners.
_MAX_REFUSAL_S = 1.1
# Age of the answer from which an entry node counts as informed, seconds.
_INFORMED_AFTER_S = 0.5

_SERVICES = {'a': 'siop', 'b': 'siop', 'c': 'gwydd', 'd': 'gwydd'}
_ENTRIES = list(_SERVICES)


def _busiest_window(
    fleet: simulated_fleet.Fleet, name: str, start: float
) -> int:
    """Return the most requests of informed nodes in one window."""
    upstream = fleet.upstreams[name]
    informed_at = fleet.informed_at(upstream, b'x-limit')
    times = [
        arrival.at
        for arrival in upstream.arrivals
        if arrival.at >= start
        and arrival.at
        >= informed_at.get(arrival.entry, math.inf) + _INFORMED_AFTER_S
    ]
    return max(
        (sum(t <= at < t + _WINDOW_S for at in times) for t in times),
        default=0,
    )


class _DelayedClaimer:
    """Confirms all claims at one moment, and at once after it."""

    def __init__(self, confirmed_at: float) -> None:
        self.confirmed_at = confirmed_at
        self.released_count = 0
        self.session = self

    def may_serve(self, now: float) -> bool:
        return True

    async def claim(self, *_: object) -> None:
        await asyncio.sleep(self.confirmed_at - clock.now())

    async def complete(self, *_: object) -> None:
        pass

    async def release_and_wait(self, *_: object) -> None:
        self.released_count += 1


def _check_limit(
    fleet: simulated_fleet.Fleet,
    name: str,
    start: float,
    limit: float = _LIMIT_PER_S,
) -> None:
    accepted = _ACCEPTED_RATIO * limit * _WINDOW_S + _ACCEPTED_REQUESTS
    count = _busiest_window(fleet, name, start)
    assert count <= accepted, (name, count, accepted)


def test_limit_holds_while_callers_send_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against nodes that do not observe a limit in the answers."""
    fleet = simulated_fleet.Fleet(_SERVICES)

    async def scenario() -> None:
        await fleet.load(_ENTRIES, 'siop', 100.0, 2.0)
        named_at = clock.now()
        fleet.upstreams['a'].headers = _LIMITED
        await fleet.load(_ENTRIES, 'siop', 100.0, 12.0)
        _check_limit(fleet, 'a', named_at + _REACTION_S)

    fleet.run(scenario(), monkeypatch)
    assert fleet.statuses == {200: 1400}


@pytest.mark.parametrize('pause_s', [0.05, 1.0])
def test_limit_holds_after_its_owner_node_restarts(
    monkeypatch: pytest.MonkeyPatch, pause_s: float
) -> None:
    """Guards against a limit that is lost when the owner node restarts.

    The other nodes know the limit, so the requests that they send to the new
    owner process before its first answer count as well.
    """
    fleet = simulated_fleet.Fleet(_SERVICES, work_s=1.5)

    async def scenario() -> None:
        await fleet.load(_ENTRIES, 'siop', 150.0, 2.0)
        named_at = clock.now()
        fleet.upstreams['a'].headers = [(b'x-limit', b'5')]
        load = asyncio.create_task(fleet.load(_ENTRIES, 'siop', 150.0, 16.0))
        await asyncio.sleep(7.0)
        fleet.stop('a')
        await asyncio.sleep(pause_s)
        fleet.start('a')
        await load
        _check_limit(fleet, 'a', named_at + _REACTION_S, 5.0)

    fleet.run(scenario(), monkeypatch)


def test_service_with_limits_only_refuses_the_rest_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusals that are held, or that lack a retry time."""
    fleet = simulated_fleet.Fleet(_SERVICES)

    async def scenario() -> None:
        for name in ('a', 'b'):
            fleet.upstreams[name].headers = _LIMITED
        await fleet.load(_ENTRIES, 'siop', 100.0, 10.0)
        for name in ('a', 'b'):
            _check_limit(fleet, name, 1000.0 + _REACTION_S)

    fleet.run(scenario(), monkeypatch)
    # Both upstreams are used up to their limits.
    assert fleet.statuses[200] >= 0.9 * 2 * _LIMIT_PER_S * 10.0
    assert set(fleet.statuses) == {200, 503}
    assert all(
        refusal.has_retry_time and refusal.took_s <= _MAX_REFUSAL_S
        for refusal in fleet.refusals
    )


def test_limit_ends_with_the_answers_that_name_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a limit that is kept after the upstream's need."""
    fleet = simulated_fleet.Fleet({'a': 'siop', 'c': 'gwydd'})

    async def scenario() -> None:
        fleet.upstreams['a'].headers = _LIMITED
        await fleet.load(['a', 'c'], 'siop', 60.0, 5.0)
        fleet.upstreams['a'].headers = []
        await asyncio.sleep(1.5)
        # The first answer without a limit ends it.
        await fleet.load(['a', 'c'], 'siop', 5.0, 1.0)
        fleet.statuses.clear()
        await fleet.load(['a', 'c'], 'siop', 60.0, 5.0)

    fleet.run(scenario(), monkeypatch)
    assert fleet.statuses == {200: 300}


@pytest.mark.parametrize(
    'value',
    [b'', b'many', b'-3', b'nan', b'inf', b'1e3', b'1_0', b'9' * 40, b'\xff'],
)
def test_unreadable_limit_counts_as_absent(
    monkeypatch: pytest.MonkeyPatch, value: bytes
) -> None:
    """Guards against a malformed header that stops the traffic."""
    fleet = simulated_fleet.Fleet({'a': 'siop', 'c': 'gwydd'})

    async def scenario() -> None:
        fleet.upstreams['a'].headers = [(b'x-limit', value)]
        await fleet.load(['a', 'c'], 'siop', 60.0, 3.0)

    fleet.run(scenario(), monkeypatch)
    assert fleet.statuses == {200: 180}


@pytest.mark.parametrize(
    'value', [b'2', b' 2.0 ', b'2.', b'.5', b'1.9999999999999998', b'5e-05']
)
def test_limit_in_any_notation_is_observed(
    monkeypatch: pytest.MonkeyPatch, value: bytes
) -> None:
    """Guards against a limit that is ignored because of its digits."""
    fleet = simulated_fleet.Fleet({'a': 'siop', 'c': 'gwydd'})

    async def scenario() -> None:
        fleet.upstreams['a'].headers = [(b'x-limit', value)]
        await fleet.load(['a', 'c'], 'siop', 60.0, 8.0)
        _check_limit(fleet, 'a', 1000.0 + _REACTION_S, limit=float(value))

    fleet.run(scenario(), monkeypatch)


def test_next_process_has_no_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a limit that also applies to the next process."""
    fleet = simulated_fleet.Fleet({'a': 'siop', 'c': 'gwydd'})

    async def scenario() -> None:
        fleet.upstreams['a'].headers = _LIMITED
        await fleet.load(['a', 'c'], 'siop', 60.0, 3.0)
        fleet.replace_upstream('a', 50)
        fleet.statuses.clear()
        await fleet.load(['a', 'c'], 'siop', 60.0, 3.0)

    fleet.run(scenario(), monkeypatch)
    assert fleet.statuses == {200: 180}


def test_requests_of_slow_claims_observe_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against claims that are delayed together and end together."""
    fleet = simulated_fleet.Fleet({'a': 'siop', 'c': 'gwydd'})

    async def scenario() -> None:
        await fleet.load(['c'], 'siop', 10.0, 1.0)
        fleet.upstreams['a'].headers = _LIMITED
        await fleet.load(['c'], 'siop', 10.0, 3.0)
        owner = fleet.nodes['a'].owner
        claimer: typing.Any = _DelayedClaimer(clock.now() + 3.5)
        owner.claimer = claimer
        calls = []
        for number in range(200):
            call = messages.Call(
                service=messages.ServiceName('siop'),
                deadline_ms=5000,
                attempts=2,
                operation_id=messages.OperationId(f'o{number}'),
                request_id=b'%d' % fleet.add_request('c'),
            )
            calls.append(asyncio.create_task(owner.handle(call)))
            await asyncio.sleep(0.03)
        answers = await asyncio.gather(*calls)
        _check_limit(fleet, 'a', 1000.0 + _REACTION_S)
        refused = sum(a.kind is errors.ErrorKind.OVERLOADED for a in answers)
        # Each call that is not sent releases its claim.
        assert claimer.released_count > 0
        assert claimer.released_count <= refused

    fleet.run(scenario(), monkeypatch)


@pytest.mark.parametrize(('limited_count', 'min_served'), [(14, 0.95)])
def test_other_upstreams_serve_what_limited_ones_refuse(
    monkeypatch: pytest.MonkeyPatch, limited_count: int, min_served: float
) -> None:
    """Guards against calls that end after two refusals of limited upstreams.

    The pattern: 14 of 20 upstreams are limited to a third of their share, and
    each node sends too few requests to learn all limits in time. The other
    six have room for all requests.
    """
    upstreams = {f's{number}': 'siop' for number in range(20)}
    entries = {f'g{number}': 'gwydd' for number in range(30)}
    fleet = simulated_fleet.Fleet(upstreams | entries)

    async def scenario() -> None:
        for number in range(limited_count):
            fleet.upstreams[f's{number}'].headers = [(b'x-limit', b'3')]
        await fleet.load([*upstreams, *entries], 'siop', 180.0, 10.0)
        for number in range(limited_count):
            _check_limit(fleet, f's{number}', 1000.0 + _REACTION_S, 3.0)

    fleet.run(scenario(), monkeypatch)
    assert fleet.statuses[200] >= min_served * 1800
