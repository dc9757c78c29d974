"""Voter changes, which the leader proposes one at a time.

A learner that has caught up is promoted to voter of its slot when the disk
of the slot was replaced. In a fleet with discovery, a learner is also
promoted when there are too few voters, or to replace an unresponsive voter.
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

# Maximum number of voters in a fleet with discovery; five tolerate the loss
# of two.
_MAX_DISCOVERED_VOTERS = 5

# Time without a reply after which a spare replaces a voter, seconds.
_VOTER_TIMEOUT_S = 2.0


class VoterChanges:
    """Checks and proposes voter changes on the leader."""

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica

    def rejection_reason(self, change: voters.VoterChange) -> str:
        """Return why a voter change is rejected, '' if it is accepted.

        The majorities before and after a change overlap only if one voter
        changes at a time, and only after an entry of the current term has
        been committed.
        """
        if self.replica.commit_index < self.replica.term_start_index:
            return 'The leader has not committed an entry of its term.'
        if self.replica.voters.current_index > self.replica.commit_index:
            return 'Another voter change is not committed yet.'
        current = self.replica.voters.current
        match change:
            case messages.RemoveVoter(slot, disk_id):
                if not self.replica.is_voter(slot, disk_id):
                    return 'The disk is not a voter.'
                if slot == self.replica.slot:
                    return 'The leader cannot remove itself.'
            case messages.AddVoter(voter):
                peer = self.replica.peers.get(voter.slot)
                if voter.slot in current:
                    return (
                        'The slot already has a voter; remove the voter first.'
                    )
                if peer is None or peer.disk_id != voter.disk_id:
                    return 'No connected replica has this disk.'
                if not peer.is_caught_up:
                    return 'The disk has not caught up.'
        return ''

    def promote_learner(self) -> None:
        """Propose the next change that makes a caught-up learner a voter.

        A replaced voter is removed first, in a change of its own.
        """
        if self.replica.is_transferring_leadership:
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
            replaced = self.replica.voters.current.get(peer.slot)
            if (
                replaced is None
                and len(self.replica.voters.current) >= self._max_voters
            ):
                replaced = self._unresponsive_voter()
                if replaced is None:
                    continue
            change: voters.VoterChange
            if replaced is not None:
                change = messages.RemoveVoter(replaced.slot, replaced.disk_id)
            else:
                change = messages.AddVoter(
                    messages.Voter(peer.slot, peer.disk_id, peer.address)
                )
            if not self.rejection_reason(change):
                _LOG.info('Proposing a voter change: %s.', change)
                self.replica.append(codec.encode(change))
                return

    @property
    def _max_voters(self) -> int:
        """Maximum number of voters; further replicas are spares."""
        return len(self.replica.fleet.control) or _MAX_DISCOVERED_VOTERS

    def _unresponsive_voter(self) -> messages.Voter | None:
        """Return a voter without a reply for _VOTER_TIMEOUT_S, None if none.

        Also returns None until this replica has led for that time.
        """
        if clock.now() - self.replica.leader_since < _VOTER_TIMEOUT_S:
            return None
        for voter in self.replica.voters.current.values():
            peer = self.replica.peers.get(voter.slot)
            if voter.slot == self.replica.slot:
                continue
            if peer is None or clock.now() - peer.acked_at > _VOTER_TIMEOUT_S:
                return voter
        return None
