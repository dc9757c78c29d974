"""Slots of an upstream whose answers are lost.

Load pattern: an upstream with few slots loses a few answers in a hundred,
each of which is waited for a hundred times as long as a request runs.
"""

import heapq
import random

from godwitstall.limits import overdue

_LIMIT = 17
_RUN_S = 0.02
_DEADLINE_S = 2.0


def _waited(own_s: float, route: str = 'r') -> overdue.Waited:
    return overdue.Waited(route, own_s)


class _Upstream:
    """Requests through the slots of one upstream, in simulated time."""

    def __init__(self, lost_share: float, counts_overdue: bool) -> None:
        self.random = random.Random(11)
        self.lost_share = lost_share
        self.counts_overdue = counts_overdue
        self.watch = overdue.OverdueWatch()
        # Start of each request that is waited for, by number.
        self.waited: dict[int, float] = {}
        # Requests that the upstream itself runs.
        self.running = 0
        self.most_running = 0
        self.answered = 0

    def free(self, now: float) -> int:
        held = len(self.waited)
        if self.counts_overdue:
            held -= self.watch.count(
                [_waited(now - start) for start in self.waited.values()],
                _LIMIT,
                now,
            )
        return _LIMIT - held

    def play(self, rate: float, length_s: float) -> None:
        """Offer requests at a rate; those that find no slot are refused."""
        events: list[tuple[float, str, int]] = []
        now = 0.0
        for number in range(int(rate * length_s)):
            now += self.random.expovariate(rate)
            events.append((now, 'asks', number))
        heapq.heapify(events)
        while events:
            now, kind, number = heapq.heappop(events)
            match kind:
                case 'asks':
                    if self.free(now) > 0:
                        self._start(events, now, number)
                case 'ends':
                    self.running -= 1
                case _:
                    start = self.waited.pop(number)
                    if kind == 'answered':
                        self.answered += 1
                        self.watch.on_answer(_waited(now - start), now)

    def _start(
        self, events: list[tuple[float, str, int]], now: float, number: int
    ) -> None:
        self.waited[number] = now
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        end = now + self.random.expovariate(1 / _RUN_S)
        heapq.heappush(events, (end, 'ends', number))
        if self.random.random() < self.lost_share:
            heapq.heappush(events, (now + _DEADLINE_S, 'lost', number))
        else:
            heapq.heappush(events, (end, 'answered', number))


def test_lost_answers_leave_room_for_others() -> None:
    """Guards against an idle upstream whose slots are all waited for."""
    plain = _Upstream(0.03, counts_overdue=False)
    counted = _Upstream(0.03, counts_overdue=True)
    for upstream in (plain, counted):
        upstream.play(rate=400.0, length_s=20.0)
    assert counted.answered > 1.3 * plain.answered
    # The upstream itself never runs more than it may.
    assert counted.most_running <= _LIMIT


def test_calm_upstream_keeps_its_limit() -> None:
    """Guards against more than the limit where nothing is lost."""
    upstream = _Upstream(0.0, counts_overdue=True)
    upstream.play(rate=2000.0, length_s=5.0)
    assert upstream.most_running <= _LIMIT


def test_upstream_that_answers_nothing_gets_no_more() -> None:
    """Guards against work piled on an upstream that is stuck or frozen."""
    watch = overdue.OverdueWatch()
    assert watch.count([_waited(9.0)] * 10, 10, 0.0) == 0
    for step in range(100):
        watch.on_answer(_waited(0.02), step / 100)
    stuck = [_waited(1.0)] * 10
    assert watch.count(stuck, 10, 1.1) == 5
    assert watch.count(stuck, 10, 1.5) == 0


def test_slow_requests_count_as_running() -> None:
    """Guards against an upstream that is slower than it was by a few times."""
    watch = overdue.OverdueWatch()
    for step in range(100):
        watch.on_answer(_waited(0.05), step / 100)
    assert watch.count([_waited(0.3)] * 10, 10, 1.0) == 0
    assert watch.count([_waited(0.3), _waited(0.5)], 10, 1.0) == 1


def test_long_kind_of_request_is_not_taken_for_a_lost_one() -> None:
    """Guards against long requests that are given up beside short ones."""
    watch = overdue.OverdueWatch()
    for step in range(100):
        watch.on_answer(_waited(0.01, 'short'), step / 100)
        watch.on_answer(_waited(0.4, 'long'), step / 100)
    assert watch.is_overdue(_waited(0.5, 'short'), 1.0)
    assert not watch.is_overdue(_waited(2.0, 'long'), 1.0)
    assert not watch.is_overdue(_waited(9.0, 'unknown'), 1.0)
