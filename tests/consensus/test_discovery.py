"""Replicas found through seeds: one fleet, and spares for lost voters."""

import asyncio
import pathlib
import typing

from godwitstall import messages
from godwitstall import settings
from tests.consensus import fleet as fleets

_SEEDS = 3


class SeedFleet(fleets.Fleet):
    """Replicas that know the addresses of three others at most."""

    def __init__(
        self, root: pathlib.Path, size: int, **options: typing.Any
    ) -> None:
        super().__init__(root, size, **options)
        self.addresses = dict(self.settings.control)
        self.seed_from(self.slots)

    async def start(self, *slots: messages.SlotId) -> None:
        for slot in slots or self.slots:
            member = fleets.Member(self, slot)
            member.replica.options.link_address = self.addresses[slot]
            self.members[slot] = member
            await member.replica.start()
            host, _, port = self.addresses[slot].rpartition(':')
            member.server = await asyncio.start_server(
                member.serve, host, int(port)
            )

    def seed_from(self, slots: list[messages.SlotId]) -> None:
        """Give the first of slots as seeds to what starts from now on."""
        self.settings = settings.FleetOptions(
            'test',
            seeds=[self.addresses[slot] for slot in slots[:_SEEDS]],
            is_without_secret=True,
        )

    def add(self, name: str) -> messages.SlotId:
        """Return the slot of a new machine with an empty disk."""
        slot = messages.SlotId(name)
        [address] = fleets.free_addresses(1)
        self.addresses[slot] = address
        self.slots.append(slot)
        self.format(slot, False)
        return slot

    def voters(self) -> set[str]:
        """Return the voters that all running replicas agree on, or none."""
        found = {
            frozenset(member.replica.voters.current)
            for member in self.members.values()
        }
        return set(found.pop()) if len(found) == 1 else set()

    async def have_voters(self, *slots: messages.SlotId) -> None:
        await fleets.until(lambda: self.voters() == set(slots))


def test_all_replicas_become_voters(tmp_path: pathlib.Path) -> None:
    """Guards against a fleet of the seeds alone, which bears one loss."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.have_voters(*fleet.slots)
        await fleet.propose(b'a')
        await fleet.agree(b'a')

    fleets.run(scenario, fleet)


def test_start_in_any_order_forms_one_fleet(tmp_path: pathlib.Path) -> None:
    """Guards against a second fleet when the lowest seed comes last."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        founder = min(fleet.slots[:_SEEDS], key=lambda s: fleet.addresses[s])
        await fleet.start(*fleet.others(founder))
        await asyncio.sleep(0.5)
        assert not any(
            member.replica.voters.current for member in fleet.members.values()
        )
        await fleet.start(founder)
        await fleet.have_voters(*fleet.slots)

    fleets.run(scenario, fleet)


def test_replaced_machine_gets_the_vote_of_the_lost_one(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against voters that are gone for good and still count."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.have_voters(*fleet.slots)
        await fleet.propose(b'a')
        lost = next(
            slot
            for slot, member in fleet.members.items()
            if member.replica.is_leader
        )
        await fleet.end(lost)
        spare = fleet.add('spare')
        await fleet.start(spare)
        await fleet.have_voters(*fleet.others(lost))
        await fleet.propose(b'b')
        await fleet.agree(b'a', b'b')

    fleets.run(scenario, fleet)


def test_two_lost_disks_beside_a_restart_of_all_lose_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an acknowledged entry that two disks alone held."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.have_voters(*fleet.slots)
        await fleet.propose(b'a', b'b')
        first = next(
            slot
            for slot, member in fleet.members.items()
            if member.replica.is_leader
        )
        wiped = [first, fleet.others(first)[0]]
        for slot in list(fleet.members):
            await fleet.end(slot)
        for slot in wiped:
            fleet.format(slot, False)
        await fleet.start()
        await fleet.propose(b'c')
        await fleet.agree(b'a', b'b', b'c')
        await fleet.have_voters(*fleet.slots)

    fleets.run(scenario, fleet)


def test_zones_are_told_to_all(tmp_path: pathlib.Path) -> None:
    """Guards against nodes that cannot tell which replica is near."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.have_voters(*fleet.slots)

        def all_know() -> bool:
            return all(
                [voter.zone for voter in directory.replicas] == ['z'] * 5
                for directory in (
                    member.replica.discovery.on_introduce(messages.Introduce())
                    for member in fleet.members.values()
                )
            )

        await fleets.until(all_know)

    fleets.run(scenario, fleet)
