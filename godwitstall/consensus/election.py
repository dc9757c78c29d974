"""Leader election with a pre-vote.

A pre-vote asks for support without raising the term, so that a replica that
was partitioned does not depose a working leader when it reconnects. No vote
is granted within the minimum election timeout after contact with a leader,
which the leader's lease relies on; the lease is shorter. A restarted replica
does not know when it last had contact and waits for the same time.

The voters of a new fleet are unknown before its first election, because each
disk has a random id. The replicas with an initial disk and an empty log
therefore elect the founder, and only unanimously: the replies contain the
disk ids. A disk that was formatted as initial a second time cannot take part
in an election, because the other logs are not empty.
"""

import asyncio
import collections.abc
import random

from godwitstall import clock
from godwitstall.consensus import discovery as discovery_module
from godwitstall.consensus import peer as peers
from godwitstall.consensus import state as state_module
from godwitstall.consensus import storage
from godwitstall.consensus import voters
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages

_LOG = logs.get('consensus')

# Disk ids of the replicas that granted a vote.
Grants = dict[messages.SlotId, messages.DiskId]


class Election:
    """Election state of one replica."""

    def __init__(
        self,
        state: state_module.State,
        discovery: discovery_module.Discovery,
        on_elected: collections.abc.Callable[[Grants], None],
    ) -> None:
        self.state = state
        self.discovery = discovery
        # Called with the votes when this replica has won an election.
        self.on_elected = on_elected
        # Time of the last contact with a leader, seconds.
        self.leader_contact_at = clock.now()
        # Time at which the next election starts, seconds.
        self.deadline = 0.0
        # Term and vote as stored on disk.
        self.stored_vote = storage.Vote()
        self._store_lock = asyncio.Lock()
        self._is_closed = False
        self.reset_deadline()

    def reset_deadline(self) -> None:
        """Restart the randomized election timeout."""
        self.deadline = clock.now() + random.uniform(
            self.state.options.election_min_s,
            self.state.options.election_max_s,
        )

    def on_leader_contact(self, slot: messages.SlotId) -> None:
        """Record contact with the leader of this term, and follow it."""
        if self.state.leader_slot != slot:
            _LOG.info('Following %s in term %d.', slot, self.state.term)
            self.state.leader_slot = slot
        self.leader_contact_at = clock.now()
        self.reset_deadline()

    async def store_vote(self) -> None:
        """Make the current term and vote durable.

        Errors: OSError when the disk failed, DiskError after close().
        """
        async with self._store_lock:
            if self._is_closed:
                raise errors.DiskError('The replica is closed.')
            vote = storage.Vote(self.state.term, self.state.voted_for)
            if vote != self.stored_vote:
                await storage.run_blocking(
                    storage.write_vote, self.state.folder, vote
                )
                self.stored_vote = vote

    async def close(self) -> None:
        """Wait for a vote that is being stored; store no more."""
        async with self._store_lock:
            self._is_closed = True

    def is_eligible(self) -> bool:
        """Return whether this replica may become leader."""
        if self.state.is_new_fleet():
            return self.discovery.is_founder()
        return self.state.is_voter(self.state.slot, self.state.disk.disk_id)

    async def campaign(self, is_transfer: bool = False) -> None:
        """Run an election; a leadership transfer skips the pre-vote."""
        state = self.state
        self.reset_deadline()
        if state.is_leader or not self.is_eligible():
            return
        if not is_transfer and (
            await self._request_votes(state.term + 1, True, False) is None
        ):
            return
        if not is_transfer and clock.now() < self.leader_contact_at + (
            state.options.election_min_s
        ):
            return
        term = state.term + 1
        state.observe_term(term)
        state.voted_for = f'{state.slot}/{state.disk.disk_id}'
        state.leader_slot = None
        await self.store_vote()
        if state.term != term:
            return
        grants = await self._request_votes(term, False, is_transfer)
        if grants is not None and state.term == term:
            self.on_elected(grants)

    async def _request_votes(
        self, term: int, is_pre_vote: bool, is_transfer: bool
    ) -> Grants | None:
        """Return the granted votes once they are a quorum, otherwise None."""
        state = self.state
        start_term = state.term
        grants: Grants = {state.slot: state.disk.disk_id}
        request = messages.VoteRequest(
            term=term,
            slot=state.slot,
            disk_id=state.disk.disk_id,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            is_pre_vote=is_pre_vote,
            is_transfer=is_transfer,
        )
        if self._has_quorum(grants):
            return grants
        tasks = [
            asyncio.create_task(self._request_vote(peer, request))
            for peer in state.peers.values()
            if peer.link is not None
        ]
        try:
            for next_reply in asyncio.as_completed(tasks):
                slot, reply = await next_reply
                if reply is None:
                    continue
                if reply.term > state.term:
                    state.observe_term(reply.term)
                if state.term != start_term:
                    return None
                if reply.is_granted:
                    grants[slot] = reply.disk_id
                if self._has_quorum(grants):
                    return grants
            return None
        finally:
            for task in tasks:
                task.cancel()

    async def _request_vote(
        self, peer: peers.Peer, request: messages.VoteRequest
    ) -> tuple[messages.SlotId, messages.VoteReply | None]:
        link = peer.link
        # link.request() sets seq, so each link needs its own copy.
        copy = messages.VoteRequest(
            0,
            request.term,
            request.slot,
            request.disk_id,
            request.last_index,
            request.last_term,
            request.is_pre_vote,
            request.is_transfer,
        )
        if link is None:
            return peer.slot, None
        try:
            reply = await link.request(copy, self.state.options.election_min_s)
            if isinstance(reply, messages.VoteReply):
                return peer.slot, reply
        except errors.ControlError as e:
            _LOG.debug('Replica %s rejected a vote request: %s', peer.slot, e)
            # The replica at the other end has failed or was closed. It may
            # have been started again and accept another link.
            link.close()
        except errors.LinkError as e:
            _LOG.debug('Vote request to %s failed: %s', peer.slot, e)
        return peer.slot, None

    def _has_quorum(self, grants: Grants) -> bool:
        if self.state.is_new_fleet():
            return set(grants) == self.discovery.founding_slots()
        voter_slots = [
            slot
            for slot, disk_id in grants.items()
            if self.state.is_voter(slot, disk_id)
        ]
        return len(voter_slots) >= voters.quorum(self.state.voters.current)

    async def on_vote_request(
        self, request: messages.VoteRequest
    ) -> messages.VoteReply:
        """Grant or deny a vote; the reply follows once the vote is durable."""
        state = self.state
        is_granted = self._may_grant_vote(request)
        if is_granted and not request.is_pre_vote:
            if request.term > state.term:
                state.observe_term(request.term)
            candidate = f'{request.slot}/{request.disk_id}'
            is_granted = state.voted_for in ('', candidate)
            if is_granted:
                state.voted_for = candidate
                self.reset_deadline()
        term = state.term
        await self.store_vote()
        return messages.VoteReply(
            request.seq, term, is_granted, state.disk.disk_id
        )

    def _may_grant_vote(self, request: messages.VoteRequest) -> bool:
        state = self.state
        log = state.log
        min_term = state.term + (1 if request.is_pre_vote else 0)
        if request.term < min_term:
            return False
        if not request.is_transfer and (
            state.is_leader
            or clock.now()
            < self.leader_contact_at + state.options.election_min_s
        ):
            return False
        if request.last_index == 0 and not state.is_new_fleet():
            return False
        return (request.last_term, request.last_index) >= (
            log.last_term,
            log.last_index,
        )
