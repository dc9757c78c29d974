"""Snapshots that become due while another one is being written."""

import asyncio
import pathlib
import typing

import pytest

from godwitstall.consensus import snapshots
from tests.consensus import fleet as fleets

_ENTRIES = 16


def test_log_that_grew_during_a_snapshot_is_cut(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a log that stays long until the next command."""
    fleet = fleets.Fleet(tmp_path, 1, snapshot_entries=_ENTRIES)
    write = snapshots.write
    is_writing = asyncio.Event()
    may_end = asyncio.Event()

    async def write_slowly(*arguments: typing.Any) -> int:
        is_writing.set()
        await may_end.wait()
        return await write(*arguments)

    monkeypatch.setattr(snapshots, 'write', write_slowly)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        member = await fleet.leader()
        for number in range(_ENTRIES):
            await fleet.propose(b'first %d' % number)
        await asyncio.wait_for(is_writing.wait(), fleets.WAIT_S)
        for number in range(2 * _ENTRIES):
            await fleet.propose(b'second %d' % number)
        applied = member.replica.applied_index
        assert member.replica.log.snapshot_index < applied - _ENTRIES
        may_end.set()
        await fleets.until(
            lambda: member.replica.log.snapshot_index > applied - _ENTRIES
        )

    fleets.run(scenario, fleet)
