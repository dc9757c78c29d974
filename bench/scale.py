"""Cost of control at a node and spread of a change, over fleet sizes.

Each fleet has three control processes and idle nodes without callers. The
figures are what a node spends on control alone; the slope over the sizes
gives the cost at the size to design for.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import typing

import httpx

from bench import fleet as fleet_module
from godwitstall import clock
from godwitstall import messages

# Goals of the design for one node.
GOAL_CPU_SHARE = 0.013
GOAL_MEMORY_MB = 64.0
GOAL_BYTES_PER_S = 2000.0
# Goal for a change to be in force everywhere, seconds.
GOAL_SPREAD_S = 7.0

_IDLE_S = 10.0
_NODES_PER_SERVICE = 8
_WORKSPACES = 8
_ROUTES = 24
# Nodes whose figures are averaged.
_SAMPLE = 10


def _services(count: int) -> list[fleet_module.ServiceSpec]:
    names = [f'service-{i}' for i in range(-(-count // _NODES_PER_SERVICE))]
    specs = [
        fleet_module.ServiceSpec(name, _NODES_PER_SERVICE) for name in names
    ]
    specs[-1].count = count - _NODES_PER_SERVICE * (len(specs) - 1)
    return specs


def first_note(services: list[str]) -> str:
    """Return a note with some workspaces and routes to the services."""
    return fleet_module.note(
        1,
        [
            fleet_module.Workspace(f'workspace-{i}', 1000.0, 500)
            for i in range(_WORKSPACES)
        ],
        [
            fleet_module.RouteSpec(f'route-{i}', services[i % len(services)])
            for i in range(_ROUTES)
        ],
    )


@dataclasses.dataclass
class _Usage:
    """Counters of one process at one moment."""

    cpu_s: float
    sent: int = 0
    received: int = 0


async def _usage(
    fleet: fleet_module.Fleet, nodes: list[fleet_module.Node]
) -> dict[str, _Usage]:
    found = {}
    for node in nodes:
        session = (await fleet.state(node.admin))['session']
        found[node.node_id] = _Usage(
            fleet.cpu_s(f'node-{node.node_id}'),
            session['bytes_sent'],
            session['bytes_received'],
        )
    for slot in fleet.control:
        found[slot] = _Usage(fleet.cpu_s(slot))
    return found


async def measure(
    folder: pathlib.Path, count: int, changes: int
) -> dict[str, typing.Any]:
    """Return the figures of one fleet of count nodes."""
    services = _services(count)
    async with fleet_module.Fleet(
        folder, services, 3, log_level='WARNING', has_standins=False
    ) as fleet:
        await fleet.apply_note(first_note([spec.name for spec in services]))
        await fleet.wait_number(1)
        await asyncio.sleep(2.0)
        result = await _idle(fleet)
        if changes:
            result |= await _spread(fleet, changes)
        return {'name': 'scale', 'nodes': count} | result


async def _idle(fleet: fleet_module.Fleet) -> dict[str, typing.Any]:
    sample = fleet.nodes[:_SAMPLE]
    before = await _usage(fleet, sample)
    started = clock.now()
    await asyncio.sleep(_IDLE_S)
    after = await _usage(fleet, sample)
    seconds = clock.now() - started
    ids = [node.node_id for node in sample]

    def mean(field: str, names: list[str]) -> float:
        total = sum(
            getattr(after[name], field) - getattr(before[name], field)
            for name in names
        )
        return float(total / len(names) / seconds)

    slots = list(fleet.control)
    leader = max(
        slots, key=lambda slot: after[slot].cpu_s - before[slot].cpu_s
    )
    return {
        'node_cpu_share': round(mean('cpu_s', ids), 5),
        'node_sent_per_s': round(mean('sent', ids), 1),
        'node_received_per_s': round(mean('received', ids), 1),
        'node_memory_mb': round(
            max(fleet.memory_mb(f'node-{name}') for name in ids), 1
        ),
        'control_cpu_share': round(mean('cpu_s', slots), 4),
        'busiest_control_cpu_share': round(mean('cpu_s', [leader]), 4),
        'control_memory_mb': round(max(map(fleet.memory_mb, slots)), 1),
    }


async def _spread(
    fleet: fleet_module.Fleet, changes: int
) -> dict[str, typing.Any]:
    """Return how long accepted changes take to reach the last node."""
    spreads = []
    for number in range(2, changes + 2):
        started = clock.now()
        result = await fleet.apply_note(
            f'number = {number}\n[[changed.workspaces]]\n'
            f"name = 'workspace-0'\nrate = {1000.0 + number}\nburst = 500\n"
        )
        assert result.verdict is messages.NoteVerdict.ACCEPTED, result.detail
        spreads.append(await _last_arrival(fleet, number) - started)
    spreads.sort()
    return {
        'changes': changes,
        'spread_p50_s': round(spreads[len(spreads) // 2], 3),
        'spread_worst_s': round(spreads[-1], 3),
        'goal_spread_s': GOAL_SPREAD_S,
    }


async def _last_arrival(fleet: fleet_module.Fleet, number: int) -> float:
    """Return when the last node had a release note in force."""
    arrivals = []
    async with httpx.AsyncClient() as client:
        waiting = list(fleet.nodes)
        while waiting:
            node = waiting[-1]
            with contextlib.suppress(httpx.HTTPError):
                answer = await client.get(f'http://{node.admin}/state')
                session = answer.json()['session']
                if session['number'] >= number:
                    arrivals.append(session['number_at'])
                    waiting.pop()
                    continue
            await asyncio.sleep(0.02)
    return float(max(arrivals))
