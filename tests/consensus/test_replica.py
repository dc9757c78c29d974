"""Replicas under crashes, network partitions and lost disks."""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import typing

import pytest

from godwitstall import clock
from godwitstall import codec
from godwitstall.consensus import leader as leaders
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
    """Register a scenario to run with a fleet of this size."""

    def register(function: _Scenario) -> _Scenario:
        _scenarios.append((function, size, options))
        return function

    return register


async def _propose_all(fleet: fleets.Fleet) -> None:
    leader = await fleet.leader()
    results = await asyncio.gather(
        *(leader.replica.propose(c, fleets.TIMEOUT_S) for c in _COMMANDS)
    )
    assert [r[1] for r in results] == [b'did ' + c for c in _COMMANDS]
    index = await leader.replica.read_barrier(fleets.TIMEOUT_S)
    assert index >= results[-1][0]
    for member in fleet.members.values():
        # The wait covers all commands acknowledged before the barrier.
        await member.replica.wait_applied(index, fleets.TIMEOUT_S)
        assert member.machine.commands == _COMMANDS
        leader_link = member.replica.leader_link()
        assert (leader_link is None) == (member is leader)
        assert leader_link is None or leader_link.peer_id == leader.slot
        assert json.loads(json.dumps(member.replica.dump()))['failure'] is None


async def _wait_for_elections(replica: replicas.Replica) -> None:
    """Wait until a replica has run several elections."""
    min_deadline = clock.now() + 1.0
    await fleets.wait_until(lambda: replica.election.deadline > min_deadline)


@_scenario(1)
async def alone(fleet: fleets.Fleet) -> None:
    """Guards against a single replica that waits for others."""
    await fleet.start()
    await _propose_all(fleet)


@_scenario(5)
async def five(fleet: fleets.Fleet) -> None:
    """Guards against lost, duplicated or reordered commands."""
    await fleet.start()
    await _propose_all(fleet)
    assert sum(m.replica.is_leader for m in fleet.members.values()) == 1


@_scenario(election_min_s=1.0, election_max_s=2.0, leader_lease_s=0.8)
async def large_commands(fleet: fleets.Fleet) -> None:
    """Guards against a command whose size stops replication."""
    await fleet.start()
    leader = await fleet.leader()
    largest = bytes(leaders.MAX_COMMAND_BYTES)
    with pytest.raises(errors.ControlError) as caught:
        await leader.replica.propose(largest + b'x', 1.0)
    assert caught.value.kind is _KIND.BODY_TOO_LARGE
    await fleet.propose(largest, b'after')
    await fleet.wait_until_applied(largest, b'after')


@_scenario()
async def new_fleet_needs_all(fleet: fleets.Fleet) -> None:
    """Guards against a second fleet, created by wiped initial disks.

    A majority of empty initial disks does not prove that the other disks are
    empty.
    """
    await fleet.start(*fleet.slots[:2])
    first = fleet.members[fleet.slots[0]].replica
    await _wait_for_elections(first)
    assert not first.is_leader and not first.state.voters.current
    await fleet.start(fleet.slots[2])
    await fleet.propose(b'x')
    await fleet.wait_until_applied(b'x')


@_scenario()
async def kill_each(fleet: fleets.Fleet) -> None:
    """Guards against lost entries when each replica is killed in turn."""
    await fleet.start()
    done = []
    for round_number in range(2):
        for slot in fleet.slots:
            await fleet.leader()
            await fleet.stop(slot)
            command = b'%s %d' % (slot.encode(), round_number)
            await fleet.propose(command)
            done.append(command)
            await fleet.start(slot)
            await fleet.wait_until_applied(*done)


@_scenario()
async def kill_all(fleet: fleets.Fleet) -> None:
    """Guards against acknowledged entries that were not durable."""
    await fleet.start()
    await fleet.propose(*_COMMANDS)
    for slot in fleet.slots:
        await fleet.stop(slot)
    await fleet.start()
    await fleet.propose(b'more')
    await fleet.wait_until_applied(*_COMMANDS, b'more')


