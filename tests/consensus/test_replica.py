"""Replicas against crashes, cut links and lost disks."""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import typing

import pytest

from godwitstall import clock
from godwitstall import codec
from godwitstall.consensus import replica as replicas
from godwitstall.consensus import storage
from godwitstall import errors
from godwitstall import link
from godwitstall import messages
from tests.consensus import fleet as fleets

_KIND = errors.ErrorKind
_COMMANDS = [b'%d' % i for i in range(50)]

_Scenario = collections.abc.Callable[
    [fleets.Fleet], collections.abc.Coroutine[None, None, None]
]
_scenarios: list[tuple[_Scenario, int, dict[str, typing.Any]]] = []


def _scenario(
    size: int = 3, **options: typing.Any
) -> collections.abc.Callable[[_Scenario], _Scenario]:
    """Register a scenario, which runs with a fleet of this size."""

    def register(function: _Scenario) -> _Scenario:
        _scenarios.append((function, size, options))
        return function

    return register


async def _propose_all(fleet: fleets.Fleet) -> None:
    leader = await fleet.leader()
    results = await asyncio.gather(
        *(leader.replica.propose(c, fleets.WAIT_S) for c in _COMMANDS)
    )
    assert [r[1] for r in results] == [b'did ' + c for c in _COMMANDS]
    index = await leader.replica.read_barrier(fleets.WAIT_S)
    assert index >= results[-1][0]
    for member in fleet.members.values():
        # What was acknowledged before the barrier is applied after the wait.
        await member.replica.wait_applied(index, fleets.WAIT_S)
        assert member.machine.commands == _COMMANDS
        to_leader = member.replica.leader_link()
        assert (to_leader is None) == (member is leader)
        assert to_leader is None or to_leader.peer_id == leader.slot
        assert json.loads(json.dumps(member.replica.dump()))['failure'] is None


async def _elections_pass(replica: replicas.Replica) -> None:
    """Wait while a replica stands for election several times."""
    later = clock.now() + 1.0
    await fleets.until(lambda: replica.election.deadline > later)


@_scenario(1)
async def alone(fleet: fleets.Fleet) -> None:
    """Guards against a fleet of one that waits for others."""
    await fleet.start()
    await _propose_all(fleet)


@_scenario(5)
async def five(fleet: fleets.Fleet) -> None:
    """Guards against commands that are lost, doubled or reordered."""
    await fleet.start()
    await _propose_all(fleet)
    assert sum(m.replica.is_leader for m in fleet.members.values()) == 1


@_scenario(election_min_s=1.0, election_max_s=2.0, leader_lease_s=0.8)
async def large_commands(fleet: fleets.Fleet) -> None:
    """Guards against a command that stops replication by its size."""
    await fleet.start()
    leader = await fleet.leader()
    largest = bytes(replicas.MAX_COMMAND_BYTES)
    with pytest.raises(errors.ControlError) as caught:
        await leader.replica.propose(largest + b'x', 1.0)
    assert caught.value.kind is _KIND.BODY_TOO_LARGE
    await fleet.propose(largest, b'after')
    await fleet.agree(largest, b'after')


@_scenario()
async def new_fleet_needs_all(fleet: fleets.Fleet) -> None:
    """Guards against a second fleet made by initial disks that were wiped.

    A majority of empty initial disks does not prove that the others are
    empty as well.
    """
    await fleet.start(*fleet.slots[:2])
    first = fleet.members[fleet.slots[0]].replica
    await _elections_pass(first)
    assert not first.is_leader and not first.voters.current
    await fleet.start(fleet.slots[2])
    await fleet.propose(b'x')
    await fleet.agree(b'x')


@_scenario()
async def kill_each(fleet: fleets.Fleet) -> None:
    """Guards against lost entries when each replica is killed in turn."""
    await fleet.start()
    done = []
    for round_number in range(2):
        for slot in fleet.slots:
            await fleet.leader()
            await fleet.end(slot)
            command = b'%s %d' % (slot.encode(), round_number)
            await fleet.propose(command)
            done.append(command)
            await fleet.start(slot)
            await fleet.agree(*done)


