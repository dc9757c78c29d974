"""R4: a workspace never exceeds its rate over three nodes together."""

import asyncio
import collections
import collections.abc
import pathlib
import typing
from unittest import mock

from godwitstall.rates import allowance
from loadtool import http_client
from tests.control import harness
from tests import fakes

_RATE = 20.0
_BURST = 40

# Concurrent callers at each node.
_CALLERS_PER_NODE = 4

_NOTE = harness.FIRST_NOTE.replace('rate = 20000.0', f'rate = {_RATE}')
_NOTE = _NOTE.replace('burst = 40000', f'burst = {_BURST}')


def max_excess(times: list[float], rate: float, burst: int) -> float:
    """Return the largest excess over rate x time + burst in any window.

    Checks every window that starts and ends with an admission. A negative
    result means that all windows are below the bound.
    """
    times = sorted(times)
    return max(
        (
            last + 1 - first - (times[last] - times[first]) * rate - burst
            for first in range(len(times))
            for last in range(first, len(times))
        ),
        default=-float(burst),
    )


class _Load:
    """Concurrent callers, with a record of all admissions and answers."""

    def __init__(self, fleet: harness.Fleet) -> None:
        self.fleet = fleet
        # Times at which the allowances of the nodes spent a token.
        self.admitted: list[float] = []
        # Number of answers by status.
        self.answers: collections.Counter[int] = collections.Counter()
        self.tasks: list[asyncio.Task[None]] = []
        self._spend = allowance.Allowance._spend

    def spend(
        self, instance: allowance.Allowance, state: typing.Any, now: float
    ) -> bool:
        """Call the original Allowance._spend and record admissions."""
        is_spent = self._spend(instance, state, now)
        if is_spent:
            self.admitted.append(now)
        return is_spent

    def start(self, *names: str, callers: int = _CALLERS_PER_NODE) -> None:
        """Start callers at nodes."""
        self.tasks += [
            asyncio.create_task(self._call_repeatedly(name))
            for name in names
            for _ in range(callers)
        ]

    async def _call_repeatedly(self, name: str) -> None:
        while True:
            node = self.fleet.nodes.get(name)
            if node is not None:
                try:
                    answer = await node.call('/siop', 'key-w')
                    self.answers[answer.status] += 1
                except http_client.CallError:
                    # The node may have been killed.
                    pass
            await asyncio.sleep(0.02)

    async def wait_for_admissions(self, count: int) -> None:
        """Wait until count more calls have been admitted."""
        wanted = len(self.admitted) + count
        await fakes.until(
            lambda: len(self.admitted) >= wanted, f'{wanted} admissions'
        )

    async def stop(self) -> None:
        """Stop all callers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _run(
    tmp_path: pathlib.Path,
    scenario: collections.abc.Callable[
        [harness.Fleet, _Load], collections.abc.Awaitable[None]
    ],
) -> None:
    """Run a scenario under load and check the rate in every window."""

    async def run() -> None:
        async with harness.running(
            tmp_path, 'n1', 'n2', 'n3', text=_NOTE
        ) as fleet:
            load = _Load(fleet)
            with mock.patch.object(
                allowance.Allowance,
                '_spend',
                lambda instance, state, now: load.spend(instance, state, now),
            ):
                try:
                    await scenario(fleet, load)
                finally:
                    await load.stop()
            assert load.answers[429], 'the demand did not exceed the rate'
            assert max_excess(load.admitted, _RATE, _BURST) <= 0

    asyncio.run(run())


def test_max_excess() -> None:
    """Guards against a window check that misses an excess."""
    assert max_excess([0.0] * 40, 10.0, 40) == 0
    assert max_excess([0.0] * 41, 10.0, 40) == 1
    assert max_excess([0.0] * 40 + [1.0] * 11, 10.0, 40) == 1


def test_leader_killed_while_demand_jumps(tmp_path: pathlib.Path) -> None:
    """Guards against a new leader that grants a second burst.

    Callers spend the burst at once. The leader is killed when half of the
    burst has been spent, and then its successor.
    """

    async def scenario(fleet: harness.Fleet, load: _Load) -> None:
        load.start('n1', 'n2', 'n3')
        await load.wait_for_admissions(_BURST // 2)
        for _ in range(2):
            leader = await fleet.leader()
            await fleet.kill(leader)
            await load.wait_for_admissions(10)
            await fleet.start(leader)
        await load.wait_for_admissions(10)

    _run(tmp_path, scenario)


def test_node_restarts_and_another_is_cut_off(tmp_path: pathlib.Path) -> None:
    """Guards against tokens counted twice after a restart or partition.

    The partitioned node keeps its tokens, and the restarted node requests new
    ones at once. Then load starts at a third node.
    """

    async def scenario(fleet: harness.Fleet, load: _Load) -> None:
        load.start('n1', 'n2', callers=6)
        await load.wait_for_admissions(_BURST // 2)
        fleet.partition('n1', others=harness.SLOTS)
        await fleet.remove_node('n2')
        await fleet.add_node('n2')
        await load.wait_for_admissions(10)
        fleet.heal('n1', others=harness.SLOTS)
        await load.wait_for_admissions(10)
        load.start('n3', callers=12)
        await load.wait_for_admissions(20)

    _run(tmp_path, scenario)


def test_leader_cut_off_with_a_node_at_its_side(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against two ledgers that grant tokens at the same time.

    The former leader is partitioned from the other replicas but not from the
    nodes. It must not grant tokens once another replica can become leader.
    """

    async def scenario(fleet: harness.Fleet, load: _Load) -> None:
        leader = await fleet.leader()
        others = fleet.other_slots(leader)
        load.start('n1', 'n2', 'n3')
        await load.wait_for_admissions(_BURST // 2)
        fleet.partition(leader, others=others)
        await fakes.until(
            lambda: fleet.leader_slot() in others, 'another replica is leader'
        )
        await load.wait_for_admissions(10)
        fleet.heal(leader, others=others)
        await load.wait_for_admissions(10)

    _run(tmp_path, scenario)
