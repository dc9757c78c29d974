"""R4: one workspace over three nodes never gets more than its rate."""

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

# Calls that each node has open at once; an answer starts the next call.
_CALLERS = 4

_NOTE = harness.FIRST_NOTE.replace('rate = 20000.0', f'rate = {_RATE}')
_NOTE = _NOTE.replace('burst = 40000', f'burst = {_BURST}')


def excess(times: list[float], rate: float, burst: int) -> float:
    """Return by how much the fullest window exceeds rate x time + burst.

    Every window that starts and ends with an admission is looked at.
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
    """Callers that always have calls open; counts what was admitted."""

    def __init__(self, fleet: harness.Fleet) -> None:
        self.fleet = fleet
        # Times that the nodes' allowances spent a token at.
        self.admitted: list[float] = []
        # Answers by status.
        self.answers: collections.Counter[int] = collections.Counter()
        self.tasks: list[asyncio.Task[None]] = []
        self._spend = allowance.Allowance._spend

    def spend(
        self, held: allowance.Allowance, purse: typing.Any, now: float
    ) -> bool:
        """Spend a token as the allowance does and record when."""
        is_spent = self._spend(held, purse, now)
        if is_spent:
            self.admitted.append(now)
        return is_spent

    def start(self, *names: str, callers: int = _CALLERS) -> None:
        """Add callers at nodes."""
        self.tasks += [
            asyncio.create_task(self._call_always(name))
            for name in names
            for _ in range(callers)
        ]

    async def _call_always(self, name: str) -> None:
        while True:
            node = self.fleet.nodes.get(name)
            if node is not None:
                try:
                    answer = await node.call('/siop', 'key-w')
                    self.answers[answer.status] += 1
                except http_client.CallError:
                    # The node was killed.
                    pass
            await asyncio.sleep(0.02)

    async def more(self, count: int) -> None:
        """Wait until that many calls more were admitted."""
        wanted = len(self.admitted) + count
        await fakes.until(
            lambda: len(self.admitted) >= wanted, f'{wanted} admissions'
        )

    async def stop(self) -> None:
        """End all callers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _run(
    tmp_path: pathlib.Path,
    scenario: collections.abc.Callable[
        [harness.Fleet, _Load], collections.abc.Awaitable[None]
    ],
) -> None:
    """Run a scenario under load and check every window."""

    async def run() -> None:
        async with harness.running(
            tmp_path, 'n1', 'n2', 'n3', text=_NOTE
        ) as fleet:
            load = _Load(fleet)
            with mock.patch.object(
                allowance.Allowance,
                '_spend',
                lambda held, purse, now: load.spend(held, purse, now),
            ):
                try:
                    await scenario(fleet, load)
                finally:
                    await load.stop()
            assert load.answers[429], 'the demand is above the rate'
            assert excess(load.admitted, _RATE, _BURST) <= 0

    asyncio.run(run())


def test_the_bound_itself() -> None:
    """Guards against a check of windows that finds nothing."""
    assert excess([0.0] * 40, 10.0, 40) == 0
    assert excess([0.0] * 41, 10.0, 40) == 1
    assert excess([0.0] * 40 + [1.0] * 11, 10.0, 40) == 1


def test_leader_killed_while_demand_jumps(tmp_path: pathlib.Path) -> None:
    """Guards against a new leader that grants a burst a second time.

    The burst is spent within moments; the leader is killed as soon as most
    of it is gone, and its successor after it.
    """

    async def scenario(fleet: harness.Fleet, load: _Load) -> None:
        load.start('n1', 'n2', 'n3')
        await load.more(_BURST // 2)
        for _ in range(2):
            leader = await fleet.leader()
            await fleet.kill(leader)
            await load.more(10)
            await fleet.start(leader)
        await load.more(10)

    _run(tmp_path, scenario)


def test_node_restarts_and_another_is_cut_off(tmp_path: pathlib.Path) -> None:
    """Guards against tokens that count twice after a restart or a cut.

    The node that is cut off keeps its tokens; the one that restarts asks
    for new ones at once. Then demand moves to the node that came back.
    """

    async def scenario(fleet: harness.Fleet, load: _Load) -> None:
        load.start('n1', 'n2', callers=6)
        await load.more(_BURST // 2)
        fleet.cut('n1', others=harness.SLOTS)
        await fleet.remove_node('n2')
        await fleet.add_node('n2')
        await load.more(10)
        fleet.join('n1', others=harness.SLOTS)
        await load.more(10)
        load.start('n3', callers=12)
        await load.more(20)

    _run(tmp_path, scenario)


def test_leader_cut_off_with_a_node_at_its_side(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against two ledgers that grant at the same time.

    The former leader is cut off from the other replicas but not from the
    nodes; it must grant nothing once another replica can lead.
    """

    async def scenario(fleet: harness.Fleet, load: _Load) -> None:
        leader = await fleet.leader()
        others = fleet.others(leader)
        load.start('n1', 'n2', 'n3')
        await load.more(_BURST // 2)
        fleet.cut(leader, others=others)
        await fakes.until(
            lambda: fleet.leader_slot() in others, 'another leader'
        )
        await load.more(10)
        fleet.join(leader, others=others)
        await load.more(10)

    _run(tmp_path, scenario)
