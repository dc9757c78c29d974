"""One replica of the control state: a replicated log with leader election.

The replica joins the parts of this package: the log on the disk, one Peer for
each other replica, the Election and the Follower. All state changes happen on
the event loop; only file operations run in threads.

Example:
    replica = Replica.from_config(options, fleet, identity, machine)
    await replica.start()
    index, result = await replica.propose(command, timeout_s=1.0)
"""

import asyncio
import collections.abc
import contextlib
import enum
import pathlib
import typing

from godwitstall import clock
from godwitstall import codec
from godwitstall.consensus import discovery
from godwitstall.consensus import election
from godwitstall.consensus import follower
from godwitstall.consensus import log as logmodule
from godwitstall.consensus import peer as peers
from godwitstall.consensus import snapshots
from godwitstall.consensus import storage
from godwitstall.consensus import voter_changes
from godwitstall.consensus import voters
from godwitstall import errors
from godwitstall import link as links
from godwitstall import logs
from godwitstall import messages
from godwitstall import settings

_LOG = logs.get('consensus')

# Entries applied before the event loop may do other work.
_APPLY_BATCH = 256

# A snapshot is due when the commands since the last one have this share of
# its size, so that a large state is written about eight times for each time
# its commands are, and the log in memory stays small beside the state.
_LOG_SHARE = 8

# A larger command could make an append request that no peer reads, and
# replication would stop at it.
MAX_COMMAND_BYTES = codec.MAX_FRAME_BYTES // 2

format_disk = storage.format_disk


class Role(enum.Enum):
    """Part that a replica plays in the current term."""

    FOLLOWER = 'follower'
    LEADER = 'leader'


_Waiter = tuple[int, asyncio.Future[None]]
_Proposal = asyncio.Future[tuple[int, bytes]]


