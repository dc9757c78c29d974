"""Ledger and allowance: rejections, waits, fairness and small bursts."""

import asyncio

import pytest

from bench import rate_trial
from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.rates import allowance
from godwitstall.rates import ledger

_NAME = messages.WorkspaceName('w')


def _ledger(rate: float, burst: int) -> ledger.Ledger:
    leader = ledger.Ledger(1.0)
    _configure(leader, rate, burst, 0.0)
    return leader


def _configure(
    leader: ledger.Ledger, rate: float, burst: int, now: float
) -> None:
    workspace = messages.Workspace(_NAME, rate, burst)
    leader.set_workspaces([workspace], now, {_NAME})


def _request_tokens(
    leader: ledger.Ledger, node: str, number: int, count: int, now: float
) -> messages.Grant:
    want = messages.Want(_NAME, 0, count, number, 0, count)
    (grant,) = leader.grant(node, 1, [want], now)
    return grant


def test_smallest_bucket() -> None:
    """Guards against a burst of 1 that is rounded down to no token."""
    leader = _ledger(0.5, 1)
    assert _request_tokens(leader, 'n1', 1, 1, 0.0).tokens == 1
    assert _request_tokens(leader, 'n2', 1, 1, 1.0).retry_after_ms == 2000
    assert _request_tokens(leader, 'n2', 2, 1, 3.0).tokens == 1


@pytest.mark.parametrize(
    'burst,light_min,heavy_min', [(1, 60, 200), (20, 165, 800)]
)
def test_greedy_node_leaves_tokens(
    burst: int, light_min: int, heavy_min: int
) -> None:
    """Guards against a light node that is starved by a heavy node.

    The light node requests 167 tokens. With a burst of 1 no token can be kept
    for it before its first request, and the heavy node waits for the next
    token.
    """
    leader = _ledger(10, burst)
    admitted = {'heavy': 0, 'light': 0}
    for step in range(2000):
        now = step * 0.05
        admitted['heavy'] += _request_tokens(
            leader, 'heavy', step, 20, now
        ).tokens
        # In each grant interval the light node reports its spent tokens; one
        # request in three is for a call.
        if step % 4 == 0:
            count = 1 if step % 12 == 0 else 0
            admitted['light'] += _request_tokens(
                leader, 'light', step, count, now
            ).tokens
    assert admitted['light'] >= light_min
    assert admitted['heavy'] >= heavy_min


def test_workspace_created_again_starts_empty() -> None:
    """Guards against a full bucket after each removal and creation."""
    leader = _ledger(1, 10)
    assert _request_tokens(leader, 'n1', 1, 5, 0.0).tokens == 5
    leader.set_workspaces([], 0.1, set())
    assert _request_tokens(leader, 'n1', 2, 5, 0.2).tokens == 0
    _configure(leader, 1, 10, 0.3)
    assert _request_tokens(leader, 'n1', 3, 5, 0.4).tokens == 0


def test_ledger_forgets_idle_nodes() -> None:
    """Guards against memory use that grows with each node restart."""
    leader = _ledger(1000, 1000)
    for incarnation in range(500):
        want = messages.Want(_NAME, 0, 1, 1, 0, 1)
        leader.grant('n1', incarnation, [want], incarnation * 0.1)
    assert leader.dump(50.0)[_NAME]['active_nodes'] < 30


def _take(
    tokens: allowance.Allowance, deadline_s: float, reply: int | None
) -> errors.RequestError | None:
    """Let one call wait; reply to its request with a number of tokens."""

    async def run() -> None:
        now = clock.now()
        call = asyncio.create_task(tokens.take(_NAME, now + deadline_s))
        await asyncio.sleep(0)
        assert tokens.needs_grant_now()
        wants = tokens.next_wants(now)
        assert wants[0].waiting == 1 and not tokens.next_wants(now)
        if reply is not None:
            grant = messages.Grant(_NAME, reply, 0 if reply else 700)
            tokens.on_reply(now, wants, [grant], now)
        await call

    try:
        asyncio.run(run())
    except errors.RequestError as e:
        return e
    return None


