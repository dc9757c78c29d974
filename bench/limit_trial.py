"""Compares the policies of the concurrency limit on a modelled upstream.

The upstream has workers, fewer than the slots it announces, and a queue of
its own. Requests come by chance, a tenth of them of a kind that takes ten
times as long; the owner node queues them with a bounded wait. The time is
simulated and the random numbers have a fixed seed.

Run: python -m bench.limit_trial
"""

import collections
import collections.abc
import dataclasses
import heapq
import random
import statistics

from godwitstall.limits import concurrency
from godwitstall.limits import fair_queue
from godwitstall import messages
from godwitstall import settings

_WORKERS = 40
_ANNOUNCED = 400
_MEAN_S = 0.02
# Requests a second that the workers can do: the mix takes 1.9 x _MEAN_S.
_CAPACITY = _WORKERS / (1.9 * _MEAN_S)
# Time after which the owner gives up on the upstream, seconds. A request
# that is answered later is no goodput.
_TIMEOUT_S = 1.0
_DEADLINE_S = 1.5
_SEED = 7


@dataclasses.dataclass
class Scenario:
    """One disruption of the upstream."""

    name: str
    # Load as a share of the capacity, at a time in seconds.
    load: collections.abc.Callable[[float], float]
    # Factor on the service time, at a time in seconds.
    slowness: collections.abc.Callable[[float], float]
    # Start and end of the slowdown, seconds.
    starts_at: float
    ends_at: float
    # Workers and announced slots.
    workers: int = _WORKERS
    announced: int = _ANNOUNCED


@dataclasses.dataclass
class Result:
    """What one run gave."""

    # Good answers a second, as a share of the capacity: before, during and
    # after the disturbance.
    before: float
    during: float
    after: float
    # Time after the disturbance until a whole second has 90% of before.
    recovery_s: float
    # Mean time at the upstream of good answers in the disturbance, seconds.
    latency_s: float
    # Median and lowest limit during the run.
    median_limit: int
    lowest_limit: int


def run(
    scenario: Scenario, policy: settings.LimitPolicy, length_s: float = 60.0
) -> Result:
    """Run one scenario with one policy."""
    rng = random.Random(_SEED)
    limit = concurrency.ConcurrencyLimit.from_config(
        policy, scenario.announced
    )
    queue = fair_queue.FairQueue(1000, 0.5)
    # (time, number, kind, start, service time)
    events: list[tuple[float, int, str, float, float]] = []
    number = 0
    good: collections.Counter[int] = collections.Counter()
    limits: list[int] = []
    latencies: list[float] = []
    waiting: collections.deque[tuple[float, float]] = collections.deque()
    busy = 0
    in_flight = 0

    def schedule(at: float, kind: str, start: float, work_s: float) -> None:
        nonlocal number
        number += 1
        heapq.heappush(events, (at, number, kind, start, work_s))

    def start_work(now: float) -> None:
        nonlocal busy
        while waiting and busy < scenario.workers:
            start, work_s = waiting.popleft()
            if now - start >= _TIMEOUT_S:
                continue
            busy += 1
            schedule(now + work_s, 'done', start, work_s)

    def dispatch(now: float) -> None:
        nonlocal in_flight
        while in_flight < limit.limit:
            item = queue.pop(now)
            if item is None:
                return
            in_flight += 1
            mean = _MEAN_S * (10 if rng.random() < 0.1 else 1)
            work_s = mean * rng.uniform(0.5, 1.5) * scenario.slowness(now)
            waiting.append((now, work_s))
            schedule(now + _TIMEOUT_S, 'timeout', now, work_s)
            start_work(now)

    open_starts: dict[float, bool] = {}
    schedule(0.0, 'arrive', 0.0, 0.0)
    while events:
        now, _, kind, start, _ = heapq.heappop(events)
        if now >= length_s:
            break
        if kind == 'arrive':
            rate = scenario.load(now) * _CAPACITY
            schedule(now + rng.expovariate(rate), 'arrive', 0.0, 0.0)
            queue.push(
                fair_queue.Item(
                    'w', messages.Priority.NORMAL, now + _DEADLINE_S
                ),
                now,
            )
            queue.expire(now)
            limits.append(limit.limit)
        elif kind == 'done':
            busy -= 1
            start_work(now)
            if now - start < _TIMEOUT_S:
                limit.on_sample(now - start, in_flight, False, now)
                in_flight -= 1
                good[int(now)] += 1
                if scenario.starts_at <= now < scenario.ends_at:
                    latencies.append(now - start)
                open_starts[start] = True
        elif not open_starts.pop(start, False):
            limit.on_sample(_TIMEOUT_S, in_flight, True, now)
            in_flight -= 1
        dispatch(now)

    def share(begin: float, end: float) -> float:
        seconds = range(int(begin), int(end))
        return statistics.mean(good[s] for s in seconds) / _CAPACITY

    before = share(5, scenario.starts_at)
    recovery = next(
        (
            s - scenario.ends_at
            for s in range(int(scenario.ends_at), int(length_s))
            if good[s] >= 0.9 * before * _CAPACITY
        ),
        float('inf'),
    )
    return Result(
        before,
        share(scenario.starts_at, scenario.ends_at),
        share(scenario.ends_at, length_s),
        recovery,
        statistics.mean(latencies),
        int(statistics.median(limits)),
        min(limits),
    )


def _between(low: float, high: float) -> collections.abc.Callable[..., float]:
    """Return a function of time: high from second 20 to 40, low outside."""
    return lambda now: high if 20 <= now < 40 else low


def _always(value: float) -> collections.abc.Callable[[float], float]:
    return lambda now: value


SCENARIOS = [
    Scenario('steady 0.8x', _always(0.8), _always(1), 20, 40),
    Scenario('five times slower', _always(0.8), _between(1, 5), 20, 40),
    Scenario('three times the load', _between(0.8, 2.4), _always(1), 20, 40),
    Scenario(
        '3x load, true slots',
        _between(0.8, 2.4),
        _always(1),
        20,
        40,
        announced=_WORKERS,
    ),
    Scenario(
        '5x slower, true slots',
        _always(0.8),
        _between(1, 5),
        20,
        40,
        announced=_WORKERS,
    ),
]


def main() -> None:
    """Print one line for each scenario and policy."""
    for scenario in SCENARIOS:
        for policy in settings.LimitPolicy:
            result = run(scenario, policy)
            print(
                f'{scenario.name:22} {policy.value:9}'
                f' before {result.before:.3f} during {result.during:.3f}'
                f' after {result.after:.3f}'
                f' recovery {result.recovery_s:.0f} s'
                f' latency {result.latency_s:.3f} s'
                f' limit median {result.median_limit}'
                f' lowest {result.lowest_limit}'
            )


if __name__ == '__main__':
    main()
