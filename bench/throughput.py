"""Measures the calls per second that one node relays on one core.

The rate rises in steps, and the stand-in responds without delay. The result is
the highest rate at which at least 99% of the calls are good, and the CPU time
per call.
"""

import dataclasses
import pathlib
import typing

from bench import fleet as fleet_module
from loadtool import runner
from loadtool import scenario

_RATES_PER_S = (200.0, 400.0, 600.0, 800.0, 1000.0, 1200.0, 1400.0)
_STEP_S = 3.0
_MIN_GOOD_SHARE = 0.99


@dataclasses.dataclass
class _Path:
    """One path to the stand-in and the nodes on it."""

    name: str
    target_address: str
    node_ids: list[str]


async def measure(folder: pathlib.Path) -> dict[str, typing.Any]:
    """Return the rate and CPU time for one and two nodes on the path."""
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
        await fleet.apply_note(fleet_module.note_text(1, [workspace], [route]))
        await fleet.wait_for_note(1)
        owner, entry = fleet.nodes
        for path in (
            _Path('owner', owner.caller_address, [owner.node_id]),
            _Path(
                'entry_owner',
                entry.caller_address,
                [entry.node_id, owner.node_id],
            ),
        ):
            result[path.name] = await _find_max_rate(
                fleet, path, route, workspace
            )
    return result


async def _find_max_rate(
    fleet: fleet_module.Fleet,
    path: _Path,
    route: fleet_module.RouteSpec,
    workspace: fleet_module.Workspace,
) -> dict[str, typing.Any]:
    result: dict[str, typing.Any] = {}
    for rate in _RATES_PER_S:
        cpu_before_s = [
            fleet.cpu_s(f'node-{node_id}') for node_id in path.node_ids
        ]
        report = await runner.run(
            scenario.Scenario(
                targets=[path.target_address],
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
        cpu_after_s = [
            fleet.cpu_s(f'node-{node_id}') for node_id in path.node_ids
        ]
        total = report.to_json()['total']
        if total['good'] < total['sent'] * _MIN_GOOD_SHARE:
            break
        result = {
            'calls_per_s': rate,
            'p50_ms': total['latency']['p50_ms'],
            'p99_ms': total['latency']['p99_ms'],
            'cpu_us_per_call': {
                node_id: round((after - before) / total['sent'] * 1e6)
                for node_id, after, before in zip(
                    path.node_ids, cpu_after_s, cpu_before_s, strict=True
                )
            },
        }
    return result
