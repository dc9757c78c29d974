"""Tests of the liveness table of the leader."""

import typing

import pytest

from godwitstall.members import liveness
from godwitstall.members import registry
from godwitstall import messages

_NODE = messages.NodeId('n')

# Heartbeats (incarnation, age, time), time of the check, whether the node has
# expired.
_CASES: list[tuple[str, list[tuple[int, float, float]], float, bool]] = [
    ('full timeout from the start of the term', [], 103.0, False),
    ('no heartbeat', [], 103.1, True),
    ('heartbeat', [(2, 0.0, 102.0)], 104.9, False),
    ('age is subtracted', [(2, 1.0, 102.0)], 104.1, True),
    ('late older report', [(2, 0, 102.0), (2, 3, 102.1)], 104.9, False),
    ('older incarnation', [(1, 0.0, 102.0)], 103.1, True),
    ('newer incarnation before its Join', [(3, 0.0, 102.0)], 103.1, True),
]


@pytest.mark.parametrize('heartbeats,now,is_silent', [c[1:] for c in _CASES])
def test_silence(heartbeats: typing.Any, now: float, is_silent: bool) -> None:
    """Guards against a live node that expires and a dead one that stays."""
    node_registry = registry.Registry()
    table = liveness.LivenessTable(3.0)
    assert table.timed_out_members(1.0) == []
    node_registry.members[_NODE] = messages.Member(
        node_id=_NODE, incarnation=2
    )
    table.start_term(node_registry, 100.0)
    for incarnation, age_s, time in heartbeats:
        table.record_heartbeat(_NODE, incarnation, age_s, time)
    assert [beat.incarnation for beat in table.timed_out_members(now)] == [
        2
    ] * is_silent


def test_member_that_is_never_heard() -> None:
    """Guards against a member that stays after it died just after its Join."""
    node_registry = registry.Registry()
    table = liveness.LivenessTable(3.0)
    table.start_term(node_registry, 100.0)
    node_registry.members[_NODE] = messages.Member(
        node_id=_NODE, incarnation=2
    )
    assert table.timed_out_members(200.0) == []
    assert len(table.timed_out_members(203.1)) == 1
    del node_registry.members[_NODE]
    assert table.timed_out_members(203.2) == [] and not table.last_heartbeats
