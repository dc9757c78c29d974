"""Losses of power of all replicas beside the loss of two disks.

Each run disturbs a fleet of five, and then, right after a command was sent
or acknowledged, wipes the disks of the replicas that the fleet may lose while
all others lose power. Every acknowledged command must be applied by every
replica once and in order, and the fleet must have five voters again.
"""

import asyncio
import contextlib
import enum
import os
import pathlib
import random

import pytest

from godwitstall import errors
from godwitstall import messages
from tests.consensus import disks as disks_module
from tests.consensus import fleet as fleets
from tests.consensus import test_discovery

_SEEDS = 300 if 'GODWITSTALL_SOAK' in os.environ else 4
_SIZE = 5

# Number of replicas whose loss the fleet tolerates.
_TOLERATED_LOSSES = 2

# Latest loss of power after the first command of the last ones was sent,
# seconds.
_MAX_DELAY_S = 0.4

# Latest kill of a process after the first command was sent, seconds.
_MAX_KILL_DELAY_S = 0.02

# Share of the runs that wipe the disks which have the newest entries.
_AIMED_SHARE = 0.7

# Share of the losses of power in which unsynced writes may survive.
_KEEPS_LATER_SHARE = 0.5

# Number of entries between two snapshots; a run has a few snapshots.
_SNAPSHOT_ENTRIES = 16
_MAX_FIRST_COMMANDS = 50


class _Disturbance(enum.Enum):
    """Disturbance before the last loss."""

    NONE = 0
    # One disk is lost, and its replacement is a voter again.
    WIPE_REPLACED = 1
    # One disk is lost just before the last loss, and is one of the two.
    WIPE_RECENT = 2
    # Two replicas lose power and are back.
    POWER_OF_TWO = 3
    # All replicas lose power and are back.
    POWER_OF_ALL = 4
    # The process of a replica is killed and is back.
    KILL = 5
    # The leader is killed and is back.
    KILL_LEADER = 6
    # The disk of a replica refuses writes until it is started again.
    FAULTY_DISK = 7
    # A machine is removed, and another one has taken its vote.
    REPLACED = 8


