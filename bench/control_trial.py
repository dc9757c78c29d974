"""Counts failed calls while processes stop, are killed or hang.

One workspace sends calls to three nodes at seeded random times, below its rate
limit. A rejection for the rate is wrongful when a single bucket that sees all
calls in order would admit the call. Each phase is reported separately.

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

_RATE_PER_S = 300.0
_BURST_CALLS = 600
# Calls per second to each node, before and after the jump in demand.
_DEMAND_PER_S = (120.0, 30.0, 30.0)
_DEMAND_AFTER_JUMP_PER_S = (30.0, 30.0, 120.0)
_PHASE_S = 6.0
_TIMEOUT_S = 3.0


@dataclasses.dataclass
class _Phase:
    """Call counts of one phase."""

    name: str
    calls: int = 0
    wrongful_rejections: int = 0
    # Responses other than 200 by error kind, and calls without a response by
    # reason.
    failures: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class _Load:
    """Open-loop load on the nodes."""

    def __init__(self, fleet: fleet_module.Fleet, key: str) -> None:
        self.key = key
        self.clients = {
            node.node_id: http_client.Client(node.caller_address, 512)
            for node in fleet.nodes
        }
        # Nodes that get no calls.
        self.excluded_nodes: set[str] = set()
        self.rng = random.Random(_SEED.value)
        self.bucket = rate_trial.Bucket(_RATE_PER_S, _BURST_CALLS, clock.now())
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, phase: _Phase, demand: tuple[float, ...]) -> None:
        """Send calls for one phase and wait for all responses."""
        await asyncio.gather(
            *(
                self._send_at_rate(phase, node_id, rate)
                for node_id, rate in zip(self.clients, demand, strict=True)
                if node_id not in self.excluded_nodes
            )
        )
        await asyncio.gather(*self.tasks)

    async def _send_at_rate(
        self, phase: _Phase, node_id: str, rate: float
    ) -> None:
        send_at = clock.now()
        end = send_at + _PHASE_S
        while (send_at := send_at + self.rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, send_at - clock.now()))
            task = asyncio.create_task(self._send_call(phase, node_id))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send_call(self, phase: _Phase, node_id: str) -> None:
        is_within_rate = self.bucket.try_take(clock.now())
        phase.calls += 1
        try:
            response = await self.clients[node_id].request(
                'GET',
                '/siop',
                [('godwitstall-key', self.key)],
                b'',
                _TIMEOUT_S,
            )
        except http_client.CallError as e:
            phase.failures[e.reason] += 1
            return
        if response.status != 200:
            kind = response.headers.get('godwitstall-error', 'none')
            phase.failures[kind] += 1
            phase.wrongful_rejections += (
                is_within_rate and kind == 'rate_exceeded'
            )

    def close(self) -> None:
        """Close the connections to all nodes."""
        for client in self.clients.values():
            client.close()


async def _wait_for_leader(fleet: fleet_module.Fleet) -> str:
    while True:
        for slot, admin_address in fleet.control_admin_addresses.items():
            if fleet.processes[slot].returncode is not None:
                continue
            with contextlib.suppress(httpx.HTTPError):
                state = await fleet.fetch_state(admin_address)
                if state['replica']['holds_lease']:
                    return slot
        await asyncio.sleep(0.05)


async def _run() -> list[_Phase]:
    workspace = fleet_module.Workspace('w', _RATE_PER_S, _BURST_CALLS)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.Fleet(
            pathlib.Path(folder),
            [fleet_module.ServiceSpec('siop', 3)],
            node_lines=['warmup_s = 0.0'],
        ) as fleet:
            await fleet.apply_note(
                fleet_module.note_text(
                    1, [workspace], [fleet_module.RouteSpec('siop', 'siop')]
                )
            )
            await fleet.wait_for_note(1)
            load = _Load(fleet, workspace.key)
            try:
                return await _run_phases(fleet, load)
            finally:
                load.close()


async def _run_phases(fleet: fleet_module.Fleet, load: _Load) -> list[_Phase]:
    phases: list[_Phase] = []

    async def run_phase(
        name: str,
        demand: tuple[float, ...],
        *actions: collections.abc.Coroutine[None, None, None],
    ) -> None:
        phases.append(_Phase(name))
        await asyncio.gather(load.run(phases[-1], demand), *actions)

    async def suspend_for_half(slot: str) -> None:
        fleet.set_suspended(slot, True)
        await asyncio.sleep(_PHASE_S / 2)
        fleet.set_suspended(slot, False)

    await run_phase('steady', _DEMAND_PER_S)
    await run_phase('demand jumps', _DEMAND_AFTER_JUMP_PER_S)
    slot = await _wait_for_leader(fleet)
    await run_phase('leader stops', _DEMAND_PER_S, fleet.terminate(slot))
    await fleet.spawn(slot)
    slot = await _wait_for_leader(fleet)
    follower = next(name for name in fleet.control_addresses if name != slot)
    await run_phase('follower stops', _DEMAND_PER_S, fleet.terminate(follower))
    await fleet.spawn(follower)
    slot = await _wait_for_leader(fleet)
    await run_phase('leader is killed', _DEMAND_PER_S, fleet.kill(slot))
    await fleet.spawn(slot)
    slot = await _wait_for_leader(fleet)
    await run_phase('leader is frozen', _DEMAND_PER_S, suspend_for_half(slot))
    load.excluded_nodes.add('siop-3')
    await run_phase(
        'a node stops', _DEMAND_PER_S, fleet.terminate('node-siop-3')
    )
    return phases


def main() -> None:
    """Print one line for each phase."""
    command_line.parse(_PROGRAM, _USAGE, _FLAGS, sys.argv)
    for phase in asyncio.run(_run()):
        failed = sum(phase.failures.values())
        print(
            f'{phase.name:18} calls {phase.calls:5} failed {failed:4}'
            f' ({100 * failed / phase.calls:.2f}%)'
            f' wrongful rate rejections {phase.wrongful_rejections:4}'
            f' ({100 * phase.wrongful_rejections / phase.calls:.2f}%)'
            f' {dict(phase.failures)}'
        )


if __name__ == '__main__':
    main()
