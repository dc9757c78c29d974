"""R10 and R3: accepted notes take effect on all nodes and never revert."""

import asyncio
import functools
import json
import pathlib

from godwitstall import clock
from godwitstall import codec
from godwitstall import messages
from godwitstall.routing import view as view_module
from loadtool import http_client
from tests.control import harness
from tests import fakes

_ACCEPTED = messages.NoteVerdict.ACCEPTED


def _ready_members(node: fakes.NodeHarness) -> set[str]:
    """Return the members that are ready in the view of a node."""
    return {
        member.node_id
        for member in node.node.view.members.values()
        if member.state is messages.UpstreamState.READY
    }


def _is_fresh(node: fakes.NodeHarness) -> bool:
    return node.node.session.has_lease(clock.now())


def _slot_used_by(node: fakes.NodeHarness) -> str:
    return node.node.session.slot


def _record_number(view: view_module.View, numbers: list[int]) -> None:
    numbers.append(view.number)


async def _rejection_kind(
    node: fakes.NodeHarness, path: str, key: str = ''
) -> str:
    """Return the error kind of a call whose outcome must be not-run."""
    answer = await node.call(path, key)
    assert answer.headers['godwitstall-outcome'] == 'not-run', answer
    return str(json.loads(answer.body)['error'])


def test_accepted_note_survives_leader_killed_at_once(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an acknowledgement before a majority stored the note.

    The leader is killed right after the acknowledgement, and its disk is
    replaced by an empty one. The note must still be in force on every node.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2') as fleet:
            leader = await fleet.leader()
            operator = await fleet.operator(leader)
            result = await operator.apply_note(
                harness.rate_note(2, 500.0, 700)
            )
            await fleet.kill(leader)
            assert result.verdict is _ACCEPTED
            await fleet.wait_in_force(2)
            for node in fleet.nodes.values():
                assert node.node.view.workspaces['w'].burst == 700
            fleet.format(leader, False)
            await fleet.start(leader)
            await fakes.until(
                lambda: fleet.control[leader].configuration.number == 2,
                'the replica with the empty disk has the note',
            )

    asyncio.run(run())


def test_second_replica_lost_right_after_a_repair(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an empty disk that counts towards a majority.

    A replica restarts with an empty disk. As soon as it is a voter again,
    another replica is lost permanently. All accepted notes must remain.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1') as fleet:
            repaired = await fleet.follower()
            await fleet.kill(repaired)
            await fleet.apply_note(harness.rate_note(2, 500.0, 702))
            fleet.format(repaired, False)
            await fleet.start(repaired)
            disk = fleet.control[repaired].replica.state.disk.disk_id
            await fleet.apply_note(harness.rate_note(3, 500.0, 703))
            lost = fleet.other_slots(repaired)[0]
            survivor = fleet.other_slots(repaired, lost)[0]
            voters = fleet.control[survivor].replica.state.voters
            await fakes.until(
                lambda: (
                    repaired in voters.current
                    and voters.current[messages.SlotId(repaired)].disk_id
                    == disk
                ),
                'the repaired replica is a voter',
            )
            await fleet.kill(lost)
            await fleet.apply_note(harness.rate_note(4, 500.0, 704))
            await fleet.wait_in_force(4)
            assert fleet.nodes['n1'].node.view.workspaces['w'].burst == 704

    asyncio.run(run())


def test_replica_cut_off_confirms_nothing_and_pushes_nothing_old(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against leases and state from a replica without a majority.

    The leader is partitioned from the other replicas. Node n1 can reach only
    the leader and must lose its lease; n2 must move to another replica. No
    node may revert to an older configuration during or after the partition.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2') as fleet:
            leader = await fleet.leader()
            others = fleet.other_slots(leader)
            n1, n2 = fleet.nodes['n1'], fleet.nodes['n2']
            numbers_seen: dict[str, list[int]] = {'n1': [], 'n2': []}
            for name, numbers in numbers_seen.items():
                view = fleet.nodes[name].node.view
                view.on_change.append(
                    functools.partial(_record_number, view, numbers)
                )
            fleet.partition('n1', others=others)
            await fakes.until(
                lambda: _slot_used_by(n1) == leader and _is_fresh(n1),
                'n1 uses the leader',
            )
            partitioned_at = clock.now()
            fleet.partition(leader, others=others)
            await fakes.until(
                lambda: (
                    fleet.leader_slot() in others
                    and _slot_used_by(n2) in others
                    and _is_fresh(n2)
                ),
                'the majority elects a leader and n2 uses it',
            )
            operator = await fleet.operator(fleet.leader_slot())
            for number in (2, 3, 4):
                result = await operator.apply_note(
                    harness.rate_note(number, 500.0, 700 + number)
                )
                assert result.verdict is _ACCEPTED
            await fleet.wait_in_force(4, 'n2')
            await fakes.until(lambda: not _is_fresh(n1), 'n1 has no lease')
            # Barrier rounds that began before the leader lease ended may
            # still complete. The node lease starts when a heartbeat is sent.
            session = n1.node.session
            assert session.lease_until <= (
                partitioned_at
                + fleet.options['leader_lease_s']
                + n1.options.lease_s
            )
            assert (
                await _rejection_kind(n1, '/siop', 'key-w') == 'control_lost'
            )
            assert await _rejection_kind(n1, '/open') == 'control_lost'
            # From now on, n2 can reach only the former leader.
            fleet.partition('n2', others=others)
            fleet.heal(leader, others=others)
            await fleet.wait_in_force(4)
            await fakes.until(
                lambda: (
                    _slot_used_by(n2) == leader
                    and _is_fresh(n2)
                    and _is_fresh(n1)
                ),
                'both nodes use the former leader',
            )
            # Nodes without heartbeats have expired. Until they rejoin, calls
            # are rejected with no_upstream and not run.
            await fakes.until(
                lambda: (
                    _ready_members(n1) == _ready_members(n2) == {'n1', 'n2'}
                ),
                'both nodes have rejoined',
            )
            assert all(
                numbers == sorted(numbers) for numbers in numbers_seen.values()
            )
            assert (await n1.call('/siop', 'key-w')).status == 200
            assert (await n2.call('/siop', 'key-w')).status == 200

    asyncio.run(run())


def test_operators_race_with_one_number(tmp_path: pathlib.Path) -> None:
    """Guards against two accepted notes with the same number.

    The rejected operator gets the name of the accepted one. When the accepted
    operator resends the note to another replica, it is already in force.
    """

    async def run() -> None:
        async with harness.running(tmp_path) as fleet:
            first, second = await fleet.follower(), await fleet.leader()
            texts = [harness.rate_note(2, 500.0, n) for n in (801, 802)]
            ann = await fleet.operator(first, 'ann')
            ben = await fleet.operator(second, 'ben')
            results = await asyncio.gather(
                ann.apply_note(texts[0]), ben.apply_note(texts[1])
            )
            verdicts = [result.verdict for result in results]
            assert sorted(verdicts, key=lambda item: item.value) == [
                _ACCEPTED,
                messages.NoteVerdict.NUMBER_TAKEN,
            ]
            winner = verdicts.index(_ACCEPTED)
            assert results[1 - winner].operator == ('ann', 'ben')[winner]
            again = await (ben, ann)[winner].apply_note(texts[winner])
            assert again.verdict is messages.NoteVerdict.ALREADY_IN_FORCE
            await fakes.until(
                lambda: all(
                    process.configuration.workspaces[0].burst == 801 + winner
                    for process in fleet.control.values()
                ),
                'all replicas have the accepted note',
            )

    asyncio.run(run())


def test_resend_after_a_lost_answer(tmp_path: pathlib.Path) -> None:
    """Guards against a resent note that is taken for another one.

    The reply is lost in a partition between operator and leader, and the
    leader is killed. The note is resent to the new leader.
    """

    async def run() -> None:
        async with harness.running(tmp_path) as fleet:
            leader = await fleet.leader()
            operator = await fleet.operator(leader)
            text = harness.rate_note(2, 500.0, 702)
            link = await operator.connect()
            link.send(
                messages.Propose(1, codec.encode(harness.apply_note(text)))
            )
            await fakes.until(
                lambda: fleet.control[leader].configuration.number == 2
            )
            fleet.partition('ann', others=[leader])
            await fleet.kill(leader)
            again = await fleet.operator(await fleet.leader())
            result = await again.apply_note(text)
            assert result.verdict is messages.NoteVerdict.ALREADY_IN_FORCE
            assert result.operator == 'ann'

    asyncio.run(run())


def test_restart_of_all_replicas_after_hundreds_of_notes(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a snapshot or log that loses accepted notes."""

    async def run() -> None:
        async with harness.running(
            tmp_path, 'n1', snapshot_entries=64
        ) as fleet:
            operator = await fleet.operator(await fleet.leader())
            for number in range(2, 302):
                result = await operator.apply_note(
                    harness.rate_note(number, 500.0, 1000 + number)
                )
                assert result.verdict is _ACCEPTED
            await fakes.until(
                lambda: all(
                    process.replica.state.log.snapshot_index > 64
                    for process in fleet.control.values()
                ),
                'all replicas have taken snapshots',
            )
            before = fleet.control['c1'].machine.configuration.to_snapshot()
            await asyncio.gather(*(fleet.kill(slot) for slot in harness.SLOTS))
            node = fleet.nodes['n1']
            await fakes.until(lambda: not _is_fresh(node))
            assert (
                await _rejection_kind(node, '/siop', 'key-w') == 'control_lost'
            )
            await fleet.start()
            await fakes.until(
                lambda: _is_fresh(node), 'the node has a lease again'
            )
            assert node.node.view.number == 301
            assert node.node.view.workspaces['w'].burst == 1301
            assert (await node.call('/siop', 'key-w')).status == 200
            await fakes.until(
                lambda: all(
                    process.machine.configuration.to_snapshot() == before
                    for process in fleet.control.values()
                ),
                'all replicas have the same state as before',
            )
            result = await fleet.apply_note(
                harness.rate_note(301, 500.0, 1301)
            )
            assert result.verdict is messages.NoteVerdict.ALREADY_IN_FORCE

    asyncio.run(run())


def test_node_restarted_on_the_wrong_side_of_a_cut(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a lease from a replica without a majority.

    A restarted node gets outdated state from a partitioned replica. It must
    reject calls until it reaches the majority, and then join with a higher
    incarnation than before.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2') as fleet:
            leader = await fleet.leader()
            others = fleet.other_slots(leader)
            await fleet.remove_node('n1')
            fleet.partition(leader, others=others)
            fleet.partition('n1', others=others)
            await fakes.until(lambda: fleet.leader_slot() in others)
            operator = await fleet.operator(fleet.leader_slot(), 'ben')
            await operator.apply_note(harness.withdrawal_note(2))
            node = await fleet.create_node('n1')
            starting = asyncio.create_task(node.start())
            await fakes.until(
                lambda: node.node.view.number == 1,
                'the node has the outdated state',
            )
            link = node.node.session.link
            await fakes.until(
                lambda: node.node.session.link is not link,
                'a heartbeat was not confirmed and the session ended',
            )
            assert node.node.session.lease_until == 0.0
            refused = await http_client.Client(
                node.options.caller_address, 1
            ).request('GET', '/siop', [('godwitstall-key', 'key-w')], b'', 9.0)
            assert json.loads(refused.body)['error'] == 'control_lost'
            assert not node.upstream.runs
            fleet.heal('n1', others=others)
            await starting
            assert (
                await _rejection_kind(node, '/siop', 'key-w') == 'key_unknown'
            )
            await fleet.wait_all_ready('n1', 'n2')

    asyncio.run(run())


def test_withdrawn_key_on_open_connections(tmp_path: pathlib.Path) -> None:
    """Guards against keys that are checked once per connection (R3).

    A node partitioned from control does not receive the withdrawal. It must
    reject every call, with or without a key, once its lease has ended.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2', 'n3') as fleet:
            nodes = fleet.nodes
            for node in nodes.values():
                assert (await node.call('/siop', 'key-w')).status == 200
            fleet.partition('n3', others=harness.SLOTS)
            await fleet.apply_note(harness.withdrawal_note(2))
            await fleet.wait_in_force(2, 'n1', 'n2')
            runs = [len(node.upstream.runs) for node in nodes.values()]
            for name in ('n1', 'n2'):
                # Uses the same connection as before.
                kind = await _rejection_kind(nodes[name], '/siop', 'key-w')
                assert kind == 'key_unknown'
            await fakes.until(lambda: not _is_fresh(nodes['n3']))
            assert nodes['n3'].node.view.number == 1
            kinds = {
                await _rejection_kind(nodes['n3'], '/siop', 'key-w'),
                await _rejection_kind(nodes['n3'], '/open'),
            }
            assert kinds == {'control_lost'}
            assert runs == [len(n.upstream.runs) for n in nodes.values()]
            fleet.heal('n3', others=harness.SLOTS)
            await fleet.wait_in_force(2)
            assert await _rejection_kind(nodes['n3'], '/siop', 'key-w') == (
                'key_unknown'
            )

    asyncio.run(run())
