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
import typing

from godwitstall import clock
from godwitstall import codec
from godwitstall.consensus import applier as appliers
from godwitstall.consensus import discovery
from godwitstall.consensus import election
from godwitstall.consensus import follower
from godwitstall.consensus import peer_table as peer_tables
from godwitstall.consensus import snapshot_manager
from godwitstall.consensus import snapshots
from godwitstall.consensus import state as state_module
from godwitstall.consensus import storage
from godwitstall.consensus import tasks as tasks_module
from godwitstall.consensus import voter_changes
from godwitstall.consensus import voters
from godwitstall import errors
from godwitstall import link as links
from godwitstall import logs
from godwitstall import messages
from godwitstall import settings

_LOG = logs.get('consensus')

# A larger command could exceed the frame size of an append request, which
# would stop replication.
MAX_COMMAND_BYTES = codec.MAX_FRAME_BYTES // 2

format_disk = storage.format_disk


class Replica:
    """A voter or learner of the fleet, created by from_config()."""

    def __init__(
        self,
        options: settings.ControlOptions,
        fleet: settings.FleetOptions,
        identity: links.Identity,
        machine: snapshots.StateMachine,
    ) -> None:
        self.state = state_module.State(options, fleet, identity)
        self.state.on_step_down = self._on_step_down
        self.state.log.on_durable = self.on_ack
        self.slot = self.state.slot
        # Called with is_leader. On a new leader the call follows when the
        # first entry of its term, and so all earlier state, is applied.
        self.on_role_change: collections.abc.Callable[[bool], None] | None = (
            None
        )
        self.tasks = tasks_module.Tasks(on_failure=self.state.step_down)
        self.applier = appliers.Applier(self.state, machine, self.tasks)
        self.applier.on_applied = self._on_applied
        self.snapshots = snapshot_manager.SnapshotManager(
            self.state, self.applier, self.tasks
        )
        self.voter_changes = voter_changes.VoterChanges(self.state)
        self.peer_table = peer_tables.PeerTable(
            self.state, self.tasks, self.on_ack
        )
        self.discovery = discovery.Discovery(self.state, self.peer_table)
        self.election = election.Election(
            self.state, self.discovery, self.become_leader
        )
        self.follower = follower.Follower(
            self.state, self.election, self.applier, self.snapshots
        )
        # Argument of the last call of on_role_change.
        self._reported_is_leader = False
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
        return self.state.is_leader

    @property
    def leader_slot(self) -> messages.SlotId | None:
        """Slot of the leader of this term, None if unknown."""
        return self.state.leader_slot

    @property
    def failure(self) -> BaseException | None:
        """Error that ended this replica; the process should exit."""
        return self.tasks.failure

    # Start and stop

    async def start(self) -> None:
        """Open the disk, restore the state and start the tasks.

        Errors: StorageError when the disk is corrupt or of another fleet.
        """
        header, data = await asyncio.to_thread(self.state.open)
        self.election.stored_vote = storage.Vote(
            self.state.term, self.state.voted_for
        )
        await self.snapshots.load(header, data)
        for entry in self.state.log.entries_between(
            header.last_index + 1, 1 << 63
        ):
            self.state.voters.append(entry)
        self.election.leader_contact_at = clock.now()
        self.election.reset_deadline()
        if set(self.state.voters.current) == {self.slot}:
            # No other replica can lead, so the election need not wait.
            self.election.leader_contact_at = self.election.deadline = 0.0
        _LOG.info(
            'Opened disk %s of slot %s: term %d, entries up to %d.',
            self.state.disk.disk_id,
            self.slot,
            self.state.term,
            self.state.log.last_index,
        )
        self.tasks.spawn(self.state.log.run())
        self.tasks.spawn(self._run_timer())
        self.peer_table.start()
        self.tasks.spawn(self.discovery.run())

    async def wait_failed(self) -> BaseException:
        """Wait until this replica fails, and return the error."""
        return await self.tasks.wait_failed()

    async def stop(self) -> None:
        """Transfer leadership if this replica leads, and end all tasks."""
        if self.is_leader and len(self.state.voters.current) > 1:
            self.state.is_transferring_leadership = True
            with contextlib.suppress(TimeoutError, errors.GodwitstallError):
                async with asyncio.timeout(self.state.options.election_max_s):
                    await self._transfer_leadership()
        await self.close()

    async def _transfer_leadership(self) -> None:
        """Ask an up-to-date voter to run an election."""
        while (
            self.is_leader
            and self.state.commit_index < self.state.log.last_index
        ):
            await self._wait_ack()
        while self.is_leader:
            candidates = [
                peer
                for peer in self.state.peers.values()
                if peer.link is not None
                and self.state.is_voter(peer.slot, peer.disk_id)
                and peer.match_index == self.state.log.last_index
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
                messages.TransferLeadership(term=self.state.term),
                self.state.options.election_max_s,
            )
        while self.is_leader:
            await self._wait_ack()

    async def close(self) -> None:
        """End all tasks without a leadership transfer, as a crash would.

        When this returns, the disk can be opened again: no file operation is
        in progress, and none follows.
        """
        self.state.step_down()
        await self.tasks.close()
        self.state.log.close()
        # Requests of other replicas are handled in tasks of their links.
        await self.election.close()
        async with self.snapshots.lock:
            pass

    async def _run_timer(self) -> None:
        tick_s = min(
            self.state.options.append_interval_ms / 1000,
            self.state.options.election_min_s / 10,
        )
        while True:
            await asyncio.sleep(tick_s)
            now = clock.now()
            if not self.is_leader:
                if now >= self.election.deadline:
                    await self.election.campaign()
                continue
            acked_at = max(self._majority_acked_at(), self.state.leader_since)
            if now - acked_at > self.state.options.election_max_s:
                _LOG.warning(
                    'Stepping down: no majority of the voters replies.'
                )
                self.state.step_down()
            else:
                self._promote_learner()

    # Terms and roles

    def _on_step_down(self) -> None:
        self.election.reset_deadline()
        self.applier.fail_proposals()
        self._wake_ack_waiters()
        self._report_role(False)

    def _report_role(self, is_leader: bool) -> None:
        if self._reported_is_leader != is_leader:
            self._reported_is_leader = is_leader
            if self.on_role_change is not None:
                self.on_role_change(is_leader)

    def _on_applied(self) -> None:
        state = self.state
        if state.is_leader and state.applied_index >= state.term_start_index:
            self._report_role(True)
        self.snapshots.start_if_due()

    def become_leader(self, grants: election.Grants) -> None:
        """Become leader of the current term after winning an election."""
        _LOG.info('Became leader in term %d.', self.state.term)
        if self.state.is_new_fleet():
            self.snapshots.create(self._first_voters(grants))
        self.state.role = state_module.Role.LEADER
        self.state.leader_slot = self.slot
        self.state.is_transferring_leadership = False
        self.state.leader_since = clock.now()
        self.state.term_start_index = self.state.log.last_index + 1
        for peer in self.state.peers.values():
            peer.reset(self.state.term_start_index)
        self.append(b'')

    def _first_voters(self, grants: election.Grants) -> list[messages.Voter]:
        return [
            messages.Voter(slot, disk_id, self._address_of(slot))
            for slot, disk_id in sorted(grants.items())
        ]

    def _address_of(self, slot: messages.SlotId) -> str:
        if slot == self.slot:
            return self.discovery.own_address
        return self.state.peers[slot].address

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
        if not self.is_leader or self.state.is_transferring_leadership:
            raise errors.ControlError(errors.ErrorKind.NOT_LEADER)
        change = voters.parse_change(command)
        if change is not None:
            reason = self.voter_changes.rejection_reason(change)
            if reason:
                return 0, codec.encode(messages.CommandResult(False, reason))
        index = self.append(command)
        return await self.applier.wait_result(index, timeout_s)

    def append(self, command: bytes) -> int:
        """Append a command to the log as leader and return its index."""
        entry = messages.Entry(
            self.state.log.last_index + 1,
            self.state.term,
            max(clock.wall_ms(), self.state.log.last_time_ms),
            command,
        )
        self.state.log.append([entry])
        self.state.voters.append(entry)
        self.state.wake_peers()
        return entry.index

    def on_ack(self) -> None:
        """Process an acknowledgement by a peer or by the disk."""
        if self.is_leader:
            stored = [
                self.state.log.durable_index
                if slot == self.slot
                else self.state.peers[slot].match_index
                if slot in self.state.peers
                and self.state.peers[slot].disk_id == voter.disk_id
                else 0
                for slot, voter in self.state.voters.current.items()
            ]
            stored.sort(reverse=True)
            index = stored[voters.quorum(stored) - 1]
            # An entry of an earlier term can still be truncated, even if a
            # majority has it, until an entry of this term is committed.
            if (
                index >= self.state.term_start_index
                and index > self.state.commit_index
            ):
                self.applier.advance_commit(index)
                self.state.wake_peers()
            self._promote_learner()
        self._wake_ack_waiters()

    def _promote_learner(self) -> None:
        change = self.voter_changes.next_change()
        if change is not None:
            _LOG.info('Proposing a voter change: %s.', change)
            self.append(codec.encode(change))

    async def wait_applied(self, index: int, timeout_s: float) -> None:
        """Wait until this replica has applied the entry at index.

        Errors: ControlError of kind CONTROL_LOST after timeout_s.
        """
        await self.applier.wait_applied(index, timeout_s)

    # Reads

    def _majority_acked_at(self) -> float:
        """Return the time up to which a majority acknowledged this leader."""
        times = [
            clock.now()
            if slot == self.slot
            else self.state.peers[slot].acked_at
            if slot in self.state.peers
            and self.state.peers[slot].disk_id == voter.disk_id
            else -1.0
            for slot, voter in self.state.voters.current.items()
        ]
        times.sort(reverse=True)
        return times[voters.quorum(times) - 1]

    def holds_lease(self) -> bool:
        """Return whether this leader's lease excludes any other leader."""
        return (
            self.is_leader
            and not self.state.is_transferring_leadership
            and self.state.commit_index >= self.state.term_start_index
            and clock.now()
            < self._majority_acked_at() + self.state.options.leader_lease_s
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
                        self.state.commit_index >= self.state.term_start_index
                        and self._majority_acked_at() >= started_at
                    ):
                        return self.state.commit_index
                    self.state.wake_peers()
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
        elif self.failure is not None or not self.tasks.running:
            reply = messages.Error(
                message.seq,
                errors.ErrorKind.STOPPING,
                'The replica is not running.',
            )
        else:
            try:
                reply = await self._dispatch(message, link)
            except Exception as e:
                self.tasks.fail(e)
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
                    message.term == self.state.term
                    and link.peer_id == self.leader_slot
                ):
                    self.tasks.spawn(self.election.campaign(is_transfer=True))
                return messages.Done(message.seq)

    def leader_link(self) -> links.Link | None:
        """Return the open link to the leader, None if there is none."""
        if self.leader_slot is None or self.leader_slot == self.slot:
            return None
        peer = self.state.peers.get(self.leader_slot)
        return peer.link if peer is not None else None

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            'slot': self.slot,
            'disk_id': self.state.disk.disk_id,
            'role': self.state.role.value,
            'term': self.state.term,
            'leader': self.leader_slot,
            'holds_lease': self.holds_lease(),
            'commit_index': self.state.commit_index,
            'applied_index': self.state.applied_index,
            'last_index': self.state.log.last_index,
            'snapshot_index': self.state.log.snapshot_index,
            'voters': {
                slot: voter.disk_id
                for slot, voter in self.state.voters.current.items()
            },
            'peers': {
                slot: {
                    'is_linked': peer.link is not None,
                    'disk_id': peer.disk_id,
                    'match_index': peer.match_index,
                }
                for slot, peer in self.state.peers.items()
            },
            'failure': str(self.failure) if self.failure else None,
        }
