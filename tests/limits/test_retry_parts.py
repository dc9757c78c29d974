"""Retry budget by priority, and members whose upstream fails some calls.

Load pattern: an upstream fails half of its calls while its health checks
succeed.
"""

import random

import pytest

from godwitstall import errors
from godwitstall.limits import retry_budget
from godwitstall import messages
from godwitstall.node.peers import relay
from godwitstall.routing import picker
from godwitstall.routing import view

_CALLS = 1000


def test_usable_share_leaves_retries_for_payments() -> None:
    """Guards against lookup retries that exhaust the budget of payments."""
    budget = retry_budget.RetryBudget(0.1, 0.0)
    for _ in range(_CALLS):
        budget.on_call(1.0)
    low = sum(budget.try_retry(1.0, 0.5) for _ in range(_CALLS))
    total = low + sum(budget.try_retry(1.0) for _ in range(_CALLS))
    assert (low, total) == (50, 100)


def _picker() -> picker.Picker:
    state = view.View()
    chooser = picker.Picker(state, 'z1', random.Random(3))
    members = [
        messages.Member(
            node_id=messages.NodeId(f'n{number}'),
            service=messages.ServiceName('siop'),
            zone='z1',
            state=messages.UpstreamState.READY,
            slots=10,
        )
        for number in range(3)
    ]
    state.apply(messages.StateUpdate(1, True, members=members))
    return chooser


def _calls_to_failing_member(chooser: picker.Picker, now: float) -> int:
    """Return the number of calls sent to n0 in one second.

    n0 fails half of its calls.
    """
    rng = random.Random(5)
    count = 0
    for step in range(_CALLS):
        sent_at = now + step / _CALLS
        member = chooser.pick('siop', set(), sent_at)
        assert member is not None
        is_failed = member.node_id == 'n0' and rng.random() < 0.5
        count += member.node_id == 'n0'
        chooser.on_outcome(member.node_id, is_failed, sent_at)
    return count


def test_upstream_that_fails_calls_gets_fewer() -> None:
    """Guards against an equal share of calls for a failing upstream."""
    assert _calls_to_failing_member(_picker(), 0.0) < 0.1 * _CALLS


def test_upstream_that_works_again_gets_its_share() -> None:
    """Guards against a failed share that never decays."""
    chooser = _picker()
    _calls_to_failing_member(chooser, 0.0)
    chosen = []
    for step in range(_CALLS):
        member = chooser.pick('siop', set(), 30.0)
        assert member is not None
        chosen.append(member.node_id)
        chooser.on_outcome(member.node_id, False, 30.0 + step / _CALLS)
    assert chosen.count(messages.NodeId('n0')) > 0.25 * _CALLS


_IS_UPSTREAM_OUTCOME = {
    errors.ErrorKind.NONE: True,
    errors.ErrorKind.UPSTREAM_SHED: True,
    errors.ErrorKind.UPSTREAM_LOST: True,
    errors.ErrorKind.CHAIN_OVERLOADED: False,
    errors.ErrorKind.OVERLOADED: False,
    errors.ErrorKind.DEADLINE_PASSED: False,
}


@pytest.mark.parametrize('kind', _IS_UPSTREAM_OUTCOME)
def test_owner_rejections_do_not_count_as_upstream_outcomes(
    kind: errors.ErrorKind,
) -> None:
    """Guards against avoidance of an owner that throttles chains."""
    rule = errors.ANSWERS[kind]
    answer = messages.Answer(
        kind=kind, outcome=rule.outcome, status=rule.status
    )
    assert relay.reflects_upstream_health(answer) is _IS_UPSTREAM_OUTCOME[kind]
    answer.is_final = True
    assert not relay.reflects_upstream_health(answer)