@_scenario()
async def kill_all(fleet: fleets.Fleet) -> None:
    """Guards against acknowledged entries that were not on the disk."""
    await fleet.start()
    await fleet.propose(*_COMMANDS)
    for slot in fleet.slots:
        await fleet.end(slot)
    await fleet.start()
    await fleet.propose(b'more')
    await fleet.agree(*_COMMANDS, b'more')


@_scenario(snapshot_entries=32)
async def snapshots(fleet: fleets.Fleet) -> None:
    """Guards against loss by snapshots, and logs that grow forever.

    One replica misses more than the others keep in their logs.
    """
    await fleet.start()
    leader = await fleet.leader()
    late = fleet.others(leader.slot)[0]
    await fleet.end(late)
    # Long enough for a snapshot of several chunks.
    commands = [b'%d ' % i + b'x' * 2000 for i in range(400)]
    for start in range(0, 400, 20):
        await asyncio.gather(
            *(
                leader.replica.propose(c, fleets.WAIT_S)
                for c in commands[start : start + 20]
            )
        )
    await fleet.start(late)
    await fleet.agree(*commands)
    await fleets.until(lambda: leader.replica.log.snapshot_index > 320)
    await leader.replica.log.sync()
    assert leader.replica.log.first_index > 200
    assert len(list(fleet.folder(leader.slot).glob('wal-*'))) <= 4
    for slot in fleet.slots:
        await fleet.end(slot)
    await fleet.start()
    await fleet.propose(b'more')
    await fleet.agree(*commands, b'more')


@_scenario()
async def stale_leader(fleet: fleets.Fleet) -> None:
    """Guards against a cut-off leader that commits or confirms reads."""
    await fleet.start()
    await fleet.propose(b'before')
    old = await fleet.leader()
    fleet.cut(old.slot)
    proposal = asyncio.create_task(
        old.replica.propose(b'stale', fleets.WAIT_S)
    )
    new = await fleet.leader(*fleet.others(old.slot))
    # Whatever the old leader believes, it must not confirm a read now.
    assert not old.replica.holds_lease()
    with pytest.raises(errors.ControlError) as caught:
        await old.replica.read_barrier(0.5)
    assert caught.value.kind in (_KIND.NOT_LEADER, _KIND.CONTROL_LOST)
    with pytest.raises(errors.ControlError) as caught:
        await proposal
    assert caught.value.kind is _KIND.CONTROL_LOST
    await fleets.until(lambda: not old.replica.is_leader)
    with pytest.raises(errors.ControlError) as caught:
        await old.replica.propose(b'refused', 1.0)
    assert caught.value.kind is _KIND.NOT_LEADER
    await fleet.propose(b'after', among=(new.slot,))
    assert old.machine.commands == [b'before']
    fleet.cuts.clear()
    await fleet.agree(b'before', b'after')
    assert old.roles == [True, False]


@_scenario()
async def no_majority(fleet: fleets.Fleet) -> None:
    """Guards against progress without a majority."""
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    for slot in fleet.others(leader.slot):
        await fleet.end(slot)
    with pytest.raises(errors.ControlError) as caught:
        await leader.replica.propose(b'lost', 0.2)
    assert caught.value.kind is _KIND.CONTROL_LOST
    await fleets.until(lambda: not leader.replica.is_leader)
    assert leader.machine.commands == [b'before']


@_scenario()
async def returning_replica(fleet: fleets.Fleet) -> None:
    """Guards against a replica that deposes a working leader on return.

    Without the pre-vote it would raise its term while it is cut off.
    """
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    cut_off = fleet.others(leader.slot)[0]
    term = leader.replica.term
    fleet.cut(cut_off)
    await _elections_pass(fleet.members[cut_off].replica)
    fleet.cuts.clear()
    await fleet.propose(b'after')
    await fleet.agree(b'before', b'after')
    assert leader.replica.is_leader and leader.replica.term == term


