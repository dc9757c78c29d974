"""Choice of owners while zones are evacuated and taken back."""

import collections
import random

import pytest

from godwitstall import clock
from godwitstall import messages
from godwitstall.routing import picker
from godwitstall.routing import view
from godwitstall.routing import zones

_SERVICE = messages.ServiceName('siop')
_ZONES = ('z1', 'z2', 'z3')


def _member(number: int, zone: str) -> messages.Member:
    return messages.Member(
        messages.NodeId(f'{zone}-{number}'),
        1,
        _SERVICE,
        zone,
        state=messages.UpstreamState.READY,
        slots=10,
    )


class _Node:
    """View and picker of a node in z1; each zone has three members."""

    def __init__(self, *evacuations: messages.Evacuation) -> None:
        self.view = view.View()
        self.picker = picker.Picker(self.view, 'z1', random.Random(1))
        self.now = 100.0
        self.view.apply(
            messages.StateUpdate(
                1,
                is_full=True,
                members=[_member(n, z) for z in _ZONES for n in range(3)],
                has_evacuations=True,
                evacuations=list(evacuations),
            )
        )

    def order(self, index: int, **states: bool) -> None:
        """Apply the evacuations of zones, by zone."""
        self.view.apply(
            messages.StateUpdate(
                index,
                has_evacuations=True,
                evacuations=[
                    messages.Evacuation(zone, is_active, index)
                    for zone, is_active in states.items()
                ],
            )
        )

    def shares(self, now: float, count: int = 2000) -> dict[str, float]:
        """Return the shares of the zones in idle picks."""
        picked = collections.Counter(
            member.zone
            for _ in range(count)
            if (member := self.picker.pick(_SERVICE, set(), now))
        )
        return {zone: picked[zone] / count for zone in _ZONES if picked[zone]}


@pytest.fixture(autouse=True)
def _fixed_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clock, 'recent', lambda: 100.0)


def test_no_call_goes_to_an_evacuated_zone() -> None:
    """Guards against calls to an evacuated zone while others have room."""
    node = _Node()
    assert node.shares(100.0) == {'z1': 1.0}
    node.order(2, z1=True)
    assert set(node.shares(100.0)) == {'z2', 'z3'}
    node.order(3, z1=True, z3=True)
    assert node.shares(100.0) == {'z2': 1.0}


def test_all_zones_evacuated() -> None:
    """Guards against a call that is sent since no other zone is left."""
    node = _Node()
    node.order(2, **dict.fromkeys(_ZONES, True))
    assert node.picker.pick(_SERVICE, set(), 100.0) is None
    assert node.view.is_service_evacuated(_SERVICE)
    assert not node.view.is_service_evacuated('gwydd')


def test_member_that_joins_an_evacuated_zone() -> None:
    """Guards against calls to an upstream that joins during an evacuation."""
    node = _Node()
    node.order(2, z1=True, z2=True)
    node.view.apply(messages.StateUpdate(3, members=[_member(9, 'z1')]))
    assert node.shares(100.0) == {'z3': 1.0}


def test_update_of_a_replica_that_is_behind() -> None:
    """Guards against a zone that a lagging replica seems to take back."""
    node = _Node()
    node.order(5, z1=True)
    node.order(4, z1=False)
    assert node.view.is_evacuated('z1')


def test_node_that_starts_during_an_evacuation() -> None:
    """Guards against a first state without the evacuations."""
    node = _Node(messages.Evacuation('z1', True, 1))
    assert set(node.shares(100.0)) == {'z2', 'z3'}


def test_calls_return_gradually() -> None:
    """Guards against cold upstreams that get all calls of a zone at once."""
    node = _Node()
    assert node.view.returned_at('z1') is None
    node.order(2, z1=True)
    node.order(3, z1=False)
    assert node.view.returned_at('z1') == 100.0
    part = [
        node.shares(100.0 + zones.RETURN_S * part).get('z1', 0.0)
        for part in (0.0, 0.25, 0.5, 1.0)
    ]
    assert part[0] == 0.0 and part[3] == 1.0
    assert part[1] == pytest.approx(0.25, abs=0.05)
    assert part[2] == pytest.approx(0.5, abs=0.05)
    node.order(4, z1=True)
    assert node.view.returned_at('z1') is None


def test_return_of_a_zone_that_no_other_can_replace() -> None:
    """Guards against refusals while all zones are taken back."""
    node = _Node()
    node.order(2, **dict.fromkeys(_ZONES, True))
    node.order(3, **dict.fromkeys(_ZONES, False))
    assert node.shares(100.0) == {'z1': 1.0}
    node.order(4, z1=False, z2=True, z3=True)
    others = {messages.NodeId(f'z1-{n}') for n in range(2)}
    picked = node.picker.pick(_SERVICE, others, 100.0)
    assert picked is not None and picked.node_id == 'z1-2'


@pytest.mark.parametrize(
    ('age_ms', 'returned_at'), [(1_000, 100.0), (600_000, None)]
)
def test_node_that_starts_after_an_evacuation(
    age_ms: int, returned_at: float | None
) -> None:
    """Guards against the return of a zone for each node that starts later."""
    ended_ms = clock.wall_ms() - age_ms
    node = _Node(messages.Evacuation('z1', False, 1, ended_ms))
    assert node.view.returned_at('z1') == returned_at
