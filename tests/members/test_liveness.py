"""Liveness at the leader."""

import typing

import pytest

from godwitstall.members import liveness
from godwitstall.members import registry
from godwitstall import messages

_N = messages.NodeId('n')

# Heartbeats (incarnation, age, time), time of the question, is n silent?
_CASES: list[tuple[str, list[tuple[int, float, float]], float, bool]] = [
    ('whole timeout from the start of the term', [], 103.0, False),
    ('silence', [], 103.1, True),
    ('heard', [(2, 0.0, 102.0)], 104.9, False),
    ('age counts', [(2, 1.0, 102.0)], 104.1, True),
    ('a late older report', [(2, 0, 102.0), (2, 3, 102.1)], 104.9, False),
    ('an older incarnation', [(1, 0.0, 102.0)], 103.1, True),
    ('a newer incarnation not yet joined', [(3, 0.0, 102.0)], 103.1, True),
]


@pytest.mark.parametrize('beats,now,is_silent', [c[1:] for c in _CASES])
def test_silence(beats: typing.Any, now: float, is_silent: bool) -> None:
    """Guards against the expiry of a live node, and of none."""
    members = registry.Registry()
    table = liveness.Liveness(3.0)
    assert table.silent(1.0) == []
    members.members[_N] = messages.Member(node_id=_N, incarnation=2)
    table.start_term(members, 100.0)
    for incarnation, age, time in beats:
        table.heard(_N, incarnation, age, time)
    assert [beat.incarnation for beat in table.silent(now)] == [2] * is_silent


def test_member_that_is_never_heard() -> None:
    """Guards against a member that dies after its Join and stays."""
    members = registry.Registry()
    table = liveness.Liveness(3.0)
    table.start_term(members, 100.0)
    members.members[_N] = messages.Member(node_id=_N, incarnation=2)
    assert table.silent(200.0) == []
    assert len(table.silent(203.1)) == 1
    del members.members[_N]
    assert table.silent(203.2) == [] and not table.last
