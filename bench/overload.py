"""Measures goodput, recovery and fairness under overload.

The service siop calls stordy, the backend that is overloaded. The route pay
leads to stordy directly, with the highest priority. Each case runs with limits
and in pass-through mode (no limits, naive retries). The cases are a sweep of
the load, a temporary step to three times the load with clients that resend at
once, and a backend that is temporarily five times slower.
"""

import asyncio
import dataclasses
import pathlib
import typing

import httpx

from bench import fleet as fleet_module
from loadtool import report as report_module
from loadtool import runner
from loadtool import scenario

# Design goals.
GOAL_GOODPUT_SHARE = 0.9
GOAL_RECOVERY_S = 5
GOAL_WORST_SHARE = 0.9

_SLOTS = 4
_SERVICE_MS = 40.0
_UPSTREAM_COUNT = 2
# Requests per second that the backend can run.
CAPACITY_PER_S = _UPSTREAM_COUNT * _SLOTS * 1000 / _SERVICE_MS

_DEADLINE_MS = 1000
_WARMUP_S = 12.0
_BEFORE_S = 8.0
_TRIGGER_S = 20.0
_AFTER_S = 15.0
_SWEEP_S = 8.0
_SWEEP_FACTORS = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0)

# Share of the load by workspace. One workspace sends more than the others
# together.
_WORKSPACE_SHARES = {'mawr': 0.6, 'canol': 0.2, 'bach': 0.15, 'lleiaf': 0.05}
# Share of the load of each workspace by route.
_PATH_SHARES = {'/orders': 0.9, '/pay': 0.1}


@dataclasses.dataclass
class _Case:
    """Load and disruption of one run."""

    name: str
    phases: list[scenario.Phase]
    # Load in each phase, as a multiple of the capacity.
    load_factors: list[float]
    # Index of the phase in which the backend is five times slower, or -1.
    slow_phase: int = -1


_STEP_PHASES = [
    scenario.Phase('warm', _WARMUP_S),
    scenario.Phase('before', _BEFORE_S),
    scenario.Phase('trigger', _TRIGGER_S),
    scenario.Phase('after', _AFTER_S),
]
CASES = [
    _Case(
        'sweep',
        [scenario.Phase('warm', _WARMUP_S)]
        + [scenario.Phase(f'x{load}', _SWEEP_S) for load in _SWEEP_FACTORS],
        [0.5, *_SWEEP_FACTORS],
    ),
    _Case('step_3x', _STEP_PHASES, [0.9, 0.9, 3.0, 0.9]),
    _Case('slow_5x', _STEP_PHASES, [0.7, 0.7, 0.7, 0.7], slow_phase=2),
]


def _new_loads(case: _Case, resends_at_once: bool) -> list[scenario.Load]:
    loads = []
    for workspace, share in _WORKSPACE_SHARES.items():
        for path, path_share in _PATH_SHARES.items():
            loads.append(
                scenario.Load(
                    path,
                    [
                        factor * CAPACITY_PER_S * share * path_share
                        for factor in case.load_factors
                    ],
                    workspace,
                    fleet_module.Workspace(workspace, 1, 1).key,
                    f'{workspace}{path}',
                    deadline_ms=_DEADLINE_MS,
                    policy=scenario.Policy.HARD
                    if resends_at_once
                    else scenario.Policy.NONE,
                    resends=3 if resends_at_once else 0,
                )
            )
    return loads


async def _slow_down(fleet: fleet_module.Fleet, case: _Case) -> None:
    """Slow the backend down during the slow phase, if the case has one."""
    if case.slow_phase < 0:
        return
    phases = case.phases
    await asyncio.sleep(sum(p.seconds for p in phases[: case.slow_phase]))
    await _set_slowdown(fleet, 5.0)
    await asyncio.sleep(phases[case.slow_phase].seconds)
    await _set_slowdown(fleet, 1.0)


async def _set_slowdown(fleet: fleet_module.Fleet, factor: float) -> None:
    async with httpx.AsyncClient() as client:
        for node in fleet.nodes:
            if node.service == 'stordy':
                response = await client.post(
                    f'http://{node.standin_address}/_standin/behaviour',
                    json={'slowdown': factor},
                )
                response.raise_for_status()


