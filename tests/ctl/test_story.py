"""The log lines of several processes about one request."""

import asyncio
import json
import pathlib
import typing

import pytest

from godwitstall.ctl import client
from godwitstall.ctl import commands

_CLIENT = typing.cast(client.ControlClient, None)


def _write(path: pathlib.Path, *lines: dict[str, typing.Any]) -> None:
    text = '\n'.join(json.dumps(line) for line in lines)
    path.write_text(f'collector: started\n{text}\n{{"cut": \n')


def _line(time: float, process: str, request: str) -> dict[str, typing.Any]:
    return {
        'time': time,
        'process': process,
        'part': 'relay',
        'event': 'try_failed',
        'request': request,
        'kind': 'overloaded',
    }


def test_lines_of_all_processes_in_order(tmp_path: pathlib.Path) -> None:
    """Guards against missing onward calls, and lines of other requests."""
    _write(tmp_path / 'n1.log', _line(3.0, 'n1', 'a1'), _line(1, 'n1', 'b2'))
    _write(tmp_path / 'n2.log', _line(2.0, 'n2', 'a1.c3'), _line(1, 'n2', 'a'))
    result = asyncio.run(commands.show_story(_CLIENT, 'a1', str(tmp_path)))
    assert [row['process'] for row in result.rows] == ['n2', 'n1']
    assert result.rows[0]['told'] == 'kind=overloaded'
    assert result.is_success


def test_unknown_request_is_no_success(tmp_path: pathlib.Path) -> None:
    """Guards against an empty table that is reported as success."""
    _write(tmp_path / 'n1.log', _line(3.0, 'n1', 'a1'))
    result = asyncio.run(commands.show_story(_CLIENT, 'x', str(tmp_path)))
    assert not result.is_success


def test_folder_without_logs_is_an_error(tmp_path: pathlib.Path) -> None:
    """Guards against a wrong folder that is reported as an unknown request."""
    with pytest.raises(commands.CommandError):
        asyncio.run(commands.show_story(_CLIENT, 'x', str(tmp_path)))
