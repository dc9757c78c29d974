"""Discovers the other replicas of a fleet.

A fleet with a fixed table of replicas needs no discovery. With seeds, each
replica introduces itself to the seeds and to the replicas that it knows, and
learns the addresses of the others from the replies. Only the log decides who
votes: a discovered replica is a learner until the leader adds it.

Only the founder, the replica at the lowest seed address, may create a new
fleet; otherwise two fleets could form. The founder waits until all seeds are
known and no replica has been discovered for a while.
"""

import asyncio

from godwitstall import clock
from godwitstall.consensus import peer_table as peer_tables
from godwitstall.consensus import state as state_module
from godwitstall import errors
from godwitstall import link as links
from godwitstall import logs
from godwitstall import messages

_LOG = logs.get('discovery')

# Intervals between two rounds of introductions, seconds: while there is no
# fleet or a seed is missing, after a recent discovery, and otherwise.
_SEARCH_INTERVAL_S = 0.25
_RECENT_INTERVAL_S = 1.0
_STEADY_INTERVAL_S = 5.0

# Time for which a discovery is recent, seconds.
_RECENT_S = 5.0

# Time that the founder waits after the last discovery, seconds.
_SETTLE_S = 0.75

# Time after which the founder no longer waits for missing seeds, seconds. It
# still needs as many replicas with an initial disk as there are seeds.
_FOUNDING_TIMEOUT_S = 6.0

# Time without a link after which a learner is removed, seconds.
_LEARNER_EXPIRY_S = 15.0

_INTRODUCTION_TIMEOUT_S = 1.0


class Discovery:
    """Addresses of the other replicas, as one replica knows them."""

    def __init__(
        self,
        state: state_module.State,
        peer_table: peer_tables.PeerTable,
    ) -> None:
        self.state = state
        self.fleet = state.fleet
        self.peer_table = peer_table
        # Replicas that reported an empty disk of a new fleet.
        self.initial_slots: set[messages.SlotId] = set()
        # Zones that the replicas reported.
        self.zones: dict[messages.SlotId, str] = {}
        # Time of the last discovery, and time of the start, seconds.
        self.last_discovery_at = clock.now()
        self.started_at = clock.now()
        # Another replica knows voters, so the fleet exists.
        self.is_formed_elsewhere = False

    @property
    def own_address(self) -> str:
        """Address at which other replicas connect to this one."""
        if self.fleet.seeds:
            return self.state.options.link_address
        return self.fleet.control[self.state.slot]

    def is_founder(self) -> bool:
        """Return whether this replica may create a new fleet."""
        if self.fleet.seeds:
            is_first = self.own_address == min(self.fleet.seeds)
            return is_first and not self.is_formed_elsewhere
        return self.state.slot == min(self.fleet.control)

    def founding_slots(self) -> set[messages.SlotId] | None:
        """Return the voters of a new fleet, None while they are unknown."""
        if not self.fleet.seeds:
            return {messages.SlotId(slot) for slot in self.fleet.control}
        now = clock.now()
        known = {peer.address for peer in self.state.peers.values()}
        known.add(self.own_address)
        has_all_seeds = known.issuperset(self.fleet.seeds)
        may_wait = now - self.started_at < _FOUNDING_TIMEOUT_S
        if now - self.last_discovery_at < _SETTLE_S or (
            may_wait and not has_all_seeds
        ):
            return None
        if len(self.initial_slots) + 1 < len(self.fleet.seeds):
            return None
        return self.initial_slots | {self.state.slot}

    def to_voter(self) -> messages.Voter:
        """Describe this replica to the others."""
        return messages.Voter(
            self.state.slot,
            self.state.disk.disk_id,
            self.own_address,
            self.state.options.zone,
        )

    def on_introduce(self, request: messages.Introduce) -> messages.Directory:
        """Add the sender and reply with the replicas known here."""
        sender = request.replica
        if sender.slot and self.fleet.seeds:
            self._add_replica(sender)
            if request.is_initial:
                self.initial_slots.add(sender.slot)
            else:
                self.initial_slots.discard(sender.slot)
        return messages.Directory(
            replicas=self._known_replicas(), is_formed=self._is_formed()
        )

    def _is_formed(self) -> bool:
        return bool(self.state.voters.current)

    def _known_replicas(self) -> list[messages.Voter]:
        known = [self.to_voter()]
        for peer in self.state.peers.values():
            is_voter = peer.slot in self.state.voters.current
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

    def _add_replica(self, voter: messages.Voter) -> None:
        if voter.zone:
            self.zones[voter.slot] = voter.zone
        if self.peer_table.add(voter.slot, voter.address):
            self.last_discovery_at = clock.now()

    async def run(self) -> None:
        """Introduce this replica to the others until cancelled."""
        if not self.fleet.seeds:
            return
        self.started_at = self.last_discovery_at = clock.now()
        while True:
            await self._search()
            self._remove_lost_learners()
            await asyncio.sleep(self._interval_s())

    def _interval_s(self) -> float:
        if not self._is_formed() or self._missing_seeds():
            return _SEARCH_INTERVAL_S
        if clock.now() - self.last_discovery_at < _RECENT_S:
            return _RECENT_INTERVAL_S
        return _STEADY_INTERVAL_S

    def _missing_seeds(self) -> list[str]:
        known = {peer.address for peer in self.state.peers.values()}
        return [
            address
            for address in self.fleet.seeds
            if address not in known and address != self.own_address
        ]

    async def _search(self) -> None:
        for voter in self.state.voters.current.values():
            if voter.slot != self.state.slot:
                self._add_replica(voter)
        introductions = [
            self._introduce_to_seed(address)
            for address in self._missing_seeds()
        ]
        introductions += [
            self._introduce(peer.link)
            for peer in self.state.peers.values()
            if peer.link is not None
        ]
        await asyncio.gather(*introductions)

    async def _introduce_to_seed(self, address: str) -> None:
        try:
            link = await links.connect(
                address, self.state.identity, _INTRODUCTION_TIMEOUT_S
            )
        except errors.LinkError as e:
            _LOG.debug('Cannot connect to seed %s: %s', address, e)
            return
        reader = asyncio.create_task(link.run(_discard_message))
        try:
            await self._introduce(link)
        finally:
            link.close()
            reader.cancel()

    async def _introduce(self, link: links.Link) -> None:
        request = messages.Introduce(
            replica=self.to_voter(),
            is_initial=self.state.is_new_fleet(),
        )
        try:
            reply = await link.request(request, _INTRODUCTION_TIMEOUT_S)
        except errors.GodwitstallError as e:
            _LOG.debug('Introduction failed: %s', e)
            return
        if not isinstance(reply, messages.Directory):
            return
        self.is_formed_elsewhere |= reply.is_formed
        for voter in reply.replicas:
            if voter.slot != self.state.slot:
                self._add_replica(voter)

    def _remove_lost_learners(self) -> None:
        """Remove learners that have had no link for too long."""
        now = clock.now()
        for peer in list(self.state.peers.values()):
            if peer.link is not None or peer.slot in (
                self.state.voters.current
            ):
                continue
            if now - peer.linked_at > _LEARNER_EXPIRY_S:
                _LOG.info('Removed unreachable replica %s.', peer.slot)
                self.initial_slots.discard(peer.slot)
                self.zones.pop(peer.slot, None)
                self.peer_table.remove(peer.slot)


async def _discard_message(message: messages.Message) -> None:
    """Drop unsolicited messages; only replies are expected."""