@_scenario()
async def lost_disk(fleet: fleets.Fleet) -> None:
    """Guards against a replaced disk that never gets its vote back."""
    await fleet.start()
    await fleet.propose(*_COMMANDS)
    leader = await fleet.leader()
    lost, other = fleet.others(leader.slot)
    await fleet.end(lost)
    fleet.format(lost, False)
    await fleet.start(lost)
    replica = fleet.members[lost].replica
    await fleets.until(lambda: replica.is_voter(lost, replica.disk.disk_id))
    await fleet.propose(b'after')
    await fleet.agree(*_COMMANDS, b'after')
    # The new voter now makes a majority with one other replica.
    await fleet.end(other)
    await fleet.propose(b'last')
    await fleet.agree(*_COMMANDS, b'after', b'last')


async def _replace_and_lose(fleet: fleets.Fleet, is_initial: bool) -> None:
    """Replace one disk, and cut the only replica that has the last entry.

    The empty disk and a replica that lacks the entry must not elect a
    leader.
    """
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    behind, lost = fleet.others(leader.slot)
    await fleet.agree(b'before')
    fleet.cut(behind)
    await fleet.propose(b'acknowledged', among=(leader.slot,))
    await fleets.until(lambda: len(fleet.members[lost].machine.commands) == 2)
    await fleet.end(lost)
    await fleet.end(leader.slot)
    fleet.cuts.clear()
    fleet.format(lost, is_initial)
    await fleet.start(lost)
    empty = fleet.members[lost].replica
    remaining = fleet.members[behind].replica
    await fleets.until(lambda: remaining.peers[lost].link is not None)
    await _elections_pass(remaining)
    assert not empty.is_leader and not remaining.is_leader
    await fleet.start(leader.slot)
    await fleet.propose(b'after')
    await fleet.agree(b'before', b'acknowledged', b'after')
    await fleets.until(lambda: empty.is_voter(lost, empty.disk.disk_id))


@_scenario()
async def empty_disk_has_no_vote(fleet: fleets.Fleet) -> None:
    """Guards against an empty disk that counts in a majority."""
    await _replace_and_lose(fleet, False)


@_scenario()
async def initial_disk_again_has_no_vote(fleet: fleets.Fleet) -> None:
    """Guards against a disk formatted as initial a second time."""
    await _replace_and_lose(fleet, True)


@_scenario()
async def learner_does_not_commit(fleet: fleets.Fleet) -> None:
    """Guards against entries committed by a leader and a learner alone."""
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    lost, other = fleet.others(leader.slot)
    await fleet.end(lost)
    await fleet.end(other)
    fleet.format(lost, False)
    proposal = asyncio.create_task(leader.replica.propose(b'x', 5.0))
    await fleet.start(lost)
    with pytest.raises(errors.ControlError) as caught:
        await proposal
    assert caught.value.kind is _KIND.CONTROL_LOST
    assert leader.machine.commands == [b'before']


@_scenario()
async def hand_over(fleet: fleets.Fleet) -> None:
    """Guards against a planned stop that leaves the fleet leaderless."""
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    followers = fleet.others(leader.slot)
    heard = [fleet.members[s].replica.election for s in followers]
    for each in heard:
        # Only the leader's request can start an election now.
        each.deadline += 3600
        each.reset_deadline = lambda: None  # type: ignore[method-assign]
    await fleets.until(leader.replica.holds_lease)
    stopping = asyncio.create_task(fleet.end(leader.slot, planned=True))
    await asyncio.sleep(0)
    # The next leader need not wait for the end of the lease.
    assert leader.replica.is_leader and not leader.replica.holds_lease()
    with pytest.raises(errors.ControlError) as caught:
        await leader.replica.propose(b'late', 1.0)
    assert caught.value.kind is _KIND.NOT_LEADER
    await stopping
    assert leader.roles == [True, False]
    await fleet.leader(*followers)
    await fleet.propose(b'after')
    await fleet.agree(b'before', b'after')


@_scenario(5)
async def two_candidates(fleet: fleets.Fleet) -> None:
    """Guards against two leaders of one term, and an election without end."""
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    await fleet.end(leader.slot)
    led: list[int] = []
    for member in fleet.members.values():
        replica = member.replica

        def become_leader(
            grants: dict[messages.SlotId, messages.DiskId],
            replica: replicas.Replica = replica,
        ) -> None:
            led.append(replica.term)
            replicas.Replica.become_leader(replica, grants)

        replica.become_leader = become_leader  # type: ignore[method-assign]
    for _ in range(5):
        await asyncio.gather(
            *(
                member.replica.election.campaign(is_transfer=True)
                for member in list(fleet.members.values())[:2]
            )
        )
    await fleet.propose(b'after')
    await fleet.agree(b'before', b'after')
    assert len(led) == len(set(led)) > 0


