"""What a node keeps of the marks on answers.

Load of the examples: depots has room for the levels 0 and 1 and for half of
level 2.
"""

import math

import pytest

from godwitstall.limits import service_room
from godwitstall import messages
from godwitstall.routing import chain_rooms

_FIRST = messages.ServiceName('pledges')
_MIDDLE = messages.ServiceName('intake')
_DEEP = messages.ServiceName('depots')
_FULL = float(service_room.LEVEL_COUNT)


def _mark(
    level: float = 2.5, age_ms: int = 0, fan_out: float = 8.0
) -> messages.ServiceRoom:
    return messages.ServiceRoom(_DEEP, level, age_ms, fan_out)


def _rooms(mark: messages.ServiceRoom) -> chain_rooms.ChainRooms:
    rooms = chain_rooms.ChainRooms()
    rooms.on_answer('pledge', _FIRST, [mark], 10.0)
    return rooms


def _share(
    rooms: chain_rooms.ChainRooms, level: int, now: float = 10.0
) -> float:
    return rooms.decide('pledge', _FIRST, level, now).share


def test_levels_are_admitted_in_their_order() -> None:
    """Guards against a high rank that is refused with a low one."""
    rooms = _rooms(_mark())
    assert [_share(rooms, level) for level in range(4)] == (
        pytest.approx([1, 1, 0.55, service_room.MIN_SHARE])
    )


def test_a_decision_names_its_inputs() -> None:
    """Guards against a refusal that an operator can not explain."""
    rooms = _rooms(_mark(age_ms=300))
    decision = rooms.decide('pledge', _FIRST, 3, 10.5)
    assert decision.service == _DEEP
    assert decision.level == 2.5
    assert decision.age_ms == 800
    assert decision.version == 1
    assert decision.fan_out == 8


def test_routes_that_do_not_need_the_service_are_admitted() -> None:
    """Guards against a shortage that refuses requests beside it."""
    rooms = _rooms(_mark())
    assert rooms.decide('confirm', _FIRST, 3, 10.0).share == 1
    assert rooms.decide('pledge', _MIDDLE, 3, 10.0).share == 1


def test_a_service_that_few_requests_need_counts_for_those() -> None:
    """Guards against a route refused whole for a call it rarely makes."""
    rooms = _rooms(_mark(level=0.0, fan_out=0.2))
    assert _share(rooms, 2) == pytest.approx(1 - 0.2 * 0.9)


def test_fan_outs_multiply_along_the_chain() -> None:
    """Guards against a deep service that the first node knows nothing of.

    A pledge makes two calls of the intake, and each of them four of depots.
    """
    intake = chain_rooms.ChainRooms()
    intake.on_answer('sheet', _DEEP, [_mark(fan_out=1.0)], 10.0)
    intake.on_request_end('register', {('sheet', _DEEP): 4}, True)
    first = chain_rooms.ChainRooms()
    first.on_answer(
        'register', _MIDDLE, intake.rooms_below('register', 10.1), 10.2
    )
    first.on_request_end('pledge', {('register', _MIDDLE): 2}, True)
    entry = chain_rooms.ChainRooms()
    entry.on_answer('pledge', _FIRST, first.rooms_below('pledge', 10.3), 10.4)
    decision = entry.decide('pledge', _FIRST, 3, 10.4)
    assert (decision.service, decision.fan_out) == (_DEEP, 8)
    assert decision.level == pytest.approx(2.5)
    # The age grows with the time that the mark waits at a node.
    assert 190 <= decision.age_ms <= 210


def test_a_failed_chain_does_not_lower_the_fan_out() -> None:
    """Guards against a fan-out that shrinks because calls are refused."""
    rooms = chain_rooms.ChainRooms()
    rooms.on_request_end('pledge', {('sheet', _DEEP): 4}, True)
    for _ in range(100):
        rooms.on_request_end('pledge', {('sheet', _DEEP): 1}, False)
    assert rooms.direct['pledge'] == {('sheet', _DEEP): 4}


