"""Random faults of up to two replicas at a time, with discovery.

Each round injects a random fault into one or two of five replicas, proposes
commands, and repairs the faults. Every acknowledged command must be applied
by every replica once and in order, and the fleet must have five voters again
before the next round.
"""

import enum
import os
import pathlib
import random

import pytest

from godwitstall import messages
from tests.consensus import fleet as fleets
from tests.consensus import test_discovery

_SEEDS = 40 if 'GODWITSTALL_SOAK' in os.environ else 3
_ROUNDS = 5
_SIZE = 5


class _Fault(enum.Enum):
    """Faults of a replica, until it is repaired."""

    KILL = 0
    # Killed, and restarted with an empty disk at the same address.
    WIPE = 1
    # Exchanges no messages with the other replicas.
    ISOLATE = 2
    # Killed, and replaced by an empty replica at a new address.
    REPLACE = 3
    STOP = 4


class _Simulation:
    """A fleet with its acknowledged commands."""

    def __init__(self, root: pathlib.Path, seed: int) -> None:
        self.random = random.Random(seed)
        self.fleet = test_discovery.SeedFleet(root, _SIZE)
        self.acknowledged: list[bytes] = []
        # Slots of replaced replicas.
        self.replaced: list[messages.SlotId] = []

    async def run(self, fleet: fleets.Fleet) -> None:
        """Run all rounds."""
        await fleet.start()
        await self.fleet.wait_for_voters(*self.fleet.slots)
        for _ in range(_ROUNDS):
            await self._run_round()

    async def _run_round(self) -> None:
        slots = self.fleet.others(*self.replaced)
        failed_slots = self.random.sample(slots, self.random.randint(1, 2))
        faults = {
            slot: self.random.choice(list(_Fault)) for slot in failed_slots
        }
        for slot, fault in faults.items():
            await self._inject(slot, fault)
        healthy_slots = [slot for slot in slots if slot not in faults]
        for _ in range(self.random.randint(1, 3)):
            command = b'%d' % len(self.acknowledged)
            await self.fleet.propose(command, among=tuple(healthy_slots))
            self.acknowledged.append(command)
        for slot, fault in faults.items():
            await self._repair(slot, fault)
        await self.fleet.wait_until_applied(*self.acknowledged)
        await self.fleet.wait_for_voters(*self.fleet.others(*self.replaced))

    async def _inject(self, slot: messages.SlotId, fault: _Fault) -> None:
        match fault:
            case _Fault.ISOLATE:
                self.fleet.isolate(slot)
            case _Fault.STOP:
                await self.fleet.stop(slot, is_planned=True)
            case _:
                await self.fleet.stop(slot)

    async def _repair(self, slot: messages.SlotId, fault: _Fault) -> None:
        match fault:
            case _Fault.ISOLATE:
                self.fleet.blocked_pairs = {
                    pair
                    for pair in self.fleet.blocked_pairs
                    if slot not in pair
                }
            case _Fault.WIPE:
                self.fleet.format(slot, False)
                await self.fleet.start(slot)
            case _Fault.REPLACE:
                self.replaced.append(slot)
                # Settings are written at each start of a replica, and list
                # the replicas that exist then.
                self.fleet.use_seeds(self.fleet.others(*self.replaced))
                spare = self.fleet.add_replica(f's{len(self.replaced)}')
                await self.fleet.start(spare)
            case _:
                await self.fleet.start(slot)


@pytest.mark.parametrize('seed', range(_SEEDS))
def test_acknowledged_commands_survive_two_losses(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Guards against lost voters and disks that vote before they catch up."""
    simulation = _Simulation(tmp_path, seed)
    fleets.run(simulation.run, simulation.fleet)
    assert len(simulation.acknowledged) >= _ROUNDS
