"""Calls that fail while control processes and nodes stop, die or freeze.

One workspace calls over three nodes at a seeded random rate below its own.
A refusal for the rate is wrongful when a single bucket that sees all calls
in order would admit the call. Each phase is reported by itself.

Run: python -m bench.control_trial [--seed=7]
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import pathlib
import random
import sys
import tempfile

from absl import flags
import httpx

from bench import fleet as fleet_module
from bench import rate_trial
from godwitstall import clock
from godwitstall import command_line
from loadtool import http_client

_PROGRAM = 'python -m bench.control_trial'
_USAGE = 'Usage: python -m bench.control_trial [--seed=7]'

_FLAGS = command_line.new_flags()
_SEED = flags.DEFINE_integer(
    'seed', 7, 'Seed of the arrivals.', flag_values=_FLAGS
)

_RATE = 300.0
_BURST = 600
# Calls per second of each node, before and after the jump of demand.
_DEMAND = (120.0, 30.0, 30.0)
_DEMAND_AFTER = (30.0, 30.0, 120.0)
_PHASE_S = 6.0
_TIMEOUT_S = 3.0


@dataclasses.dataclass
class _Phase:
    """Counts of one phase."""

    name: str
    calls: int = 0
    wrongful: int = 0
    # Answers other than 200 by error kind, and calls without an answer.
    failures: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class _Load:
    """Open-loop callers of all nodes."""

    def __init__(self, fleet: fleet_module.Fleet, key: str) -> None:
        self.key = key
        self.clients = {
            node.node_id: http_client.Client(node.caller, 512)
            for node in fleet.nodes
        }
        # Nodes that no caller uses now.
        self.absent: set[str] = set()
        self.rng = random.Random(_SEED.value)
        self.bucket = rate_trial.Bucket(_RATE, _BURST, clock.now())
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, phase: _Phase, demand: tuple[float, ...]) -> None:
        """Call for the length of a phase and wait for all answers."""
        await asyncio.gather(
            *(
                self._call_at_rate(phase, name, rate)
                for name, rate in zip(self.clients, demand, strict=True)
                if name not in self.absent
            )
        )
        await asyncio.gather(*self.tasks)

    async def _call_at_rate(
        self, phase: _Phase, name: str, rate: float
    ) -> None:
        at = clock.now()
        end = at + _PHASE_S
        while (at := at + self.rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, at - clock.now()))
            task = asyncio.create_task(self._call(phase, name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _call(self, phase: _Phase, name: str) -> None:
        is_within = self.bucket.try_take(clock.now())
        phase.calls += 1
        try:
            answer = await self.clients[name].request(
                'GET',
                '/siop',
                [('godwitstall-key', self.key)],
                b'',
                _TIMEOUT_S,
            )
        except http_client.CallError as e:
            phase.failures[e.reason] += 1
            return
        if answer.status != 200:
            kind = answer.headers.get('godwitstall-error', 'none')
            phase.failures[kind] += 1
            phase.wrongful += is_within and kind == 'rate_exceeded'

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()


async def _leader(fleet: fleet_module.Fleet) -> str:
    while True:
        for slot, admin in fleet.control_admin.items():
            if fleet.processes[slot].returncode is not None:
                continue
            with contextlib.suppress(httpx.HTTPError):
                state = await fleet.state(admin)
                if state['replica']['holds_lease']:
                    return slot
        await asyncio.sleep(0.05)


async def _run() -> list[_Phase]:
    workspace = fleet_module.Workspace('w', _RATE, _BURST)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.Fleet(
            pathlib.Path(folder),
            [fleet_module.ServiceSpec('siop', 3)],
            node_lines=['warmup_s = 0.0'],
        ) as fleet:
            await fleet.apply_note(
                fleet_module.note(
                    1, [workspace], [fleet_module.RouteSpec('siop', 'siop')]
                )
            )
            await fleet.wait_number(1)
            load = _Load(fleet, workspace.key)
            try:
                return await _phases(fleet, load)
            finally:
                load.close()


async def _phases(fleet: fleet_module.Fleet, load: _Load) -> list[_Phase]:
    phases: list[_Phase] = []

    async def phase(
        name: str,
        demand: tuple[float, ...],
        *works: collections.abc.Coroutine[None, None, None],
    ) -> None:
        phases.append(_Phase(name))
        await asyncio.gather(load.run(phases[-1], demand), *works)

    async def pause(slot: str) -> None:
        fleet.freeze(slot, True)
        await asyncio.sleep(_PHASE_S / 2)
        fleet.freeze(slot, False)

    await phase('steady', _DEMAND)
    await phase('demand jumps', _DEMAND_AFTER)
    slot = await _leader(fleet)
    await phase('leader stops', _DEMAND, fleet.terminate(slot))
    await fleet.spawn(slot)
    slot = await _leader(fleet)
    follower = next(each for each in fleet.control if each != slot)
    await phase('follower stops', _DEMAND, fleet.terminate(follower))
    await fleet.spawn(follower)
    slot = await _leader(fleet)
    await phase('leader is killed', _DEMAND, fleet.kill(slot))
    await fleet.spawn(slot)
    slot = await _leader(fleet)
    await phase('leader is frozen', _DEMAND, pause(slot))
    load.absent.add('siop-3')
    await phase('a node stops', _DEMAND, fleet.terminate('node-siop-3'))
    return phases


def main() -> None:
    """Print one line a phase."""
    command_line.parse(_PROGRAM, _USAGE, _FLAGS, sys.argv)
    for phase in asyncio.run(_run()):
        failed = sum(phase.failures.values())
        print(
            f'{phase.name:18} calls {phase.calls:5} failed {failed:4}'
            f' ({100 * failed / phase.calls:.2f}%)'
            f' wrongful rate refusals {phase.wrongful:4}'
            f' ({100 * phase.wrongful / phase.calls:.2f}%)'
            f' {dict(phase.failures)}'
        )


if __name__ == '__main__':
    main()
