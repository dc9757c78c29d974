"""An upstream that names a rate limit gets no more than that.

The pattern: some upstreams of a service name in their answers the requests per
second that they accept from all nodes together, while callers send as many as
before. Everything runs in simulated time.
"""

import asyncio
import collections.abc

import pytest

from godwitstall import clock
from tests import simulated_fleet

_LIMIT_PER_S = 15.0
_LIMITED = [(b'x-limit', b'15.0')]

# Requests in a window that users accept, relative to the limit and in addition
# to that, and the time until a node must observe a limit, seconds.
_WINDOW_S = 4.0
_ACCEPTED_RATIO = 1.5
_ACCEPTED_REQUESTS = 5
_REACTION_S = 3.0
# Age of the answer from which an entry node counts as informed, seconds.
_INFORMED_AFTER_S = 0.5

_SERVICES = {'a': 'siop', 'b': 'siop', 'c': 'gwydd', 'd': 'gwydd'}
_ENTRIES = list(_SERVICES)

_Scenario = collections.abc.Coroutine[object, object, None]


def _informed_at(fleet: simulated_fleet.Fleet, entry: str) -> float:
    """Return when an entry node first passed on an answer with a limit."""
    return min(
        (
            at
            for at, headers in fleet.passed_on[entry]
            if dict(headers).get(b'x-limit')
        ),
        default=float('inf'),
    )


def _busiest_window(
    fleet: simulated_fleet.Fleet,
    name: str,
    start: float,
    excused: str = '',
) -> int:
    """Return the most requests of informed nodes in one window."""
    times = [
        arrival.at
        for arrival in fleet.upstreams[name].arrivals
        if arrival.at >= start
        and arrival.entry != excused
        and arrival.at
        >= _informed_at(fleet, arrival.entry) + _INFORMED_AFTER_S
    ]
    return max(
        (sum(t <= at < t + _WINDOW_S for at in times) for t in times),
        default=0,
    )


def _check_limit(
    fleet: simulated_fleet.Fleet,
    name: str,
    start: float,
    excused: str = '',
    limit: float = _LIMIT_PER_S,
) -> None:
    accepted = _ACCEPTED_RATIO * limit * _WINDOW_S + _ACCEPTED_REQUESTS
    count = _busiest_window(fleet, name, start, excused)
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
        fleet.upstreams['a'].headers = _LIMITED
        load = asyncio.create_task(fleet.load(_ENTRIES, 'siop', 150.0, 16.0))
        await asyncio.sleep(7.0)
        fleet.stop('a')
        await asyncio.sleep(pause_s)
        fleet.start('a')
        await load
        _check_limit(fleet, 'a', named_at + _REACTION_S, excused='a')

    fleet.run(scenario(), monkeypatch)
