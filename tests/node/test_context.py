"""Time of a request at the upstream, without its onward calls."""

import pytest

from godwitstall import messages
from godwitstall.node.requests import context

# Onward calls (start, end), and the expected own time at 10 s, all in seconds.
_OWN_TIME_CASES: list[tuple[list[tuple[float, float]], float]] = [
    ([], 10.0),
    ([(1.0, 4.0)], 7.0),
    ([(1.0, 4.0), (5.0, 9.0)], 3.0),
    # The time of overlapping calls counts once.
    ([(1.0, 6.0), (2.0, 4.0), (5.0, 8.0)], 3.0),
    # Still running at the end.
    ([(4.0, 20.0)], 4.0),
]


def _run(
    onward_calls: list[tuple[float, float]], end: float
) -> tuple[context.Contexts, context.RequestContext]:
    """Return a request dispatched at 0 s after its onward calls until end."""
    contexts = context.Contexts()
    request = contexts.open(messages.Call(attempts=5), 60.0, 0.0)
    events = [(started_at, True) for started_at, _ in onward_calls]
    events += [(ended_at, False) for _, ended_at in onward_calls]
    for now, is_start in sorted(events):
        if now > end:
            continue
        if is_start:
            request.start_onward_call(now)
        else:
            request.end_onward_call(now)
    return contexts, request


@pytest.mark.parametrize(('onward_calls', 'own_time_s'), _OWN_TIME_CASES)
def test_own_time(
    onward_calls: list[tuple[float, float]], own_time_s: float
) -> None:
    """Guards against a lower limit because another service is slow."""
    _, request = _run(onward_calls, 10.0)
    assert request.own_time_s(10.0) == own_time_s


def test_waiting_for_others_is_no_stall() -> None:
    """Guards against a stall that spreads from a service to its callers."""
    contexts, _ = _run([(1.0, 20.0)], 10.0)
    assert contexts.oldest_pending_since() is None
    contexts, _ = _run([(1.0, 4.0)], 10.0)
    assert contexts.oldest_pending_since() == 4.0
    contexts, _ = _run([], 10.0)
    assert contexts.oldest_pending_since() == 0.0