@_scenario(snapshot_entries=32)
async def snapshots(fleet: fleets.Fleet) -> None:
    """Guards against data loss by snapshots, and unbounded logs.

    One replica misses more entries than the others keep in their logs.
    """
    await fleet.start()
    leader = await fleet.leader()
    lagging = fleet.others(leader.slot)[0]
    await fleet.stop(lagging)
    # Large enough for a snapshot of several chunks.
    commands = [b'%d ' % i + b'x' * 2000 for i in range(400)]
    for start in range(0, 400, 20):
        await asyncio.gather(
            *(
                leader.replica.propose(c, fleets.TIMEOUT_S)
                for c in commands[start : start + 20]
            )
        )
    await fleet.start(lagging)
    await fleet.wait_until_applied(*commands)
    await fleets.wait_until(
        lambda: leader.replica.state.log.snapshot_index > 320
    )
    await leader.replica.state.log.sync()
    assert leader.replica.state.log.first_index > 200
    assert len(list(fleet.folder(leader.slot).glob('wal-*'))) <= 4
    for slot in fleet.slots:
        await fleet.stop(slot)
    await fleet.start()
    await fleet.propose(b'more')
    await fleet.wait_until_applied(*commands, b'more')


@_scenario()
async def stale_leader(fleet: fleets.Fleet) -> None:
    """Guards against an isolated leader that commits or confirms reads."""
    await fleet.start()
    await fleet.propose(b'before')
    old = await fleet.leader()
    fleet.isolate(old.slot)
    proposal = asyncio.create_task(
        old.replica.propose(b'stale', fleets.TIMEOUT_S)
    )
    new = await fleet.leader(*fleet.others(old.slot))
    # The old leader may not have stepped down, but must reject reads.
    assert not old.replica.holds_lease()
    with pytest.raises(errors.ControlError) as caught:
        await old.replica.read_barrier(0.5)
    assert caught.value.kind in (_KIND.NOT_LEADER, _KIND.CONTROL_LOST)
    with pytest.raises(errors.ControlError) as caught:
        await proposal
    assert caught.value.kind is _KIND.CONTROL_LOST
    await fleets.wait_until(lambda: not old.replica.is_leader)
    with pytest.raises(errors.ControlError) as caught:
        await old.replica.propose(b'refused', 1.0)
    assert caught.value.kind is _KIND.NOT_LEADER
    await fleet.propose(b'after', among=(new.slot,))
    assert old.machine.commands == [b'before']
    fleet.blocked_pairs.clear()
    await fleet.wait_until_applied(b'before', b'after')
    assert old.roles == [True, False]


@_scenario()
async def no_majority(fleet: fleets.Fleet) -> None:
    """Guards against progress without a majority."""
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    for slot in fleet.others(leader.slot):
        await fleet.stop(slot)
    with pytest.raises(errors.ControlError) as caught:
        await leader.replica.propose(b'lost', 0.2)
    assert caught.value.kind is _KIND.CONTROL_LOST
    await fleets.wait_until(lambda: not leader.replica.is_leader)
    assert leader.machine.commands == [b'before']


@_scenario()
async def returning_replica(fleet: fleets.Fleet) -> None:
    """Guards against a reconnected replica that deposes a working leader.

    Without the pre-vote the replica would raise its term while isolated.
    """
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    isolated = fleet.others(leader.slot)[0]
    term = leader.replica.state.term
    fleet.isolate(isolated)
    await _wait_for_elections(fleet.members[isolated].replica)
    fleet.blocked_pairs.clear()
    await fleet.propose(b'after')
    await fleet.wait_until_applied(b'before', b'after')
    assert leader.replica.is_leader and leader.replica.state.term == term


