"""What an entry node remembers of upstreams from their answers."""

import math

from godwitstall import messages
from godwitstall.routing import notices as notices_module

_NODE = messages.NodeId('n1')
_DRAINING = messages.UpstreamState.DRAINING


def _report(
    incarnation: int,
    rate_limit: float | None = math.inf,
    state: messages.UpstreamState = messages.UpstreamState.READY,
) -> messages.LoadReport:
    return messages.LoadReport(0, 0, 1, state, incarnation, rate_limit)


def _added_limit(notices: notices_module.Notices) -> tuple[int, float]:
    call = messages.Call()
    notices.add_limit(_NODE, call)
    return call.limited_incarnation, call.rate_limit


def _member(incarnation: int) -> messages.Member:
    return messages.Member(_NODE, upstream_incarnation=incarnation)


def test_owner_that_does_not_know_a_limit_does_not_end_it() -> None:
    """Guards against a limit lost by a refusal of a restarted owner."""
    notices = notices_module.Notices()
    notices.on_report(_NODE, _report(5, 20.0))
    notices.on_report(_NODE, _report(5, None))
    assert _added_limit(notices) == (5, 20.0)
    notices.on_report(_NODE, _report(5))
    assert _added_limit(notices) == (0, math.inf)


def test_process_that_left_is_remembered_after_its_owner_left() -> None:
    """Guards against a late 'ready' that ends the memory of a leave."""
    notices = notices_module.Notices()
    assert notices.on_report(_NODE, _report(5, state=_DRAINING))
    assert not notices.on_report(_NODE, _report(5))
    assert notices.has_left(_member(5))
    assert notices.has_left(_member(4))
    assert not notices.has_left(_member(6))


def test_memory_is_bounded() -> None:
    """Guards against unbounded memory in a fleet whose nodes change."""
    notices = notices_module.Notices()
    for number in range(notices_module.MAX_REMEMBERED_NODES + 10):
        node_id = messages.NodeId(f'n{number}')
        notices.on_report(node_id, _report(1, 5.0, _DRAINING))
    assert len(notices._left) == notices_module.MAX_REMEMBERED_NODES
    assert len(notices._limits) == notices_module.MAX_REMEMBERED_NODES
