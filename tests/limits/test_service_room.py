"""Marks of a service by level.

Load: a service with 10 slots and requests that hold one for 0.1 s, so that 100
requests per second fill it.
"""

import math

import pytest

from godwitstall.limits import service_room
from godwitstall import messages

_HELD_S = 0.1
_SLOTS = 10
# Requests per second that fill the share of the slots that is used.
_FILLING_RATE = 95.0


def _mark_at(
    rates: dict[int, float], admitted_share: float = 1.0
) -> tuple[float, service_room.RoomMeter]:
    """Return the mark after 10 s in which levels demand rates per second.

    Of each level only admitted_share arrives.
    """
    meter = service_room.RoomMeter()
    meter.on_end('r', _HELD_S)
    now = 0.0
    while now < 10:
        now += 0.001
        for level, rate in rates.items():
            # Evenly spaced arrivals, so that the result has no noise.
            before = math.floor((now - 0.001) * rate * admitted_share)
            if math.floor(now * rate * admitted_share) > before:
                meter.on_arrival('r', level, admitted_share, now)
    return meter.mark(_SLOTS, now), meter


def test_every_level_is_admitted_while_there_is_room() -> None:
    """Guards against refusals by a service that is not full."""
    mark, _ = _mark_at({0: 20, 1: 40, 2: 20})
    assert mark == service_room.LEVEL_COUNT


def test_the_last_level_gets_what_the_others_leave() -> None:
    """Guards against a shortage that reaches levels before the last."""
    mark, _ = _mark_at({0: 30, 1: 30, 2: 60})
    shares = [
        service_room.share_of_fraction(fraction)
        for fraction in service_room.fractions(mark)
    ]
    assert shares[:2] == [1, 1]
    assert 30 + 30 + shares[2] * 60 == pytest.approx(_FILLING_RATE, rel=0.03)


@pytest.mark.parametrize('admitted_share', [0.8, 0.5, 0.2])
def test_the_mark_does_not_depend_on_what_is_refused(
    admitted_share: float,
) -> None:
    """Guards against a mark that rises because it had been low before.

    Such a mark swings between admitting everything and nothing.
    """
    expected, _ = _mark_at({1: 40, 2: 100})
    mark, _ = _mark_at({1: 40, 2: 100}, admitted_share)
    assert mark == pytest.approx(expected, abs=0.06)


def test_a_level_without_room_keeps_the_smallest_share() -> None:
    """Guards against a level that is never admitted and never measured."""
    mark, _ = _mark_at({0: 200, 2: 20})
    shares = [
        service_room.share_of_fraction(fraction)
        for fraction in service_room.fractions(mark)
    ]
    assert 0.4 < shares[0] < 0.5
    assert shares[2] == service_room.MIN_SHARE


def test_a_share_out_of_range_has_a_bounded_weight() -> None:
    """Guards against one call with a wrong share that refuses all others."""
    for share in 0.0, -1.0, 1e-9:
        meter = service_room.RoomMeter()
        meter.on_end('r', _HELD_S)
        meter.on_arrival('r', 2, share, 0.0)
        assert meter.mark(_SLOTS, 0.0) == service_room.LEVEL_COUNT


def test_the_mark_recovers_when_the_demand_ends() -> None:
    """Guards against a lack of room that outlives its cause."""
    mark, meter = _mark_at({2: 500})
    assert mark < 3
    assert meter.mark(_SLOTS, 14.0) == service_room.LEVEL_COUNT


def test_rank_and_priority_give_the_level() -> None:
    """Guards against levels in another order than the queue's."""
    levels = [
        service_room.level_of(order, priority)
        for order in (0, 1, 3)
        for priority in messages.Priority
    ]
    assert levels == sorted(set(levels))
    assert service_room.level_of(99, messages.Priority.LOW) == (
        service_room.LEVEL_COUNT - 1
    )
    assert service_room.level_of(-1, messages.Priority.PAYMENT) == 0


def test_an_upstream_that_rejects_requests_has_less_room() -> None:
    """Guards against chains begun for an upstream that sheds their calls."""
    mark, meter = _mark_at({0: 40, 2: 40})
    assert mark == service_room.LEVEL_COUNT
    for n in range(100):
        meter.on_run(n % 4 == 0, 10.0)
    assert meter.mark(_SLOTS, 10.0) < 1
    for _ in range(100):
        meter.on_run(True, 14.0)
    assert meter.accepted_share() > 0.95


def test_a_few_rejections_are_no_lack_of_room() -> None:
    """Guards against refusals after the first rejection of a quiet day."""
    meter = service_room.RoomMeter()
    meter.on_run(False, 10.0)
    assert meter.accepted_share() > 0.8


def test_a_call_refused_by_two_owners_counts_once() -> None:
    """Guards against retries that appear as additional demand."""
    meter = service_room.RoomMeter()
    meter.on_end('r', _HELD_S)
    for _ in range(2):
        meter.on_arrival('r', 2, 1.0, 0.0)
        meter.on_refused('r', 2, 1.0)
    assert meter.demand[2] == pytest.approx(_HELD_S)
