"""Structured lines: their shape, their bound, and a reader that stops."""

import collections.abc
import json
import os
import typing

import pytest

from godwitstall import clock
from godwitstall import decisions


@pytest.fixture
def pipe() -> collections.abc.Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    decisions.close_output()
    os.close(reader)
    os.close(writer)


def _lines(reader: int) -> list[dict[str, typing.Any]]:
    data = b''
    try:
        while part := os.read(reader, 65536):
            data += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_line_tells_the_inputs_and_the_outcome(pipe: tuple[int, int]) -> None:
    """Guards against lines that no tool can read."""
    reader, writer = pipe
    decisions.open_output(writer, process='n1')
    decisions.write('gateway', 'refused', request='9c41', kind='no_route')
    [line] = _lines(reader)
    assert line.pop('time') > 0
    assert line == {
        'process': 'n1',
        'part': 'gateway',
        'event': 'refused',
        'request': '9c41',
        'kind': 'no_route',
    }


def test_nothing_is_written_without_an_output() -> None:
    """Guards against programs that need structured logs to run."""
    decisions.write('gateway', 'refused')


def test_reader_that_stops_does_not_block(pipe: tuple[int, int]) -> None:
    """Guards against a process that waits for whoever reads its logs."""
    reader, writer = pipe
    held = decisions.open_output(writer)
    held.descriptor = writer
    filler = 'x' * 1000
    for _ in range(decisions.MAX_LINES_PER_S):
        held.write('p', 'e', False, {'filler': filler})
    assert held.unreported_drops > 0
    lines = _lines(reader)
    assert all(line['filler'] == filler for line in lines)


def test_volume_is_bounded_and_the_loss_told(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a flood of lines when every request is refused."""
    reader, writer = pipe
    monkeypatch.setattr(clock, 'now', lambda: 100.5)
    decisions.open_output(writer)
    for _ in range(3 * decisions.MAX_LINES_PER_S):
        decisions.write('p', 'e')
    assert len(_lines(reader)) == decisions.MAX_LINES_PER_S
    monkeypatch.setattr(clock, 'now', lambda: 101.5)
    decisions.write('p', 'next')
    told, line = _lines(reader)
    assert told['event'] == 'dropped'
    assert told['lines'] == 2 * decisions.MAX_LINES_PER_S
    assert line['event'] == 'next'


def test_lines_without_room_count_as_dropped(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lines that are left out and not told of."""
    reader, writer = pipe
    monkeypatch.setattr(clock, 'now', lambda: 100.5)
    held = decisions.open_output(writer)
    for _ in range(decisions.MAX_LINES_PER_S):
        decisions.write('p', 'e')
    assert not decisions.may_write(False)
    assert held.unreported_drops == 1
    decisions.close_output()
    assert not decisions.may_write(False)


def test_served_requests_leave_room_for_failures(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against failures that drown in lines about success."""
    reader, writer = pipe
    monkeypatch.setattr(clock, 'now', lambda: 100.5)
    decisions.open_output(writer)
    for _ in range(3 * decisions.MAX_LINES_PER_S):
        decisions.write_routine('p', 'served')
    assert len(_lines(reader)) < decisions.MAX_LINES_PER_S / 2
    decisions.write('p', 'refused')
    assert [line['event'] for line in _lines(reader)] == ['refused']
