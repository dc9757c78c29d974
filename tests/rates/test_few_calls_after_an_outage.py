"""Recovery of the ledger in a fleet whose nodes have few calls each.

Each node has less than one expected call in the prefetch interval, so it
requests tokens only when a call waits.
"""

import asyncio

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.rates import allowance as allowances
from godwitstall.rates import local_share

_SHOP = messages.WorkspaceName('shop')


def _allowance(nodes: int) -> allowances.Allowance:
    allowance = allowances.Allowance(1.0, 0.3)
    allowance.share = local_share.LocalShare()
    allowance.share.set_rates({_SHOP: 3.0}, nodes)
    return allowance


async def _serve_requests(allowance: allowances.Allowance) -> None:
    """Reply to the requests like a ledger that has tokens."""
    while True:
        now = clock.now()
        wants = allowance.next_wants(now)
        grants = [messages.Grant(_SHOP, want.wanted) for want in wants]
        allowance.on_reply(now, wants, grants, now)
        await asyncio.sleep(0.01)


def test_ledger_is_used_again_when_it_is_back() -> None:
    """Guards against a node that keeps rejecting calls after an outage.

    The local share of the node is 3 calls in 200 s.
    """

    async def scenario() -> None:
        allowance = _allowance(200)
        assert allowance.share is not None
        allowance.on_lost()
        allowance.share.ledger_lost_at -= 5.0
        server = asyncio.create_task(_serve_requests(allowance))
        for _ in range(4):
            await allowance.take(_SHOP, clock.now() + 1.0)
        assert allowance.share.outage_began_at is None
        server.cancel()

    asyncio.run(scenario())


def test_calls_do_not_wait_for_an_unreachable_ledger() -> None:
    """Guards against calls that all wait for an unreachable ledger."""

    async def scenario() -> None:
        allowance = _allowance(1)
        allowance.wait_s = 3600.0
        allowance.on_lost()
        await allowance.take(_SHOP, clock.now() + 3600.0)
        with pytest.raises(errors.RequestError) as caught:
            await allowance.take(_SHOP, clock.now() + 3600.0)
        assert caught.value.kind is errors.ErrorKind.RATE_EXCEEDED

    asyncio.run(scenario())
