"""Rules for voter changes, which the leader proposes one at a time.

A learner that has caught up is promoted to voter of its slot when the disk
of the slot was replaced. In a fleet with discovery, a learner is also
promoted when there are too few voters, or to replace an unresponsive voter.
"""

from godwitstall import clock
from godwitstall.consensus import peer as peers
from godwitstall.consensus import state as state_module
from godwitstall.consensus import voters
from godwitstall import messages

# Maximum number of voters in a fleet with discovery; five tolerate the loss
# of two.
_MAX_DISCOVERED_VOTERS = 5

# Time without a link, or as leader without a reply, after which a spare
# replaces a voter, seconds.
_VOTER_TIMEOUT_S = 2.0


class VoterChanges:
    """Checks and chooses voter changes on the leader."""

    def __init__(self, state: state_module.State) -> None:
        self.state = state

    def rejection_reason(self, change: voters.VoterChange) -> str:
        """Return why a voter change is rejected, '' if it is accepted.

        The majorities before and after a change overlap only if one voter
        changes at a time, and only after an entry of the current term has
        been committed.
        """
        if self.state.commit_index < self.state.term_start_index:
            return 'The leader has not committed an entry of its term.'
        if self.state.voters.current_index > self.state.commit_index:
            return 'Another voter change is not committed yet.'
        current = self.state.voters.current
        match change:
            case messages.RemoveVoter(slot, disk_id):
                if not self.state.is_voter(slot, disk_id):
                    return 'The disk is not a voter.'
                if slot == self.state.slot:
                    return 'The leader cannot remove itself.'
            case messages.AddVoter(voter):
                peer = self.state.peers.get(voter.slot)
                if voter.slot in current:
                    return (
                        'The slot already has a voter; remove the voter first.'
                    )
                if peer is None or peer.disk_id != voter.disk_id:
                    return 'No connected replica has this disk.'
                if not peer.is_caught_up:
                    return 'The disk has not caught up.'
        return ''

    def next_change(self) -> voters.VoterChange | None:
        """Return the next change that makes a caught-up learner a voter.

        A replaced voter is removed first, in a change of its own.
        """
        if self.state.is_transferring_leadership:
            return None
        for peer in self.state.peers.values():
            if not self._may_promote(peer):
                continue
            change = self._promotion_of(peer)
            if change is not None and not self.rejection_reason(change):
                return change
        return None

    def _may_promote(self, peer: peers.Peer) -> bool:
        """Return whether peer is a learner that has caught up."""
        is_alive = (
            clock.now() - peer.acked_at < self.state.options.election_min_s
        )
        return (
            peer.is_caught_up
            and is_alive
            and not self.state.is_voter(peer.slot, peer.disk_id)
        )

    def _promotion_of(self, peer: peers.Peer) -> voters.VoterChange | None:
        """Return the next change that promotes a learner, None if none."""
        current = self.state.voters.current
        replaced = current.get(peer.slot)
        if replaced is None and len(current) >= self._max_voters:
            replaced = self.unresponsive_voter()
            if replaced is None:
                return None
        if replaced is not None:
            return messages.RemoveVoter(replaced.slot, replaced.disk_id)
        return messages.AddVoter(
            messages.Voter(peer.slot, peer.disk_id, peer.address)
        )

    @property
    def _max_voters(self) -> int:
        """Maximum number of voters; further replicas are spares."""
        return len(self.state.fleet.control) or _MAX_DISCOVERED_VOTERS

    def unresponsive_voter(self) -> messages.Voter | None:
        """Return a voter that has been out of reach, None if there is none."""
        for voter in self.state.voters.current.values():
            if voter.slot != self.state.slot and self._is_out_of_reach(voter):
                return voter
        return None

    def _is_out_of_reach(self, voter: messages.Voter) -> bool:
        """Return whether a voter has been out of reach for _VOTER_TIMEOUT_S.

        Each replica has links to all others, so a new leader knows which of
        them had been gone before its term. Otherwise each election would
        extend the time in which the fleet tolerates one loss less.
        """
        now = clock.now()
        last_contact = self.state.leader_since
        peer = self.state.peers.get(voter.slot)
        if peer is not None:
            last_contact = max(last_contact, peer.acked_at)
            if peer.link is None:
                last_contact = min(last_contact, peer.linked_at)
        return now - last_contact > _VOTER_TIMEOUT_S