async def measure(
    folder: pathlib.Path, case: _Case, is_pass_through: bool
) -> dict[str, typing.Any]:
    """Run one case and return its figures."""
    services = [
        fleet_module.ServiceSpec(
            'siop',
            2,
            ['slots = 400', 'service_ms = 2.0', 'connections = 2000'],
            ['/stock'],
        ),
        fleet_module.ServiceSpec(
            'stordy',
            _UPSTREAM_COUNT,
            [
                f'slots = {_SLOTS}',
                f'service_ms = {_SERVICE_MS}',
                'max_queue = 2000',
                'connections = 3000',
            ],
        ),
    ]
    node_lines = ['is_pass_through = true'] if is_pass_through else []
    async with fleet_module.Fleet(folder, services, 3, node_lines) as fleet:
        await fleet.apply_note(
            fleet_module.note_text(
                1,
                [
                    fleet_module.Workspace(name, 100_000, 50_000)
                    for name in _WORKSPACE_SHARES
                ],
                [
                    fleet_module.RouteSpec(
                        'orders', 'siop', attempts=6, dispatch_attempts=3
                    ),
                    fleet_module.RouteSpec('stock', 'stordy'),
                    fleet_module.RouteSpec(
                        'pay', 'stordy', priority='payment'
                    ),
                ],
            )
        )
        await fleet.wait_for_note(1)
        slowdown_task = asyncio.create_task(_slow_down(fleet, case))
        report = await runner.run(
            scenario.Scenario(
                targets=fleet.caller_addresses,
                phases=case.phases,
                loads=_new_loads(case, case.name != 'sweep'),
                connections=2000,
            )
        )
        await slowdown_task
    return {
        'name': f'overload_{case.name}',
        'is_pass_through': is_pass_through,
        'capacity': CAPACITY_PER_S,
    } | _figures(case, report)


def fair_shares(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min fair share of each workspace."""
    shares: dict[str, float] = {}
    remaining = capacity
    waiting = sorted(demands, key=lambda name: demands[name])
    while waiting:
        name = waiting[0]
        shares[name] = min(demands[name], remaining / len(waiting))
        remaining -= shares[name]
        waiting.pop(0)
    return shares


def _good_rates(
    report: report_module.Report, phase: scenario.Phase, path: str
) -> dict[str, float]:
    """Return good calls per second to one path by workspace."""
    return {
        name: report.total(phase=phase.name, load=f'{name}{path}').good
        / phase.seconds
        for name in _WORKSPACE_SHARES
    }


def _worst_share(rates: dict[str, float], demand: dict[str, float]) -> float:
    """Return the lowest ratio of good calls to the fair share of a workspace.

    The fair shares divide the goodput of this priority only, since a higher
    priority is served first for all workspaces.
    """
    shares = fair_shares(demand, sum(rates.values()))
    ratios = [rates[name] / shares[name] for name in rates if shares[name]]
    return round(min(ratios, default=1.0), 3)


def _figures(
    case: _Case, report: report_module.Report
) -> dict[str, typing.Any]:
    rows = {}
    for phase, factor in zip(case.phases, case.load_factors, strict=True):
        row: dict[str, typing.Any] = {'load': factor}
        goodput = 0.0
        for path, path_share in _PATH_SHARES.items():
            rates = _good_rates(report, phase, path)
            demand = {
                name: factor * CAPACITY_PER_S * share * path_share
                for name, share in _WORKSPACE_SHARES.items()
            }
            goodput += sum(rates.values())
            row[path] = {
                'demand': round(sum(demand.values()), 1),
                'goodput': round(sum(rates.values()), 1),
                'worst_share': _worst_share(rates, demand),
            }
        total = report.total(phase=phase.name)
        row |= {
            'goodput': round(goodput, 1),
            'of_capacity': round(goodput / CAPACITY_PER_S, 3),
            'good': total.good,
            'sent': total.sent,
            'refused': dict(total.refused),
            'failed': dict(total.failed),
        }
        rows[phase.name] = row
    figures: dict[str, typing.Any] = {'phases': rows}
    if case.name != 'sweep':
        figures['recovery_s'] = _recovery_s(case, report)
    return figures


def _recovery_s(case: _Case, report: report_module.Report) -> int | None:
    """Return the seconds from the end of the trigger until goodput recovers.

    Goodput has recovered with the first of three consecutive seconds at 90%
    of the mean before the trigger. Return None if it does not recover.
    """
    goodput = report.goodput
    before_start = int(case.phases[0].seconds)
    trigger_start = before_start + int(case.phases[1].seconds)
    trigger_end = trigger_start + int(case.phases[2].seconds)
    before = sum(goodput[before_start:trigger_start]) / (
        trigger_start - before_start
    )
    after_end = trigger_end + int(case.phases[3].seconds)
    for second in range(trigger_end, after_end - 2):
        if min(goodput[second : second + 3]) >= GOAL_GOODPUT_SHARE * before:
            return second - trigger_end
    return None
