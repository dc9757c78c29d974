"""Calls a second that one node relays on one core, and their cost.

The load rises in steps against a stand-in that answers at once; the figure
is the highest step at which all but one in a hundred calls are good.
"""

import dataclasses
import pathlib
import typing

from bench import fleet as fleet_module
from loadtool import runner
from loadtool import scenario

_STEPS = (200.0, 400.0, 600.0, 800.0, 1000.0, 1200.0, 1400.0)
_STEP_S = 3.0
_GOOD_SHARE = 0.99


@dataclasses.dataclass
class _Path:
    """One way to the stand-in and the nodes that it crosses."""

    name: str
    target: str
    nodes: list[str]


async def measure(folder: pathlib.Path) -> dict[str, typing.Any]:
    """Return rate and processor time for one and two nodes on the path."""
    services = [
        fleet_module.ServiceSpec(
            'stordy', 1, ['service_ms = 0.0', 'slots = 500']
        ),
        fleet_module.ServiceSpec('siop', 1, ['service_ms = 0.0']),
    ]
    workspace = fleet_module.Workspace('dyffryn', 50_000, 25_000)
    route = fleet_module.RouteSpec('stock', 'stordy')
    result: dict[str, typing.Any] = {'name': 'throughput'}
    async with fleet_module.Fleet(
        folder, services, 1, ['warmup_s = 0'], log_level='WARNING'
    ) as fleet:
        await fleet.apply_note(fleet_module.note(1, [workspace], [route]))
        await fleet.wait_number(1)
        owner, entry = fleet.nodes
        for path in (
            _Path('owner', owner.caller, [owner.node_id]),
            _Path('entry_owner', entry.caller, [entry.node_id, owner.node_id]),
        ):
            result[path.name] = await _climb(fleet, path, route, workspace)
    return result


async def _climb(
    fleet: fleet_module.Fleet,
    path: _Path,
    route: fleet_module.RouteSpec,
    workspace: fleet_module.Workspace,
) -> dict[str, typing.Any]:
    best: dict[str, typing.Any] = {}
    for rate in _STEPS:
        before = [fleet.cpu_s(f'node-{node}') for node in path.nodes]
        report = await runner.run(
            scenario.Scenario(
                targets=[path.target],
                phases=[scenario.Phase('step', _STEP_S)],
                loads=[
                    scenario.Load(
                        route.path,
                        [rate],
                        workspace.name,
                        workspace.key,
                        arrivals=scenario.Arrivals.EVEN,
                    )
                ],
                connections=200,
            )
        )
        after = [fleet.cpu_s(f'node-{node}') for node in path.nodes]
        row = report.to_json()['total']
        if row['good'] < row['sent'] * _GOOD_SHARE:
            break
        best = {
            'calls_per_s': rate,
            'p50_ms': row['latency']['p50_ms'],
            'p99_ms': row['latency']['p99_ms'],
            'cpu_us_per_call': {
                node: round((now - then) / row['sent'] * 1e6)
                for node, now, then in zip(
                    path.nodes, after, before, strict=True
                )
            },
        }
    return best
