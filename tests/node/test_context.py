"""Time that an upstream takes itself, apart from its onward calls."""

import pytest

from godwitstall import messages
from godwitstall.node import context

# Times of onward calls (begin, end), and the own time at 10 s.
_ONWARD: list[tuple[list[tuple[float, float]], float]] = [
    ([], 10.0),
    ([(1.0, 4.0)], 7.0),
    ([(1.0, 4.0), (5.0, 9.0)], 3.0),
    # Two at a time count once.
    ([(1.0, 6.0), (2.0, 4.0), (5.0, 8.0)], 3.0),
    # Still open at the end.
    ([(4.0, 20.0)], 4.0),
]


def _run(
    onward: list[tuple[float, float]], end: float
) -> tuple[context.Contexts, context.RequestContext]:
    """Return a request started at 0 s, with its onward calls until end."""
    contexts = context.Contexts()
    entry = contexts.open(messages.Call(attempts=5), 60.0, 0.0)
    steps = [(begin, True) for begin, _ in onward]
    steps += [(finish, False) for _, finish in onward]
    for now, is_begin in sorted(steps):
        if now > end:
            continue
        if is_begin:
            entry.start_onward_call(now)
        else:
            entry.end_onward_call(now)
    return contexts, entry


@pytest.mark.parametrize(('onward', 'own_s'), _ONWARD)
def test_own_time(onward: list[tuple[float, float]], own_s: float) -> None:
    """Guards against a limit that shrinks for a slow service further down."""
    _, entry = _run(onward, 10.0)
    assert entry.own_time_s(10.0) == own_s


def test_waiting_for_others_is_no_stall() -> None:
    """Guards against a chain whose services all stop with the deepest."""
    contexts, _ = _run([(1.0, 20.0)], 10.0)
    assert contexts.oldest_pending_since() is None
    contexts, _ = _run([(1.0, 4.0)], 10.0)
    assert contexts.oldest_pending_since() == 4.0
    contexts, _ = _run([], 10.0)
    assert contexts.oldest_pending_since() == 0.0
