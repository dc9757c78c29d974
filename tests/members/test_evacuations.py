"""Orders to evacuate a zone, without a network."""

import pytest

from godwitstall.members import evacuations
from godwitstall import messages

_ZONES = ['z1', 'z2']
_VERDICT = messages.EvacuationVerdict


class _Log:
    """Applies orders at increasing indices."""

    def __init__(self) -> None:
        self.state = evacuations.Evacuations()
        self.index = 0

    def apply(
        self,
        zone: str,
        is_active: bool,
        seen_index: int | None = None,
        member_zones: frozenset[str] = frozenset(),
    ) -> tuple[messages.EvacuationVerdict, bool]:
        seen = self.index if seen_index is None else seen_index
        self.index += 1
        result, is_changed = self.state.apply(
            messages.Evacuate(zone, is_active, 'ann', _ZONES, seen),
            member_zones,
            self.index,
            1000 + self.index,
        )
        return result.verdict, is_changed


def test_order_and_its_end() -> None:
    """Guards against an order that is sent again and refused."""
    log = _Log()
    for is_active in (True, False, True):
        assert log.apply('z1', is_active) == (_VERDICT.ACCEPTED, True)
        assert log.apply('z1', is_active) == (_VERDICT.ACCEPTED, False)
        assert log.state.active_zones() == ['z1'] * is_active
    assert log.state.to_messages() == [
        messages.Evacuation('z1', True, 5, 1005, 'ann')
    ]


@pytest.mark.parametrize('is_active', [True, False])
@pytest.mark.parametrize('zone', ['', 'z3'])
def test_zone_that_does_not_exist(zone: str, is_active: bool) -> None:
    """Guards against a misspelled zone that seems to be evacuated."""
    log = _Log()
    assert log.apply(zone, is_active) == (_VERDICT.INVALID, False)
    result, _ = log.state.apply(
        messages.Evacuate(zone, is_active, 'ann', _ZONES), set(), 2, 0
    )
    assert result.detail == f'There is no zone {zone!r}, only z1, z2.'
    assert not log.state.to_messages()


def test_zone_known_by_a_member_only() -> None:
    """Guards against a refusal of a zone that the settings do not name."""
    log = _Log()
    zones = frozenset(['z3'])
    assert log.apply('z3', True, None, zones) == (_VERDICT.ACCEPTED, True)
    # The members of the zone may all leave meanwhile.
    assert log.apply('z3', True) == (_VERDICT.ACCEPTED, False)
    assert log.apply('z3', False) == (_VERDICT.ACCEPTED, True)


def test_end_without_an_evacuation() -> None:
    """Guards against a refusal of an order that has nothing to change."""
    log = _Log()
    assert log.apply('z2', False) == (_VERDICT.ACCEPTED, False)
    assert not log.state.to_messages()


@pytest.mark.parametrize('is_active', [True, False])
def test_late_copy_of_an_order(is_active: bool) -> None:
    """Guards against a copy that undoes a later order.

    The copy waited in a process that was frozen before it could send it on.
    """
    log = _Log()
    log.apply('z1', not is_active)
    seen = log.index
    log.apply('z1', is_active)
    log.apply('z1', not is_active)
    assert log.apply('z1', is_active, seen) == (_VERDICT.SUPERSEDED, False)
    # Sent again by an operator who still wants it, it is accepted.
    assert log.apply('z1', is_active) == (_VERDICT.ACCEPTED, True)


def test_copy_of_the_order_in_force() -> None:
    """Guards against a refusal of an accepted order by a lagging process."""
    log = _Log()
    log.apply('z1', True)
    assert log.apply('z1', True, 0) == (_VERDICT.ACCEPTED, False)


def test_zones_do_not_accumulate(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against zones that are remembered without a limit."""
    monkeypatch.setattr(evacuations, 'MAX_ZONES', 2)
    log = _Log()
    names = ['a', 'b', 'c']
    zones = frozenset(names)
    for name in names[:2]:
        log.apply(name, True, None, zones)
    assert log.apply('c', True, None, zones) == (_VERDICT.INVALID, False)
    log.apply('b', False)
    assert log.apply('c', True, None, zones) == (_VERDICT.ACCEPTED, True)
    assert log.state.active_zones() == ['a', 'c']
    assert set(log.state.by_zone) == {'a', 'c'}
