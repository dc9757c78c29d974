"""Wrongful rate refusals and fairness of the ledger, in simulated time.

A call is refused wrongfully when a single bucket that sees all calls would
admit it. The naive way gives each node an equal part of rate and burst.

Run: python -m bench.rate_trial
"""

import asyncio
import dataclasses
import random
from unittest import mock

from godwitstall import clock
from godwitstall import messages
from godwitstall.rates import allowance
from godwitstall.rates import ledger

_NAME = messages.WorkspaceName('w')
_SEED = 11
_TICK_S = 0.002
_INTERVAL_S = 0.2
# One way between a node and the leader, seconds.
_DELAY_S = 0.002


class Bucket:
    """Token bucket that sees all of its calls at once."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.filled_at = now

    def try_take(self, now: float) -> bool:
        """Take a token if there is one."""
        filled = self.level + (now - self.filled_at) * self.rate
        self.level = min(filled, self.burst)
        self.filled_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclasses.dataclass
class Trial:
    """Demand of some nodes; it moves from the first half to the second."""

    name: str
    rate: float
    burst: int
    # Calls per second of each node, and from jump_at on.
    demand: list[float]
    demand_after: list[float]
    jump_at: float = 10.0
    length_s: float = 20.0


@dataclasses.dataclass
class Result:
    """Counts of one trial."""

    calls: int = 0
    waited: int = 0
    # Refused by the ledger, by equal parts, and by one bucket for all.
    refused: int = 0
    naive_refused: int = 0
    # Refused although one bucket for all admits the call.
    wrongful: int = 0
    naive_wrongful: int = 0
    # Wrongful in the two seconds after the jump, and calls then.
    jump_wrongful: int = 0
    jump_naive_wrongful: int = 0
    jump_calls: int = 0
    # Calls and admitted calls of each node.
    sent: dict[int, int] = dataclasses.field(default_factory=dict)
    admitted: dict[int, int] = dataclasses.field(default_factory=dict)


async def _run(trial: Trial) -> Result:
    rng = random.Random(_SEED)
    count = len(trial.demand)
    now = 100.0
    start = now
    result = Result(
        sent=dict.fromkeys(range(count), 0),
        admitted=dict.fromkeys(range(count), 0),
    )
    leader = ledger.Ledger(1.0)
    workspace = messages.Workspace(_NAME, trial.rate, trial.burst)
    leader.set_workspaces([workspace], now, {_NAME})
    nodes = [allowance.Allowance(1.0, 1e6) for _ in range(count)]
    whole = Bucket(trial.rate, trial.burst, now)
    parts = [
        Bucket(trial.rate / count, trial.burst / count, now) for _ in nodes
    ]
    asks_at = [now + rng.random() * _INTERVAL_S for _ in nodes]
    # (time of arrival, node, sent_at, wants, grants)
    under_way: list[
        tuple[
            float,
            int,
            float,
            list[messages.Want],
            list[messages.Grant] | None,
        ]
    ] = []
    tasks: dict[asyncio.Task[None], tuple[int, bool, bool]] = {}

    def settle(node: int, is_due: bool, is_jump: bool, is_ok: bool) -> None:
        if is_ok:
            result.admitted[node] += 1
            return
        result.refused += 1
        result.wrongful += is_due
        result.jump_wrongful += is_due and is_jump

    with mock.patch.object(clock, 'now', lambda: now):
        while now < start + trial.length_s:
            now += _TICK_S
            is_after = now >= start + trial.jump_at
            is_jump = is_after and now < start + trial.jump_at + 2
            demand = trial.demand_after if is_after else trial.demand
            for i, node in enumerate(nodes):
                if rng.random() >= demand[i] * _TICK_S:
                    continue
                result.calls += 1
                result.sent[i] += 1
                result.jump_calls += is_jump
                is_due = whole.try_take(now)
                if not parts[i].try_take(now):
                    result.naive_refused += 1
                    result.naive_wrongful += is_due
                    result.jump_naive_wrongful += is_due and is_jump
                if node.try_take(_NAME, now):
                    result.admitted[i] += 1
                    continue
                result.waited += 1
                task = asyncio.create_task(node.take(_NAME, now + 1e6))
                tasks[task] = (i, is_due, is_jump)
            if tasks:
                await asyncio.sleep(0)
            arrived = [entry for entry in under_way if entry[0] <= now]
            under_way = [entry for entry in under_way if entry[0] > now]
            for _, i, sent_at, wants, grants in arrived:
                if grants is None:
                    grants = leader.grant(f'n{i}', 1, wants, now)
                    under_way.append(
                        (now + _DELAY_S, i, sent_at, wants, grants)
                    )
                else:
                    nodes[i].on_reply(sent_at, wants, grants, now)
            for i, node in enumerate(nodes):
                if now < asks_at[i] and not node.needs_grant_now():
                    continue
                if now >= asks_at[i]:
                    asks_at[i] = now + _INTERVAL_S
                wants = node.next_wants(now)
                if wants:
                    under_way.append((now + _DELAY_S, i, now, wants, None))
            if tasks:
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            for task in [task for task in tasks if task.done()]:
                settle(*tasks.pop(task), task.exception() is None)
        for task in tasks:
            task.cancel()
    return result


def run(trial: Trial) -> Result:
    """Run one trial."""
    return asyncio.run(_run(trial))


_EVEN = [45.0] * 20
_UNEVEN = [450.0] + [450.0 / 19] * 19
_MOVED = [450.0 / 19] * 19 + [450.0]

TRIALS = [
    Trial('even, 90% of the rate', 1000, 500, _EVEN, _EVEN),
    Trial('uneven, 90%, jumps', 1000, 500, _UNEVEN, _MOVED),
    Trial('uneven, 50%, jumps', 2000, 1000, _UNEVEN, _MOVED),
    Trial('burst of a tenth', 1000, 100, _UNEVEN, _MOVED),
    Trial('small', 10, 10, [7.0] + [0.2] * 5, [0.2] * 5 + [7.0]),
    Trial('burst 1', 0.5, 1, [0.2, 0.05], [0.05, 0.2], 200, 400),
    Trial('greedy and light', 100, 50, [500.0, 5.0, 5.0], [500.0, 5.0, 5.0]),
]


def main() -> None:
    """Print one line a trial; refusals in percent of the calls."""
    for trial in TRIALS:
        result = run(trial)
        calls = result.calls / 100
        jump = max(result.jump_calls, 1) / 100
        print(
            f'{trial.name:22} calls {result.calls}'
            f' waited {result.waited / calls:.2f}%'
            f' wrongful {result.wrongful / calls:.2f}%'
            f' (naive {result.naive_wrongful / calls:.2f}%)'
            f' at jump {result.jump_wrongful / jump:.2f}%'
            f' (naive {result.jump_naive_wrongful / jump:.2f}%)'
            f' admitted {sum(result.admitted.values())}'
        )
        if 'greedy' in trial.name:
            print(f'    sent by node: {list(result.sent.values())}')
            print(f'    admitted by node: {list(result.admitted.values())}')


if __name__ == '__main__':
    main()