class Replica:
    """One voter or learner of the fleet; made by from_config()."""

    def __init__(
        self,
        options: settings.ControlOptions,
        fleet: settings.FleetOptions,
        identity: links.Identity,
        machine: snapshots.StateMachine,
    ) -> None:
        self.options = options
        self.fleet = fleet
        self.identity = identity
        self.machine = machine
        self.slot = options.slot
        self.folder = pathlib.Path(options.data_folder)
        # Identity of the disk; read by start().
        self.disk = storage.DiskIdentity(
            fleet.name, self.slot, messages.DiskId(''), False
        )
        # Highest term seen, and the candidate that got this term's vote.
        self.term = 0
        self.voted_for = ''
        self.role = Role.FOLLOWER
        # Slot of the leader of this term, None when not known.
        self.leader_slot: messages.SlotId | None = None
        # Highest entry known to be on a majority, and the highest applied.
        self.commit_index = 0
        self.applied_index = 0
        # Called with is_leader; a new leader calls it after its first entry
        # of the term is applied, so that it has all earlier state.
        self.on_role_change: collections.abc.Callable[[bool], None] | None = (
            None
        )
        # Error that ended this replica; the process should stop.
        self.failure: BaseException | None = None
        self._failed = asyncio.Event()
        self.log = logmodule.Log(storage.LogFiles(self.folder))
        self.log.on_durable = self.on_ack
        self.voters = voters.VoterHistory()
        self.changes = voter_changes.VoterChanges(self)
        self.election = election.Election(self)
        self.follower = follower.Follower(self)
        self.peers: dict[messages.SlotId, peers.Peer] = {}
        self.discovery = discovery.Discovery(self, fleet)
        for name, address in fleet.control.items():
            slot = messages.SlotId(name)
            if slot != self.slot:
                self.peers[slot] = peers.Peer(self, slot, address)
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_started = False
        # Index of the leader's first entry, and when it took the lead.
        self.term_start = 0
        self.lead_since = 0.0
        # A leader that hands over takes no proposals and has no lease.
        self.is_handing_over = False
        self._is_role_told = False
        self._is_applying = False
        # Held while a snapshot is written or installed.
        self._snapshot_lock = asyncio.Lock()
        # Size of the newest snapshot, and of the commands applied after it.
        self._snapshot_bytes = 0
        self._applied_bytes = 0
        # Open proposals by index.
        self._proposals: dict[int, _Proposal] = {}
        self._apply_waiters: list[_Waiter] = []
        # Barriers that wait for an answer of any peer.
        self._ack_waiters: list[asyncio.Future[None]] = []

    @classmethod
    def from_config(
        cls,
        options: settings.ControlOptions,
        fleet: settings.FleetOptions,
        identity: links.Identity,
        machine: snapshots.StateMachine,
    ) -> 'Replica':
        """Return the replica of the settings; start() opens its disk."""
        return cls(options, fleet, identity, machine)

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads the current term, as far as it knows."""
        return self.role is Role.LEADER

    # Start and stop

    async def start(self) -> None:
        """Open the disk, restore the state and start the tasks.

        Errors: StorageError when the disk is corrupt or of another fleet.
        """
        header, state = await asyncio.to_thread(self._open)
        if header.last_index:
            await snapshots.load(self.machine, header.last_index, state)
            self._snapshot_bytes = len(state)
        self.voters.reset(header.voters_index, header.voters)
        self.commit_index = self.applied_index = header.last_index
        for entry in self.log.between(header.last_index + 1, 1 << 63):
            self.voters.append(entry)
        self.election.heard_at = clock.now()
        self.election.defer()
        if set(self.voters.current) == {self.slot}:
            # Nobody else can lead.
            self.election.heard_at = self.election.deadline = 0.0
        _LOG.info(
            'Opened disk %s of slot %s: term %d, entries up to %d.',
            self.disk.disk_id,
            self.slot,
            self.term,
            self.log.last_index,
        )
        self._spawn(self.log.run())
        self._spawn(self._run_timer())
        for voter in self.voters.current.values():
            if voter.slot != self.slot:
                self.meet(voter.slot, voter.address)
        self._is_started = True
        for peer in self.peers.values():
            peer.task = self._spawn(peer.run())
        self._spawn(self.discovery.run())

    def meet(self, slot: messages.SlotId, address: str) -> bool:
        """Keep a link to a replica; return whether it is new here."""
        if slot == self.slot or not address:
            return False
        peer = self.peers.get(slot)
        if peer is not None:
            if peer.address != address and peer.link is None:
                _LOG.info('Replica %s is at %s now.', slot, address)
                peer.address = address
            return False
        _LOG.info('Knows replica %s at %s.', slot, address)
        peer = self.peers[slot] = peers.Peer(self, slot, address)
        peer.reset(self.log.last_index + 1)
        if self._is_started:
            peer.task = self._spawn(peer.run())
        return True

    def forget(self, slot: messages.SlotId) -> None:
        """Drop a replica that has no vote."""
        peer = self.peers.pop(slot)
        if peer.task is not None:
            peer.task.cancel()

    def _open(self) -> tuple[messages.SnapshotFile, bytes | memoryview]:
        self.disk = storage.read_identity(
            self.folder, self.fleet.name, self.slot
        )
        vote = storage.read_vote(self.folder)
        self.term, self.voted_for = vote.term, vote.voted_for
        self.election.stored = vote
        storage.delete_unfinished(self.folder)
        data = storage.read_snapshot(self.folder)
        header = messages.SnapshotFile()
        state: bytes | memoryview = b''
        if data is not None:
            header, state = storage.unpack_snapshot(
                data, f'The newest snapshot in {self.folder}'
            )
        self.log.open(header)
        if self.log.last_term > self.term:
            raise errors.StorageError(
                f'The file vote in {self.folder} is of term {self.term}, the '
                f'log of term {self.log.last_term}. {storage.REPLACE_TEXT}'
            )
        return header, state

    def _spawn(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fail(typing.cast(BaseException, task.exception()))

    def _fail(self, failure: BaseException) -> None:
        """End after an error that leaves memory and disk in doubt."""
        if self.failure is None:
            _LOG.error('The replica ends: %s', failure, exc_info=failure)
            self.failure = failure
            self._failed.set()
            self._step_down()
            for task in self._tasks:
                task.cancel()

    async def wait_failed(self) -> BaseException:
        """Wait until this replica ends by an error, and return the error."""
        await self._failed.wait()
        return typing.cast(BaseException, self.failure)

    async def stop(self) -> None:
        """Hand leadership over when leading, then end all tasks."""
        if self.is_leader and len(self.voters.current) > 1:
            self.is_handing_over = True
            with contextlib.suppress(TimeoutError, errors.GodwitstallError):
                async with asyncio.timeout(self.options.election_max_s):
                    await self._hand_over()
        await self.close()

    async def _hand_over(self) -> None:
        """Ask the voter with the longest log to stand for election."""
        while self.is_leader and self.commit_index < self.log.last_index:
            await self._wait_ack()
        while self.is_leader:
            ready = [
                peer
                for peer in self.peers.values()
                if peer.link is not None
                and self.is_voter(peer.slot, peer.disk_id)
                and peer.match_index == self.log.last_index
            ]
            if ready:
                break
            await self._wait_ack()
        if not self.is_leader:
            return
        peer = max(ready, key=lambda found: found.acked_at)
        _LOG.info('Hands leadership over to %s.', peer.slot)
        if peer.link is not None:
            await peer.link.request(
                messages.TransferLeadership(term=self.term),
                self.options.election_max_s,
            )
        while self.is_leader:
            await self._wait_ack()

    async def close(self) -> None:
        """End all tasks without handing over, as a crash would."""
        self._step_down()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.log.files.close()

    async def _run_timer(self) -> None:
        tick_s = min(
            self.options.append_interval_ms / 1000,
            self.options.election_min_s / 10,
        )
        while True:
            await asyncio.sleep(tick_s)
            now = clock.now()
            if not self.is_leader:
                if now >= self.election.deadline:
                    await self.election.stand()
                continue
            confirmed = max(self._confirmed_at(), self.lead_since)
            if now - confirmed > self.options.election_max_s:
                _LOG.warning('Steps down: no majority answers.')
                self._step_down()
            else:
                self.changes.step()

    # Terms and roles

    def is_voter(
        self, slot: messages.SlotId, disk_id: messages.DiskId
    ) -> bool:
        """Return whether this disk has a vote."""
        voter = self.voters.current.get(slot)
        return voter is not None and voter.disk_id == disk_id

    def observe_term(self, term: int) -> None:
        """Enter a higher term as follower without a vote."""
        if term > self.term:
            self.term = term
            self.voted_for = ''
            self.leader_slot = None
            self._step_down()

    def follow(self, slot: messages.SlotId) -> None:
        """Follow the leader of the current term."""
        if self.leader_slot != slot:
            _LOG.info('Follows %s in term %d.', slot, self.term)
            self.leader_slot = slot
        self.election.hear_leader()

    def _step_down(self) -> None:
        if not self.is_leader:
            return
        _LOG.info('No longer leads in term %d.', self.term)
        self.role = Role.FOLLOWER
        if self.leader_slot == self.slot:
            self.leader_slot = None
        self.election.defer()
        proposals, self._proposals = self._proposals, {}
        for future in proposals.values():
            if not future.done():
                future.set_exception(
                    errors.ControlError(
                        errors.ErrorKind.CONTROL_LOST,
                        'Leadership was lost before the command was applied.',
                    )
                )
        self._wake_ack_waiters()
        self._tell_role(False)

    def _tell_role(self, is_leader: bool) -> None:
        if self._is_role_told != is_leader:
            self._is_role_told = is_leader
            if self.on_role_change is not None:
                self.on_role_change(is_leader)

    def lead(self, grants: dict[messages.SlotId, messages.DiskId]) -> None:
        """Become leader of the current term after a won election."""
        _LOG.info('Leads in term %d.', self.term)
        if self.election.is_new_fleet():
            self._create_fleet(grants)
        self.role = Role.LEADER
        self.leader_slot = self.slot
        self.is_handing_over = False
        self.lead_since = clock.now()
        self.term_start = self.log.last_index + 1
        for peer in self.peers.values():
            peer.reset(self.term_start)
        self.append(b'')

    def _create_fleet(
        self, grants: dict[messages.SlotId, messages.DiskId]
    ) -> None:
        """Write the first voters as a snapshot at entry 1.

        A snapshot reaches the others as a whole; single changes could leave
        a follower with a part of the voters.
        """
        state = b''.join(self.machine.freeze())
        header = messages.SnapshotFile(
            last_index=1,
            last_term=self.term,
            time_ms=clock.wall_ms(),
            voters=[
                messages.Voter(slot, disk_id, self._address_of(slot))
                for slot, disk_id in sorted(grants.items())
            ],
            voters_index=1,
        )
        # One small file once in the life of a fleet: done on the event loop,
        # so that no vote can be given in between.
        storage.write_snapshot(
            self.folder, 1, storage.pack_snapshot(header, state)
        )
        for _ in self.machine.load(header.last_index, state):
            pass
        self._adopt(header, len(state))

    def _address_of(self, slot: messages.SlotId) -> str:
        if slot == self.slot:
            return self.discovery.own_address
        return self.peers[slot].address

    def _adopt(self, header: messages.SnapshotFile, size: int) -> None:
        """Go on after a durable snapshot of size bytes that is loaded."""
        self._snapshot_bytes, self._applied_bytes = size, 0
        self.log.reset(header)
        self.voters.reset(header.voters_index, header.voters)
        self.commit_index = self.applied_index = header.last_index
        self._wake_appliers()

    # Proposals

    async def propose(
        self, command: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Log a command and return its index and result once applied.

        Errors: ControlError of kind NOT_LEADER when the command surely is
        not logged, CONTROL_LOST when that is not known, BODY_TOO_LARGE when
        it is larger than MAX_COMMAND_BYTES.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise errors.ControlError(errors.ErrorKind.BODY_TOO_LARGE)
        if not self.is_leader or self.is_handing_over:
            raise errors.ControlError(errors.ErrorKind.NOT_LEADER)
        change = voters.parse_change(command)
        if change is not None:
            refusal = self.changes.refusal(change)
            if refusal:
                return 0, codec.encode(messages.CommandResult(False, refusal))
        index = self.append(command)
        future: _Proposal = asyncio.get_running_loop().create_future()
        self._proposals[index] = future
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                'No majority stored the command in time.',
            ) from e
        finally:
            if self._proposals.get(index) is future:
                del self._proposals[index]

    def append(self, command: bytes) -> int:
        """Put a command into the log of this leader and return its index."""
        entry = messages.Entry(
            self.log.last_index + 1,
            self.term,
            max(clock.wall_ms(), self.log.last_time_ms),
            command,
        )
        self.log.append([entry])
        self.voters.append(entry)
        self._wake_peers()
        return entry.index

    def _wake_peers(self) -> None:
        for peer in self.peers.values():
            peer.wake.set()

    def on_ack(self) -> None:
        """Take note of an answer of a peer or of the own disk."""
        if self.is_leader:
            stored = [
                self.log.durable_index
                if slot == self.slot
                else self.peers[slot].match_index
                if slot in self.peers
                and self.peers[slot].disk_id == voter.disk_id
                else 0
                for slot, voter in self.voters.current.items()
            ]
            stored.sort(reverse=True)
            index = stored[voters.quorum(stored) - 1]
            # An entry of an earlier term on a majority can still be cut
            # until one of this term is on a majority as well.
            if index >= self.term_start and index > self.commit_index:
                self.advance_commit(index)
                self._wake_peers()
            self.changes.step()
        self._wake_ack_waiters()

    # Commit and apply

    def advance_commit(self, index: int) -> None:
        """Note that entries up to index are committed, and apply them."""
        self.commit_index = max(self.commit_index, index)
        if not self._is_applying:
            self._apply_some()

    def _apply_some(self) -> None:
        self._is_applying = False
        last = min(self.commit_index, self.applied_index + _APPLY_BATCH)
        try:
            for entry in self.log.between(self.applied_index + 1, last):
                result = self._apply(entry)
                self.applied_index = entry.index
                self._applied_bytes += len(entry.command)
                future = self._proposals.pop(entry.index, None)
                if future is not None and not future.done():
                    future.set_result((entry.index, result))
        except Exception as e:
            # The state may have changed in part.
            self._fail(e)
            return
        self._wake_appliers()
        if self.is_leader and self.applied_index >= self.term_start:
            self._tell_role(True)
        if self.applied_index < self.commit_index and self.failure is None:
            self._is_applying = True
            asyncio.get_running_loop().call_soon(self._apply_some)
        self._start_snapshot()

    def _apply(self, entry: messages.Entry) -> bytes:
        if not entry.command:
            return b''
        if voters.parse_change(entry.command) is not None:
            return codec.encode(messages.CommandResult(True))
        return self.machine.apply(entry.index, entry.time_ms, entry.command)

    def _wake_appliers(self) -> None:
        for index, future in self._apply_waiters:
            if index <= self.applied_index and not future.done():
                future.set_result(None)
        self._apply_waiters = [
            waiter for waiter in self._apply_waiters if not waiter[1].done()
        ]

    async def wait_applied(self, index: int, timeout_s: float) -> None:
        """Wait until the entry is applied here.

        Errors: ControlError of kind CONTROL_LOST when timeout_s ends.
        """
        if self.applied_index >= index:
            return
        future = asyncio.get_running_loop().create_future()
        self._apply_waiters.append((index, future))
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                f'Entry {index} was not applied in time.',
            ) from e
        finally:
            future.cancel()

    # Snapshots

    async def _take_snapshot(self) -> None:
        async with self._snapshot_lock:
            if not self._is_snapshot_due():
                return
            index = self.applied_index
            voters_index, current = self.voters.at(index)
            header = messages.SnapshotFile(
                last_index=index,
                last_term=self.log.term_at(index) or 0,
                time_ms=self.log.between(index, index)[0].time_ms,
                voters=list(current.values()),
                voters_index=voters_index,
            )
            covered_bytes = self._applied_bytes
            size = await snapshots.write(
                self.folder, header, self.machine.freeze()
            )
            self.log.compact(header)
            self._snapshot_bytes = size
            self._applied_bytes -= covered_bytes
            _LOG.info('Took a snapshot of %d bytes at entry %d.', size, index)
        # The log may have grown enough meanwhile, and the next command may
        # not come for long.
        self._start_snapshot()

    def _start_snapshot(self) -> None:
        if (
            self._is_snapshot_due()
            and not self._snapshot_lock.locked()
            and self._tasks
        ):
            self._spawn(self._take_snapshot())

    def _is_snapshot_due(self) -> bool:
        since = self.applied_index - self.log.snapshot_index
        return (
            since >= self.options.snapshot_entries
            and self._applied_bytes * _LOG_SHARE >= self._snapshot_bytes
        )

    async def install(
        self,
        header: messages.SnapshotFile,
        state: memoryview,
        data: bytearray,
    ) -> None:
        """Store a leader's snapshot and put it in force."""
        async with self._snapshot_lock:
            await storage.run_blocking(
                storage.write_snapshot, self.folder, header.last_index, data
            )
            _LOG.info('Installs the snapshot of entry %d.', header.last_index)
            await snapshots.load(self.machine, header.last_index, state)
            self._adopt(header, len(state))
            await self.log.sync()

    # Reads

    def _confirmed_at(self) -> float:
        """Return the time until which a majority knew this leader."""
        times = [
            clock.now()
            if slot == self.slot
            else self.peers[slot].acked_at
            if slot in self.peers and self.peers[slot].disk_id == voter.disk_id
            else -1.0
            for slot, voter in self.voters.current.items()
        ]
        times.sort(reverse=True)
        return times[voters.quorum(times) - 1]

    def holds_lease(self) -> bool:
        """Return whether no other replica can lead now."""
        return (
            self.is_leader
            and not self.is_handing_over
            and self.commit_index >= self.term_start
            and clock.now()
            < self._confirmed_at() + self.options.leader_lease_s
        )

    async def read_barrier(self, timeout_s: float) -> int:
        """Return a commit index that was valid after the call began.

        Errors: ControlError of kind NOT_LEADER, or CONTROL_LOST when no
        majority confirms in time.
        """
        began_at = clock.now()
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    if not self.is_leader:
                        raise errors.ControlError(errors.ErrorKind.NOT_LEADER)
                    if self.holds_lease() or (
                        self.commit_index >= self.term_start
                        and self._confirmed_at() >= began_at
                    ):
                        return self.commit_index
                    self._wake_peers()
                    await self._wait_ack()
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST, 'No majority confirms the read.'
            ) from e

    async def _wait_ack(self) -> None:
        future = asyncio.get_running_loop().create_future()
        self._ack_waiters.append(future)
        await future

    def _wake_ack_waiters(self) -> None:
        waiters, self._ack_waiters = self._ack_waiters, []
        for future in waiters:
            if not future.done():
                future.set_result(None)

    # Links

    async def handle(
        self, message: messages.Message, peer: links.Link
    ) -> bool:
        """Answer a consensus request that came in on an accepted link.

        Returns False when the message is not for consensus.
        """
        if isinstance(message, messages.Introduce):
            directory = self.discovery.on_introduce(message)
            directory.seq = message.seq
            with contextlib.suppress(errors.LinkError):
                peer.send(directory)
            return True
        match message:
            case (
                messages.VoteRequest()
                | messages.AppendRequest()
                | messages.SnapshotChunk()
                | messages.TransferLeadership()
            ):
                pass
            case _:
                return False
        reply: messages.Message
        if peer.peer_role is not messages.Role.CONTROL:
            reply = messages.Error(
                message.seq, errors.ErrorKind.NOT_ADMITTED, 'Not a replica.'
            )
        elif self.failure is not None or not self._tasks:
            reply = messages.Error(
                message.seq, errors.ErrorKind.STOPPING, 'The replica ended.'
            )
        else:
            try:
                reply = await self._answer(message, peer)
            except Exception as e:
                self._fail(e)
                reply = messages.Error(
                    message.seq, errors.ErrorKind.INTERNAL, str(e)
                )
        with contextlib.suppress(errors.LinkError):
            peer.send(reply)
        return True

    async def _answer(
        self,
        message: messages.VoteRequest
        | messages.AppendRequest
        | messages.SnapshotChunk
        | messages.TransferLeadership,
        peer: links.Link,
    ) -> messages.Message:
        match message:
            case messages.VoteRequest():
                return await self.election.answer(message)
            case messages.AppendRequest():
                return await self.follower.append(message)
            case messages.SnapshotChunk():
                return await self.follower.install(message)
            case messages.TransferLeadership():
                if (
                    message.term == self.term
                    and peer.peer_id == self.leader_slot
                ):
                    self._spawn(self.election.stand(is_transfer=True))
                return messages.Done(message.seq)

    def leader_link(self) -> links.Link | None:
        """Return the open link to the leader, None when it is not known."""
        if self.leader_slot is None or self.leader_slot == self.slot:
            return None
        peer = self.peers.get(self.leader_slot)
        return peer.link if peer is not None else None

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the administration page."""
        return {
            'slot': self.slot,
            'disk_id': self.disk.disk_id,
            'role': self.role.value,
            'term': self.term,
            'leader': self.leader_slot,
            'holds_lease': self.holds_lease(),
            'commit_index': self.commit_index,
            'applied_index': self.applied_index,
            'last_index': self.log.last_index,
            'snapshot_index': self.log.snapshot_index,
            'voters': {
                slot: voter.disk_id
                for slot, voter in self.voters.current.items()
            },
            'peers': {
                slot: {
                    'is_linked': peer.link is not None,
                    'disk_id': peer.disk_id,
                    'match_index': peer.match_index,
                }
                for slot, peer in self.peers.items()
            },
            'failure': str(self.failure) if self.failure else None,
        }