@_scenario()
async def lost_disk(fleet: fleets.Fleet) -> None:
    """Guards against a replaced disk that never becomes a voter again."""
    await fleet.start()
    await fleet.propose(*_COMMANDS)
    leader = await fleet.leader()
    lost, other = fleet.others(leader.slot)
    await fleet.stop(lost)
    fleet.format(lost, False)
    await fleet.start(lost)
    replica = fleet.members[lost].replica
    await fleets.wait_until(
        lambda: replica.state.is_voter(lost, replica.state.disk.disk_id)
    )
    await fleet.propose(b'after')
    await fleet.wait_until_applied(*_COMMANDS, b'after')
    # The new voter and the leader are a majority.
    await fleet.stop(other)
    await fleet.propose(b'last')
    await fleet.wait_until_applied(*_COMMANDS, b'after', b'last')


async def _replace_disk_and_stop_leader(
    fleet: fleets.Fleet, is_initial: bool
) -> None:
    """Replace one of the two disks that have the last entry.

    The leader, whose disk is the other one, is stopped. The empty disk and
    the replica that lacks the entry must not elect a leader.
    """
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    lagging, lost = fleet.others(leader.slot)
    await fleet.wait_until_applied(b'before')
    fleet.isolate(lagging)
    await fleet.propose(b'acknowledged', among=(leader.slot,))
    await fleets.wait_until(
        lambda: len(fleet.members[lost].machine.commands) == 2
    )
    await fleet.stop(lost)
    await fleet.stop(leader.slot)
    fleet.blocked_pairs.clear()
    fleet.format(lost, is_initial)
    await fleet.start(lost)
    empty = fleet.members[lost].replica
    remaining = fleet.members[lagging].replica
    await fleets.wait_until(
        lambda: remaining.state.peers[lost].link is not None
    )
    await _wait_for_elections(remaining)
    assert not empty.is_leader and not remaining.is_leader
    await fleet.start(leader.slot)
    await fleet.propose(b'after')
    await fleet.wait_until_applied(b'before', b'acknowledged', b'after')
    await fleets.wait_until(
        lambda: empty.state.is_voter(lost, empty.state.disk.disk_id)
    )


@_scenario()
async def empty_disk_has_no_vote(fleet: fleets.Fleet) -> None:
    """Guards against an empty disk that counts towards a majority."""
    await _replace_disk_and_stop_leader(fleet, False)


@_scenario()
async def initial_disk_again_has_no_vote(fleet: fleets.Fleet) -> None:
    """Guards against a vote by a disk formatted as initial twice."""
    await _replace_disk_and_stop_leader(fleet, True)


@_scenario()
async def learner_does_not_commit(fleet: fleets.Fleet) -> None:
    """Guards against a commit by only the leader and a learner."""
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    lost, other = fleet.others(leader.slot)
    await fleet.stop(lost)
    await fleet.stop(other)
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
    elections = [fleet.members[s].replica.election for s in followers]
    for election in elections:
        # Only the leader's request can start an election now.
        election.deadline += 3600
        election.reset_deadline = lambda: None  # type: ignore[method-assign]
    await fleets.wait_until(leader.replica.holds_lease)
    stopping = asyncio.create_task(fleet.stop(leader.slot, is_planned=True))
    await asyncio.sleep(0)
    # The next leader need not wait for the lease to expire.
    assert leader.replica.is_leader and not leader.replica.holds_lease()
    with pytest.raises(errors.ControlError) as caught:
        await leader.replica.propose(b'late', 1.0)
    assert caught.value.kind is _KIND.NOT_LEADER
    await stopping
    assert leader.roles == [True, False]
    await fleet.leader(*followers)
    await fleet.propose(b'after')
    await fleet.wait_until_applied(b'before', b'after')


