"""R8 and R9: members that go get no work, and a planned stop cuts none."""

import asyncio
import collections.abc
import pathlib
import typing

import pytest

from godwitstall import clock
from godwitstall.control import service as service_module
from godwitstall import messages
from godwitstall.node import membership
from loadtool import http_client
from tests.control import harness
from tests import fakes

# Bounds that a busy machine does not reach while calls must not fail.
_PATIENT: dict[str, typing.Any] = {'lease_s': 1.5, 'grant_wait_ms': 2000}


class _Callers:
    """Callers of some nodes; every answer but 200 is kept."""

    def __init__(
        self,
        *paths: str,
        nodes: collections.abc.Iterable[fakes.NodeHarness],
    ) -> None:
        self.done = 0
        self.failed: list[object] = []
        self.is_ending = False
        self.tasks = [
            asyncio.create_task(self._call_always(node, path))
            for node in nodes
            for path in paths
        ]

    async def _call_always(self, node: fakes.NodeHarness, path: str) -> None:
        while not self.is_ending:
            try:
                answer = await node.call(path, 'key-w')
                if answer.status != 200:
                    self.failed.append(answer)
            except http_client.CallError as e:
                self.failed.append(e)
            self.done += 1
            await asyncio.sleep(0.01)

    async def more(self, count: int) -> None:
        wanted = self.done + count
        await fakes.until(lambda: self.done >= wanted, 'calls run')

    async def end(self) -> None:
        self.is_ending = True
        await asyncio.gather(*self.tasks)


def _runs(fleet: harness.Fleet, name: str) -> int:
    return len(fleet.nodes[name].upstream.runs)


async def _is_avoided(fleet: harness.Fleet, name: str, *entries: str) -> None:
    """Fail if calls that start now reach the upstream of a node."""
    before = _runs(fleet, name)
    for entry in entries:
        for _ in range(20):
            answer = await fleet.nodes[entry].call('/siop', 'key-w')
            assert answer.status == 200
    assert _runs(fleet, name) == before


def _are_ready(fleet: harness.Fleet, at: str, *names: str) -> bool:
    view = fleet.nodes[at].node.view
    return {
        member.node_id
        for member in view.members.values()
        if member.state is messages.UpstreamState.READY
        and not member.is_drained
    } == set(names)


async def _only_ready(fleet: harness.Fleet, *names: str) -> None:
    await fakes.until(
        lambda: all(_are_ready(fleet, at, *names) for at in names),
        f'only {names} are ready',
    )


def test_drained_left_and_draining_upstreams(tmp_path: pathlib.Path) -> None:
    """Guards against work for upstreams that are on their way out (R8)."""

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2', 'n3') as fleet:
            operator = await fleet.operator(await fleet.follower())
            n3 = messages.NodeId('n3')
            await operator.propose(messages.Drain(n3, True))
            await _only_ready(fleet, 'n1', 'n2')
            await _is_avoided(fleet, 'n3', 'n1', 'n2', 'n3')
            await operator.propose(messages.Drain(n3, False))
            await _only_ready(fleet, 'n1', 'n2', 'n3')
            fleet.nodes['n3'].stop_announcing()
            await fleet.nodes['n3'].announce(state='draining')
            await _only_ready(fleet, 'n1', 'n2')
            await _is_avoided(fleet, 'n3', 'n1', 'n2')
            await fleet.nodes['n3'].node.membership.leave()
            await fakes.until(
                lambda: 'n3' not in fleet.nodes['n1'].node.view.members
            )

    asyncio.run(run())


def test_killed_and_frozen_nodes_expire(tmp_path: pathlib.Path) -> None:
    """Guards against members that stay after their node fell silent (R8).

    n3 is killed. n2 is frozen: its session stalls and it reads no more from
    the links of other nodes. It joins again when it thaws.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2', 'n3') as fleet:
            n1, n2 = fleet.nodes['n1'], fleet.nodes['n2']
            await fleet.remove_node('n3')
            fleet.cut('n2', others=harness.SLOTS)
            for link in n2.node.peers.links:
                link.writer.transport.pause_reading()  # type: ignore
            await fakes.until(
                lambda: set(n1.node.view.members) == {'n1'},
                'both are expired',
            )
            await _is_avoided(fleet, 'n2', 'n1')
            incarnation = n2.node.session.incarnation
            fleet.join('n2', others=harness.SLOTS)
            await fleet.all_know('n1', 'n2')
            assert n2.node.session.incarnation == incarnation

    asyncio.run(run())


def test_wrongly_expired_node_joins_again(tmp_path: pathlib.Path) -> None:
    """Guards against a live node that stays expired, or expires again.

    The table of the leader says that the node was silent, as after a lost
    report; the node's heartbeats went on all the time.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2') as fleet:
            operator = await fleet.operator(await fleet.leader())
            n1, n2 = fleet.nodes['n1'], fleet.nodes['n2']
            removals: list[bool] = []
            n2.node.view.on_change.append(
                lambda: removals.append('n1' not in n2.node.view.members)
            )
            await operator.propose(
                messages.Expire(
                    [
                        messages.NodeBeat(
                            messages.NodeId('n1'),
                            n1.node.session.incarnation,
                            9000,
                        )
                    ]
                )
            )
            await fakes.until(lambda: True in removals, 'n1 was expired')
            await fleet.all_know('n1', 'n2')
            assert (await n2.call('/siop', 'key-w')).status == 200

    asyncio.run(run())


