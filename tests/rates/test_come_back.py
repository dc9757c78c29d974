"""When refused calls of a workspace are told to come back.

Load pattern: one workspace asks for several times its rate at all nodes.
"""

import heapq
import random

from godwitstall import messages
from godwitstall.rates import ledger as ledger_module

_RATE = 50.0
_NODES = 13
_SHOP = messages.WorkspaceName('shop')


def _ledger() -> ledger_module.Ledger:
    ledger = ledger_module.Ledger(lifetime_s=1.0)
    shop = messages.Workspace(_SHOP, _RATE, int(_RATE))
    ledger.set_workspaces([shop], 0.0, {_SHOP})
    return ledger


def _ask(
    ledger: ledger_module.Ledger, node: int, number: int, now: float
) -> messages.Grant:
    """Ask for a token for one call that waits at a node."""
    want = messages.Want(_SHOP, 0, 1, number, 0, 1)
    return ledger.grant(f'n{node}', 1, [want], now)[0]


def test_refused_calls_of_all_nodes_come_back_one_after_the_other() -> None:
    """Guards against refused calls of many nodes that return together."""
    ledger = _ledger()
    number = 0
    while _ask(ledger, 0, number, 2.0).tokens:
        number += 1
    told = [
        _ask(ledger, node, number + 1, 2.0).retry_after_ms
        for node in range(_NODES)
    ]
    gaps = [b - a for a, b in zip(told, told[1:], strict=False)]
    assert all(abs(gap - 1000 / _RATE) <= 1 for gap in gaps)
    for turn in range(500):
        answer = _ask(ledger, turn % _NODES, number + 2 + turn, 2.0)
        assert answer.retry_after_ms <= 2000


def _refused_again(comes_back_ms: int | None) -> int:
    """Return the refusals of calls that came back, at three times the rate.

    comes_back_ms is a fixed time to come back; None means as told.
    """
    chooser = random.Random(5)
    ledger = _ledger()
    events: list[tuple[float, int, int]] = []
    now = 2.0
    for place in range(int(3 * _RATE * 6)):
        now += chooser.expovariate(3 * _RATE)
        events.append((now, place, 0))
    heapq.heapify(events)
    refused = number = 0
    while events:
        now, place, tries = heapq.heappop(events)
        number += 1
        grant = _ask(ledger, place % _NODES, number, now)
        if grant.tokens or tries == 3:
            continue
        refused += tries > 0
        wait_ms = comes_back_ms or grant.retry_after_ms
        heapq.heappush(events, (now + wait_ms / 1000, place, tries + 1))
    return refused


def test_told_times_lead_to_fewer_refusals_than_the_next_token() -> None:
    """Guards against callers that use up their tries within milliseconds."""
    assert _refused_again(None) < 0.9 * _refused_again(int(1000 / _RATE))