@_scenario(5)
async def two_candidates(fleet: fleets.Fleet) -> None:
    """Guards against two leaders in one term, and endless elections."""
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    await fleet.stop(leader.slot)
    terms: list[int] = []
    for member in fleet.members.values():
        replica = member.replica

        def become_leader(
            grants: dict[messages.SlotId, messages.DiskId],
            replica: replicas.Replica = replica,
        ) -> None:
            terms.append(replica.state.term)
            replica.become_leader(grants)

        replica.election.on_elected = become_leader
    for _ in range(5):
        await asyncio.gather(
            *(
                member.replica.election.campaign(is_transfer=True)
                for member in list(fleet.members.values())[:2]
            )
        )
    await fleet.propose(b'after')
    await fleet.wait_until_applied(b'before', b'after')
    assert len(terms) == len(set(terms)) > 0


@_scenario()
async def voter_changes_are_checked(fleet: fleets.Fleet) -> None:
    """Guards against concurrent changes and voters not caught up."""
    await fleet.start()
    await fleet.propose(b'before')
    leader = await fleet.leader()
    slot, other = fleet.others(leader.slot)
    disk_id = fleet.members[slot].replica.state.disk.disk_id
    unknown = messages.DiskId('unknown')
    rejected: list[messages.Message] = [
        messages.RemoveVoter(slot, unknown),
        messages.RemoveVoter(leader.slot, leader.replica.state.disk.disk_id),
        messages.AddVoter(messages.Voter(slot, disk_id)),
    ]
    for change in rejected:
        _, result = await leader.replica.propose(
            codec.encode(change), fleets.TIMEOUT_S
        )
        outcome = codec.decode(result)
        assert isinstance(outcome, messages.CommandResult)
        assert not outcome.is_accepted
    await fleet.stop(slot)
    await fleets.wait_until(
        lambda: leader.replica.state.peers[slot].link is None
    )
    removal = codec.encode(messages.RemoveVoter(slot, disk_id))
    results = await asyncio.gather(
        leader.replica.propose(removal, fleets.TIMEOUT_S),
        leader.replica.propose(
            codec.encode(
                messages.RemoveVoter(
                    other, fleet.members[other].replica.state.disk.disk_id
                )
            ),
            fleets.TIMEOUT_S,
        ),
    )
    outcomes = [codec.decode(result) for _, result in results]
    assert [
        isinstance(o, messages.CommandResult) and o.is_accepted
        for o in outcomes
    ] == [True, False]
    assert set(leader.replica.state.voters.current) == {leader.slot, other}
    # The disk still has its data, so the replica becomes a voter again.
    await fleet.start(slot)
    await fleets.wait_until(
        lambda: leader.replica.state.is_voter(slot, disk_id)
    )
    await fleet.wait_until_applied(b'before')


@pytest.mark.parametrize(
    ('scenario', 'size', 'options'),
    [pytest.param(*s, id=s[0].__name__) for s in _scenarios],
)
def test_scenario(
    tmp_path: pathlib.Path,
    scenario: _Scenario,
    size: int,
    options: dict[str, typing.Any],
) -> None:
    fleets.run(scenario, fleets.Fleet(tmp_path, size, **options))


def test_cancelled_request_stays_cancelled() -> None:
    """Guards against a task that does not end when a replica stops.

    The reply arrives in the same loop iteration as the cancellation.
    """

    async def scenario() -> None:
        server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        connection = link.Link(
            *await asyncio.open_connection('127.0.0.1', port)
        )
        task = asyncio.create_task(
            connection.request(messages.BarrierRequest(), 9.0)
        )
        await fleets.wait_until(lambda: bool(connection.pending))
        next(iter(connection.pending.values())).set_result(
            messages.BarrierReply()
        )
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        connection.close()
        server.close()

    asyncio.run(scenario())


class _FakeLink:
    """Fake link that records the replies."""

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


async def _send_request(
    member: fleets.Member, request: messages.Message
) -> typing.Any:
    fake_link = _FakeLink()
    assert await member.replica.handle(
        request, typing.cast(link.Link, fake_link)
    )
    return fake_link.replies[0]


