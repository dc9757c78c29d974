"""Measures wrongful rate rejections and fairness of the ledger.

The time is simulated. A rejection is wrongful when a single bucket that sees
all calls would admit the call. The naive baseline gives each node an equal
share of rate and burst.

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
_GRANT_INTERVAL_S = 0.2
# One-way network delay between a node and the leader.
_DELAY_S = 0.002


class Bucket:
    """Token bucket that is not distributed."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at = now

    def try_take(self, now: float) -> bool:
        """Take a token if one is available."""
        tokens = self.tokens + (now - self.updated_at) * self.rate
        self.tokens = min(tokens, self.burst)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclasses.dataclass
class Trial:
    """Demand on the nodes of a fleet, with one jump."""

    name: str
    rate: float
    burst: int
    # Calls per second to each node, before and after the jump.
    demand: list[float]
    demand_after: list[float]
    jump_at_s: float = 10.0
    duration_s: float = 20.0


@dataclasses.dataclass
class Result:
    """Counts of one trial."""

    calls: int = 0
    # Calls that waited for a grant.
    waited: int = 0
    # Rejections by the ledger and by the naive baseline.
    rejected: int = 0
    naive_rejected: int = 0
    # Rejections of calls that the single bucket admits.
    wrongful: int = 0
    naive_wrongful: int = 0
    # Wrongful rejections and calls in the two seconds after the jump.
    jump_wrongful: int = 0
    jump_naive_wrongful: int = 0
    jump_calls: int = 0
    # Calls and admitted calls by node.
    sent: dict[int, int] = dataclasses.field(default_factory=dict)
    admitted: dict[int, int] = dataclasses.field(default_factory=dict)


async def _run(trial: Trial) -> Result:
    rng = random.Random(_SEED)
    node_count = len(trial.demand)
    now = 100.0
    start = now
    result = Result(
        sent=dict.fromkeys(range(node_count), 0),
        admitted=dict.fromkeys(range(node_count), 0),
    )
    leader = ledger.Ledger(1.0)
    workspace = messages.Workspace(_NAME, trial.rate, trial.burst)
    leader.set_workspaces([workspace], now, {_NAME})
    nodes = [allowance.Allowance(1.0, 1e6) for _ in range(node_count)]
    single_bucket = Bucket(trial.rate, trial.burst, now)
    naive_buckets = [
        Bucket(trial.rate / node_count, trial.burst / node_count, now)
        for _ in nodes
    ]
    next_request_at = [now + rng.random() * _GRANT_INTERVAL_S for _ in nodes]
    # (arrival time, node, sent_at, wants, grants); a request has no grants.
    in_flight: list[
        tuple[
            float,
            int,
            float,
            list[messages.Want],
            list[messages.Grant] | None,
        ]
    ] = []
    tasks: dict[asyncio.Task[None], tuple[int, bool, bool]] = {}

    def record(
        node: int, is_within_rate: bool, is_after_jump: bool, is_admitted: bool
    ) -> None:
        if is_admitted:
            result.admitted[node] += 1
            return
        result.rejected += 1
        result.wrongful += is_within_rate
        result.jump_wrongful += is_within_rate and is_after_jump

    with mock.patch.object(clock, 'now', lambda: now):
        while now < start + trial.duration_s:
            now += _TICK_S
            has_jumped = now >= start + trial.jump_at_s
            is_after_jump = has_jumped and now < start + trial.jump_at_s + 2
            demand = trial.demand_after if has_jumped else trial.demand
            for i, node in enumerate(nodes):
                if rng.random() >= demand[i] * _TICK_S:
                    continue
                result.calls += 1
                result.sent[i] += 1
                result.jump_calls += is_after_jump
                is_within_rate = single_bucket.try_take(now)
                if not naive_buckets[i].try_take(now):
                    result.naive_rejected += 1
                    result.naive_wrongful += is_within_rate
                    result.jump_naive_wrongful += (
                        is_within_rate and is_after_jump
                    )
                if node.try_take(_NAME, now):
                    result.admitted[i] += 1
                    continue
                result.waited += 1
                task = asyncio.create_task(node.take(_NAME, now + 1e6))
                tasks[task] = (i, is_within_rate, is_after_jump)
            if tasks:
                await asyncio.sleep(0)
            arrived = [entry for entry in in_flight if entry[0] <= now]
            in_flight = [entry for entry in in_flight if entry[0] > now]
            for _, i, sent_at, wants, grants in arrived:
                if grants is None:
                    grants = leader.grant(f'n{i}', 1, wants, now)
                    in_flight.append(
                        (now + _DELAY_S, i, sent_at, wants, grants)
                    )
                else:
                    nodes[i].on_reply(sent_at, wants, grants, now)
            for i, node in enumerate(nodes):
                if now < next_request_at[i] and not node.needs_grant_now():
                    continue
                if now >= next_request_at[i]:
                    next_request_at[i] = now + _GRANT_INTERVAL_S
                wants = node.next_wants(now)
                if wants:
                    in_flight.append((now + _DELAY_S, i, now, wants, None))
            if tasks:
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            for task in [task for task in tasks if task.done()]:
                record(*tasks.pop(task), task.exception() is None)
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
    """Run all trials and print rejections in percent of the calls."""
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
