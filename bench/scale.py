"""Measures the control overhead of a node and the propagation of a change.

The fleet has three control processes and idle nodes without callers, so that
the figures show the overhead of control only. The slope over several fleet
sizes gives the overhead at the size that the design targets.
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

# Design goals for one node.
GOAL_CPU_SHARE = 0.013
GOAL_MEMORY_MB = 64.0
GOAL_BYTES_PER_S = 2000.0
# Design goal for the time until a change is in force on all nodes.
GOAL_SPREAD_S = 7.0

_IDLE_TIME_S = 10.0
_NODES_PER_SERVICE = 8
_WORKSPACE_COUNT = 8
_ROUTE_COUNT = 24
# Number of nodes that are measured.
_SAMPLE_SIZE = 10


def _new_services(count: int) -> list[fleet_module.ServiceSpec]:
    names = [f'service-{i}' for i in range(-(-count // _NODES_PER_SERVICE))]
    specs = [
        fleet_module.ServiceSpec(name, _NODES_PER_SERVICE) for name in names
    ]
    specs[-1].count = count - _NODES_PER_SERVICE * (len(specs) - 1)
    return specs


def first_note(services: list[str]) -> str:
    """Return a release note with workspaces and routes to the services."""
    return fleet_module.note_text(
        1,
        [
            fleet_module.Workspace(f'workspace-{i}', 1000.0, 500)
            for i in range(_WORKSPACE_COUNT)
        ],
        [
            fleet_module.RouteSpec(f'route-{i}', services[i % len(services)])
            for i in range(_ROUTE_COUNT)
        ],
    )


@dataclasses.dataclass
class _Usage:
    """Resource counters of one process."""

    cpu_s: float
    bytes_sent: int = 0
    bytes_received: int = 0


async def _read_usage(
    fleet: fleet_module.Fleet, nodes: list[fleet_module.Node]
) -> dict[str, _Usage]:
    usages = {}
    for node in nodes:
        session = (await fleet.fetch_state(node.admin_address))['session']
        usages[node.node_id] = _Usage(
            fleet.cpu_s(f'node-{node.node_id}'),
            session['bytes_sent'],
            session['bytes_received'],
        )
    for slot in fleet.control_addresses:
        usages[slot] = _Usage(fleet.cpu_s(slot))
    return usages


async def measure(
    folder: pathlib.Path, count: int, changes: int
) -> dict[str, typing.Any]:
    """Measure a fleet of count nodes."""
    services = _new_services(count)
    async with fleet_module.Fleet(
        folder, services, 3, log_level='WARNING', has_standins=False
    ) as fleet:
        await fleet.apply_note(first_note([spec.name for spec in services]))
        await fleet.wait_for_note(1)
        await asyncio.sleep(2.0)
        result = await _measure_idle(fleet)
        if changes:
            result |= await _measure_spread(fleet, changes)
        return {'name': 'scale', 'nodes': count} | result


async def _measure_idle(fleet: fleet_module.Fleet) -> dict[str, typing.Any]:
    sample = fleet.nodes[:_SAMPLE_SIZE]
    before = await _read_usage(fleet, sample)
    start = clock.now()
    await asyncio.sleep(_IDLE_TIME_S)
    after = await _read_usage(fleet, sample)
    seconds = clock.now() - start
    node_ids = [node.node_id for node in sample]

    def mean_rate(field: str, names: list[str]) -> float:
        total = sum(
            getattr(after[name], field) - getattr(before[name], field)
            for name in names
        )
        return float(total / len(names) / seconds)

    slots = list(fleet.control_addresses)
    leader = max(
        slots, key=lambda slot: after[slot].cpu_s - before[slot].cpu_s
    )
    return {
        'node_cpu_share': round(mean_rate('cpu_s', node_ids), 5),
        'node_sent_per_s': round(mean_rate('bytes_sent', node_ids), 1),
        'node_received_per_s': round(mean_rate('bytes_received', node_ids), 1),
        'node_memory_mb': round(
            max(fleet.memory_mb(f'node-{name}') for name in node_ids), 1
        ),
        'control_cpu_share': round(mean_rate('cpu_s', slots), 4),
        'busiest_control_cpu_share': round(mean_rate('cpu_s', [leader]), 4),
        'control_memory_mb': round(max(map(fleet.memory_mb, slots)), 1),
    }


async def _measure_spread(
    fleet: fleet_module.Fleet, changes: int
) -> dict[str, typing.Any]:
    """Measure how long a change takes to be in force on all nodes."""
    spreads = []
    for number in range(2, changes + 2):
        start = clock.now()
        result = await fleet.apply_note(
            f'number = {number}\n[[changed.workspaces]]\n'
            f"name = 'workspace-0'\nrate = {1000.0 + number}\nburst = 500\n"
        )
        assert result.verdict is messages.NoteVerdict.ACCEPTED, result.detail
        spreads.append(await _wait_for_spread(fleet, number) - start)
    spreads.sort()
    return {
        'changes': changes,
        'spread_p50_s': round(spreads[len(spreads) // 2], 3),
        'spread_worst_s': round(spreads[-1], 3),
        'goal_spread_s': GOAL_SPREAD_S,
    }


async def _wait_for_spread(fleet: fleet_module.Fleet, number: int) -> float:
    """Return when a release note came into force on the last node."""
    in_force_times = []
    async with httpx.AsyncClient() as client:
        waiting = list(fleet.nodes)
        while waiting:
            node = waiting[-1]
            with contextlib.suppress(httpx.HTTPError):
                response = await client.get(
                    f'http://{node.admin_address}/state'
                )
                session = response.json()['session']
                if session['number'] >= number:
                    in_force_times.append(session['number_at'])
                    waiting.pop()
                    continue
            await asyncio.sleep(0.02)
    return float(max(in_force_times))
