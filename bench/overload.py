"""Goodput, recovery and fairness under overload, beside a plain relay.

One chain: siop calls stordy, the deep service that is overloaded; pay goes to
stordy directly with the highest priority. The same run is made with limits
and in pass-through (no limits, naive retries). Three cases: a sweep of the
load, a step to three times for some seconds with clients that resend at
once, and a deep service that slows down five times for some seconds.
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

# Goals of the design.
GOAL_GOODPUT = 0.9
GOAL_RECOVERY_S = 5
GOAL_WORST_SHARE = 0.9

_SLOTS = 4
_SERVICE_MS = 40.0
_UPSTREAMS = 2
# Requests a second that the deep service can run.
CAPACITY = _UPSTREAMS * _SLOTS * 1000 / _SERVICE_MS

_DEADLINE_MS = 1000
_WARM_S = 12.0
_BEFORE_S = 8.0
_TRIGGER_S = 20.0
_AFTER_S = 15.0
_SWEEP_S = 8.0
_SWEEP = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0)

# Share of the load by workspace; a large one sends most.
_SHARES = {'mawr': 0.6, 'canol': 0.2, 'bach': 0.15, 'lleiaf': 0.05}
# Parts of the load of each workspace by route; payments are a tenth.
_PARTS = {'/orders': 0.9, '/pay': 0.1}


@dataclasses.dataclass
class _Case:
    """One run."""

    name: str
    phases: list[scenario.Phase]
    # Load in each phase, as a multiple of the capacity.
    loads: list[float]
    # Phase in which the deep service is five times slower.
    slow_phase: int = -1


_STEP_PHASES = [
    scenario.Phase('warm', _WARM_S),
    scenario.Phase('before', _BEFORE_S),
    scenario.Phase('trigger', _TRIGGER_S),
    scenario.Phase('after', _AFTER_S),
]
CASES = [
    _Case(
        'sweep',
        [scenario.Phase('warm', _WARM_S)]
        + [scenario.Phase(f'x{load}', _SWEEP_S) for load in _SWEEP],
        [0.5, *_SWEEP],
    ),
    _Case('step_3x', _STEP_PHASES, [0.9, 0.9, 3.0, 0.9]),
    _Case('slow_5x', _STEP_PHASES, [0.7, 0.7, 0.7, 0.7], slow_phase=2),
]


def _loads(case: _Case, is_hard: bool) -> list[scenario.Load]:
    found = []
    for workspace, share in _SHARES.items():
        for path, part in _PARTS.items():
            found.append(
                scenario.Load(
                    path,
                    [load * CAPACITY * share * part for load in case.loads],
                    workspace,
                    fleet_module.Workspace(workspace, 1, 1).key,
                    f'{workspace}{path}',
                    deadline_ms=_DEADLINE_MS,
                    policy=scenario.Policy.HARD
                    if is_hard
                    else scenario.Policy.NONE,
                    resends=3 if is_hard else 0,
                )
            )
    return found


async def _slow_down(fleet: fleet_module.Fleet, case: _Case) -> None:
    """Slow the deep service down in the phase that asks for it."""
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
                answer = await client.post(
                    f'http://{node.standin}/_standin/behaviour',
                    json={'slowdown': factor},
                )
                answer.raise_for_status()


async def measure(
    folder: pathlib.Path, case: _Case, is_pass_through: bool
) -> dict[str, typing.Any]:
    """Return the figures of one run."""
    services = [
        fleet_module.ServiceSpec(
            'siop',
            2,
            ['slots = 400', 'service_ms = 2.0', 'connections = 2000'],
            ['/stock'],
        ),
        fleet_module.ServiceSpec(
            'stordy',
            _UPSTREAMS,
            [
                f'slots = {_SLOTS}',
                f'service_ms = {_SERVICE_MS}',
                'max_queue = 2000',
                'connections = 3000',
            ],
        ),
    ]
    lines = ['is_pass_through = true'] if is_pass_through else []
    async with fleet_module.Fleet(folder, services, 3, lines) as fleet:
        await fleet.apply_note(
            fleet_module.note(
                1,
                [
                    fleet_module.Workspace(name, 100_000, 50_000)
                    for name in _SHARES
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
        await fleet.wait_number(1)
        task = asyncio.create_task(_slow_down(fleet, case))
        report = await runner.run(
            scenario.Scenario(
                targets=fleet.callers,
                phases=case.phases,
                loads=_loads(case, case.name != 'sweep'),
                connections=2000,
            )
        )
        await task
    return {
        'name': f'overload_{case.name}',
        'is_pass_through': is_pass_through,
        'capacity': CAPACITY,
    } | _figures(case, report)


def fair_shares(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min fair share of each workspace."""
    shares: dict[str, float] = {}
    left = capacity
    waiting = sorted(demands, key=lambda name: demands[name])
    while waiting:
        name = waiting[0]
        shares[name] = min(demands[name], left / len(waiting))
        left -= shares[name]
        waiting.pop(0)
    return shares


def _rates(
    report: report_module.Report, phase: scenario.Phase, path: str
) -> dict[str, float]:
    """Return good calls a second to one route by workspace."""
    return {
        name: report.total(phase=phase.name, load=f'{name}{path}').good
        / phase.seconds
        for name in _SHARES
    }


def _worst_share(rates: dict[str, float], demand: dict[str, float]) -> float:
    """Return the least part of its fair share that a workspace got.

    The shares are of what this priority got as a whole: a higher priority
    goes first, whichever workspace sends it.
    """
    fair = fair_shares(demand, sum(rates.values()))
    parts = [rates[name] / fair[name] for name in rates if fair[name]]
    return round(min(parts, default=1.0), 3)


def _figures(
    case: _Case, report: report_module.Report
) -> dict[str, typing.Any]:
    rows = {}
    for phase, load in zip(case.phases, case.loads, strict=True):
        row: dict[str, typing.Any] = {'load': load}
        goodput = 0.0
        for path, part in _PARTS.items():
            rates = _rates(report, phase, path)
            demand = {
                name: load * CAPACITY * share * part
                for name, share in _SHARES.items()
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
            'of_capacity': round(goodput / CAPACITY, 3),
            'good': total.good,
            'sent': total.sent,
            'refused': dict(total.refused),
            'failed': dict(total.failed),
        }
        rows[phase.name] = row
    figures: dict[str, typing.Any] = {'phases': rows}
    if case.name != 'sweep':
        figures['recovery_s'] = _recovery(case, report)
    return figures


def _recovery(case: _Case, report: report_module.Report) -> int | None:
    """Return the seconds from the end of the trigger until goodput is back.

    Back means three seconds in a row at 90% of the mean before the trigger;
    None when that never comes.
    """
    goodput = report.goodput
    start = int(case.phases[0].seconds)
    trigger = start + int(case.phases[1].seconds)
    end = trigger + int(case.phases[2].seconds)
    before = sum(goodput[start:trigger]) / (trigger - start)
    last = end + int(case.phases[3].seconds)
    for second in range(end, last - 2):
        if min(goodput[second : second + 3]) >= GOAL_GOODPUT * before:
            return second - end
    return None
