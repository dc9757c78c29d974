"""Cold upstreams get no more than they tolerate, and warm up again.

The pattern: after a loss of power all upstreams of a service come back cold.
One that gets more requests in a second than it tolerates fails and starts
again, cold, while the callers come back. Everything runs in simulated time.
"""

import asyncio
import bisect
import collections
import collections.abc
import random

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.node.upstreams import upstream_answer
from tests import gateways
from tests import simulated_fleet

_PER_S = 6.5
_OVERRUN = 1.5
_TOLERANCE = 8.0
_BOUND = _PER_S * _OVERRUN + _TOLERANCE
_COLD_S = 3.0

# Time until an upstream that failed is back, seconds.
_RESTART_S = 1.0

# Time within which a service is back at its full rate, seconds.
_RECOVERY_S = 15.0

_UPSTREAMS = [f's{number}' for number in range(6)]
_ENTRIES = ['e0', 'e1']
_SERVICES = dict.fromkeys(_UPSTREAMS, 'siop') | dict.fromkeys(
    _ENTRIES, 'gwydd'
)

# Requests per second of all clients; warm upstreams run several times that.
_LOAD_PER_S = 240.0
_MAX_RETRIES = 3


class _ColdUpstream(simulated_fleet.Upstream):
    """An upstream that fails under more than it tolerates while cold."""

    def __init__(
        self, fleet: '_Fleet', incarnation: int, name: str, cold_s: float
    ) -> None:
        super().__init__(fleet, incarnation)
        self.name = name
        self.cold_fleet = fleet
        self.cold_until = clock.now() + cold_s
        self.has_failed = False

    def cold_ms(self) -> int:
        return max(0, round((self.cold_until - clock.now()) * 1000))

    async def send(
        self,
        method: str,
        path: str,
        header_block: bytes,
        body: bytes,
        deadline: float,
        host: bytes = b'',
        request_id: bytes = b'',
        check_write: collections.abc.Callable[[], None] | None = None,
    ) -> upstream_answer.UpstreamAnswer:
        now = clock.now()
        if self.has_failed:
            raise errors.RequestError(
                errors.ErrorKind.UPSTREAM_UNREACHABLE
            ) from ConnectionRefusedError()
        try:
            answer = await self._run(
                super().send(
                    method,
                    path,
                    header_block,
                    body,
                    deadline,
                    host,
                    request_id,
                    check_write,
                ),
                now,
            )
        finally:
            if self.has_failed:
                raise errors.RequestError(errors.ErrorKind.UPSTREAM_LOST)
        return answer

    async def _run(
        self,
        request: collections.abc.Coroutine[
            object, object, upstream_answer.UpstreamAnswer
        ],
        now: float,
    ) -> upstream_answer.UpstreamAnswer:
        task = asyncio.ensure_future(request)
        await asyncio.sleep(0)
        if now < self.cold_until and self.busiest_second(now) > _BOUND:
            self.has_failed = True
            self.cold_fleet.on_failure(self)
        return await task

    def busiest_second(self, now: float) -> int:
        """Return the requests that arrived in the second that ends now."""
        return sum(arrival.at > now - 1.0 for arrival in self.arrivals[-60:])


