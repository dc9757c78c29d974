"""Elections: who may stand, who votes, and the pre-vote.

A pre-vote asks without raising the term, so that a replica that was cut off
does not depose a working leader when it comes back. No vote is given within
the minimum election time after hearing from a leader; the leader's lease is
shorter than that. A restarted replica does not know when it last heard from
a leader and waits the same time.

The voters of a new fleet are not known before its first election, because
each disk has a random id. Initial disks with an empty log therefore elect
the lowest slot, and only unanimously: the answers tell it the disk ids. A
disk that was formatted as initial again finds others that are not empty and
cannot take part.
"""

from __future__ import annotations

import asyncio
import random
import typing

from godwitstall import clock
from godwitstall.consensus import peer as peers
from godwitstall.consensus import storage
from godwitstall.consensus import voters
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages

if typing.TYPE_CHECKING:
    from godwitstall.consensus import replica as replicas

_LOG = logs.get('consensus')

_Grants = dict[messages.SlotId, messages.DiskId]


class Election:
    """Votes given and asked for by one replica."""

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        # When a leader was last heard, seconds.
        self.heard_at = clock.now()
        # When to stand for election, seconds.
        self.deadline = 0.0
        # Term and vote on the disk.
        self.stored = storage.Vote()
        self._store_lock = asyncio.Lock()
        self.defer()

    def defer(self) -> None:
        """Choose a new time to stand for election, from now on."""
        self.deadline = clock.now() + random.uniform(
            self.replica.options.election_min_s,
            self.replica.options.election_max_s,
        )

    def hear_leader(self) -> None:
        """Note that the leader of this term was heard."""
        self.heard_at = clock.now()
        self.defer()

    async def store(self) -> None:
        """Make the current term and vote durable."""
        async with self._store_lock:
            vote = storage.Vote(self.replica.term, self.replica.voted_for)
            if vote != self.stored:
                await storage.run_blocking(
                    storage.write_vote, self.replica.folder, vote
                )
                self.stored = vote

    def is_new_fleet(self) -> bool:
        """Return whether no voter was ever defined on this initial disk."""
        replica = self.replica
        return (
            replica.disk.is_initial
            and not replica.voters.current
            and replica.log.last_index == 0
        )

    def may_stand(self) -> bool:
        """Return whether this replica may become leader."""
        if self.is_new_fleet():
            return self.replica.discovery.is_founder()
        return self.replica.is_voter(
            self.replica.slot, self.replica.disk.disk_id
        )

    async def stand(self, is_transfer: bool = False) -> None:
        """Stand for election; a transfer by the leader skips the pre-vote."""
        replica = self.replica
        self.defer()
        if replica.is_leader or not self.may_stand():
            return
        if not is_transfer and (
            await self._ask(replica.term + 1, True, False) is None
        ):
            return
        if not is_transfer and clock.now() < self.heard_at + (
            replica.options.election_min_s
        ):
            return
        term = replica.term + 1
        replica.observe_term(term)
        replica.voted_for = f'{replica.slot}/{replica.disk.disk_id}'
        replica.leader_slot = None
        await self.store()
        if replica.term != term:
            return
        grants = await self._ask(term, False, is_transfer)
        if grants is not None and replica.term == term:
            replica.lead(grants)

    async def _ask(
        self, term: int, is_pre_vote: bool, is_transfer: bool
    ) -> _Grants | None:
        """Return the disks that granted once they are enough, or None."""
        replica = self.replica
        asked_term = replica.term
        grants: _Grants = {replica.slot: replica.disk.disk_id}
        request = messages.VoteRequest(
            term=term,
            slot=replica.slot,
            disk_id=replica.disk.disk_id,
            last_index=replica.log.last_index,
            last_term=replica.log.last_term,
            is_pre_vote=is_pre_vote,
            is_transfer=is_transfer,
        )
        if self._is_enough(grants):
            return grants
        tasks = [
            asyncio.create_task(self._ask_peer(peer, request))
            for peer in replica.peers.values()
            if peer.link is not None
        ]
        try:
            for next_reply in asyncio.as_completed(tasks):
                slot, reply = await next_reply
                if reply is None:
                    continue
                if reply.term > replica.term:
                    replica.observe_term(reply.term)
                if replica.term != asked_term:
                    return None
                if reply.is_granted:
                    grants[slot] = reply.disk_id
                if self._is_enough(grants):
                    return grants
            return None
        finally:
            for task in tasks:
                task.cancel()

    async def _ask_peer(
        self, peer: peers.Peer, request: messages.VoteRequest
    ) -> tuple[messages.SlotId, messages.VoteReply | None]:
        link = peer.link
        # Each link numbers its requests, so each needs its own copy.
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
        try:
            if link is not None:
                reply = await link.request(
                    copy, self.replica.options.election_min_s
                )
                if isinstance(reply, messages.VoteReply):
                    return peer.slot, reply
        except errors.GodwitstallError as e:
            _LOG.debug('No vote of %s: %s', peer.slot, e)
        return peer.slot, None

    def _is_enough(self, grants: _Grants) -> bool:
        if self.is_new_fleet():
            return set(grants) == self.replica.discovery.founding_slots()
        counted = [
            slot
            for slot, disk_id in grants.items()
            if self.replica.is_voter(slot, disk_id)
        ]
        return len(counted) >= voters.quorum(self.replica.voters.current)

    async def answer(
        self, request: messages.VoteRequest
    ) -> messages.VoteReply:
        """Decide on a request for a vote; a vote is durable before that."""
        replica = self.replica
        is_granted = self._is_acceptable(request)
        if is_granted and not request.is_pre_vote:
            if request.term > replica.term:
                replica.observe_term(request.term)
            candidate = f'{request.slot}/{request.disk_id}'
            is_granted = replica.voted_for in ('', candidate)
            if is_granted:
                replica.voted_for = candidate
                self.defer()
        term = replica.term
        await self.store()
        return messages.VoteReply(
            request.seq, term, is_granted, replica.disk.disk_id
        )

    def _is_acceptable(self, request: messages.VoteRequest) -> bool:
        replica = self.replica
        log = replica.log
        lowest_term = replica.term + (1 if request.is_pre_vote else 0)
        if request.term < lowest_term:
            return False
        if not request.is_transfer and (
            replica.is_leader
            or clock.now() < self.heard_at + replica.options.election_min_s
        ):
            return False
        if request.last_index == 0 and not self.is_new_fleet():
            return False
        return (request.last_term, request.last_index) >= (
            log.last_term,
            log.last_index,
        )
