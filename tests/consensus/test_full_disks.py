"""Disks that are full for a while, one after another.

A full disk refuses each write, after a part of it. Meanwhile snapshots,
elections and changes of voters are due, replicas are started again, and
commands are proposed. A replica whose disk has failed is started again in its
process, as in control/process.py. Once the last disk has room, commands must
be accepted again, and every acknowledged command is applied by every replica.
"""

import asyncio
import contextlib
import errno
import os
import pathlib
import random
import threading
import typing

import pytest

from godwitstall.consensus import storage
from godwitstall import errors
from godwitstall import messages
from tests.consensus import fleet as fleets
from tests.consensus import test_discovery

_SEEDS = 50 if 'GODWITSTALL_SOAK' in os.environ else 4
_ROUNDS = 8
_SIZE = 5
_RESTART_DELAY_S = 0.05
# Time for which a disk is full, seconds.
_FULL_S = (0.1, 1.2)


class _FullDisks:
    """Makes writes to some folders fail for lack of room."""

    def __init__(self, generator: random.Random) -> None:
        self.random = generator
        self.folders: set[pathlib.Path] = set()
        # Number of writes that were refused.
        self.refused = 0
        self._write = os.write
        self._open = pathlib.Path.open
        self._touch = pathlib.Path.touch

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace the functions that write until the end of the test."""
        monkeypatch.setattr(os, 'write', self._write_if_room)
        monkeypatch.setattr(pathlib.Path, 'open', self._open_if_room())
        monkeypatch.setattr(pathlib.Path, 'touch', self._touch_if_room())

    def _refuse(self) -> typing.NoReturn:
        self.refused += 1
        raise OSError(errno.ENOSPC, 'The simulated disk is full')

    def _write_if_room(self, descriptor: int, data: bytes) -> int:
        path = pathlib.Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        if path.parent not in self.folders:
            return self._write(descriptor, data)
        part = self.random.randrange(len(data) + 1)
        if not part:
            self._refuse()
        return self._write(descriptor, memoryview(data)[:part])

    def _open_if_room(self) -> typing.Any:
        def open_file(
            path: pathlib.Path, mode: str = 'r', *args: typing.Any
        ) -> typing.Any:
            if 'w' in mode and path.parent in self.folders:
                self._refuse()
            return self._open(path, mode, *args)

        return open_file

    def _touch_if_room(self) -> typing.Any:
        def touch(path: pathlib.Path) -> None:
            if path.parent in self.folders:
                self._refuse()
            self._touch(path)

        return touch


class _Simulation:
    """A fleet whose replicas are started again after disk errors."""

    def __init__(
        self, root: pathlib.Path, seed: int, disks: _FullDisks
    ) -> None:
        self.random = disks.random
        self.disks = disks
        self.fleet = test_discovery.SeedFleet(
            root, _SIZE, snapshot_entries=self.random.choice((3, 8, 4096))
        )
        self.acknowledged: list[bytes] = []
        self.proposed = 0
        # Tasks that start the replicas again.
        self.keepers: list[asyncio.Task[None]] = []

    async def run(self, fleet: fleets.Fleet) -> None:
        """Run all rounds; then commands must be accepted."""
        await fleet.start()
        await self.fleet.wait_for_voters(*self.fleet.slots)
        self.keepers = [
            asyncio.create_task(self._keep_running(slot))
            for slot in self.fleet.slots
        ]
        proposer = asyncio.create_task(self._keep_proposing())
        try:
            for _ in range(_ROUNDS):
                await self._run_round()
            self.disks.folders.clear()
            proposer.cancel()
            # Every command from here on has room on each disk.
            for number in range(3):
                command = b'after %d' % number
                await self.fleet.propose(command)
                self.acknowledged.append(command)
            try:
                await fleets.wait_until(self._is_applied_everywhere)
            except TimeoutError as e:
                raise AssertionError(self._describe()) from e
            await self.fleet.wait_for_voters(*self.fleet.slots)
        finally:
            for task in (proposer, *self.keepers):
                task.cancel()
            await asyncio.gather(
                proposer, *self.keepers, return_exceptions=True
            )

    def _is_applied_everywhere(self) -> bool:
        for keeper in self.keepers:
            if keeper.done():
                # A replica could not be started again.
                keeper.result()
        return len(self.fleet.members) == _SIZE and all(
            set(self.acknowledged) <= set(member.machine.commands)
            for member in self.fleet.members.values()
        )

    def _describe(self) -> dict[str, typing.Any]:
        """Return the state of all replicas, for a failed test."""
        return {
            slot: member.replica.dump()
            | {
                'missing': sorted(
                    set(self.acknowledged) - set(member.machine.commands)
                ),
                'tasks': [
                    str(task.get_coro())
                    for task in member.replica.tasks.running
                ],
            }
            for slot, member in self.fleet.members.items()
        }

    async def _run_round(self) -> None:
        slot = self.random.choice(self.fleet.slots)
        leaders = [
            name
            for name, member in self.fleet.members.items()
            if member.replica.is_leader
        ]
        if leaders and self.random.random() < 0.4:
            slot = leaders[0]
        self.disks.folders = {self.fleet.folder(slot)}
        if self.random.random() < 0.4 and slot in self.fleet.members:
            # The disk is full when the replica starts.
            self.fleet.members[slot].replica.tasks.fail(
                errors.DiskError('killed')
            )
        if self.random.random() < 0.3:
            other = self.random.choice(self.fleet.others(slot))
            if other in self.fleet.members:
                # A vote is due.
                member = self.fleet.members[other]
                member.replica.state.step_down()
        await asyncio.sleep(self.random.uniform(*_FULL_S))

    async def _keep_running(self, slot: messages.SlotId) -> None:
        """Start a replica again whenever its disk has failed."""
        while True:
            member = self.fleet.members.get(slot)
            if member is not None and member.replica.failure is None:
                await asyncio.sleep(0.005)
                continue
            if member is not None:
                failure = member.replica.failure
                assert isinstance(failure, OSError | errors.DiskError), failure
                await self.fleet.stop(slot)
            await asyncio.sleep(_RESTART_DELAY_S)
            with contextlib.suppress(OSError):
                await self.fleet.start(slot)
                continue
            # start() has failed, and the next turn starts it again.
            del self.fleet.members[slot]

    async def _keep_proposing(self) -> None:
        while True:
            self.proposed += 1
            command = b'%d' % self.proposed
            for member in list(self.fleet.members.values()):
                if not member.replica.is_leader:
                    continue
                with contextlib.suppress(errors.ControlError):
                    await member.replica.propose(command, 0.5)
                    self.acknowledged.append(command)
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('seed', range(_SEEDS))
def test_commands_are_accepted_once_the_disks_have_room(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a fleet that stays without a leader, or loses acks."""
    disks = _FullDisks(random.Random(seed))
    disks.install(monkeypatch)
    simulation = _Simulation(tmp_path, seed, disks)
    fleets.run(simulation.run, simulation.fleet)
    assert disks.refused
    assert len(simulation.acknowledged) > _ROUNDS