def test_start_number_below_the_one_on_record(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a node that is refused for ever after its clock fell.

    The node left, so its members entry no longer tells it the number, and
    its wall clock was set back by a day before it starts again.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2') as fleet:
            await fleet.nodes['n2'].node.membership.leave()
            left = fleet.nodes['n2'].node.session.incarnation
            await fleet.remove_node('n2')
            await fakes.until(
                lambda: 'n2' not in fleet.nodes['n1'].node.view.members
            )
            again = await fleet.make_node('n2')
            again.node.session._next_incarnation = (  # type: ignore
                lambda: left - 86_400_000
            )
            await again.start()
            await fleet.all_know('n1', 'n2')
            assert again.node.session.incarnation > left

    asyncio.run(run())


def test_twin_of_a_node_stays_out() -> None:
    """Guards against two processes of one id that expel each other.

    A process that was a member once does not raise its start number.
    """
    raised: list[bool] = []

    class Session:
        """What _on_result needs of a session."""

        def raise_incarnation(self) -> None:
            raised.append(True)

    keeper = membership.Membership(
        typing.cast(typing.Any, None),
        typing.cast(typing.Any, None),
        typing.cast(typing.Any, Session()),
    )
    join = messages.Join(messages.Member(messages.NodeId('n1'), 5))
    keeper._on_result(join, messages.CommandResult(False, 'older'))
    assert raised == [True]
    keeper._on_result(join, messages.CommandResult(True))
    keeper._on_result(join, messages.CommandResult(False, 'older'))
    assert raised == [True]


def test_planned_stop_of_each_control_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a planned stop of control that refuses calls (R9).

    No replica stands for election by itself, so leadership can move only by
    a hand-over. Every session must have moved before the replica ends.
    """
    monkeypatch.setattr(service_module, '_MOVE_TIMEOUT_S', fakes.WAIT_S)

    async def run() -> None:
        async with harness.running(
            tmp_path, 'n1', 'n2', 'n3', node_options=_PATIENT
        ) as fleet:
            left_over: list[int] = []
            gaps: list[str] = []
            fleet.forbid_elections()
            callers = _Callers('/siop', '/open', nodes=fleet.nodes.values())
            stopped = 0
            for slot in harness.SLOTS:
                process = fleet.control[slot]
                stopped += fleet.leader_slot() == slot
                await callers.more(30)
                stop_replica = process.replica.stop

                async def stop(
                    process: harness.Process = process,
                    inner: collections.abc.Callable[
                        [], collections.abc.Awaitable[None]
                    ] = stop_replica,
                ) -> None:
                    left_over.append(len(process.service.sessions.by_link))
                    await inner()

                monkeypatch.setattr(process.replica, 'stop', stop)
                await fleet.stop(slot)
                assert await fleet.leader() != slot
                await callers.more(30)
                await fleet.start(slot)
                for name, node in fleet.nodes.items():
                    if not node.node.session.is_fresh(clock.now()):
                        gaps.append(f'{name} after the stop of {slot}')
            await callers.end()
            assert stopped, 'a leader was stopped'
            assert left_over == [0, 0, 0]
            assert not gaps
            assert not callers.failed

    asyncio.run(run())


def test_planned_stop_of_each_node(tmp_path: pathlib.Path) -> None:
    """Guards against a planned stop of a node that cuts a call (R9).

    Callers use the other nodes, which send a third of their calls to the
    upstream of the node that stops. Those calls are slow and have one
    attempt, so a call that is cut cannot be hidden by another try.
    """

    async def slow(
        request: fakes.Received, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.5 if request.path == '/once' else 0.05)
        await fakes.echo(request, writer)

    async def run() -> None:
        async with harness.running(
            tmp_path, 'n1', 'n2', 'n3', node_options=_PATIENT
        ) as fleet:
            for name in ('n1', 'n2', 'n3'):
                node = fleet.nodes[name]
                for each in fleet.nodes.values():
                    each.upstream.respond = slow
                others = [n for n in fleet.nodes.values() if n is not node]
                callers = _Callers(*['/once'] * 4, nodes=others)
                await fakes.until(
                    lambda node=node: node.upstream.runs  # type: ignore
                )
                own = [
                    asyncio.create_task(node.call('/siop', 'key-w'))
                    for _ in range(4)
                ]
                await fakes.until(
                    lambda node=node: node.node.entry.active  # type: ignore
                )
                await node.node.stop()
                await callers.more(8)
                await callers.end()
                assert not callers.failed
                assert {a.status for a in await asyncio.gather(*own)} == {200}
                await fleet.remove_node(name)
                await fleet.add_node(name, **_PATIENT)
                await fleet.all_know('n1', 'n2', 'n3')

    asyncio.run(run())