class _Fleet(simulated_fleet.Fleet):
    """Nodes of a service that loses power."""

    def __init__(self, per_s: float) -> None:
        super().__init__(_SERVICES)
        self.rules = [
            messages.ServiceRule(
                'siop', cold_start_ms=round(_COLD_S * 1000), cold_per_s=per_s
            )
        ]
        self.cold_overrun = _OVERRUN
        self.cold_tolerance = _TOLERANCE
        self.failures: list[float] = []
        self.served_at: list[float] = []
        self.asked_at: list[float] = []
        self.processes: list[_ColdUpstream] = []

    def power_up(self, name: str, cold_s: float = _COLD_S) -> None:
        """Start an upstream process, and announce it."""
        incarnation = len(self.processes) + 100
        process = _ColdUpstream(self, incarnation, name, cold_s)
        self.processes.append(process)
        self.upstreams[name] = process
        if name in self.nodes:
            self.announce(name)
            self.publish()

    def on_failure(self, upstream: _ColdUpstream) -> None:
        self.failures.append(clock.now())
        asyncio.get_running_loop().call_later(
            _RESTART_S, self.power_up, upstream.name
        )

    async def heartbeats(self) -> None:
        """Repeat the announcements of all upstreams."""
        while True:
            for name in _UPSTREAMS:
                process = self.upstreams[name]
                assert isinstance(process, _ColdUpstream)
                if name in self.nodes and not process.has_failed:
                    self.announce(name)
            await asyncio.sleep(1.0)

    async def client(self) -> None:
        """Send a request, and again as told by refusals."""
        self.asked_at.append(clock.now())
        for _ in range(_MAX_RETRIES):
            running = [name for name in _ENTRIES if name in self.nodes]
            if not running:
                await asyncio.sleep(0.5)
                continue
            response = await self.call(self.random.choice(running), 'siop')
            if response.status == 200:
                self.served_at.append(clock.now())
                return
            headers = dict(response.headers)
            retry_after = headers.get(gateways.DIALECT.retry_after, b'0.1')
            await asyncio.sleep(float(retry_after))

    async def clients(self, for_s: float) -> None:
        clients = []
        for _ in range(round(for_s * _LOAD_PER_S)):
            clients.append(asyncio.create_task(self.client()))
            await asyncio.sleep(1 / _LOAD_PER_S)
        await asyncio.gather(*clients)

    async def lose_power(self, for_s: float) -> None:
        """Stop all upstreams and nodes, and start them together."""
        for name in _SERVICES:
            if name in self.nodes:
                self.stop(name)
        await asyncio.sleep(for_s)
        for name in _UPSTREAMS:
            self.power_up(name)
        for name in _SERVICES:
            self.start(name)

    def served_share(self, start: float, end: float) -> float:
        """Return the served requests of a span relative to those asked."""
        times = sorted(self.served_at)
        served = bisect.bisect(times, end) - bisect.bisect(times, start)
        return served / ((end - start) * _LOAD_PER_S)

    def busiest_cold_second(self) -> int:
        """Return the most requests that a cold process got in a second."""
        busiest = 0
        for process in self.processes:
            times = [
                arrival.at
                for arrival in process.arrivals
                if arrival.at < process.cold_until
            ]
            for start in times:
                count = sum(start <= at <= start + 1.0 for at in times)
                busiest = max(busiest, count)
        return busiest


async def _restore_after_power_loss(fleet: _Fleet, for_s: float) -> float:
    """Lose power under load; return the time at which it is back."""
    for name in _UPSTREAMS:
        fleet.power_up(name, cold_s=0.0)
    heartbeats = asyncio.create_task(fleet.heartbeats())
    clients = asyncio.create_task(fleet.clients(for_s + 5.0))
    await asyncio.sleep(3.0)
    await fleet.lose_power(2.0)
    restored_at = clock.now()
    await clients
    heartbeats.cancel()
    return restored_at