def test_cancelled_file_operation_is_waited_for() -> None:
    """Guards against a thread that writes to files which were opened again.

    The tasks of a replica that has failed are cancelled, and again when the
    replica is closed.
    """

    async def run() -> None:
        events = []
        may_end = asyncio.Event()
        loop = asyncio.get_running_loop()

        def write() -> None:
            asyncio.run_coroutine_threadsafe(may_end.wait(), loop).result()
            events.append('written')

        task = asyncio.create_task(storage.run_blocking(write))
        for _ in range(3):
            await asyncio.sleep(0.01)
            task.cancel()
        await asyncio.sleep(0.01)
        assert not task.done()
        may_end.set()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert events == ['written']

    asyncio.run(run())


def _vote_request(term: int) -> messages.VoteRequest:
    return messages.VoteRequest(
        term=term,
        slot=messages.SlotId('c2'),
        last_index=1000,
        last_term=term,
    )


def test_close_waits_for_a_vote_that_is_stored(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an old vote that replaces a later one on the disk.

    The replica is started again in its process while its disk hangs with a
    vote that another replica has asked for.
    """
    fleet = fleets.Fleet(tmp_path, 3)
    may_write = threading.Event()
    write_vote = storage.write_vote
    stored_terms = []

    def write_slowly(folder: pathlib.Path, vote: storage.Vote) -> None:
        may_write.wait(fleets.TIMEOUT_S)
        write_vote(folder, vote)
        stored_terms.append(vote.term)

    async def scenario(_: fleets.Fleet) -> None:
        slot = fleet.slots[0]
        member = fleets.Member(fleet, slot)
        await member.replica.start()
        # No leader has been heard of for long.
        member.replica.election.leader_contact_at = -1e9
        monkeypatch.setattr(storage, 'write_vote', write_slowly)
        requests = [
            asyncio.create_task(
                member.replica.election.on_vote_request(_vote_request(term))
            )
            for term in (7, 8)
        ]
        await asyncio.sleep(0.05)
        close = asyncio.create_task(member.replica.close())
        await asyncio.sleep(0.05)
        assert not close.done()
        may_write.set()
        await close
        count = len(stored_terms)
        await asyncio.gather(*requests, return_exceptions=True)
        # None is stored once the disk can be opened again.
        assert len(stored_terms) == count
        term = storage.read_vote(fleet.folder(slot)).term
        assert term == stored_terms[-1]

    fleets.run(scenario, fleet)


def test_close_ends_a_wait_for_the_disk(tmp_path: pathlib.Path) -> None:
    """Guards against a stop that waits for a log that is not written."""
    fleet = fleets.Fleet(tmp_path, 3)

    async def scenario(_: fleets.Fleet) -> None:
        member = fleets.Member(fleet, fleet.slots[0])
        await member.replica.start()
        replica = member.replica
        for task in list(replica.tasks.running):
            task.cancel()
        await asyncio.sleep(0)
        replica.state.log.append([messages.Entry(1, 1, 0, b'x')])
        sync = asyncio.create_task(replica.state.log.sync())
        await asyncio.sleep(0)
        await replica.close()
        with pytest.raises(errors.DiskError):
            await asyncio.wait_for(sync, 1.0)

    fleets.run(scenario, fleet)


async def _close_but_not_its_links(
    fleet: fleets.Fleet, slot: messages.SlotId
) -> fleets.Member:
    """Close a replica whose links stay open, as after a race of its close."""
    member = fleet.members.pop(slot)
    await member.replica.close()
    assert member.server is not None
    member.server.close()
    return member


def test_leader_replaces_its_link_to_a_closed_replica(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a link that keeps a replica out after its restart."""
    fleet = fleets.Fleet(tmp_path, 3)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.propose(b'1')
        slot = fleet.others((await fleet.leader()).slot)[0]
        closed = await _close_but_not_its_links(fleet, slot)
        await fleet.start(slot)
        await fleet.propose(b'2')
        await fleet.wait_until_applied(b'1', b'2')
        for link in closed.links:
            link.close()

    fleets.run(scenario, fleet)


def test_candidate_replaces_its_link_to_a_closed_replica(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a link that keeps a fleet without a leader.

    Only the first replica can lead, since its log is ahead, and only with the
    vote of the replica that was started again.
    """
    fleet = fleets.Fleet(tmp_path, 3)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.propose(b'1')
        leader = await fleet.leader()
        slot, other = fleet.others(leader.slot)
        closed = await _close_but_not_its_links(fleet, slot)
        await fleet.propose(b'2')
        await fleet.stop(other)
        leader.replica.state.step_down()
        await fleet.start(slot)
        await fleet.propose(b'3')
        await fleet.wait_until_applied(b'1', b'2', b'3')
        for link in closed.links:
            link.close()

    fleets.run(scenario, fleet)