@pytest.mark.parametrize(
    'wait_s,deadline_s,reply,kind,retry_ms',
    [
        (5.0, 9.0, 1, None, 0),
        (5.0, 9.0, 0, errors.ErrorKind.RATE_EXCEEDED, 700),
        (0.01, 9.0, None, errors.ErrorKind.CONTROL_LOST, 1000),
        (5.0, 0.01, None, errors.ErrorKind.DEADLINE_PASSED, 1000),
    ],
)
def test_take(
    wait_s: float,
    deadline_s: float,
    reply: int | None,
    kind: errors.ErrorKind | None,
    retry_ms: int,
) -> None:
    """Guards against a wrong error kind and a call that waits forever."""
    error = _take(allowance.Allowance(1.0, wait_s), deadline_s, reply)
    assert (error.kind if error else None) is kind
    assert (error.retry_after_ms if error else 0) == retry_ms


def test_idle_workspace_returns_its_tokens() -> None:
    """Guards against tokens withheld from others by an idle node."""
    tokens = allowance.Allowance(1.0, 5.0)
    assert _take(tokens, 9.0, 50) is None
    returned = 0
    start = clock.now()
    for step in range(1, 60):
        now = start + step * 0.2
        wants = tokens.next_wants(now)
        returned += sum(want.returned for want in wants)
        if wants:
            tokens.on_reply(now, wants, [messages.Grant(_NAME, 0)], now)
    assert returned == 49
    assert not tokens.next_wants(start + 20) and not tokens.dump(start + 20)


def test_few_wrongful_refusals() -> None:
    """Guards against rejections within the rate when demand jumps."""
    trial = rate_trial.Trial(
        'jump', 400, 200, [180.0] + [20.0] * 9, [20.0] * 9 + [180.0], 3, 6
    )
    result = rate_trial.run(trial)
    assert result.wrongful <= result.calls * 0.001
    assert result.naive_wrongful > result.calls * 0.1


def test_stale_request_is_dropped() -> None:
    """Guards against a stale request that hides outstanding tokens (R4)."""
    leader = _ledger(100, 20)
    assert _request_tokens(leader, 'n1', 2, 10, 0.0).tokens == 10
    stale = messages.Want(_NAME, 0, 1, 1, 0, 1)
    assert leader.grant('n1', 1, [stale], 0.5) == []
    assert leader.dump(0.5)[_NAME]['outstanding'] == 10
    assert leader.dump(0.5)[_NAME]['level'] == 10


def test_leader_changes_within_a_lifetime() -> None:
    """Guards against tokens of several leaders that exceed the burst (R4)."""
    leader = _ledger(20, 20)
    outstanding = _request_tokens(leader, 'n1', 1, 20, 0.0).tokens
    assert outstanding == 10
    for start, node in ((0.0, 'n2'), (0.45, 'n3')):
        leader.start_term(start)
        outstanding += _request_tokens(
            leader, node, 1, 20, start + 0.45
        ).tokens
    assert 10 < outstanding <= 20


def test_reply_after_loss_is_not_used() -> None:
    """Guards against tokens that the next request does not report (R4)."""

    async def run() -> None:
        tokens = allowance.Allowance(1.0, 5.0)
        now = clock.now()
        call = asyncio.create_task(tokens.take(_NAME, now + 9))
        await asyncio.sleep(0)
        first = tokens.next_wants(now)
        tokens.on_lost()
        second = tokens.next_wants(now)
        grants = [messages.Grant(_NAME, 5)]
        tokens.on_reply(now, first, grants, now)
        assert not call.done() and not tokens.try_take(_NAME, now)
        tokens.on_reply(now, second, grants, now)
        await call
        tokens.on_reply(now, second, grants, now)
        assert sum(tokens.try_take(_NAME, now) for _ in range(20)) == 4

    asyncio.run(run())
