"""Chains of calls under overload.

Load pattern: a service that all chains depend on loses half of its capacity,
so that chains fail after most of their work is done.
"""

import heapq
import random

import pytest

from godwitstall.limits import chain_throttle
from godwitstall.limits import fair_queue
from godwitstall import messages

_PAYMENT = messages.Priority.PAYMENT
_NORMAL = messages.Priority.NORMAL


def _item(
    name: str,
    priority: messages.Priority = _NORMAL,
    order: int = 0,
    is_onward: bool = False,
    deadline: float = 100.0,
) -> fair_queue.Item:
    return fair_queue.Item(
        name, priority, deadline, 0.0, name, order, is_onward
    )


def _served_names(*items: fair_queue.Item) -> list[str]:
    queue = fair_queue.FairQueue(100, 10.0)
    for item in items:
        queue.push(item, 0.0)
    served = []
    while (popped := queue.pop(0.0)) is not None:
        served.append(popped.payload)
    return served


def test_onward_calls_go_before_new_chains_of_their_priority() -> None:
    """Guards against new chains that delay running chains."""
    served = _served_names(
        _item('new'),
        _item('onward', is_onward=True),
        _item('new payment', _PAYMENT),
        _item('onward payment', _PAYMENT, is_onward=True),
    )
    assert served == ['onward payment', 'new payment', 'onward', 'new']


def test_rank_of_the_workspace_goes_before_the_priority() -> None:
    """Guards against payments of a lower-ranked workspace served first."""
    served = _served_names(
        _item('second', _PAYMENT, order=1),
        _item('first', _NORMAL, order=0),
        _item('beyond', _PAYMENT, order=50),
    )
    assert served == ['first', 'second', 'beyond']


def test_onward_calls_outwait_a_standing_queue() -> None:
    """Guards against running chains that are shed by a standing queue."""
    queue = fair_queue.FairQueue(100, 0.5)
    onward = [_item('w', is_onward=True, deadline=3.0) for _ in range(5)]
    new = [_item('w', deadline=3.0) for _ in range(5)]
    for item in onward + new:
        queue.push(item, 0.0)
    expired = queue.expire(2.0)
    assert not set(map(id, expired)) & set(map(id, onward))
    assert set(map(id, expired)) == set(map(id, new))
    assert len(queue.expire(3.1)) == len(onward)


