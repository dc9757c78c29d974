"""Measures the latency that the request path adds to a direct call.

The result contains the difference and the ratio to the direct call. One run
alternates between three paths to the same stand-in: direct, through the node
beside it (one process) and through the entry node and the owner node (two
processes).
"""

import dataclasses
import pathlib
import typing

from bench import fleet as fleet_module
from loadtool import runner
from loadtool import scenario

# Design goal for calls at a moderate load on one node.
GOAL_ADDED_P99_MS = 0.41

_ROUND_COUNT = 4
_ROUND_S = 3.0
_RATE_PER_S = 200.0


@dataclasses.dataclass
class _Path:
    """One path to the stand-in and the latencies of its rounds."""

    name: str
    process_count: int
    target_address: str
    p50_ms: list[float] = dataclasses.field(default_factory=list)
    p99_ms: list[float] = dataclasses.field(default_factory=list)
    good: int = 0
    sent: int = 0


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


async def measure(folder: pathlib.Path) -> dict[str, typing.Any]:
    """Return the latency that one and two processes add."""
    services = [
        fleet_module.ServiceSpec('stordy', 1, ['service_ms = 0.0']),
        fleet_module.ServiceSpec('siop', 1, ['service_ms = 0.0']),
    ]
    workspace = fleet_module.Workspace('dyffryn', 5000, 2000)
    route = fleet_module.RouteSpec('stock', 'stordy')
    async with fleet_module.Fleet(
        folder, services, 1, ['warmup_s = 0']
    ) as fleet:
        await fleet.apply_note(fleet_module.note_text(1, [workspace], [route]))
        await fleet.wait_for_note(1)
        owner, entry = fleet.nodes
        paths = [
            _Path('direct', 0, owner.standin_address),
            _Path('owner', 1, owner.caller_address),
            _Path('entry_owner', 2, entry.caller_address),
        ]
        for _ in range(_ROUND_COUNT):
            for path in paths:
                await _run_round(path, route, workspace)
    direct = paths[0]
    result: dict[str, typing.Any] = {
        'name': 'latency',
        'rate': _RATE_PER_S,
        'goal_added_p99_ms': GOAL_ADDED_P99_MS,
    }
    for path in paths:
        p50, p99 = _median(path.p50_ms), _median(path.p99_ms)
        result[path.name] = {
            'processes': path.process_count,
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


async def _run_round(
    path: _Path,
    route: fleet_module.RouteSpec,
    workspace: fleet_module.Workspace,
) -> None:
    report = await runner.run(
        scenario.Scenario(
            targets=[path.target_address],
            phases=[scenario.Phase('steady', _ROUND_S)],
            loads=[
                scenario.Load(
                    route.path,
                    [_RATE_PER_S],
                    workspace.name,
                    workspace.key,
                    arrivals=scenario.Arrivals.EVEN,
                )
            ],
            connections=8,
            # Sleeping would add the wake-up latency of this machine.
            is_spinning=True,
        )
    )
    total = report.to_json()['total']
    path.p50_ms.append(total['latency']['p50_ms'])
    path.p99_ms.append(total['latency']['p99_ms'])
    path.good += total['good']
    path.sent += total['sent']
