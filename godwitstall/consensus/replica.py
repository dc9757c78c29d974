"""A replica of the control state: a replicated log with leader election.

Replica combines the parts of this package, which share a State: the Election,
the Leader and the Follower, the Applier and the SnapshotManager, the PeerTable
and the Discovery. All state changes happen on the event loop; only file
operations run in threads.

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
from godwitstall.consensus import applier as appliers
from godwitstall.consensus import discovery
from godwitstall.consensus import election
from godwitstall.consensus import follower
from godwitstall.consensus import leader as leaders
from godwitstall.consensus import peer_table as peer_tables
from godwitstall.consensus import snapshot_manager
from godwitstall.consensus import snapshots
from godwitstall.consensus import state as state_module
from godwitstall.consensus import storage
from godwitstall.consensus import tasks as tasks_module
from godwitstall import errors
from godwitstall import link as links
from godwitstall import logs
from godwitstall import messages
from godwitstall import settings

_LOG = logs.get('consensus')

# Requests of other replicas, apart from introductions.
_Request = (
    messages.VoteRequest
    | messages.AppendRequest
    | messages.SnapshotChunk
    | messages.TransferLeadership
)

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
        self.leader = leaders.Leader(self.state, self.applier)
        self.state.log.on_durable = self.leader.on_ack
        self.peer_table = peer_tables.PeerTable(
            self.state, self.tasks, self.leader.on_ack
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
                    await self.leader.transfer()
        await self.close()

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
            if self.is_leader:
                self.leader.check_majority()
            elif clock.now() >= self.election.deadline:
                await self.election.campaign()

    # Terms and roles

    def _on_step_down(self) -> None:
        self.election.reset_deadline()
        self.applier.fail_proposals()
        self.leader.wake_ack_waiters()
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
        self.leader.begin_term()

    def _first_voters(self, grants: election.Grants) -> list[messages.Voter]:
        return [
            messages.Voter(slot, disk_id, self._address_of(slot))
            for slot, disk_id in sorted(grants.items())
        ]

    def _address_of(self, slot: messages.SlotId) -> str:
        if slot == self.slot:
            return self.discovery.own_address
        return self.state.peers[slot].address

    # Proposals and reads

    async def propose(
        self, command: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Log a command and return its index and result once applied.

        Errors: those of Leader.propose().
        """
        return await self.leader.propose(command, timeout_s)

    async def wait_applied(self, index: int, timeout_s: float) -> None:
        """Wait until this replica has applied the entry at index.

        Errors: ControlError of kind CONTROL_LOST after timeout_s.
        """
        await self.applier.wait_applied(index, timeout_s)

    def holds_lease(self) -> bool:
        """Return whether this leader's lease excludes any other leader."""
        return self.leader.holds_lease()

    async def read_barrier(self, timeout_s: float) -> int:
        """Return a commit index for a linearizable read.

        Errors: those of Leader.read_barrier().
        """
        return await self.leader.read_barrier(timeout_s)

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
        if not isinstance(message, _Request):
            return False
        reply = await self._reply_to(message, link)
        with contextlib.suppress(errors.LinkError):
            link.send(reply)
        return True

    async def _reply_to(
        self, request: _Request, link: links.Link
    ) -> messages.Message:
        """Return the reply to a request, which is an error unless it ran."""
        if link.peer_role is not messages.Role.CONTROL:
            return messages.Error(
                request.seq,
                errors.ErrorKind.NOT_ADMITTED,
                'The sender is not a replica.',
            )
        if self.failure is not None or not self.tasks.running:
            return messages.Error(
                request.seq,
                errors.ErrorKind.STOPPING,
                'The replica is not running.',
            )
        try:
            return await self._dispatch(request, link)
        except Exception as e:
            self.tasks.fail(e)
            return messages.Error(
                request.seq, errors.ErrorKind.INTERNAL, str(e)
            )

    async def _dispatch(
        self, request: _Request, link: links.Link
    ) -> messages.Message:
        match request:
            case messages.VoteRequest():
                return await self.election.on_vote_request(request)
            case messages.AppendRequest():
                return await self.follower.on_append(request)
            case messages.SnapshotChunk():
                return await self.follower.on_snapshot_chunk(request)
            case messages.TransferLeadership():
                if (
                    request.term == self.state.term
                    and link.peer_id == self.leader_slot
                ):
                    self.tasks.spawn(self.election.campaign(is_transfer=True))
                return messages.Done(request.seq)

    def leader_link(self) -> links.Link | None:
        """Return the open link to the leader, None if there is none."""
        if self.leader_slot is None or self.leader_slot == self.slot:
            return None
        peer = self.state.peers.get(self.leader_slot)
        return peer.link if peer is not None else None

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        state = self.state
        return {
            'slot': self.slot,
            'disk_id': state.disk.disk_id,
            'role': state.role.value,
            'term': state.term,
            'leader': self.leader_slot,
            'holds_lease': self.holds_lease(),
            'commit_index': state.commit_index,
            'applied_index': state.applied_index,
            'last_index': state.log.last_index,
            'snapshot_index': state.log.snapshot_index,
            'voters': {
                slot: voter.disk_id
                for slot, voter in state.voters.current.items()
            },
            'peers': {
                slot: {
                    'is_linked': peer.link is not None,
                    'disk_id': peer.disk_id,
                    'match_index': peer.match_index,
                }
                for slot, peer in state.peers.items()
            },
            'failure': str(self.failure) if self.failure else None,
        }
