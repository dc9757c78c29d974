"""Adds and removes the peers of one replica."""

import collections.abc

from godwitstall.consensus import peer as peers
from godwitstall.consensus import replicator
from godwitstall.consensus import state as state_module
from godwitstall.consensus import tasks as tasks_module
from godwitstall import logs
from godwitstall import messages

_LOG = logs.get('consensus')


class PeerTable:
    """Peers of one replica, each with a task that replicates to it."""

    def __init__(
        self,
        state: state_module.State,
        tasks: tasks_module.Tasks,
        on_ack: collections.abc.Callable[[], None],
    ) -> None:
        self.state = state
        self.tasks = tasks
        # Called after each acknowledgement of any peer.
        self.on_ack = on_ack
        self._is_started = False
        for name, address in state.fleet.control.items():
            slot = messages.SlotId(name)
            if slot != state.slot:
                state.peers[slot] = peers.Peer(slot, address)

    def start(self) -> None:
        """Start to connect to the peers, and to those added later."""
        for voter in self.state.voters.current.values():
            if voter.slot != self.state.slot:
                self.add(voter.slot, voter.address)
        self._is_started = True
        for peer in self.state.peers.values():
            self._start_task(peer)

    def _start_task(self, peer: peers.Peer) -> None:
        task = replicator.Replicator(self.state, peer, self.on_ack)
        peer.task = self.tasks.spawn(task.run())

    def add(self, slot: messages.SlotId, address: str) -> bool:
        """Add or update a peer; return whether it was unknown."""
        if slot == self.state.slot or not address:
            return False
        peer = self.state.peers.get(slot)
        if peer is not None:
            if peer.address != address and peer.link is None:
                _LOG.info('Replica %s has moved to %s.', slot, address)
                peer.address = address
            return False
        _LOG.info('Discovered replica %s at %s.', slot, address)
        peer = self.state.peers[slot] = peers.Peer(slot, address)
        peer.reset(self.state.log.last_index + 1)
        if self._is_started:
            self._start_task(peer)
        return True

    def remove(self, slot: messages.SlotId) -> None:
        """Remove a peer that is not a voter."""
        peer = self.state.peers.pop(slot)
        if peer.task is not None:
            peer.task.cancel()
