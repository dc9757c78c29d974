"""Latency that the request path adds, as a ratio to a direct call.

Three paths to the same kind of stand-in, measured by turns in one run:
direct, through the node beside it (one process crossed) and through the
entry node and the owner node (two processes crossed).
"""

import dataclasses
import pathlib
import typing

from bench import fleet as fleet_module
from loadtool import runner
from loadtool import scenario

# The goal of the design for calls at a moderate load on one node, ms.
GOAL_ADDED_P99_MS = 0.41

_ROUNDS = 4
_ROUND_S = 3.0
_RATE = 200.0


@dataclasses.dataclass
class _Path:
    """One way to the stand-in, with the latencies of its rounds."""

    name: str
    processes: int
    target: str
    p50_ms: list[float] = dataclasses.field(default_factory=list)
    p99_ms: list[float] = dataclasses.field(default_factory=list)
    good: int = 0
    sent: int = 0


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


async def measure(folder: pathlib.Path) -> dict[str, typing.Any]:
    """Return the added latency of one and of two processes."""
    services = [
        fleet_module.ServiceSpec('stordy', 1, ['service_ms = 0.0']),
        fleet_module.ServiceSpec('siop', 1, ['service_ms = 0.0']),
    ]
    workspace = fleet_module.Workspace('dyffryn', 5000, 2000)
    route = fleet_module.RouteSpec('stock', 'stordy')
    async with fleet_module.Fleet(
        folder, services, 1, ['warmup_s = 0']
    ) as fleet:
        await fleet.apply_note(fleet_module.note(1, [workspace], [route]))
        await fleet.wait_number(1)
        owner, entry = fleet.nodes
        paths = [
            _Path('direct', 0, owner.standin),
            _Path('owner', 1, owner.caller),
            _Path('entry_owner', 2, entry.caller),
        ]
        for _ in range(_ROUNDS):
            for path in paths:
                await _round(path, route, workspace)
    direct = paths[0]
    result: dict[str, typing.Any] = {
        'name': 'latency',
        'rate': _RATE,
        'goal_added_p99_ms': GOAL_ADDED_P99_MS,
    }
    for path in paths:
        p50, p99 = _median(path.p50_ms), _median(path.p99_ms)
        result[path.name] = {
            'processes': path.processes,
            'p50_ms': p50,
            'p99_ms': p99,
            'added_p50_ms': round(p50 - _median(direct.p50_ms), 3),
            'added_p99_ms': round(p99 - _median(direct.p99_ms), 3),
            'ratio_p50': round(p50 / _median(direct.p50_ms), 2),
            'ratio_p99': round(p99 / _median(direct.p99_ms), 2),
            'good': path.good,
            'sent': path.sent,
        }
    return result


async def _round(
    path: _Path,
    route: fleet_module.RouteSpec,
    workspace: fleet_module.Workspace,
) -> None:
    report = await runner.run(
        scenario.Scenario(
            targets=[path.target],
            phases=[scenario.Phase('steady', _ROUND_S)],
            loads=[
                scenario.Load(
                    route.path,
                    [_RATE],
                    workspace.name,
                    workspace.key,
                    arrivals=scenario.Arrivals.EVEN,
                )
            ],
            connections=8,
            # Sleeping would add the time that this machine takes to wake.
            is_spinning=True,
        )
    )
    row = report.to_json()['total']
    path.p50_ms.append(row['latency']['p50_ms'])
    path.p99_ms.append(row['latency']['p99_ms'])
    path.good += row['good']
    path.sent += row['sent']
