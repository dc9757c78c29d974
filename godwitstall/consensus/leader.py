"""Leader side of a replica: proposals, commit index, lease and transfer."""

import asyncio

from godwitstall import clock
from godwitstall import codec
from godwitstall.consensus import applier as appliers
from godwitstall.consensus import peer as peers
from godwitstall.consensus import state as state_module
from godwitstall.consensus import voter_changes
from godwitstall.consensus import voters
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages

_LOG = logs.get('consensus')

# A larger command could exceed the frame size of an append request, which
# would stop replication.
MAX_COMMAND_BYTES = codec.MAX_FRAME_BYTES // 2


class Leader:
    """What a replica does while it leads."""

    def __init__(
        self, state: state_module.State, applier: appliers.Applier
    ) -> None:
        self.state = state
        self.applier = applier
        self.voter_changes = voter_changes.VoterChanges(state)
        # Waiters for the next acknowledgement of any peer.
        self._ack_waiters: list[asyncio.Future[None]] = []

    def begin_term(self) -> None:
        """Lead the current term, and append its first entry."""
        state = self.state
        state.role = state_module.Role.LEADER
        state.leader_slot = state.slot
        state.is_transferring_leadership = False
        state.leader_since = clock.now()
        state.term_start_index = state.log.last_index + 1
        for peer in state.peers.values():
            peer.reset(state.term_start_index)
        self._append(b'')

    def check_majority(self) -> None:
        """Step down without a majority, otherwise promote a learner."""
        acked_at = max(self._majority_acked_at(), self.state.leader_since)
        if clock.now() - acked_at > self.state.options.election_max_s:
            _LOG.warning('Stepping down: no majority of the voters replies.')
            self.state.step_down()
        else:
            self._promote_learner()

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
        if not self.state.is_leader or self.state.is_transferring_leadership:
            raise errors.ControlError(errors.ErrorKind.NOT_LEADER)
        change = voters.parse_change(command)
        if change is not None:
            reason = self.voter_changes.rejection_reason(change)
            if reason:
                return 0, codec.encode(messages.CommandResult(False, reason))
        index = self._append(command)
        return await self.applier.wait_result(index, timeout_s)

    def _append(self, command: bytes) -> int:
        """Append a command to the log and return its index."""
        log = self.state.log
        entry = messages.Entry(
            log.last_index + 1,
            self.state.term,
            max(clock.wall_ms(), log.last_time_ms),
            command,
        )
        log.append([entry])
        self.state.voters.append(entry)
        self.state.wake_peers()
        return entry.index

    def _promote_learner(self) -> None:
        change = self.voter_changes.next_change()
        if change is not None:
            _LOG.info('Proposing a voter change: %s.', change)
            self._append(codec.encode(change))

    # Acknowledgements

    def on_ack(self) -> None:
        """Process an acknowledgement by a peer or by the disk."""
        if self.state.is_leader:
            self._commit()
            self._promote_learner()
        self.wake_ack_waiters()

    def _commit(self) -> None:
        """Commit the entries that a majority has stored."""
        state = self.state
        index = voters.majority_value(
            self._stored_index(voter)
            for voter in state.voters.current.values()
        )
        # An entry of an earlier term can still be truncated, even if a
        # majority has it, until an entry of this term is committed.
        if index >= state.term_start_index and index > state.commit_index:
            self.applier.advance_commit(index)
            state.wake_peers()

    def _stored_index(self, voter: messages.Voter) -> int:
        if voter.slot == self.state.slot:
            return self.state.log.durable_index
        peer = self._peer_of(voter)
        return peer.match_index if peer is not None else 0

    def _majority_acked_at(self) -> float:
        """Return the time up to which a majority acknowledged this leader."""
        return voters.majority_value(
            self._acked_at(voter)
            for voter in self.state.voters.current.values()
        )

    def _acked_at(self, voter: messages.Voter) -> float:
        if voter.slot == self.state.slot:
            return clock.now()
        peer = self._peer_of(voter)
        return peer.acked_at if peer is not None else -1.0

    def _peer_of(self, voter: messages.Voter) -> peers.Peer | None:
        """Return the peer that has the disk of a voter, None if none."""
        peer = self.state.peers.get(voter.slot)
        if peer is None or peer.disk_id != voter.disk_id:
            return None
        return peer

    async def _wait_ack(self) -> None:
        future = asyncio.get_running_loop().create_future()
        self._ack_waiters.append(future)
        await future

    def wake_ack_waiters(self) -> None:
        """Let all who wait for an acknowledgement check the state again."""
        waiters, self._ack_waiters = self._ack_waiters, []
        for future in waiters:
            if not future.done():
                future.set_result(None)

    # Reads

    def _has_committed_in_term(self) -> bool:
        return self.state.commit_index >= self.state.term_start_index

    def holds_lease(self) -> bool:
        """Return whether this leader's lease excludes any other leader."""
        return (
            self.state.is_leader
            and not self.state.is_transferring_leadership
            and self._has_committed_in_term()
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
                while not self._may_read(started_at):
                    self.state.wake_peers()
                    await self._wait_ack()
                return self.state.commit_index
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                'No majority confirmed the read in time.',
            ) from e

    def _may_read(self, started_at: float) -> bool:
        """Return whether a read that began at started_at is linearizable.

        Errors: ControlError of kind NOT_LEADER.
        """
        if not self.state.is_leader:
            raise errors.ControlError(errors.ErrorKind.NOT_LEADER)
        return self.holds_lease() or (
            self._has_committed_in_term()
            and self._majority_acked_at() >= started_at
        )

    # Leadership transfer

    async def transfer(self) -> None:
        """Ask an up-to-date voter to run an election, and wait for it."""
        state = self.state
        while state.is_leader and state.commit_index < state.log.last_index:
            await self._wait_ack()
        while state.is_leader and not self._transfer_candidates():
            await self._wait_ack()
        if not state.is_leader:
            return
        peer = max(self._transfer_candidates(), key=lambda p: p.acked_at)
        _LOG.info('Transferring leadership to %s.', peer.slot)
        if peer.link is not None:
            await peer.link.request(
                messages.TransferLeadership(term=state.term),
                state.options.election_max_s,
            )
        while state.is_leader:
            await self._wait_ack()

    def _transfer_candidates(self) -> list[peers.Peer]:
        return [
            peer
            for peer in self.state.peers.values()
            if peer.link is not None
            and self.state.is_voter(peer.slot, peer.disk_id)
            and peer.match_index == self.state.log.last_index
        ]
