"""A replica of the control state: a replicated log with leader election.

Replica combines the classes of this package: the Log, a Peer for each other
replica, the Election and the Follower. All state changes happen on the event
loop; only file operations run in threads.

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
from godwitstall.consensus import log as log_module
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

# Entries, and bytes of their commands, applied in one iteration of the event
# loop.
_APPLY_BATCH_ENTRIES = 256
_APPLY_BATCH_BYTES = 256 * 1024

# A snapshot is also due after commands of this size. A replica keeps those of
# two intervals in memory and on disk, and reads them when it starts.
_SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024

# A snapshot is due when its size is at most this multiple of the size of the
# commands applied after it. This limits the bytes written for snapshots to
# about eight times those of commands, and the log in memory to a fraction of
# the state.
_SNAPSHOT_TO_LOG_RATIO = 8

# A larger command could exceed the frame size of an append request, which
# would stop replication.
MAX_COMMAND_BYTES = codec.MAX_FRAME_BYTES // 2

format_disk = storage.format_disk


class Role(enum.Enum):
    """Role of a replica in the current term."""

    FOLLOWER = 'follower'
    LEADER = 'leader'


_Waiter = tuple[int, asyncio.Future[None]]
_Proposal = asyncio.Future[tuple[int, bytes]]


class Replica:
    """A voter or learner of the fleet, created by from_config()."""

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
        # Highest term seen, and the candidate voted for in this term.
        self.term = 0
        self.voted_for = ''
        self.role = Role.FOLLOWER
        # Slot of the leader of this term, None if unknown.
        self.leader_slot: messages.SlotId | None = None
        # Highest entry known to be committed, and highest entry applied.
        self.commit_index = 0
        self.applied_index = 0
        # Called with is_leader. On a new leader the call follows when the
        # first entry of its term, and so all earlier state, is applied.
        self.on_role_change: collections.abc.Callable[[bool], None] | None = (
            None
        )
        # Error that ended this replica; the process should exit.
        self.failure: BaseException | None = None
        self._failed = asyncio.Event()
        self.log = log_module.Log(storage.LogFiles(self.folder))
        self.log.on_durable = self.on_ack
        self.voters = voters.VoterHistory()
        self.voter_changes = voter_changes.VoterChanges(self)
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
        # Whether nothing may be written to the disk any more.
        self._is_closed = False
        # Index of this leader's first entry, and time when its term began.
        self.term_start_index = 0
        self.leader_since = 0.0
        # During a leadership transfer the leader rejects proposals and has
        # no lease.
        self.is_transferring_leadership = False
        # Argument of the last call of on_role_change.
        self._reported_is_leader = False
        self._is_apply_scheduled = False
        # Held while a snapshot is written or installed.
        self._snapshot_lock = asyncio.Lock()
        # Size of the newest snapshot, and of the commands applied after it,
        # bytes.
        self._snapshot_bytes = 0
        self._applied_bytes = 0
        # Pending proposals by index.
        self._proposals: dict[int, _Proposal] = {}
        self._apply_waiters: list[_Waiter] = []
        # Waiters for the next acknowledgement of any peer.
        self._ack_waiters: list[asyncio.Future[None]] = []

    @classmethod
    def from_config(
        cls,
        options: settings.ControlOptions,
        fleet: settings.FleetOptions,
        identity: links.Identity,
        machine: snapshots.StateMachine,
    ) -> 'Replica':
        """Create a replica from the settings; start() opens its disk."""
        return cls(options, fleet, identity, machine)

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it leads the current term."""
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
        for entry in self.log.entries_between(header.last_index + 1, 1 << 63):
            self.voters.append(entry)
        self.election.leader_contact_at = clock.now()
        self.election.reset_deadline()
        if set(self.voters.current) == {self.slot}:
            # No other replica can lead, so the election need not wait.
            self.election.leader_contact_at = self.election.deadline = 0.0
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
                self.add_peer(voter.slot, voter.address)
        self._is_started = True
        for peer in self.peers.values():
            peer.task = self._spawn(peer.run())
        self._spawn(self.discovery.run())

    def add_peer(self, slot: messages.SlotId, address: str) -> bool:
        """Add or update a peer; return whether it was unknown."""
        if slot == self.slot or not address:
            return False
        peer = self.peers.get(slot)
        if peer is not None:
            if peer.address != address and peer.link is None:
                _LOG.info('Replica %s has moved to %s.', slot, address)
                peer.address = address
            return False
        _LOG.info('Discovered replica %s at %s.', slot, address)
        peer = self.peers[slot] = peers.Peer(self, slot, address)
        peer.reset(self.log.last_index + 1)
        if self._is_started:
            peer.task = self._spawn(peer.run())
        return True

    def remove_peer(self, slot: messages.SlotId) -> None:
        """Remove a peer that is not a voter."""
        peer = self.peers.pop(slot)
        if peer.task is not None:
            peer.task.cancel()

    def _open(self) -> tuple[messages.SnapshotFile, bytes | memoryview]:
        self.disk = storage.read_identity(
            self.folder, self.fleet.name, self.slot
        )
        # A process that was killed may have renamed files without a sync of
        # the folder, and what is read now counts as durable.
        storage.sync_folder(self.folder)
        vote = storage.read_vote(self.folder)
        self.term, self.voted_for = vote.term, vote.voted_for
        self.election.stored_vote = vote
        storage.delete_temp_files(self.folder)
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
                f'log of term {self.log.last_term}. '
                f'{storage.REPLACE_DISK_HINT}'
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
        """End after an error; memory and disk may be inconsistent."""
        if self.failure is None and not self._is_closed:
            _LOG.error('The replica failed: %s', failure, exc_info=failure)
            self.failure = failure
            self._failed.set()
            self._step_down()
            for task in self._tasks:
                task.cancel()

    async def wait_failed(self) -> BaseException:
        """Wait until this replica fails, and return the error."""
        await self._failed.wait()
        return typing.cast(BaseException, self.failure)

    async def stop(self) -> None:
        """Transfer leadership if this replica leads, and end all tasks."""
        if self.is_leader and len(self.voters.current) > 1:
            self.is_transferring_leadership = True
            with contextlib.suppress(TimeoutError, errors.GodwitstallError):
                async with asyncio.timeout(self.options.election_max_s):
                    await self._transfer_leadership()
        await self.close()

    async def _transfer_leadership(self) -> None:
        """Ask an up-to-date voter to run an election."""
        while self.is_leader and self.commit_index < self.log.last_index:
            await self._wait_ack()
        while self.is_leader:
            candidates = [
                peer
                for peer in self.peers.values()
                if peer.link is not None
                and self.is_voter(peer.slot, peer.disk_id)
                and peer.match_index == self.log.last_index
            ]
            if candidates:
                break
            await self._wait_ack()
        if not self.is_leader:
            return
        peer = max(candidates, key=lambda p: p.acked_at)
        _LOG.info('Transferring leadership to %s.', peer.slot)
        if peer.link is not None:
            await peer.link.request(
                messages.TransferLeadership(term=self.term),
                self.options.election_max_s,
            )
        while self.is_leader:
            await self._wait_ack()

    async def close(self) -> None:
        """End all tasks without a leadership transfer, as a crash would.

        When this returns, the disk can be opened again: no file operation is
        in progress, and none follows.
        """
        self._step_down()
        self._is_closed = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.log.close()
        # Requests of other replicas are handled in tasks of their links.
        await self.election.close()
        async with self._snapshot_lock:
            pass

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
                    await self.election.campaign()
                continue
            acked_at = max(self._majority_acked_at(), self.leader_since)
            if now - acked_at > self.options.election_max_s:
                _LOG.warning(
                    'Stepping down: no majority of the voters replies.'
                )
                self._step_down()
            else:
                self.voter_changes.promote_learner()

    # Terms and roles

    def is_voter(
        self, slot: messages.SlotId, disk_id: messages.DiskId
    ) -> bool:
        """Return whether this disk is a voter."""
        voter = self.voters.current.get(slot)
        return voter is not None and voter.disk_id == disk_id

    def observe_term(self, term: int) -> None:
        """Enter a higher term as a follower that has not voted in it."""
        if term > self.term:
            self.term = term
            self.voted_for = ''
            self.leader_slot = None
            self._step_down()

    def follow(self, slot: messages.SlotId) -> None:
        """Follow the leader of the current term."""
        if self.leader_slot != slot:
            _LOG.info('Following %s in term %d.', slot, self.term)
            self.leader_slot = slot
        self.election.on_leader_contact()

    def _step_down(self) -> None:
        if not self.is_leader:
            return
        _LOG.info('No longer leads in term %d.', self.term)
        self.role = Role.FOLLOWER
        if self.leader_slot == self.slot:
            self.leader_slot = None
        self.election.reset_deadline()
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
        self._report_role(False)

    def _report_role(self, is_leader: bool) -> None:
        if self._reported_is_leader != is_leader:
            self._reported_is_leader = is_leader
            if self.on_role_change is not None:
                self.on_role_change(is_leader)

    def become_leader(
        self, grants: dict[messages.SlotId, messages.DiskId]
    ) -> None:
        """Become leader of the current term after winning an election."""
        _LOG.info('Became leader in term %d.', self.term)
        if self.election.is_new_fleet():
            self._create_fleet(grants)
        self.role = Role.LEADER
        self.leader_slot = self.slot
        self.is_transferring_leadership = False
        self.leader_since = clock.now()
        self.term_start_index = self.log.last_index + 1
        for peer in self.peers.values():
            peer.reset(self.term_start_index)
        self.append(b'')

    def _create_fleet(
        self, grants: dict[messages.SlotId, messages.DiskId]
    ) -> None:
        """Store the first voters as a snapshot at entry 1.

        Followers receive a snapshot as a whole, whereas separate changes
        could leave a follower with only some of the voters.
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
        # Written on the event loop, so that no vote can be granted in the
        # meantime. The file is small and written once per fleet.
        storage.write_snapshot(
            self.folder, 1, storage.pack_snapshot(header, state)
        )
        for _ in self.machine.load(header.last_index, state):
            pass
        self._reset_to_snapshot(header, len(state))

    def _address_of(self, slot: messages.SlotId) -> str:
        if slot == self.slot:
            return self.discovery.own_address
        return self.peers[slot].address

    def _reset_to_snapshot(
        self, header: messages.SnapshotFile, size: int
    ) -> None:
        """Continue from a durable, loaded snapshot of size bytes."""
        self._snapshot_bytes, self._applied_bytes = size, 0
        self.log.reset(header)
        self.voters.reset(header.voters_index, header.voters)
        self.commit_index = self.applied_index = header.last_index
        self._wake_apply_waiters()

    # Proposals

    async def propose(
        self, command: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Log a command and return its index and result once applied.

        Errors: ControlError of kind NOT_LEADER when the command was not
        logged, CONTROL_LOST when it may or may not have been, BODY_TOO_LARGE
        when it is larger than MAX_COMMAND_BYTES.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise errors.ControlError(errors.ErrorKind.BODY_TOO_LARGE)
        if not self.is_leader or self.is_transferring_leadership:
            raise errors.ControlError(errors.ErrorKind.NOT_LEADER)
        change = voters.parse_change(command)
        if change is not None:
            reason = self.voter_changes.rejection_reason(change)
            if reason:
                return 0, codec.encode(messages.CommandResult(False, reason))
        index = self.append(command)
        future: _Proposal = asyncio.get_running_loop().create_future()
        self._proposals[index] = future
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                'The command was not committed in time.',
            ) from e
        finally:
            if self._proposals.get(index) is future:
                del self._proposals[index]

    def append(self, command: bytes) -> int:
        """Append a command to the log as leader and return its index."""
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
        """Process an acknowledgement by a peer or by the disk."""
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
            # An entry of an earlier term can still be truncated, even if a
            # majority has it, until an entry of this term is committed.
            if index >= self.term_start_index and index > self.commit_index:
                self.advance_commit(index)
                self._wake_peers()
            self.voter_changes.promote_learner()
        self._wake_ack_waiters()

    # Commit and apply

    def advance_commit(self, index: int) -> None:
        """Commit the entries up to index and apply them."""
        self.commit_index = max(self.commit_index, index)
        if not self._is_apply_scheduled:
            self._apply_batch()

    def _apply_batch(self) -> None:
        self._is_apply_scheduled = False
        last = min(
            self.commit_index, self.applied_index + _APPLY_BATCH_ENTRIES
        )
        batch_bytes = 0
        try:
            for entry in self.log.entries_between(
                self.applied_index + 1, last
            ):
                if batch_bytes > _APPLY_BATCH_BYTES:
                    break
                batch_bytes += len(entry.command)
                result = self._apply(entry)
                self.applied_index = entry.index
                self._applied_bytes += len(entry.command)
                future = self._proposals.pop(entry.index, None)
                if future is not None and not future.done():
                    future.set_result((entry.index, result))
        except Exception as e:
            # The entry may have been applied partially.
            self._fail(e)
            return
        self._wake_apply_waiters()
        if self.is_leader and self.applied_index >= self.term_start_index:
            self._report_role(True)
        if self.applied_index < self.commit_index and self.failure is None:
            self._is_apply_scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_batch)
        self._start_snapshot()

    def _apply(self, entry: messages.Entry) -> bytes:
        if not entry.command:
            return b''
        if voters.parse_change(entry.command) is not None:
            return codec.encode(messages.CommandResult(True))
        return self.machine.apply(entry.index, entry.time_ms, entry.command)

    def _wake_apply_waiters(self) -> None:
        for index, future in self._apply_waiters:
            if index <= self.applied_index and not future.done():
                future.set_result(None)
        self._apply_waiters = [
            waiter for waiter in self._apply_waiters if not waiter[1].done()
        ]

    async def wait_applied(self, index: int, timeout_s: float) -> None:
        """Wait until this replica has applied the entry at index.

        Errors: ControlError of kind CONTROL_LOST after timeout_s.
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
                time_ms=self.log.entries_between(index, index)[0].time_ms,
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
        # The log may have grown enough for another snapshot, and the next
        # command may be far off.
        self._start_snapshot()

    def _start_snapshot(self) -> None:
        if (
            self._is_snapshot_due()
            and not self._snapshot_lock.locked()
            and self._tasks
        ):
            self._spawn(self._take_snapshot())

    def _is_snapshot_due(self) -> bool:
        entry_count = self.applied_index - self.log.snapshot_index
        return (
            entry_count >= self.options.snapshot_entries
            or self._applied_bytes >= _SNAPSHOT_LOG_BYTES
        ) and (
            self._applied_bytes * _SNAPSHOT_TO_LOG_RATIO
            >= self._snapshot_bytes
        )

    async def install_snapshot(
        self,
        header: messages.SnapshotFile,
        state: memoryview,
        data: bytearray,
    ) -> None:
        """Store and load a snapshot from the leader.

        Errors: DiskError when the disk failed or the replica is closed.
        """
        async with self._snapshot_lock:
            if self._is_closed:
                raise errors.DiskError('The replica is closed.')
            await storage.run_blocking(
                storage.write_snapshot, self.folder, header.last_index, data
            )
            _LOG.info(
                'Installing the snapshot at entry %d.', header.last_index
            )
            await snapshots.load(self.machine, header.last_index, state)
            self._reset_to_snapshot(header, len(state))
            await self.log.sync()

    # Reads

    def _majority_acked_at(self) -> float:
        """Return the time up to which a majority acknowledged this leader."""
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
        """Return whether this leader's lease excludes any other leader."""
        return (
            self.is_leader
            and not self.is_transferring_leadership
            and self.commit_index >= self.term_start_index
            and clock.now()
            < self._majority_acked_at() + self.options.leader_lease_s
        )

    async def read_barrier(self, timeout_s: float) -> int:
        """Return a commit index for a linearizable read.

        A majority has confirmed the leader after the call began, or the
        leader holds its lease.

        Errors: ControlError of kind NOT_LEADER, or CONTROL_LOST when no
        majority confirms the leader in time.
        """
        started_at = clock.now()
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    if not self.is_leader:
                        raise errors.ControlError(errors.ErrorKind.NOT_LEADER)
                    if self.holds_lease() or (
                        self.commit_index >= self.term_start_index
                        and self._majority_acked_at() >= started_at
                    ):
                        return self.commit_index
                    self._wake_peers()
                    await self._wait_ack()
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                'No majority confirmed the read in time.',
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
        self, message: messages.Message, link: links.Link
    ) -> bool:
        """Handle a consensus request that was received on an accepted link.

        Returns False if the message is not a consensus request.
        """
        if isinstance(message, messages.Introduce):
            directory = self.discovery.on_introduce(message)
            directory.seq = message.seq
            with contextlib.suppress(errors.LinkError):
                link.send(directory)
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
        if link.peer_role is not messages.Role.CONTROL:
            reply = messages.Error(
                message.seq,
                errors.ErrorKind.NOT_ADMITTED,
                'The sender is not a replica.',
            )
        elif self.failure is not None or not self._tasks:
            reply = messages.Error(
                message.seq,
                errors.ErrorKind.STOPPING,
                'The replica is not running.',
            )
        else:
            try:
                reply = await self._dispatch(message, link)
            except Exception as e:
                self._fail(e)
                reply = messages.Error(
                    message.seq, errors.ErrorKind.INTERNAL, str(e)
                )
        with contextlib.suppress(errors.LinkError):
            link.send(reply)
        return True

    async def _dispatch(
        self,
        message: messages.VoteRequest
        | messages.AppendRequest
        | messages.SnapshotChunk
        | messages.TransferLeadership,
        link: links.Link,
    ) -> messages.Message:
        match message:
            case messages.VoteRequest():
                return await self.election.on_vote_request(message)
            case messages.AppendRequest():
                return await self.follower.on_append(message)
            case messages.SnapshotChunk():
                return await self.follower.on_snapshot_chunk(message)
            case messages.TransferLeadership():
                if (
                    message.term == self.term
                    and link.peer_id == self.leader_slot
                ):
                    self._spawn(self.election.campaign(is_transfer=True))
                return messages.Done(message.seq)

    def leader_link(self) -> links.Link | None:
        """Return the open link to the leader, None if there is none."""
        if self.leader_slot is None or self.leader_slot == self.slot:
            return None
        peer = self.peers.get(self.leader_slot)
        return peer.link if peer is not None else None

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
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