class _DeepService:
    """Serves a limited number of chains in each 0.1 s; the others fail."""

    def __init__(self, throttle: chain_throttle.ChainThrottle | None) -> None:
        self.throttle = throttle
        self.random = random.Random(7)
        self.admitted = 0
        self.served = 0

    def run(
        self,
        starts_at: float,
        ends_at: float,
        chains_per_s: int,
        capacity: int,
    ) -> None:
        """Send chains to the service; capacity is in chains per second."""
        self.admitted = self.served = 0
        for tick in range(int(starts_at * 10), int(ends_at * 10)):
            now = tick / 10
            admitted = sum(
                self._is_admitted(now) for _ in range(chains_per_s // 10)
            )
            # All chains compete for the same capacity, so under overload the
            # calls of each chain are served only in part.
            served = min(admitted, capacity // 10)
            if admitted > capacity // 10:
                served = int(served * (capacity / 10 / admitted))
            for index in range(admitted):
                if self.throttle is not None:
                    self.throttle.on_end('r', index < served, now)
            self.admitted += admitted
            self.served += served

    def _is_admitted(self, now: float) -> bool:
        if self.throttle is None:
            return True
        return self.throttle.admits('r', self.random.random(), now)


def test_throttle_serves_more_than_no_throttle() -> None:
    """Guards against an overload in which all chains fail half way."""
    throttled = _DeepService(chain_throttle.ChainThrottle())
    unthrottled = _DeepService(None)
    for service in (throttled, unthrottled):
        service.run(0.0, 5.0, chains_per_s=200, capacity=200)
        service.run(5.0, 15.0, chains_per_s=200, capacity=100)
    assert throttled.served > 1.15 * unthrottled.served
    assert throttled.admitted < 0.9 * unthrottled.admitted


def test_throttle_admits_all_chains_soon_after_the_overload() -> None:
    """Guards against an overload that persists after its cause is gone.

    The design goal is nine tenths of the goodput within 5 s.
    """
    service = _DeepService(chain_throttle.ChainThrottle())
    service.run(0.0, 5.0, chains_per_s=200, capacity=200)
    service.run(5.0, 15.0, chains_per_s=200, capacity=20)
    service.run(15.0, 20.0, chains_per_s=200, capacity=200)
    service.run(20.0, 22.0, chains_per_s=200, capacity=200)
    assert service.served >= 0.9 * 2 * 200


def _admitted_shares(
    seed: int, rate: float, chain_s: float, ends_at: float
) -> list[float]:
    """Return the admitted share of the arrivals in each half second.

    The half seconds start 0.5 s after ends_at. All chains from 2 s until
    ends_at fail. A chain takes about chain_s seconds, and a rejected chain is
    retried up to twice, about half a second later each time.
    """
    rng = random.Random(seed)
    throttle = chain_throttle.ChainThrottle()
    # (time, number, kind, retries); the number makes entries distinct.
    events: list[tuple[float, int, str, int]] = []
    now = 0.0
    while now < ends_at + 8:
        now += rng.expovariate(rate)
        events.append((now, len(events), 'arrival', 0))
    heapq.heapify(events)
    admitted: dict[int, int] = {}
    arrivals: dict[int, int] = {}
    number = len(events)
    while events:
        now, _, kind, retries = heapq.heappop(events)
        number += 1
        index = int((now - ends_at) * 2)
        if kind != 'arrival':
            throttle.on_end('r', kind == 'success', now)
            continue
        arrivals[index] = arrivals.get(index, 0) + (retries == 0)
        if throttle.admits('r', rng.random(), now):
            admitted[index] = admitted.get(index, 0) + 1
            outcome = 'failure' if 2 <= now < ends_at else 'success'
            event_at = now + chain_s * rng.uniform(0.5, 1.5)
            heapq.heappush(events, (event_at, number, outcome, 0))
        elif retries < 2:
            event_at = now + rng.uniform(0.25, 0.75)
            heapq.heappush(events, (event_at, number, 'arrival', retries + 1))
    return [
        admitted.get(i, 0) / arrivals[i] for i in range(1, 15) if i in arrivals
    ]


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize(
    'rate,chain_s', [(25.0, 0.5), (100.0, 0.5), (25.0, 1.5), (100.0, 1.5)]
)
def test_chains_are_admitted_again_after_recovery(
    seed: int, rate: float, chain_s: float
) -> None:
    """Guards against rejections long after the cause is gone.

    Load pattern: a service at the end of all chains fails every call for six
    seconds and then recovers, while rejected callers retry. The design goal is
    nine tenths within 5 s.
    """
    shares = _admitted_shares(seed, rate, chain_s, ends_at=8.0)
    # Pairs of half seconds, because a single one has few chains.
    pairs = [(a + b) / 2 for a, b in zip(shares, shares[1:], strict=False)]
    assert max(pairs[:8]) >= 0.9


def test_throttle_without_failures_admits_all_chains() -> None:
    """Guards against rejections without an overload."""
    throttle = chain_throttle.ChainThrottle()
    for tick in range(500):
        assert throttle.admits('r', 0.999, tick / 100)
        throttle.on_end('r', True, tick / 100)


def test_routes_are_throttled_by_their_own_failures_only() -> None:
    """Guards against one failing route that throttles the others."""
    throttle = chain_throttle.ChainThrottle()
    for tick in range(200):
        throttle.admits('bad', 0.999, tick / 100)
        throttle.on_end('bad', False, tick / 100)
    assert not throttle.admits('bad', 0.999, 2.0)
    assert throttle.admits('good', 0.999, 2.0)
