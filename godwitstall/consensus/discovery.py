"""Finds the other replicas of a fleet.

With a fixed table of replicas there is nothing to find. With seeds, each
replica introduces itself to the seeds and to the replicas that it knows, and
learns of the others from their answers. Who votes is decided by the log
alone: a replica that was found is a learner until the leader adds it.

A new fleet has one founder, the replica at the lowest seed address, so that
two fleets cannot form. It waits until all seeds have been met and nobody new
has come for a while.
"""

from __future__ import annotations

import asyncio
import typing

from godwitstall import clock
from godwitstall import errors
from godwitstall import link as links
from godwitstall import logs
from godwitstall import messages
from godwitstall import settings

if typing.TYPE_CHECKING:
    from godwitstall.consensus import replica as replicas

_LOG = logs.get('discovery')

# Time between two rounds of introductions, seconds: while replicas are
# missing, while some are new, and after that.
_SEARCH_INTERVAL_S = 0.25
_NEW_INTERVAL_S = 1.0
_STEADY_INTERVAL_S = 5.0

# A replica counts as new for this long, seconds.
_NEW_S = 5.0

# The founder waits this long after the last replica was met, seconds.
_SETTLE_S = 0.75

# After this time the founder does without a seed that never came, seconds.
_FOUNDING_PATIENCE_S = 6.0

# A learner that was not linked for this long is forgotten, seconds.
_FORGET_AFTER_S = 15.0

_INTRODUCTION_TIMEOUT_S = 1.0


class Discovery:
    """What one replica knows of the addresses of the others."""

    def __init__(
        self, replica: replicas.Replica, fleet: settings.FleetOptions
    ) -> None:
        self.replica = replica
        self.fleet = fleet
        # Replicas that said that they have an empty disk of a new fleet.
        self.initial: set[messages.SlotId] = set()
        # Zones of the replicas that told theirs.
        self.zones: dict[messages.SlotId, str] = {}
        # When the last replica was met, and when the search began, seconds.
        self.met_at = clock.now()
        self.began_at = clock.now()
        # Another replica knows voters: the fleet exists already.
        self.is_formed_elsewhere = False

    @property
    def own_address(self) -> str:
        """Address at which the others reach this replica."""
        if self.fleet.seeds:
            return self.replica.options.link_address
        return self.fleet.control[self.replica.slot]

    def is_founder(self) -> bool:
        """Return whether this replica creates a new fleet."""
        if self.fleet.seeds:
            is_first = self.own_address == min(self.fleet.seeds)
            return is_first and not self.is_formed_elsewhere
        return self.replica.slot == min(self.fleet.control)

    def founding_slots(self) -> set[messages.SlotId] | None:
        """Return who must agree to a new fleet; None while not known."""
        if not self.fleet.seeds:
            return {messages.SlotId(slot) for slot in self.fleet.control}
        now = clock.now()
        met = {peer.address for peer in self.replica.peers.values()}
        met.add(self.own_address)
        is_complete = met.issuperset(self.fleet.seeds)
        is_patient = now - self.began_at < _FOUNDING_PATIENCE_S
        if now - self.met_at < _SETTLE_S or (is_patient and not is_complete):
            return None
        if len(self.initial) + 1 < len(self.fleet.seeds):
            return None
        return self.initial | {self.replica.slot}

    def to_voter(self) -> messages.Voter:
        """Return this replica as others know it."""
        return messages.Voter(
            self.replica.slot,
            self.replica.disk.disk_id,
            self.own_address,
            self.replica.options.zone,
        )

    def on_introduce(self, request: messages.Introduce) -> messages.Directory:
        """Take note of a replica and return those that are known here."""
        asking = request.replica
        if asking.slot and self.fleet.seeds:
            self._meet(asking)
            if request.is_initial:
                self.initial.add(asking.slot)
            else:
                self.initial.discard(asking.slot)
        return messages.Directory(
            replicas=self._known(), is_formed=self._is_formed()
        )

    def _is_formed(self) -> bool:
        return bool(self.replica.voters.current)

    def _known(self) -> list[messages.Voter]:
        known = [self.to_voter()]
        for peer in self.replica.peers.values():
            is_voter = peer.slot in self.replica.voters.current
            if is_voter or peer.link is not None:
                known.append(
                    messages.Voter(
                        peer.slot,
                        peer.disk_id,
                        peer.address,
                        self.zones.get(peer.slot, ''),
                    )
                )
        return known

    def _meet(self, found: messages.Voter) -> None:
        if found.zone:
            self.zones[found.slot] = found.zone
        if self.replica.meet(found.slot, found.address):
            self.met_at = clock.now()

    async def run(self) -> None:
        """Introduce this replica to the others until cancelled."""
        if not self.fleet.seeds:
            return
        self.began_at = self.met_at = clock.now()
        while True:
            await self._search()
            self._forget()
            await asyncio.sleep(self._interval_s())

    def _interval_s(self) -> float:
        if not self._is_formed() or self._unmet_seeds():
            return _SEARCH_INTERVAL_S
        if clock.now() - self.met_at < _NEW_S:
            return _NEW_INTERVAL_S
        return _STEADY_INTERVAL_S

    def _unmet_seeds(self) -> list[str]:
        met = {peer.address for peer in self.replica.peers.values()}
        return [
            address
            for address in self.fleet.seeds
            if address not in met and address != self.own_address
        ]

    async def _search(self) -> None:
        for voter in self.replica.voters.current.values():
            if voter.slot != self.replica.slot:
                self._meet(voter)
        asked = [self._ask_seed(address) for address in self._unmet_seeds()]
        asked += [
            self._ask(peer.link)
            for peer in self.replica.peers.values()
            if peer.link is not None
        ]
        await asyncio.gather(*asked)

    async def _ask_seed(self, address: str) -> None:
        try:
            link = await links.connect(
                address, self.replica.identity, _INTRODUCTION_TIMEOUT_S
            )
        except errors.LinkError as e:
            _LOG.debug('Seed %s is not to be reached: %s', address, e)
            return
        reader = asyncio.create_task(link.run(_ignore))
        try:
            await self._ask(link)
        finally:
            link.close()
            reader.cancel()

    async def _ask(self, link: links.Link) -> None:
        request = messages.Introduce(
            replica=self.to_voter(),
            is_initial=self.replica.election.is_new_fleet(),
        )
        try:
            reply = await link.request(request, _INTRODUCTION_TIMEOUT_S)
        except errors.GodwitstallError as e:
            _LOG.debug('Introduction failed: %s', e)
            return
        if not isinstance(reply, messages.Directory):
            return
        self.is_formed_elsewhere |= reply.is_formed
        for found in reply.replicas:
            if found.slot != self.replica.slot:
                self._meet(found)

    def _forget(self) -> None:
        """Drop learners that are gone for good."""
        now = clock.now()
        for peer in list(self.replica.peers.values()):
            if peer.link is not None or peer.slot in (
                self.replica.voters.current
            ):
                peer.linked_at = now
            elif now - peer.linked_at > _FORGET_AFTER_S:
                _LOG.info('Forgets replica %s.', peer.slot)
                self.initial.discard(peer.slot)
                self.zones.pop(peer.slot, None)
                self.replica.forget(peer.slot)


async def _ignore(message: messages.Message) -> None:
    """Drop what a seed sends on its own; it answers only."""