def test_service_is_back_after_a_loss_of_power(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against upstreams that fail again under returning callers."""
    fleet = _Fleet(_PER_S)

    async def scenario() -> None:
        restored_at = await _restore_after_power_loss(fleet, 30.0)
        assert fleet.failures == []
        assert fleet.busiest_cold_second() <= _BOUND
        # While cold, what the upstreams accept is used.
        used = _PER_S * _OVERRUN * len(_UPSTREAMS) / _LOAD_PER_S
        share = fleet.served_share(restored_at, restored_at + _COLD_S)
        assert share >= 0.8 * used
        # A second is for the requests that were told to come back.
        warm_at = restored_at + _COLD_S + 1.0
        assert warm_at <= restored_at + _RECOVERY_S
        for second in range(10):
            share = fleet.served_share(warm_at + second, warm_at + second + 1)
            assert share >= 0.95, second

    fleet.run(scenario(), monkeypatch)


def test_without_the_limit_the_failures_last(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the upstreams of these tests never recover by themselves.

    Guards against a test of recovery that passes without the limit.
    """
    fleet = _Fleet(0.0)

    async def scenario() -> None:
        restored_at = await _restore_after_power_loss(fleet, 25.0)
        late = restored_at + _RECOVERY_S
        assert fleet.served_share(late, late + 8.0) < 0.5
        assert sum(at > late for at in fleet.failures) >= len(_UPSTREAMS)

    fleet.run(scenario(), monkeypatch)


def test_lasting_failures_end_with_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a state of failures that outlives its cause.

    The service is brought into it without the limit, and leaves it within the
    time for recovery once the configuration has the limit.
    """
    fleet = _Fleet(0.0)

    async def scenario() -> None:
        load = asyncio.create_task(_restore_after_power_loss(fleet, 45.0))
        await asyncio.sleep(20.0)
        now = clock.now()
        assert fleet.served_share(now - 3.0, now) < 0.5
        fleet.rules = _Fleet(_PER_S).rules
        fleet.publish()
        await load
        back_at = now + _RECOVERY_S
        assert fleet.served_share(back_at, back_at + 8.0) >= 0.95
        assert not [at for at in fleet.failures if at > now + _COLD_S]

    fleet.run(scenario(), monkeypatch)


@pytest.mark.parametrize('seed', range(4))
def test_restart_of_the_node_beside_a_cold_upstream(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a burst of a node that knows nothing of the one before.

    The node restarts several times while its upstream is cold; the other
    nodes still send it all the calls that they have.
    """
    fleet = _Fleet(_PER_S)
    random_ = random.Random(seed)

    async def scenario() -> None:
        for name in _UPSTREAMS:
            fleet.power_up(name)
        clients = asyncio.create_task(fleet.clients(5.0))
        for _ in range(8):
            await asyncio.sleep(random_.uniform(0.05, 0.4))
            fleet.stop('s0')
            await asyncio.sleep(random_.choice((0.0, 0.05)))
            fleet.start('s0')
        await clients
        assert fleet.failures == []
        assert fleet.busiest_cold_second() <= _BOUND

    fleet.run(scenario(), monkeypatch)


def test_warm_upstreams_take_what_a_cold_one_cannot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that fail although warm upstreams have room."""
    fleet = _Fleet(_PER_S)

    async def scenario() -> None:
        for name in _UPSTREAMS:
            fleet.power_up(name, cold_s=0.0)
        await fleet.load(_ENTRIES, 'siop', 100.0, 1.0)
        fleet.power_up('s0')
        fleet.power_up('s1')
        await fleet.load(_ENTRIES, 'siop', 240.0, 6.0)
        assert fleet.busiest_cold_second() <= _BOUND

    fleet.run(scenario(), monkeypatch)
    assert fleet.statuses == collections.Counter({200: 100 + 1440})


def test_upstream_gets_its_full_share_once_warm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against senders that keep the rate of a cold time."""
    fleet = _Fleet(_PER_S)

    async def scenario() -> None:
        for name in _UPSTREAMS:
            fleet.power_up(name, cold_s=0.0 if name != 's0' else 1.0)
        await fleet.load(_ENTRIES, 'siop', 240.0, 1.2)
        warm_at = clock.now()
        await fleet.load(_ENTRIES, 'siop', 240.0, 4.0)
        arrivals = fleet.upstreams['s0'].arrivals
        count = sum(arrival.at > warm_at for arrival in arrivals)
        assert count >= 0.8 * 240.0 * 4.0 / len(_UPSTREAMS)

    fleet.run(scenario(), monkeypatch)
