"""Evacuation of a zone over control processes and nodes, with one failure."""

import asyncio
import collections.abc
import json
import pathlib
import typing

import pytest

from godwitstall import errors
from godwitstall import messages
from godwitstall.routing import zones
from tests.control import harness
from tests import fakes

_ZONES = {'n1': 'z1', 'n2': 'z2', 'n3': 'z2'}
_Scenario = collections.abc.Callable[
    [harness.Fleet], collections.abc.Awaitable[None]
]


def _run(
    folder: pathlib.Path,
    scenario: _Scenario,
    zones_by_node: dict[str, str] | None = None,
) -> None:
    """Run a scenario with nodes in several zones."""
    by_node = _ZONES if zones_by_node is None else zones_by_node

    async def run() -> None:
        async with harness.running(folder, zones=['z1', 'z2', 'z3']) as fleet:
            for name, zone in by_node.items():
                await fleet.add_node(name, zone=zone)
            await fleet.wait_all_ready(*by_node)
            await fleet.wait_in_force(1)
            await scenario(fleet)

    asyncio.run(run())


async def _order(
    fleet: harness.Fleet, slot: str, zone: str, is_active: bool
) -> messages.EvacuationResult:
    """Send an order to a control process as the operator's API does."""
    async with asyncio.timeout(fakes.WAIT_S):
        while True:
            try:
                return await fleet.control[slot].service.evacuate(
                    zone, is_active, 'ann'
                )
            except errors.ControlError:
                await asyncio.sleep(0.02)


async def _wait_evacuated(
    fleet: harness.Fleet, expected: set[str], *names: str
) -> None:
    nodes = names or tuple(fleet.nodes)
    await fakes.until(
        lambda: all(
            fleet.nodes[name].node.view.zones.evacuated == expected
            for name in nodes
        ),
        f'{expected} is evacuated on {nodes}',
    )


def _knows_all_addresses(fleet: harness.Fleet) -> bool:
    """Return whether all nodes know where the processes of now listen."""
    addresses = {n.options.link_address for n in fleet.nodes.values()}
    return all(
        {m.address for m in node.node.view.members.values()} == addresses
        for node in fleet.nodes.values()
    )


async def _check_runs_only(fleet: harness.Fleet, *owners: str) -> None:
    """Check that calls of every node run at these owners only."""
    before = {name: len(n.upstream.runs) for name, n in fleet.nodes.items()}
    for node in fleet.nodes.values():
        for _ in range(10):
            assert (await node.call('/once', 'key-w')).status == 200
    for name, node in fleet.nodes.items():
        has_run = len(node.upstream.runs) > before[name]
        assert has_run == (name in owners), name