def test_a_service_that_fails_every_chain_is_known() -> None:
    """Guards against a node that starts in an overload and learns nothing."""
    rooms = chain_rooms.ChainRooms()
    rooms.on_answer('sheet', _DEEP, [_mark(fan_out=1.0)], 10.0)
    rooms.on_request_end('pledge', {('sheet', _DEEP): 1}, False)
    assert [room.service for room in rooms.rooms_below('pledge', 10.0)] == [
        _DEEP
    ]


def test_a_changed_fan_out_is_learned() -> None:
    """Guards against a release of an upstream that is never noticed."""
    rooms = chain_rooms.ChainRooms()
    rooms.on_request_end('pledge', {('sheet', _DEEP): 4}, True)
    for _ in range(200):
        rooms.on_request_end('pledge', {('note', _FIRST): 1}, True)
    direct = rooms.direct['pledge']
    assert direct['sheet', _DEEP] < 0.01
    assert direct['note', _FIRST] > 0.99


def test_a_lost_report_does_not_lock_a_service_out() -> None:
    """Guards against a mark that refuses requests for ever."""
    rooms = _rooms(_mark(level=0.0))
    shares = [_share(rooms, 2, 10.0 + age) for age in (0, 2, 3.5, 5, 60)]
    assert shares == pytest.approx([0.1, 0.1, 0.55, 1, 1])


def test_an_older_mark_does_not_replace_a_newer_one() -> None:
    """Guards against a delayed relay that undoes what is known."""
    rooms = _rooms(_mark(level=2.5))
    rooms.on_answer('pledge', _FIRST, [_mark(_FULL, age_ms=1500)], 10.1)
    assert _share(rooms, 3, 10.1) == pytest.approx(service_room.MIN_SHARE)


def test_marks_of_several_owners_are_averaged() -> None:
    """Guards against one owner whose mark decides for all."""
    rooms = _rooms(_mark(level=2.0))
    for n in range(200):
        level = 2.0 if n % 4 else _FULL
        rooms.on_answer('pledge', _FIRST, [_mark(level)], 10 + n * 0.01)
    assert _share(rooms, 2, 12.0) == pytest.approx(0.1 + 0.9 / 4, abs=0.1)


@pytest.mark.parametrize(
    'mark',
    [
        _mark(level=math.nan),
        _mark(level=math.inf),
        _mark(level=-1.0),
        _mark(level=_FULL + 1),
        _mark(age_ms=-1),
        _mark(age_ms=10**9),
        _mark(fan_out=math.nan),
        _mark(fan_out=-0.5),
        _mark(fan_out=1e9),
        messages.ServiceRoom(level=1.0, fan_out=1.0),
    ],
    ids=repr,
)
def test_bad_marks_are_ignored(
    mark: messages.ServiceRoom, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a bad report that replaces the last good state."""
    rooms = _rooms(_mark())
    before = rooms.dump(10.0)
    for _ in range(50):
        rooms.on_answer('pledge', _FIRST, [mark], 10.0)
    assert rooms.dump(10.0) == before
    assert len(caplog.messages) == 1
    assert len(caplog.messages[0]) < 300


def test_state_is_bounded() -> None:
    """Guards against a peer that fills the memory with names."""
    rooms = chain_rooms.ChainRooms()
    for n in range(10_000):
        mark = messages.ServiceRoom(messages.ServiceName(f's{n}'), 1.0, 0, 1.0)
        rooms.on_answer(f'r{n}', _FIRST, [mark], 10.0)
        rooms.on_answer('pledge', _FIRST, [mark], 10.0)
        rooms.on_request_end(f'r{n}', {('x', _FIRST): 1}, True)
    assert len(rooms.marks) <= 256
    assert len(rooms.reported) <= 4096
    assert len(rooms.direct) <= 4096
    assert all(len(legs) <= 256 for legs in rooms.reported.values())
