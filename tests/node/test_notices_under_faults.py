"""Random faults beside upstreams that limit their rate or leave.

Nodes are killed and started again, links between nodes are cut or slow,
announcements are late, and upstreams begin, change and end limits, leave, and
are replaced. The check of both rules is written apart from the code under
test. Everything runs in simulated time.
"""

import asyncio
import collections.abc
import dataclasses
import math
import os
import random
import typing

import pytest

from godwitstall import clock
from tests import simulated_fleet

_SEEDS = 400 if 'GODWITSTALL_SOAK' in os.environ else 12
_SERVICES = {
    'a': 'siop',
    'b': 'siop',
    'c': 'siop',
    'd': 'gwydd',
    'e': 'gwydd',
    'f': 'gwydd',
}
_PLAY_S = 30.0
_LOAD_PER_S = 80.0

# From the requirement: reaction to a first limit, window, accepted ratio and
# requests beside it, age of an answer from which its node counts as informed,
# and use of a leaving upstream after it; seconds and requests.
_REACTION_S = 3.0
_WINDOW_S = 4.0
_ACCEPTED_RATIO = 1.5
_ACCEPTED_REQUESTS = 5
_INFORMED_AFTER_S = 0.5
_DRAIN_S = 2.0


_Action = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


@dataclasses.dataclass
class _Episode:
    """A time in which an upstream process named one limit."""

    start: float
    limit: float
    end: float = math.inf


def _limit_in_window(episodes: list[_Episode], start: float) -> float:
    """Return the limit that a whole window is subject to, else infinity.

    A node learns a limit, and each change of it, from the next answer, so the
    reaction time counts from there.
    """
    for episode in episodes:
        if (
            episode.start + _REACTION_S <= start
            and start + _WINDOW_S <= episode.end
        ):
            return episode.limit
    return math.inf


class _Play:
    """One random play, and what its check needs."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.fleet = simulated_fleet.Fleet(
            _SERVICES, work_s=self.random.choice([0.05, 0.3, 1.2])
        )
        # Limits of each upstream process, and all processes.
        self.episodes: dict[simulated_fleet.Upstream, list[_Episode]] = {}
        self.names: dict[simulated_fleet.Upstream, str] = {}
        self.next_incarnation = 100

    async def run(self) -> None:
        """Play until the end of the load."""
        self._register()
        load = asyncio.create_task(
            self.fleet.load(list(_SERVICES), 'siop', _LOAD_PER_S, _PLAY_S)
        )
        faults = [
            asyncio.create_task(self._repeat(action, mean_s))
            for action, mean_s in (
                (self._change_limit, 2.0),
                (self._restart, 3.0),
                (self._disturb_link, 1.0),
                (self._leave, 8.0),
            )
        ]
        await load
        for task in faults:
            task.cancel()

    def _register(self) -> None:
        for name, upstream in self.fleet.upstreams.items():
            self.names[upstream] = name
            self.episodes.setdefault(upstream, [])

    async def _repeat(self, action: _Action, mean_s: float) -> None:
        while True:
            await asyncio.sleep(self.random.expovariate(1 / mean_s))
            await action()

    def _any_upstream(self) -> simulated_fleet.Upstream:
        return self.fleet.upstreams[self.random.choice(['a', 'b', 'c'])]

    async def _change_limit(self) -> None:
        upstream = self._any_upstream()
        episodes = self.episodes[upstream]
        now = clock.now()
        if episodes and math.isinf(episodes[-1].end):
            episodes[-1].end = now
        upstream.set_header(b'x-limit', b'')
        if self.random.random() < 0.7:
            limit = round(self.random.choice([0.0, 0.7, 4.0, 12.0, 30.0]), 1)
            episodes.append(_Episode(now, limit))
            upstream.set_header(b'x-limit', b'%.1f' % limit)

    async def _restart(self) -> None:
        name = self.random.choice(list(_SERVICES))
        if name not in self.fleet.nodes or len(self.fleet.nodes) < 4:
            return
        self.fleet.stop(name)
        await asyncio.sleep(self.random.uniform(0.05, 1.5))
        self.fleet.start(name)

    async def _disturb_link(self) -> None:
        entry, owner = self.random.sample(sorted(_SERVICES), 2)
        pair = entry, owner
        self.fleet.link_delays_s[pair] = self.random.choice([0.3, 2.0, 99.0])
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.fleet.link_delays_s.pop(pair, None)

    async def _leave(self) -> None:
        """Let an upstream leave that no announcement reports, or too late."""
        upstream = self._any_upstream()
        name = self.names[upstream]
        upstream.set_header(b'x-leaving', b'1')
        await asyncio.sleep(self.random.uniform(2.0, 6.0))
        if name not in self.fleet.nodes:
            return
        self.next_incarnation += 1
        self.fleet.replace_upstream(name, self.next_incarnation)
        self._register()

    def check(self) -> None:
        """Check both rules for each upstream process."""
        for upstream in self.names:
            self._check_limits(upstream)
            self._check_leave(upstream)

    def _check_limits(self, upstream: simulated_fleet.Upstream) -> None:
        episodes = self.episodes[upstream]
        if not episodes:
            return
        informed = self.fleet.informed_at(upstream, b'x-limit')
        times = [
            arrival.at
            for arrival in upstream.arrivals
            if informed.get(arrival.entry, math.inf) + _INFORMED_AFTER_S
            <= arrival.at
        ]
        for start in times:
            limit = _limit_in_window(episodes, start)
            count = sum(start <= t < start + _WINDOW_S for t in times)
            allowed = _ACCEPTED_RATIO * limit * _WINDOW_S + _ACCEPTED_REQUESTS
            assert count <= allowed, (upstream.instance_id, start, count)

    def _check_leave(self, upstream: simulated_fleet.Upstream) -> None:
        informed = self.fleet.informed_at(upstream, b'x-leaving')
        for arrival in upstream.arrivals:
            told_at = informed.get(arrival.entry, math.inf)
            assert arrival.sent_at <= told_at + _DRAIN_S, (
                upstream.instance_id,
                arrival,
            )


@pytest.mark.parametrize('seed', range(_SEEDS))
def test_rules_hold_under_faults(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a limit or a leave that is lost beside other faults."""
    play = _Play(seed)
    play.fleet.run(play.run(), monkeypatch)
    assert play.fleet.statuses[200] > 0.2 * _LOAD_PER_S * _PLAY_S
    play.check()
