"""Retries by priority and owners whose upstream fails in part.

Load pattern: an upstream fails half of its calls while its health answers say
that all is well.
"""

import random

import pytest

from godwitstall import errors
from godwitstall.limits import retry_budget
from godwitstall import messages
from godwitstall.node import relay
from godwitstall.routing import picker
from godwitstall.routing import view

_CALLS = 1000


def test_low_part_leaves_retries_for_payments() -> None:
    """Guards against retries of lookups that use up those of payments."""
    budget = retry_budget.RetryBudget(0.1, 0.0)
    for _ in range(_CALLS):
        budget.on_call(1.0)
    low = sum(budget.try_retry(1.0, 0.5) for _ in range(_CALLS))
    all_together = low + sum(budget.try_retry(1.0) for _ in range(_CALLS))
    assert (low, all_together) == (50, 100)


def _picker() -> picker.Picker:
    held = view.View()
    found = picker.Picker(held, 'z1', random.Random(3))
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
    held.apply(messages.StateUpdate(1, True, members=members))
    return found


def _chosen(found: picker.Picker, now: float) -> int:
    """Return how many calls of a second go to n0, which fails half of them."""
    fails = random.Random(5)
    count = 0
    for step in range(_CALLS):
        at = now + step / _CALLS
        member = found.pick('siop', set(), at)
        assert member is not None
        is_failed = member.node_id == 'n0' and fails.random() < 0.5
        count += member.node_id == 'n0'
        found.on_outcome(member.node_id, is_failed, at)
    return count


def test_upstream_that_fails_calls_gets_fewer() -> None:
    """Guards against a third of all calls at an upstream that fails them."""
    assert _chosen(_picker(), 0.0) < 0.1 * _CALLS


def test_upstream_that_works_again_gets_its_share() -> None:
    """Guards against a failure that is never forgotten."""
    found = _picker()
    _chosen(found, 0.0)
    chosen = []
    for step in range(_CALLS):
        member = found.pick('siop', set(), 30.0)
        assert member is not None
        chosen.append(member.node_id)
        found.on_outcome(member.node_id, False, 30.0 + step / _CALLS)
    assert chosen.count(messages.NodeId('n0')) > 0.25 * _CALLS


_ANSWERS = {
    errors.ErrorKind.NONE: True,
    errors.ErrorKind.UPSTREAM_SHED: True,
    errors.ErrorKind.UPSTREAM_LOST: True,
    errors.ErrorKind.CHAIN_OVERLOADED: False,
    errors.ErrorKind.OVERLOADED: False,
    errors.ErrorKind.DEADLINE_PASSED: False,
}


@pytest.mark.parametrize('kind', _ANSWERS)
def test_refusals_of_the_owner_say_nothing_of_its_upstream(
    kind: errors.ErrorKind,
) -> None:
    """Guards against calls that avoid an owner which holds chains back."""
    rule = errors.ANSWERS[kind]
    answer = messages.Answer(
        kind=kind, outcome=rule.outcome, status=rule.status
    )
    assert relay.reflects_upstream_health(answer) is _ANSWERS[kind]
    answer.is_final = True
    assert not relay.reflects_upstream_health(answer)
