"""A snapshot that becomes due while another one is being written."""

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
    """Guards against a log that is compacted only at the next command."""
    fleet = fleets.Fleet(tmp_path, 1, snapshot_entries=_ENTRIES)
    write = snapshots.write
    write_started = asyncio.Event()
    may_finish = asyncio.Event()

    async def blocked_write(*arguments: typing.Any) -> int:
        write_started.set()
        await may_finish.wait()
        return await write(*arguments)

    monkeypatch.setattr(snapshots, 'write', blocked_write)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        member = await fleet.leader()
        for number in range(_ENTRIES):
            await fleet.propose(b'first %d' % number)
        await asyncio.wait_for(write_started.wait(), fleets.TIMEOUT_S)
        for number in range(2 * _ENTRIES):
            await fleet.propose(b'second %d' % number)
        applied = member.replica.state.applied_index
        assert member.replica.state.log.snapshot_index < applied - _ENTRIES
        may_finish.set()
        await fleets.wait_until(
            lambda: (
                member.replica.state.log.snapshot_index > applied - _ENTRIES
            )
        )

    fleets.run(scenario, fleet)
