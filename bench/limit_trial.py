"""Compares the policies of the concurrency limit on a simulated upstream.

The upstream has fewer workers than announced slots, and a queue of its own.
Requests arrive at random, and a tenth of them take ten times as long. The
owner node queues requests for a bounded time. The time is simulated and the
random numbers have a fixed seed.

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

_WORKER_COUNT = 40
_ANNOUNCED_SLOTS = 400
# Mean service time of the short requests.
_SHORT_SERVICE_S = 0.02
# Requests per second that the workers can serve. The mean service time of all
# requests is 1.9 x _SHORT_SERVICE_S.
_CAPACITY_PER_S = _WORKER_COUNT / (1.9 * _SHORT_SERVICE_S)
# Timeout of a request at the upstream. Later responses do not count as
# goodput.
_TIMEOUT_S = 1.0
_DEADLINE_S = 1.5
_SEED = 7


@dataclasses.dataclass
class Scenario:
    """One disruption of the upstream."""

    name: str
    # Load at a time in seconds, as a share of the capacity.
    load_at: collections.abc.Callable[[float], float]
    # Factor on the service time at a time in seconds.
    slowdown_at: collections.abc.Callable[[float], float]
    # Start and end of the disruption, seconds.
    starts_at_s: float
    ends_at_s: float
    worker_count: int = _WORKER_COUNT
    announced_slots: int = _ANNOUNCED_SLOTS


@dataclasses.dataclass
class Result:
    """Results of one run."""

    # Goodput before, during and after the disruption, as a share of the
    # capacity.
    goodput_before: float
    goodput_during: float
    goodput_after: float
    # Time from the end of the disruption to the first full second with 90% of
    # the goodput before.
    recovery_s: float
    # Mean upstream latency of good responses during the disruption.
    mean_latency_s: float
    # Median and lowest concurrency limit during the run.
    median_limit: int
    lowest_limit: int


def run(
    scenario: Scenario, policy: settings.LimitPolicy, duration_s: float = 60.0
) -> Result:
    """Run one scenario with one policy."""
    rng = random.Random(_SEED)
    limit = concurrency.ConcurrencyLimit.from_config(
        policy, scenario.announced_slots
    )
    queue = fair_queue.FairQueue(1000, 0.5)
    # (time, sequence, kind, dispatch time, service time)
    events: list[tuple[float, int, str, float, float]] = []
    sequence = 0
    good_by_second: collections.Counter[int] = collections.Counter()
    limits: list[int] = []
    latencies: list[float] = []
    upstream_queue: collections.deque[tuple[float, float]] = (
        collections.deque()
    )
    busy_workers = 0
    in_flight = 0

    def schedule(at: float, kind: str, start: float, work_s: float) -> None:
        nonlocal sequence
        sequence += 1
        heapq.heappush(events, (at, sequence, kind, start, work_s))

    def start_work(now: float) -> None:
        nonlocal busy_workers
        while upstream_queue and busy_workers < scenario.worker_count:
            start, work_s = upstream_queue.popleft()
            if now - start >= _TIMEOUT_S:
                continue
            busy_workers += 1
            schedule(now + work_s, 'done', start, work_s)

    def dispatch(now: float) -> None:
        nonlocal in_flight
        while in_flight < limit.limit:
            item = queue.pop(now)
            if item is None:
                return
            in_flight += 1
            mean = _SHORT_SERVICE_S * (10 if rng.random() < 0.1 else 1)
            work_s = mean * rng.uniform(0.5, 1.5) * scenario.slowdown_at(now)
            upstream_queue.append((now, work_s))
            schedule(now + _TIMEOUT_S, 'timeout', now, work_s)
            start_work(now)

    completed_starts: dict[float, bool] = {}
    schedule(0.0, 'arrive', 0.0, 0.0)
    while events:
        now, _, kind, start, _ = heapq.heappop(events)
        if now >= duration_s:
            break
        if kind == 'arrive':
            rate = scenario.load_at(now) * _CAPACITY_PER_S
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
            busy_workers -= 1
            start_work(now)
            if now - start < _TIMEOUT_S:
                limit.on_sample(now - start, in_flight, False, now)
                in_flight -= 1
                good_by_second[int(now)] += 1
                if scenario.starts_at_s <= now < scenario.ends_at_s:
                    latencies.append(now - start)
                completed_starts[start] = True
        elif not completed_starts.pop(start, False):
            limit.on_sample(_TIMEOUT_S, in_flight, True, now)
            in_flight -= 1
        dispatch(now)

    def goodput_share(begin: float, end: float) -> float:
        seconds = range(int(begin), int(end))
        return (
            statistics.mean(good_by_second[s] for s in seconds)
            / _CAPACITY_PER_S
        )

    before = goodput_share(5, scenario.starts_at_s)
    recovery = next(
        (
            s - scenario.ends_at_s
            for s in range(int(scenario.ends_at_s), int(duration_s))
            if good_by_second[s] >= 0.9 * before * _CAPACITY_PER_S
        ),
        float('inf'),
    )
    return Result(
        before,
        goodput_share(scenario.starts_at_s, scenario.ends_at_s),
        goodput_share(scenario.ends_at_s, duration_s),
        recovery,
        statistics.mean(latencies),
        int(statistics.median(limits)),
        min(limits),
    )


def _pulse(low: float, high: float) -> collections.abc.Callable[..., float]:
    """Return a function of time: high from 20 s to 40 s, low otherwise."""
    return lambda now: high if 20 <= now < 40 else low


def _constant(value: float) -> collections.abc.Callable[[float], float]:
    return lambda now: value


SCENARIOS = [
    Scenario('steady 0.8x', _constant(0.8), _constant(1), 20, 40),
    Scenario('five times slower', _constant(0.8), _pulse(1, 5), 20, 40),
    Scenario('three times the load', _pulse(0.8, 2.4), _constant(1), 20, 40),
    Scenario(
        '3x load, true slots',
        _pulse(0.8, 2.4),
        _constant(1),
        20,
        40,
        announced_slots=_WORKER_COUNT,
    ),
    Scenario(
        '5x slower, true slots',
        _constant(0.8),
        _pulse(1, 5),
        20,
        40,
        announced_slots=_WORKER_COUNT,
    ),
]


def main() -> None:
    """Run all scenarios with all policies and print the results."""
    for scenario in SCENARIOS:
        for policy in settings.LimitPolicy:
            result = run(scenario, policy)
            print(
                f'{scenario.name:22} {policy.value:9}'
                f' before {result.goodput_before:.3f}'
                f' during {result.goodput_during:.3f}'
                f' after {result.goodput_after:.3f}'
                f' recovery {result.recovery_s:.0f} s'
                f' latency {result.mean_latency_s:.3f} s'
                f' limit median {result.median_limit}'
                f' lowest {result.lowest_limit}'
            )


if __name__ == '__main__':
    main()
