"""Tests of structured log lines: format, rate limit and a slow reader."""

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


def _read_lines(reader: int) -> list[dict[str, typing.Any]]:
    data = b''
    try:
        while chunk := os.read(reader, 65536):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_line_has_the_inputs_and_the_outcome(pipe: tuple[int, int]) -> None:
    """Guards against lines in a format that tools cannot parse."""
    reader, writer = pipe
    decisions.open_output(writer, process='n1')
    decisions.write('gateway', 'refused', request='9c41', kind='no_route')
    [line] = _read_lines(reader)
    assert line.pop('time') > 0
    assert line == {
        'process': 'n1',
        'part': 'gateway',
        'event': 'refused',
        'request': '9c41',
        'kind': 'no_route',
    }


def test_nothing_is_written_without_an_output() -> None:
    """Guards against programs that cannot run without structured logs."""
    decisions.write('gateway', 'refused')


def test_reader_that_stops_does_not_block(pipe: tuple[int, int]) -> None:
    """Guards against a process that blocks on the reader of its logs."""
    reader, writer = pipe
    output = decisions.open_output(writer)
    output.descriptor = writer
    filler = 'x' * 1000
    for _ in range(decisions.MAX_LINES_PER_S):
        output.write('p', 'e', False, {'filler': filler})
    assert output.unreported_drops > 0
    lines = _read_lines(reader)
    assert all(line['filler'] == filler for line in lines)


def test_rate_limit_and_report_of_drops(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unlimited logging when every request is rejected."""
    reader, writer = pipe
    monkeypatch.setattr(clock, 'now', lambda: 100.5)
    decisions.open_output(writer)
    for _ in range(3 * decisions.MAX_LINES_PER_S):
        decisions.write('p', 'e')
    assert len(_read_lines(reader)) == decisions.MAX_LINES_PER_S
    monkeypatch.setattr(clock, 'now', lambda: 101.5)
    decisions.write('p', 'next')
    report, line = _read_lines(reader)
    assert report['event'] == 'dropped'
    assert report['lines'] == 2 * decisions.MAX_LINES_PER_S
    assert line['event'] == 'next'


def test_lines_above_the_rate_limit_count_as_dropped(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against dropped lines that are not counted."""
    reader, writer = pipe
    monkeypatch.setattr(clock, 'now', lambda: 100.5)
    output = decisions.open_output(writer)
    for _ in range(decisions.MAX_LINES_PER_S):
        decisions.write('p', 'e')
    assert not decisions.may_write(False)
    assert output.unreported_drops == 1
    decisions.close_output()
    assert not decisions.may_write(False)


def test_served_requests_leave_room_for_failures(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lines about successes that displace failures."""
    reader, writer = pipe
    monkeypatch.setattr(clock, 'now', lambda: 100.5)
    decisions.open_output(writer)
    for _ in range(3 * decisions.MAX_LINES_PER_S):
        decisions.write_routine('p', 'served')
    assert len(_read_lines(reader)) < decisions.MAX_LINES_PER_S / 2
    decisions.write('p', 'refused')
    assert [line['event'] for line in _read_lines(reader)] == ['refused']