class _Simulation:
    """A fleet with its acknowledged commands."""

    def __init__(
        self, root: pathlib.Path, seed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.random = random.Random(seed)
        self.disks = disks_module.Disks(
            random.Random(seed + 1), root / 'durable'
        )
        self.disks.install(monkeypatch)
        self.fleet = test_discovery.SeedFleet(
            root, _SIZE, snapshot_entries=_SNAPSHOT_ENTRIES
        )
        self.acknowledged: list[bytes] = []
        self.sent_count = 0
        # Slots whose disks count as lost, and slots of removed machines.
        self.lost: set[messages.SlotId] = set()
        self.removed: list[messages.SlotId] = []
        self.is_power_lost = False

    async def run(self, _: fleets.Fleet) -> None:
        """Disturb the fleet, lose power and disks, and check the state."""
        await self.fleet.start()
        await self.fleet.wait_for_voters(*self.fleet.slots)
        for _number in range(self.random.randint(0, _MAX_FIRST_COMMANDS)):
            await self._propose_until_acknowledged()
        await self._disturb(self.random.choice(list(_Disturbance)))
        proposals = asyncio.create_task(self._propose_repeatedly())
        await asyncio.sleep(0)
        if self.random.random() < 0.5:
            count = len(self.acknowledged)
            await fleets.wait_until(lambda: len(self.acknowledged) > count)
        else:
            await asyncio.sleep(self.random.uniform(0, _MAX_DELAY_S))
        wiped = self._choose_disks()
        images = self._lose_power(*self.fleet.members)
        proposals.cancel()
        await asyncio.gather(proposals, return_exceptions=True)
        await self._restart(images, wiped)
        await self._check()

    async def _propose_repeatedly(self) -> None:
        while True:
            await self._propose_until_acknowledged()

    async def _propose_until_acknowledged(self) -> None:
        """Send a command again until it is acknowledged, as callers do."""
        command = b'%d' % self.sent_count
        self.sent_count += 1
        while True:
            leader = await self.fleet.leader()
            is_applied = command in leader.machine.commands
            if not is_applied:
                with contextlib.suppress(errors.ControlError):
                    await leader.replica.propose(command, 1.0)
                    is_applied = True
            if is_applied and not self.is_power_lost:
                self.acknowledged.append(command)
                return

    async def _disturb(self, disturbance: _Disturbance) -> None:
        slot = self.random.choice(self.fleet.slots)
        match disturbance:
            case _Disturbance.NONE:
                return
            case _Disturbance.WIPE_REPLACED:
                await self._restart_with([slot], [slot])
                await self.fleet.wait_for_voters(*self.fleet.slots)
                return
            case _Disturbance.WIPE_RECENT:
                self.lost.add(slot)
                await self._restart_with([slot], [slot])
            case _Disturbance.POWER_OF_TWO:
                await self._restart_with(
                    self.random.sample(self.fleet.slots, 2), []
                )
            case _Disturbance.POWER_OF_ALL:
                await self._restart_with(self.fleet.slots, [])
            case _Disturbance.KILL:
                await self._kill(slot)
            case _Disturbance.KILL_LEADER:
                await self._kill((await self.fleet.leader()).slot)
            case _Disturbance.FAULTY_DISK:
                await self._fail_disk(slot)
            case _Disturbance.REPLACED:
                await self._replace(slot)
        await asyncio.sleep(self.random.uniform(0, _MAX_DELAY_S))

    async def _kill(self, slot: messages.SlotId) -> None:
        """Kill a process while it writes, and start it again."""
        folder = self.fleet.folder(slot)
        proposals = asyncio.create_task(self._propose_repeatedly())
        await asyncio.sleep(self.random.uniform(0, _MAX_KILL_DELAY_S))
        # What the process has written stays, and its last sync never ends.
        self.disks.faulty_folders.add(folder)
        await self.fleet.stop(slot)
        self.disks.faulty_folders.clear()
        proposals.cancel()
        await asyncio.gather(proposals, return_exceptions=True)
        await self.fleet.start(slot)

    async def _fail_disk(self, slot: messages.SlotId) -> None:
        """Refuse the syncs of a disk, and start its replica again."""
        folder = self.fleet.folder(slot)
        self.disks.faulty_folders.add(folder)
        proposals = asyncio.create_task(self._propose_repeatedly())
        member = self.fleet.members[slot]
        await fleets.wait_until(lambda: member.replica.failure is not None)
        proposals.cancel()
        await asyncio.gather(proposals, return_exceptions=True)
        await self.fleet.stop(slot)
        self.disks.faulty_folders.clear()
        await self.fleet.start(slot)

    async def _replace(self, slot: messages.SlotId) -> None:
        await self.fleet.stop(slot)
        self.removed.append(slot)
        self.fleet.use_seeds(self.fleet.others(slot))
        await self.fleet.start(self.fleet.add_replica('spare'))
        await self.fleet.wait_for_voters(*self.fleet.others(slot))

    def _choose_disks(self) -> list[messages.SlotId]:
        """Return the slots whose disks are wiped."""
        slots = [slot for slot in self.fleet.members if slot not in self.lost]
        self.random.shuffle(slots)
        if self.random.random() < _AIMED_SHARE:
            slots.sort(key=self._durable_index, reverse=True)
        count = _TOLERATED_LOSSES - len(self.lost)
        return [*self.lost, *slots[:count]]

    def _durable_index(self, slot: messages.SlotId) -> tuple[int, bool]:
        replica = self.fleet.members[slot].replica
        return replica.state.log.durable_index, replica.is_leader

    def _lose_power(
        self, *slots: messages.SlotId
    ) -> dict[messages.SlotId, disks_module.Image]:
        """Return what the disks of these replicas contain afterwards."""
        if len(slots) == len(self.fleet.members):
            self.is_power_lost = True
        keeps_later = self.random.random() < _KEEPS_LATER_SHARE
        return {
            slot: self.disks.image(self.fleet.folder(slot), keeps_later)
            for slot in slots
        }

    async def _restart_with(
        self, slots: list[messages.SlotId], wiped: list[messages.SlotId]
    ) -> None:
        await self._restart(self._lose_power(*slots), wiped)

    async def _restart(
        self,
        images: dict[messages.SlotId, disks_module.Image],
        wiped: list[messages.SlotId],
    ) -> None:
        """Restart replicas with these disks, some of them with empty disks."""
        for slot in images:
            await self.fleet.stop(slot)
        for slot, image in images.items():
            folder = self.fleet.folder(slot)
            if slot in wiped:
                self.disks.restore(folder, {})
                self.fleet.format(slot, False)
            else:
                self.disks.restore(folder, image)
        self.is_power_lost = False
        await self.fleet.start(*images)

    async def _check(self) -> None:
        await self._propose_until_acknowledged()
        expected = self.acknowledged
        acknowledged = set(expected)

        def are_applied() -> bool:
            return all(
                [c for c in member.machine.commands if c in acknowledged]
                == expected
                for member in self.fleet.members.values()
            )

        await fleets.wait_until(are_applied)
        await self.fleet.wait_for_voters(*self.fleet.others(*self.removed))


@pytest.mark.parametrize('seed', range(_SEEDS))
def test_acknowledged_commands_survive_the_loss_of_all_power(
    tmp_path: pathlib.Path, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against acknowledged commands that only lost disks had."""
    simulation = _Simulation(tmp_path, seed, monkeypatch)
    try:
        fleets.run(simulation.run, simulation.fleet)
    finally:
        simulation.disks.close()