async def _start_passive_member(fleet: fleets.Fleet) -> fleets.Member:
    """Start only the first replica, which never runs an election."""
    slot = fleet.slots[0]
    await fleet.start(slot)
    election = fleet.members[slot].replica.election
    election.deadline += 3600
    election.reset_deadline = lambda: None  # type: ignore[method-assign]
    election.leader_contact_at = 0.0
    return fleet.members[slot]


def test_one_vote_in_a_term(tmp_path: pathlib.Path) -> None:
    """Guards against two votes in one term, also across a restart."""

    async def scenario(fleet: fleets.Fleet) -> None:
        member = await _start_passive_member(fleet)
        first = await _send_request(member, _vote_request('c2'))
        second = await _send_request(member, _vote_request('c3'))
        assert (first.is_granted, second.is_granted) == (True, False)
        await fleet.stop(member.slot)
        member = await _start_passive_member(fleet)
        assert member.replica.state.term == 9
        second = await _send_request(member, _vote_request('c3'))
        again = await _send_request(member, _vote_request('c2'))
        assert (again.is_granted, second.is_granted) == (True, False)

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


def test_entry_of_a_former_term_is_not_committed_alone(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against committing an entry a later leader may truncate."""

    async def scenario(fleet: fleets.Fleet) -> None:
        member = await _start_passive_member(fleet)
        replica = member.replica
        entries = [messages.Entry(i, 1, 1, b'x') for i in (1, 2)]
        await _send_request(
            member,
            messages.AppendRequest(
                term=1, slot=messages.SlotId('c2'), entries=entries
            ),
        )
        disk = replica.state.disk.disk_id
        disks = {slot: messages.DiskId(slot) for slot in fleet.slots}
        disks[member.slot] = disk
        replica.state.voters.reset(
            0, [messages.Voter(slot, disk) for slot, disk in disks.items()]
        )
        replica.state.observe_term(4)
        replica.become_leader(disks)
        await replica.state.log.sync()
        peer = replica.state.peers[fleet.slots[1]]
        peer.disk_id = disks[peer.slot]
        for match_index, commit_index in ((2, 0), (3, 3)):
            peer.match_index = match_index
            replica.leader.on_ack()
            assert replica.state.commit_index == commit_index

    options = {'election_min_s': 60.0, 'election_max_s': 61.0}
    fleets.run(scenario, fleets.Fleet(tmp_path, 3, **options))


_DENIED_REQUESTS: dict[str, dict[str, typing.Any]] = {
    'older term': {'term': 3},
    'shorter log': {'last_index': 1},
    'older log': {'last_term': 1, 'last_index': 9999},
    'empty log': {'last_term': 0, 'last_index': 0},
    'pre-vote for the current term': {'term': 4, 'is_pre_vote': True},
}


def test_votes_refused(tmp_path: pathlib.Path) -> None:
    """Guards against electing a leader that lacks committed entries."""

    async def scenario(fleet: fleets.Fleet) -> None:
        member = await _start_passive_member(fleet)
        entries = [messages.Entry(i, 4, 1, b'x') for i in (1, 2)]
        appended = await _send_request(
            member,
            messages.AppendRequest(
                term=4, slot=messages.SlotId('c2'), entries=entries
            ),
        )
        assert appended.is_success and appended.match_index == 2
        # No vote is granted shortly after contact with a leader.
        member.replica.state.options.election_min_s = 3600.0
        reply = await _send_request(member, _vote_request('c3'))
        assert not reply.is_granted and member.replica.state.term == 4
        member.replica.election.leader_contact_at = -3600.0
        for name, fields in _DENIED_REQUESTS.items():
            request = _vote_request('c3', **{'last_term': 4} | fields)
            reply = await _send_request(member, request)
            assert not reply.is_granted, name
        reply = await _send_request(member, _vote_request('c3', last_term=4))
        assert reply.is_granted

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


@pytest.mark.parametrize('is_initial', [True, False])
def test_vote_for_a_new_fleet(
    tmp_path: pathlib.Path, is_initial: bool
) -> None:
    """Guards against a new fleet created with a replaced disk."""

    async def scenario(fleet: fleets.Fleet) -> None:
        fleet.format(fleet.slots[0], is_initial)
        member = await _start_passive_member(fleet)
        request = _vote_request('c2', last_index=0, last_term=0)
        reply = await _send_request(member, request)
        assert reply.is_granted == is_initial

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


def test_restart_gives_no_vote_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against a restarted follower that violates a leader lease."""

    async def scenario(fleet: fleets.Fleet) -> None:
        slot = fleet.slots[0]
        await fleet.start(slot)
        member = fleet.members[slot]
        reply = await _send_request(member, _vote_request('c2'))
        assert not reply.is_granted

    options = {'election_min_s': 60.0, 'election_max_s': 61.0}
    fleets.run(scenario, fleets.Fleet(tmp_path, 3, **options))


def test_conflicting_entries_are_cut(tmp_path: pathlib.Path) -> None:
    """Guards against entries of a former leader that stay in the log."""

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

    # Request, is_success, match_index (previous index for a retry on failure),
    # terms in the log.
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
        member = await _start_passive_member(fleet)
        for request, is_success, match_index, terms in steps:
            reply = await _send_request(member, request)
            assert reply.is_success is is_success
            assert reply.match_index == match_index
            assert [e.term for e in member.replica.state.log.entries] == terms
        await fleet.stop(member.slot)
        member = await _start_passive_member(fleet)
        assert [e.term for e in member.replica.state.log.entries] == [1, 2, 3]

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


def test_snapshot_chunks(tmp_path: pathlib.Path) -> None:
    """Guards against a snapshot with missing or corrupt chunks."""

    # Offset, data, is_last, next_offset in the reply.
    steps = [
        (0, b'abcd', False, 4),
        (8, b'ijkl', False, 4),
        (4, b'efgh', False, 8),
        (0, b'abcd', False, 4),
        (4, b'no checksum', True, 0),
    ]

    async def scenario(fleet: fleets.Fleet) -> None:
        member = await _start_passive_member(fleet)
        for offset, data, is_last, next_offset in steps:
            chunk = messages.SnapshotChunk(
                term=1,
                slot=messages.SlotId('c2'),
                last_index=9,
                last_term=1,
                offset=offset,
                is_last=is_last,
                data=data,
            )
            reply = await _send_request(member, chunk)
            assert reply.next_offset == next_offset
        assert member.replica.state.commit_index == 0

    fleets.run(scenario, fleets.Fleet(tmp_path, 3))


def test_time_never_decreases(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against early expiry of records after a clock is set back."""

    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.start()
        for wall_ms in (5000, 4000, 6000):
            monkeypatch.setattr(clock, 'wall_ms', lambda ms=wall_ms: ms)
            await fleet.propose(b'%d' % wall_ms)
        leader = await fleet.leader()
        times = [e.time_ms for e in leader.replica.state.log.entries]
        assert times[-3:] == [5000, 5000, 6000]

    monkeypatch.setattr(clock, 'wall_ms', lambda: 1)
    fleets.run(scenario, fleets.Fleet(tmp_path, 1))


def test_disk_failure_ends_the_replica(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against acknowledging entries after a failed write."""

    def fail_append(*arguments: typing.Any) -> None:
        raise OSError(28, 'No space left on device')

    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.start()
        leader = await fleet.leader()
        monkeypatch.setattr(storage.LogFiles, 'append', fail_append)
        with contextlib.suppress(errors.ControlError):
            await leader.replica.propose(b'lost', fleets.TIMEOUT_S)
            pytest.fail('acknowledged')
        assert isinstance(
            await leader.replica.wait_failed(), errors.StorageError
        )
        assert not leader.replica.is_leader

    fleets.run(scenario, fleets.Fleet(tmp_path, 1))