@_scenario()
async def voter_changes_are_checked(fleet: fleets.Fleet) -> None:
    """Guards against two changes at once and voters that are not ready."""
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    slot, other = fleet.others(leader.slot)
    disk_id = fleet.members[slot].replica.disk.disk_id
    unknown = messages.DiskId('unknown')
    refused: list[messages.Message] = [
        messages.RemoveVoter(slot, unknown),
        messages.RemoveVoter(leader.slot, leader.replica.disk.disk_id),
        messages.AddVoter(messages.Voter(slot, disk_id)),
    ]
    for change in refused:
        _, result = await leader.replica.propose(
            codec.encode(change), fleets.WAIT_S
        )
        answer = codec.decode(result)
        assert isinstance(answer, messages.CommandResult)
        assert not answer.is_accepted
    await fleet.end(slot)
    await fleets.until(lambda: leader.replica.peers[slot].link is None)
    removal = codec.encode(messages.RemoveVoter(slot, disk_id))
    both = await asyncio.gather(
        leader.replica.propose(removal, fleets.WAIT_S),
        leader.replica.propose(
            codec.encode(
                messages.RemoveVoter(
                    other, fleet.members[other].replica.disk.disk_id
                )
            ),
            fleets.WAIT_S,
        ),
    )
    accepted = [codec.decode(result) for _, result in both]
    assert [
        isinstance(a, messages.CommandResult) and a.is_accepted
        for a in accepted
    ] == [True, False]
    assert set(leader.replica.voters.current) == {leader.slot, other}
    # The disk is still good, so it gets its vote back.
    await fleet.start(slot)
    await fleets.until(lambda: leader.replica.is_voter(slot, disk_id))
    await fleet.agree(b'before')


@pytest.mark.parametrize(
    ('scenario', 'size', 'options'),
    [pytest.param(*each, id=each[0].__name__) for each in _scenarios],
)
def test_scenario(
    tmp_path: pathlib.Path,
    scenario: _Scenario,
    size: int,
    options: dict[str, typing.Any],
) -> None:
    fleets.run(scenario, fleets.Fleet(tmp_path, size, **options))


def test_cancelled_request_stays_cancelled() -> None:
    """Guards against a replica whose tasks do not end at a stop.

    The reply comes in the same loop iteration as the cancellation.
    """

    async def scenario() -> None:
        server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        one = link.Link(*await asyncio.open_connection('127.0.0.1', port))
        task = asyncio.create_task(one.request(messages.BarrierRequest(), 9.0))
        await fleets.until(lambda: bool(one.pending))
        next(iter(one.pending.values())).set_result(messages.BarrierReply())
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        one.close()
        server.close()

    asyncio.run(scenario())


class _Caller:
    """Stands in for a link; keeps the replies."""

    peer_role = messages.Role.CONTROL
    peer_id = 'c2'

    def __init__(self) -> None:
        self.replies: list[typing.Any] = []

    def send(self, message: messages.Message) -> None:
        self.replies.append(message)


def _vote_request(slot: str, **fields: typing.Any) -> messages.VoteRequest:
    defaults: dict[str, typing.Any] = {
        'term': 9,
        'slot': messages.SlotId(slot),
        'disk_id': messages.DiskId('d'),
        'last_index': 99,
        'last_term': 8,
    }
    return messages.VoteRequest(**defaults | fields)


async def _ask(member: fleets.Member, request: messages.Message) -> typing.Any:
    caller = _Caller()
    assert await member.replica.handle(request, typing.cast(link.Link, caller))
    return caller.replies[0]


async def _quiet_member(fleet: fleets.Fleet) -> fleets.Member:
    """Return the only running replica, which never stands for election."""
    slot = fleet.slots[0]
    await fleet.start(slot)
    election = fleet.members[slot].replica.election
    election.deadline += 3600
    election.reset_deadline = lambda: None  # type: ignore[method-assign]
    election.leader_contact_at = 0.0
    return fleet.members[slot]