def test_zone_is_emptied_and_taken_back(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls in an evacuated zone, and a zone that stays so."""
    monkeypatch.setattr(zones, 'RETURN_S', 0.2)

    async def scenario(fleet: harness.Fleet) -> None:
        await _order(fleet, await fleet.follower(), 'z1', True)
        await _wait_evacuated(fleet, {'z1'})
        await _check_runs_only(fleet, 'n2', 'n3')
        await _order(fleet, await fleet.leader(), 'z1', False)
        await _wait_evacuated(fleet, set())
        await asyncio.sleep(0.25)
        await _check_runs_only(fleet, 'n1', 'n2', 'n3')

    _run(tmp_path, scenario)


def test_runs_end_and_queued_calls_go_elsewhere(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against runs that are cut, and calls that wait for the zone."""

    async def scenario(fleet: harness.Fleet) -> None:
        n1 = fleet.nodes['n1']
        released = asyncio.Event()

        async def hold(
            request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await released.wait()
            await fakes.echo(request, writer)

        n1.upstream.respond = hold
        n1.slots = 1
        await n1.announce()
        for name in 'n2', 'n3':
            # The call below waits in the queue of n1 first.
            n1.node.relay.picker.on_answer(
                messages.NodeId(name),
                messages.LoadReport(9, 9, 1),
                False,
                asyncio.get_running_loop().time(),
            )
        running = asyncio.create_task(n1.call('/once/1', 'key-w'))
        await fakes.until(lambda: n1.upstream.runs, 'a run in z1')
        call = messages.Call(
            1,
            service=messages.ServiceName('siop'),
            deadline_ms=9000,
            attempts=1,
        )
        queued = asyncio.create_task(n1.node.owner.handle(call))
        queue = n1.node.owner.slots.queue
        await fakes.until(lambda: len(queue), 'a queued call')
        await _order(fleet, await fleet.leader(), 'z1', True)
        answer = await queued
        assert answer.kind is errors.ErrorKind.ZONE_EVACUATED
        assert answer.outcome is errors.Outcome.NOT_RUN
        assert not running.done()
        released.set()
        assert (await running).status == 200
        assert len(n1.upstream.runs) == 1

    _run(tmp_path, scenario)


def test_sender_that_does_not_know_of_the_order(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against calls of a node that is cut off from control.

    The owners refuse them, and the node sends them elsewhere. The three
    owners in the zone are more than the refusals that a call may get.
    """
    by_node = {'n1': 'z1', 'n2': 'z2', 'n3': 'z2', 'n4': 'z2', 'n5': 'z3'}

    async def scenario(fleet: harness.Fleet) -> None:
        fleet.partition('n2', others=harness.SLOTS)
        await _order(fleet, await fleet.leader(), 'z2', True)
        await _wait_evacuated(fleet, {'z2'}, 'n3', 'n4')
        n2 = fleet.nodes['n2'].node
        assert not n2.view.is_evacuated('z2')
        # The upstream beside the node cannot be reached by another one.
        n2.relay.picker._accepts_work = (  # type: ignore[method-assign]
            lambda member: member.node_id != 'n2'
        )
        n2.relay.picker._candidate_cache.clear()
        before = len(fleet.nodes['n3'].upstream.runs)
        for _ in range(20):
            assert (
                await fleet.nodes['n2'].call('/open', 'key-w')
            ).status == 200
        assert len(fleet.nodes['n3'].upstream.runs) == before
        assert not fleet.nodes['n4'].upstream.runs
        fleet.heal('n2', others=harness.SLOTS)
        await _wait_evacuated(fleet, {'z2'})

    _run(tmp_path, scenario, by_node)


def test_leader_goes_between_order_and_ack(tmp_path: pathlib.Path) -> None:
    """Guards against an order that its next leader refuses or forgets."""

    async def scenario(fleet: harness.Fleet) -> None:
        leader = await fleet.leader()
        follower = await fleet.follower()
        service = fleet.control[leader].service
        order = asyncio.create_task(service.evacuate('z1', True, 'ann'))
        await asyncio.sleep(0)
        await fleet.kill(leader)
        order.cancel()
        result = await _order(fleet, follower, 'z1', True)
        assert result.verdict is messages.EvacuationVerdict.ACCEPTED
        again = await _order(fleet, follower, 'z1', True)
        assert again == result
        await _wait_evacuated(fleet, {'z1'})
        await _check_runs_only(fleet, 'n2', 'n3')

    _run(tmp_path, scenario)


def test_node_joins_an_evacuated_zone(tmp_path: pathlib.Path) -> None:
    """Guards against work for an upstream that joins during an evacuation.

    The zone has no member when it is evacuated.
    """

    async def scenario(fleet: harness.Fleet) -> None:
        result = await _order(fleet, await fleet.follower(), 'z3', True)
        assert result.verdict is messages.EvacuationVerdict.ACCEPTED
        await fleet.add_node('n4', zone='z3')
        await fleet.wait_all_ready('n1', 'n2', 'n3', 'n4')
        assert fleet.nodes['n4'].node.view.is_evacuated('z3')
        await _check_runs_only(fleet, 'n1', 'n2', 'n3')

    _run(tmp_path, scenario)


def test_restart_of_all_replicas_and_nodes(tmp_path: pathlib.Path) -> None:
    """Guards against an evacuation that is lost with the power.

    The disk of one replica is lost as well.
    """

    async def scenario(fleet: harness.Fleet) -> None:
        await _order(fleet, await fleet.follower(), 'z1', True)
        for name in list(fleet.nodes):
            await fleet.remove_node(name)
        for slot in harness.SLOTS:
            await fleet.kill(slot)
        fleet.format('c2', False)
        await fleet.start()
        await fleet.leader()
        for name, zone in _ZONES.items():
            await fleet.add_node(name, zone=zone)
        await fakes.until(
            lambda: _knows_all_addresses(fleet), 'all nodes have joined again'
        )
        await fleet.wait_all_ready(*_ZONES)
        await _wait_evacuated(fleet, {'z1'})
        await _check_runs_only(fleet, 'n2', 'n3')

    _run(tmp_path, scenario)


def test_evacuation_in_a_snapshot(tmp_path: pathlib.Path) -> None:
    """Guards against a replica that gets a snapshot without evacuations."""

    async def scenario(fleet: harness.Fleet) -> None:
        await _order(fleet, await fleet.leader(), 'z1', True)
        leader = fleet.control[await fleet.leader()]
        copy = type(leader.machine).from_config(leader.service.options)
        copy.restore(9, leader.machine.snapshot())
        assert copy.evacuations.active_zones() == ['z1']

    _run(tmp_path, scenario, {})


def test_all_zones_of_a_service_are_evacuated(tmp_path: pathlib.Path) -> None:
    """Guards against a call that is sent, held, or refused without a time."""

    async def scenario(fleet: harness.Fleet) -> None:
        for zone in 'z1', 'z2':
            await _order(fleet, await fleet.leader(), zone, True)
        await _wait_evacuated(fleet, {'z1', 'z2'})
        answer = await fleet.nodes['n1'].call('/siop', 'key-w')
        assert answer.status == 503
        body: dict[str, typing.Any] = json.loads(answer.body)
        assert body['error'] == 'zone_evacuated'
        assert answer.headers['godwitstall-outcome'] == 'not-run'
        assert int(answer.headers['retry-after']) >= 1
        assert not any(node.upstream.runs for node in fleet.nodes.values())

    _run(tmp_path, scenario)


@pytest.mark.parametrize('is_active', [True, False])
def test_zone_that_does_not_exist(
    tmp_path: pathlib.Path, is_active: bool
) -> None:
    """Guards against an order for a misspelled zone that is accepted."""

    async def scenario(fleet: harness.Fleet) -> None:
        result = await _order(fleet, await fleet.follower(), 'zz', is_active)
        assert result.verdict is messages.EvacuationVerdict.INVALID
        assert result.detail == "There is no zone 'zz', only z1, z2, z3."

    _run(tmp_path, scenario, {})
