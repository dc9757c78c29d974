"""R8 and R9: members that leave get no work; planned stops lose no call."""

import asyncio
import collections.abc
import pathlib
import typing

import pytest

from godwitstall import clock
from godwitstall.control import service as service_module
from godwitstall import messages
from godwitstall.node.sessions import membership
from loadtool import http_client
from tests.control import harness
from tests import fakes

# Timeouts that are long enough for a busy machine, for tests in which no call
# may fail.
_LONG_TIMEOUTS: dict[str, typing.Any] = {'lease_s': 1.5, 'grant_wait_ms': 2000}


class _Callers:
    """Concurrent callers of nodes that record every failed call."""

    def __init__(
        self,
        *paths: str,
        nodes: collections.abc.Iterable[fakes.NodeHarness],
    ) -> None:
        self.call_count = 0
        self.failures: list[object] = []
        self.is_ending = False
        self.tasks = [
            asyncio.create_task(self._call_repeatedly(node, path))
            for node in nodes
            for path in paths
        ]

    async def _call_repeatedly(
        self, node: fakes.NodeHarness, path: str
    ) -> None:
        while not self.is_ending:
            try:
                answer = await node.call(path, 'key-w')
                if answer.status != 200:
                    self.failures.append(answer)
            except http_client.CallError as e:
                self.failures.append(e)
            self.call_count += 1
            await asyncio.sleep(0.01)

    async def wait_for_calls(self, count: int) -> None:
        wanted = self.call_count + count
        await fakes.until(
            lambda: self.call_count >= wanted, 'more calls have ended'
        )

    async def end(self) -> None:
        self.is_ending = True
        await asyncio.gather(*self.tasks)


def _run_count(fleet: harness.Fleet, name: str) -> int:
    return len(fleet.nodes[name].upstream.runs)


async def _check_avoided(
    fleet: harness.Fleet, name: str, *entries: str
) -> None:
    """Check that new calls do not reach the upstream of a node."""
    before = _run_count(fleet, name)
    for entry in entries:
        for _ in range(20):
            answer = await fleet.nodes[entry].call('/siop', 'key-w')
            assert answer.status == 200
    assert _run_count(fleet, name) == before


def _sees_ready(fleet: harness.Fleet, at: str, *names: str) -> bool:
    view = fleet.nodes[at].node.view
    return {
        member.node_id
        for member in view.members.values()
        if member.state is messages.UpstreamState.READY
        and not member.is_drained
    } == set(names)


async def _wait_only_ready(fleet: harness.Fleet, *names: str) -> None:
    await fakes.until(
        lambda: all(_sees_ready(fleet, at, *names) for at in names),
        f'only {names} are ready',
    )


def test_drained_left_and_draining_upstreams(tmp_path: pathlib.Path) -> None:
    """Guards against work for drained, draining or departed upstreams (R8)."""

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2', 'n3') as fleet:
            operator = await fleet.operator(await fleet.follower())
            n3 = messages.NodeId('n3')
            await operator.propose(messages.Drain(n3, True))
            await _wait_only_ready(fleet, 'n1', 'n2')
            await _check_avoided(fleet, 'n3', 'n1', 'n2', 'n3')
            await operator.propose(messages.Drain(n3, False))
            await _wait_only_ready(fleet, 'n1', 'n2', 'n3')
            fleet.nodes['n3'].stop_announcing()
            await fleet.nodes['n3'].announce(state='draining')
            await _wait_only_ready(fleet, 'n1', 'n2')
            await _check_avoided(fleet, 'n3', 'n1', 'n2')
            await fleet.nodes['n3'].node.membership.leave()
            await fakes.until(
                lambda: 'n3' not in fleet.nodes['n1'].node.view.members
            )

    asyncio.run(run())


def test_killed_and_frozen_nodes_expire(tmp_path: pathlib.Path) -> None:
    """Guards against members that remain without heartbeats (R8).

    n3 is killed. n2 is frozen: its connections to control are blocked and it
    does not read from links of other nodes. It rejoins when it is unblocked.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2', 'n3') as fleet:
            n1, n2 = fleet.nodes['n1'], fleet.nodes['n2']
            await fleet.remove_node('n3')
            fleet.partition('n2', others=harness.SLOTS)
            for link in n2.node.peer_server.links:
                link.writer.transport.pause_reading()  # type: ignore
            await fakes.until(
                lambda: set(n1.node.view.members) == {'n1'},
                'both nodes have expired',
            )
            await _check_avoided(fleet, 'n2', 'n1')
            incarnation = n2.node.session.incarnation
            fleet.heal('n2', others=harness.SLOTS)
            await fleet.wait_all_ready('n1', 'n2')
            assert n2.node.session.incarnation == incarnation

    asyncio.run(run())


def test_wrongly_expired_node_joins_again(tmp_path: pathlib.Path) -> None:
    """Guards against a live node that remains expired, or expires again.

    An Expire command removes the node, as after lost liveness reports,
    although the node never stopped sending heartbeats.
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
            await fakes.until(lambda: True in removals, 'n1 has expired')
            await fleet.wait_all_ready('n1', 'n2')
            assert (await n2.call('/siop', 'key-w')).status == 200

    asyncio.run(run())