def test_one_vote_in_a_term(tmp_path: pathlib.Path) -> None:
    """Guards against two candidates with the same vote, also by a restart."""

    async def scenario(fleet: fleets.Fleet) -> None:
        member = await _quiet_member(fleet)
        first = await _ask(member, _vote_request('c2'))
        second = await _ask(member, _vote_request('c3'))
        assert (first.is_granted, second.is_granted) == (True, False)
        await fleet.end(member.slot)
        member = await _quiet_member(fleet)
        assert member.replica.term == 9
        second = await _ask(member, _vote_request('c3'))
        again = await _ask(member, _vote_request('c2'))
        assert (again.is_granted, second.is_granted) == (True, False)

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


def test_entry_of_a_former_term_is_not_committed_alone(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against committing an entry that a later leader may cut."""

    async def scenario(fleet: fleets.Fleet) -> None:
        member = await _quiet_member(fleet)
        replica = member.replica
        entries = [messages.Entry(i, 1, 1, b'x') for i in (1, 2)]
        await _ask(
            member,
            messages.AppendRequest(
                term=1, slot=messages.SlotId('c2'), entries=entries
            ),
        )
        disk = replica.disk.disk_id
        disks = {slot: messages.DiskId(slot) for slot in fleet.slots}
        disks[member.slot] = disk
        replica.voters.reset(
            0, [messages.Voter(slot, each) for slot, each in disks.items()]
        )
        replica.observe_term(4)
        replica.become_leader(disks)
        await replica.log.sync()
        peer = replica.peers[fleet.slots[1]]
        peer.disk_id = disks[peer.slot]
        for match_index, commit_index in ((2, 0), (3, 3)):
            peer.match_index = match_index
            replica.on_ack()
            assert replica.commit_index == commit_index

    options = {'election_min_s': 60.0, 'election_max_s': 61.0}
    fleets.run(scenario, fleets.Fleet(tmp_path, 3, **options))


_REFUSED: dict[str, dict[str, typing.Any]] = {
    'older term': {'term': 3},
    'shorter log': {'last_index': 1},
    'older log': {'last_term': 1, 'last_index': 9999},
    'empty log': {'last_term': 0, 'last_index': 0},
    'pre-vote for the current term': {'term': 4, 'is_pre_vote': True},
}


def test_votes_refused(tmp_path: pathlib.Path) -> None:
    """Guards against a leader that lacks committed entries."""

    async def scenario(fleet: fleets.Fleet) -> None:
        member = await _quiet_member(fleet)
        entries = [messages.Entry(i, 4, 1, b'x') for i in (1, 2)]
        appended = await _ask(
            member,
            messages.AppendRequest(
                term=4, slot=messages.SlotId('c2'), entries=entries
            ),
        )
        assert appended.is_success and appended.match_index == 2
        # Heard from a leader a moment ago.
        member.replica.options.election_min_s = 3600.0
        reply = await _ask(member, _vote_request('c3'))
        assert not reply.is_granted and member.replica.term == 4
        member.replica.election.leader_contact_at = -3600.0
        for name, fields in _REFUSED.items():
            request = _vote_request('c3', **{'last_term': 4} | fields)
            reply = await _ask(member, request)
            assert not reply.is_granted, name
        reply = await _ask(member, _vote_request('c3', last_term=4))
        assert reply.is_granted

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


@pytest.mark.parametrize('is_initial', [True, False])
def test_vote_for_a_new_fleet(
    tmp_path: pathlib.Path, is_initial: bool
) -> None:
    """Guards against a new fleet made with the help of a replaced disk."""

    async def scenario(fleet: fleets.Fleet) -> None:
        fleet.format(fleet.slots[0], is_initial)
        member = await _quiet_member(fleet)
        request = _vote_request('c2', last_index=0, last_term=0)
        reply = await _ask(member, request)
        assert reply.is_granted == is_initial

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


def test_restart_gives_no_vote_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against a leader lease broken by a restarted follower."""

    async def scenario(fleet: fleets.Fleet) -> None:
        slot = fleet.slots[0]
        await fleet.start(slot)
        member = fleet.members[slot]
        reply = await _ask(member, _vote_request('c2'))
        assert not reply.is_granted

    options = {'election_min_s': 60.0, 'election_max_s': 61.0}
    fleets.run(scenario, fleets.Fleet(tmp_path, 3, **options))


def test_conflicting_entries_are_cut(tmp_path: pathlib.Path) -> None:
    """Guards against entries of a lost leader that stay in the log."""

    def append(
        term: int, previous: tuple[int, int], *terms: int
    ) -> messages.AppendRequest:
        start = previous[0] + 1
        return messages.AppendRequest(
            term=term,
            slot=messages.SlotId('c2'),
            previous_index=previous[0],
            previous_term=previous[1],
            entries=[
                messages.Entry(start + i, t, 1, b'%d' % t)
                for i, t in enumerate(terms)
            ],
        )

    # Request, whether it fits, match index or hint, terms in the log.
    steps = [
        (append(1, (0, 0), 1, 1, 1), True, 3, [1, 1, 1]),
        (append(2, (5, 2), 2), False, 3, [1, 1, 1]),
        (append(2, (3, 2), 2), False, 0, [1, 1, 1]),
        (append(2, (1, 1), 2, 2), True, 3, [1, 2, 2]),
        (append(2, (0, 0), 1), True, 1, [1, 2, 2]),
        (append(1, (0, 0), 1, 1), False, 0, [1, 2, 2]),
        (append(3, (2, 2), 3), True, 3, [1, 2, 3]),
    ]

    async def scenario(fleet: fleets.Fleet) -> None:
        member = await _quiet_member(fleet)
        for request, is_success, match_index, terms in steps:
            reply = await _ask(member, request)
            assert reply.is_success is is_success
            assert reply.match_index == match_index
            assert [e.term for e in member.replica.log.entries] == terms
        await fleet.end(member.slot)
        member = await _quiet_member(fleet)
        assert [e.term for e in member.replica.log.entries] == [1, 2, 3]

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


def test_snapshot_chunks(tmp_path: pathlib.Path) -> None:
    """Guards against a snapshot put together from lost or bad chunks."""

    # Offset, data, last chunk, offset wanted next.
    steps = [
        (0, b'abcd', False, 4),
        (8, b'ijkl', False, 4),
        (4, b'efgh', False, 8),
        (0, b'abcd', False, 4),
        (4, b'no checksum', True, 0),
    ]

    async def scenario(fleet: fleets.Fleet) -> None:
        member = await _quiet_member(fleet)
        for offset, data, is_last, wanted in steps:
            chunk = messages.SnapshotChunk(
                term=1,
                slot=messages.SlotId('c2'),
                last_index=9,
                last_term=1,
                offset=offset,
                is_last=is_last,
                data=data,
            )
            reply = await _ask(member, chunk)
            assert reply.next_offset == wanted
        assert member.replica.commit_index == 0

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


def test_time_never_decreases(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against records that expire early by a clock set back."""

    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.start()
        for wall_ms in (5000, 4000, 6000):
            monkeypatch.setattr(clock, 'wall_ms', lambda ms=wall_ms: ms)
            await fleet.propose(b'%d' % wall_ms)
        leader = await fleet.leader()
        times = [e.time_ms for e in leader.replica.log.entries]
        assert times[-3:] == [5000, 5000, 6000]

    monkeypatch.setattr(clock, 'wall_ms', lambda: 1)
    fleets.run(scenario, fleets.Fleet(tmp_path, 1))


def test_disk_failure_ends_the_replica(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against acknowledging entries that a full disk refused."""

    def refuse(*arguments: typing.Any) -> None:
        raise OSError(28, 'No space left on device')

    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.start()
        leader = await fleet.leader()
        monkeypatch.setattr(storage.LogFiles, 'append', refuse)
        with contextlib.suppress(errors.ControlError):
            await leader.replica.propose(b'lost', fleets.WAIT_S)
            pytest.fail('acknowledged')
        assert isinstance(
            await leader.replica.wait_failed(), errors.StorageError
        )
        assert not leader.replica.is_leader

    fleets.run(scenario, fleets.Fleet(tmp_path, 1))
