"""Changes of the voters, one at a time, decided by the leader.

A learner that has caught up gets the vote of its slot when the disk of the
slot was replaced. Where replicas are found through seeds, it fills a fleet
that has too few voters, or takes the place of a voter that is lost.
"""

from __future__ import annotations

import typing

from godwitstall import clock
from godwitstall import codec
from godwitstall.consensus import voters
from godwitstall import logs
from godwitstall import messages

if typing.TYPE_CHECKING:
    from godwitstall.consensus import replica as replicas

_LOG = logs.get('consensus')

# Voters of a fleet whose replicas are found through seeds: two of five may be
# lost at once.
_MAX_FOUND_VOTERS = 5

# A voter that answers nothing for this long gives its vote to a spare,
# seconds.
_LOST_VOTER_S = 2.0


class VoterChanges:
    """What one replica, when it leads, changes about the voters."""

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica

    def refusal(self, change: voters.Change) -> str:
        """Return why a voter change must not be logged, '' when it may.

        Two majorities that differ by one voter share a replica. That holds
        only for one change at a time, and only after an entry of this term
        is committed.
        """
        if self.replica.commit_index < self.replica.term_start:
            return 'The leader has not committed an entry of its term.'
        if self.replica.voters.current_index > self.replica.commit_index:
            return 'Another change of voters is not committed yet.'
        current = self.replica.voters.current
        match change:
            case messages.RemoveVoter(slot, disk_id):
                if not self.replica.is_voter(slot, disk_id):
                    return 'The disk has no vote.'
                if slot == self.replica.slot:
                    return 'The leader does not remove itself.'
            case messages.AddVoter(voter):
                peer = self.replica.peers.get(voter.slot)
                if voter.slot in current:
                    return 'The slot has a voter; remove that first.'
                if peer is None or peer.disk_id != voter.disk_id:
                    return 'No such disk answers.'
                if not peer.is_caught_up:
                    return 'The disk has not caught up.'
        return ''

    def step(self) -> None:
        """Give a caught-up learner the vote of its slot, in two changes."""
        if self.replica.is_handing_over:
            return
        for peer in self.replica.peers.values():
            is_alive = (
                clock.now() - peer.acked_at
                < self.replica.options.election_min_s
            )
            if (
                not peer.is_caught_up
                or not is_alive
                or self.replica.is_voter(peer.slot, peer.disk_id)
            ):
                continue
            former = self.replica.voters.current.get(peer.slot)
            if (
                former is None
                and len(self.replica.voters.current) >= self._max_voters
            ):
                former = self._lost_voter()
                if former is None:
                    continue
            change: voters.Change
            if former is not None:
                change = messages.RemoveVoter(former.slot, former.disk_id)
            else:
                change = messages.AddVoter(
                    messages.Voter(peer.slot, peer.disk_id, peer.address)
                )
            if not self.refusal(change):
                _LOG.info('Changes the voters: %s.', change)
                self.replica.append(codec.encode(change))
                return

    @property
    def _max_voters(self) -> int:
        """Voters that a fleet has; more replicas than that are spares."""
        return len(self.replica.fleet.control) or _MAX_FOUND_VOTERS

    def _lost_voter(self) -> messages.Voter | None:
        """Return a voter that does not answer, so that a spare replaces it."""
        if clock.now() - self.replica.lead_since < _LOST_VOTER_S:
            return None
        for voter in self.replica.voters.current.values():
            peer = self.replica.peers.get(voter.slot)
            if voter.slot == self.replica.slot:
                continue
            if peer is None or clock.now() - peer.acked_at > _LOST_VOTER_S:
                return voter
        return None
