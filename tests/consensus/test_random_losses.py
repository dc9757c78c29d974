"""Random losses of two replicas at a time, through discovery and voters.

Each round breaks up to two of five replicas, each in a way of its own, has
commands acknowledged meanwhile, and repairs them. What was acknowledged must
be in every replica, in order and once, and the fleet must have five voters
again before the next round.
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


class _Loss(enum.Enum):
    """Ways in which a replica is lost for a while."""

    KILL = 0
    # Killed, and back with an empty disk at the old address.
    WIPE = 1
    # Hears no other replica, and none hears it.
    CUT = 2
    # Gone for good; an empty one comes at another address.
    REPLACE = 3
    STOP = 4


class _Play:
    """One fleet with the commands that were acknowledged."""

    def __init__(self, root: pathlib.Path, seed: int) -> None:
        self.random = random.Random(seed)
        self.fleet = test_discovery.SeedFleet(root, _SIZE)
        self.acknowledged: list[bytes] = []
        # Replicas that were replaced.
        self.gone: list[messages.SlotId] = []

    async def run(self, fleet: fleets.Fleet) -> None:
        """Play all rounds."""
        await fleet.start()
        await self.fleet.have_voters(*self.fleet.slots)
        for _ in range(_ROUNDS):
            await self._round()

    async def _round(self) -> None:
        slots = self.fleet.others(*self.gone)
        victims = self.random.sample(slots, self.random.randint(1, 2))
        losses = {slot: self.random.choice(list(_Loss)) for slot in victims}
        for slot, loss in losses.items():
            await self._lose(slot, loss)
        sound = [slot for slot in slots if slot not in losses]
        for _ in range(self.random.randint(1, 3)):
            command = b'%d' % len(self.acknowledged)
            await self.fleet.propose(command, among=tuple(sound))
            self.acknowledged.append(command)
        for slot, loss in losses.items():
            await self._repair(slot, loss)
        await self.fleet.agree(*self.acknowledged)
        await self.fleet.have_voters(*self.fleet.others(*self.gone))

    async def _lose(self, slot: messages.SlotId, loss: _Loss) -> None:
        match loss:
            case _Loss.CUT:
                self.fleet.cut(slot)
            case _Loss.STOP:
                await self.fleet.end(slot, planned=True)
            case _:
                await self.fleet.end(slot)

    async def _repair(self, slot: messages.SlotId, loss: _Loss) -> None:
        match loss:
            case _Loss.CUT:
                self.fleet.cuts = {
                    pair for pair in self.fleet.cuts if slot not in pair
                }
            case _Loss.WIPE:
                self.fleet.format(slot, False)
                await self.fleet.start(slot)
            case _Loss.REPLACE:
                self.gone.append(slot)
                # Settings are written at each start and name machines that
                # the operator has then.
                self.fleet.seed_from(self.fleet.others(*self.gone))
                spare = self.fleet.add(f's{len(self.gone)}')
                await self.fleet.start(spare)
            case _:
                await self.fleet.start(slot)


@pytest.mark.parametrize('seed', range(_SEEDS))
def test_acknowledged_commands_survive_two_losses(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Guards against a disk that votes too early and voters that are lost."""
    play = _Play(tmp_path, seed)
    fleets.run(play.run, play.fleet)
    assert len(play.acknowledged) >= _ROUNDS