def test_start_number_below_the_one_on_record(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a node that can never rejoin with a clock set back.

    The node left, so the member list no longer contains its last incarnation,
    and it restarts with a wall clock that was set back by one day.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2') as fleet:
            await fleet.nodes['n2'].node.membership.leave()
            last_incarnation = fleet.nodes['n2'].node.session.incarnation
            await fleet.remove_node('n2')
            await fakes.until(
                lambda: 'n2' not in fleet.nodes['n1'].node.view.members
            )
            restarted = await fleet.create_node('n2')
            restarted.node.session._next_incarnation = (  # type: ignore
                lambda: last_incarnation - 86_400_000
            )
            await restarted.start()
            await fleet.wait_all_ready('n1', 'n2')
            assert restarted.node.session.incarnation > last_incarnation

    asyncio.run(run())


def test_second_process_with_one_node_id_does_not_rejoin() -> None:
    """Guards against two processes with one node id that expel each other.

    A process that was a member before must not raise its incarnation.
    """
    raised: list[bool] = []

    class Session:
        """The part of a session that _on_result uses."""

        def raise_incarnation(self) -> None:
            raised.append(True)

    node_membership = membership.Membership(
        typing.cast(typing.Any, None),
        typing.cast(typing.Any, None),
        typing.cast(typing.Any, Session()),
    )
    join = messages.Join(messages.Member(messages.NodeId('n1'), 5))
    node_membership._on_result(join, messages.CommandResult(False, 'older'))
    assert raised == [True]
    node_membership._on_result(join, messages.CommandResult(True))
    node_membership._on_result(join, messages.CommandResult(False, 'older'))
    assert raised == [True]


def test_planned_stop_of_each_control_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls rejected by a planned stop of control (R9).

    Election timeouts are disabled, so leadership can change only by transfer.
    All sessions must have moved before the replica stops.
    """
    monkeypatch.setattr(service_module, '_MOVE_TIMEOUT_S', fakes.WAIT_S)

    async def run() -> None:
        async with harness.running(
            tmp_path, 'n1', 'n2', 'n3', node_options=_LONG_TIMEOUTS
        ) as fleet:
            sessions_left: list[int] = []
            nodes_without_lease: list[str] = []
            fleet.disable_elections()
            callers = _Callers('/siop', '/open', nodes=fleet.nodes.values())
            stopped = 0
            for slot in harness.SLOTS:
                process = fleet.control[slot]
                stopped += fleet.leader_slot() == slot
                await callers.wait_for_calls(30)
                stop_replica = process.replica.stop

                async def stop(
                    process: harness.Process = process,
                    stop_inner: collections.abc.Callable[
                        [], collections.abc.Awaitable[None]
                    ] = stop_replica,
                ) -> None:
                    sessions_left.append(len(process.service.sessions.by_link))
                    await stop_inner()

                monkeypatch.setattr(process.replica, 'stop', stop)
                await fleet.stop(slot)
                assert await fleet.leader() != slot
                await callers.wait_for_calls(30)
                await fleet.start(slot)
                for name, node in fleet.nodes.items():
                    if not node.node.session.has_lease(clock.now()):
                        nodes_without_lease.append(
                            f'{name} after the stop of {slot}'
                        )
            await callers.end()
            assert stopped, 'no leader was stopped'
            assert sessions_left == [0, 0, 0]
            assert not nodes_without_lease
            assert not callers.failures

    asyncio.run(run())


def test_planned_stop_of_each_node(tmp_path: pathlib.Path) -> None:
    """Guards against calls interrupted by a planned stop of a node (R9).

    Callers use the other nodes, which send a third of their calls to the
    upstream of the stopping node. These calls are slow and have only one
    attempt, so a retry cannot hide an interrupted call.
    """

    async def slow(
        request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.5 if request.path == '/once' else 0.05)
        await fakes.echo(request, writer)

    async def run() -> None:
        async with harness.running(
            tmp_path, 'n1', 'n2', 'n3', node_options=_LONG_TIMEOUTS
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
                await callers.wait_for_calls(8)
                await callers.end()
                assert not callers.failures
                assert {a.status for a in await asyncio.gather(*own)} == {200}
                await fleet.remove_node(name)
                await fleet.add_node(name, **_LONG_TIMEOUTS)
                await fleet.wait_all_ready('n1', 'n2', 'n3')

    asyncio.run(run())
