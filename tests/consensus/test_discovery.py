"""Discovery through seeds: fleet creation and replacement of voters."""

import asyncio
import pathlib
import typing

from godwitstall import messages
from godwitstall import settings
from tests.consensus import fleet as fleets

_SEEDS = 3


class SeedFleet(fleets.Fleet):
    """Fleet whose replicas have the addresses of three seeds only."""

    def __init__(
        self, root: pathlib.Path, size: int, **options: typing.Any
    ) -> None:
        super().__init__(root, size, **options)
        self.addresses = dict(self.settings.control)
        self.use_seeds(self.slots)

    async def start(self, *slots: messages.SlotId) -> None:
        for slot in slots or self.slots:
            member = fleets.Member(self, slot)
            member.replica.state.options.link_address = self.addresses[slot]
            self.members[slot] = member
            await member.replica.start()
            host, _, port = self.addresses[slot].rpartition(':')
            member.server = await asyncio.start_server(
                member.serve, host, int(port)
            )

    def use_seeds(self, slots: list[messages.SlotId]) -> None:
        """Use the first slots as seeds of replicas started from now on."""
        self.settings = settings.FleetOptions(
            'test',
            seeds=[self.addresses[slot] for slot in slots[:_SEEDS]],
            is_without_secret=True,
        )

    def add_replica(self, name: str) -> messages.SlotId:
        """Return the slot of a new replica with an empty disk."""
        slot = messages.SlotId(name)
        [address] = fleets.free_addresses(1)
        self.addresses[slot] = address
        self.slots.append(slot)
        self.format(slot, False)
        return slot

    def agreed_voters(self) -> dict[messages.SlotId, messages.DiskId]:
        """Return the voters all running replicas agree on, else nothing."""
        voter_sets = {
            frozenset(
                (slot, voter.disk_id)
                for slot, voter in member.replica.state.voters.current.items()
            )
            for member in self.members.values()
        }
        return dict(voter_sets.pop()) if len(voter_sets) == 1 else {}

    def has_voters(self, *slots: messages.SlotId) -> bool:
        """Return whether these are the voters, with the disks that run.

        After the loss of a disk its slot is a voter with the lost disk until
        the leader has replaced it, and the fleet tolerates one loss less.
        """
        voters = self.agreed_voters()
        return voters.keys() == set(slots) and all(
            voters[slot] == member.replica.state.disk.disk_id
            for slot, member in self.members.items()
            if slot in voters
        )

    async def wait_for_voters(self, *slots: messages.SlotId) -> None:
        await fleets.wait_until(lambda: self.has_voters(*slots))


def test_all_replicas_become_voters(tmp_path: pathlib.Path) -> None:
    """Guards against only seeds as voters, which tolerate a single loss."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.wait_for_voters(*fleet.slots)
        await fleet.propose(b'a')
        await fleet.wait_until_applied(b'a')

    fleets.run(scenario, fleet)


def test_start_in_any_order_forms_one_fleet(tmp_path: pathlib.Path) -> None:
    """Guards against a second fleet when the lowest seed starts last."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        founder = min(fleet.slots[:_SEEDS], key=lambda s: fleet.addresses[s])
        await fleet.start(*fleet.others(founder))
        await asyncio.sleep(0.5)
        assert not any(
            member.replica.state.voters.current
            for member in fleet.members.values()
        )
        await fleet.start(founder)
        await fleet.wait_for_voters(*fleet.slots)

    fleets.run(scenario, fleet)


def test_replaced_machine_gets_the_vote_of_the_lost_one(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against permanently lost voters that stay in the quorum."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.wait_for_voters(*fleet.slots)
        await fleet.propose(b'a')
        lost = next(
            slot
            for slot, member in fleet.members.items()
            if member.replica.is_leader
        )
        await fleet.stop(lost)
        spare = fleet.add_replica('spare')
        await fleet.start(spare)
        await fleet.wait_for_voters(*fleet.others(lost))
        await fleet.propose(b'b')
        await fleet.wait_until_applied(b'a', b'b')

    fleets.run(scenario, fleet)


def test_two_lost_disks_beside_a_restart_of_all_lose_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against acknowledging an entry that only two disks have."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.wait_for_voters(*fleet.slots)
        await fleet.propose(b'a', b'b')
        first = next(
            slot
            for slot, member in fleet.members.items()
            if member.replica.is_leader
        )
        wiped = [first, fleet.others(first)[0]]
        for slot in list(fleet.members):
            await fleet.stop(slot)
        for slot in wiped:
            fleet.format(slot, False)
        await fleet.start()
        await fleet.propose(b'c')
        await fleet.wait_until_applied(b'a', b'b', b'c')
        await fleet.wait_for_voters(*fleet.slots)

    fleets.run(scenario, fleet)


def test_zones_are_told_to_all(tmp_path: pathlib.Path) -> None:
    """Guards against nodes that cannot find the replica in their zone."""
    fleet = SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.wait_for_voters(*fleet.slots)

        def all_zones_known() -> bool:
            return all(
                [voter.zone for voter in directory.replicas] == ['z'] * 5
                for directory in (
                    member.replica.discovery.on_introduce(messages.Introduce())
                    for member in fleet.members.values()
                )
            )

        await fleets.wait_until(all_zones_known)

    fleets.run(scenario, fleet)
