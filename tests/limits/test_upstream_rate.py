"""The token bucket of an upstream that names a rate limit."""

import math

import hypothesis
from hypothesis import strategies
import pytest

from godwitstall.limits import upstream_rate

_WINDOW_S = 4.0


def _sent_times(
    rate: upstream_rate.UpstreamRate, pauses_s: list[float]
) -> list[float]:
    """Return when requests are sent that are offered after these pauses."""
    now = 0.0
    times = []
    for pause_s in pauses_s:
        now += pause_s
        if rate.may_send(now):
            rate.take(now)
            times.append(now)
    return times


@hypothesis.given(
    limit=strategies.floats(0.0, 300.0),
    pauses_s=strategies.lists(strategies.floats(0.0, 3.0), max_size=300),
)
def test_no_window_exceeds_the_limit(
    limit: float, pauses_s: list[float]
) -> None:
    """Guards against bursts beyond the limit, also after long pauses."""
    rate = upstream_rate.UpstreamRate()
    rate.on_answer(limit, 0.0, 0.0)
    times = _sent_times(rate, pauses_s)
    for start in times:
        count = sum(start <= t < start + _WINDOW_S for t in times)
        assert count <= 1.5 * limit * _WINDOW_S + 5


@pytest.mark.parametrize('limit', [2.0, 24.5, 300.0])
def test_limit_is_used_up(limit: float) -> None:
    """Guards against a bucket that allows less than the upstream accepts."""
    rate = upstream_rate.UpstreamRate()
    rate.on_answer(limit, 0.0, 0.0)
    offered = [1 / (limit * 3)] * round(limit * 3 * 20)
    assert len(_sent_times(rate, offered)) >= 0.95 * limit * 20


def test_limit_of_zero_lets_some_requests_through() -> None:
    """Guards against an upstream that is never asked again."""
    rate = upstream_rate.UpstreamRate()
    rate.on_answer(0.0, 0.0, 0.0)
    assert len(_sent_times(rate, [0.1] * 200)) >= 5


def test_single_answer_without_a_limit_does_not_end_it() -> None:
    """Guards against a burst after one answer that lacks the header."""
    rate = upstream_rate.UpstreamRate()
    rate.on_answer(10.0, 5.0, 5.0)
    rate.on_answer(math.inf, 5.4, 5.4)
    assert rate.limit == 10.0
    rate.on_answer(10.0, 5.5, 5.5)
    rate.on_answer(math.inf, 6.6, 6.6)
    assert math.isinf(rate.limit)


def test_answer_that_began_earlier_changes_nothing() -> None:
    """Guards against a long answer whose headers are out of date."""
    rate = upstream_rate.UpstreamRate()
    rate.on_answer(10.0, 5.0, 5.0)
    rate.on_answer(math.inf, 3.0, 9.0)
    assert rate.limit == 10.0


def test_adopted_limit_yields_to_answers() -> None:
    """Guards against a limit of another node that outlives the upstream's."""
    rate = upstream_rate.UpstreamRate()
    assert not rate.is_known()
    rate.adopt(10.0, 1.0)
    rate.adopt(40.0, 1.1)
    assert rate.limit == 10.0
    assert rate.is_known()
    rate.on_answer(math.inf, 2.5, 2.5)
    assert math.isinf(rate.limit)
    rate.adopt(10.0, 3.0)
    assert math.isinf(rate.limit)


def test_load_at_the_limit_follows_from_the_duration() -> None:
    """Guards against a limited upstream that seems to have all its slots."""
    rate = upstream_rate.UpstreamRate()
    rate.on_end(0.1)
    assert rate.concurrency() is None
    rate.on_answer(30.0, 0.0, 0.0)
    assert rate.concurrency() == 3
    assert rate.max_queued() == 3
