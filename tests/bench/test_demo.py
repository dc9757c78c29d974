"""The demo reports failed processes and leaves none running.

The complete demo is not a test: it depends on timing and takes about 20 s.
"""

import asyncio
import collections
import os
import pathlib
import sys

import pytest

from bench import demo
from bench import fleet as fleets
from loadtool import report as reports

# Timeout for the start of the processes.
_START_TIMEOUT_S = 10.0

_SLEEP_SCRIPT = 'import time; time.sleep(600)'
_FAIL_SCRIPT = 'import sys; sys.exit("no such address")'


class _Fleet(fleets.Fleet):
    """Runs one-line scripts instead of the programs of a fleet."""

    def __init__(self, folder: pathlib.Path, scripts: dict[str, str]) -> None:
        super().__init__(folder, [])
        for name, script in scripts.items():
            self.commands[name] = [sys.executable, '-c', script]

    async def start(self) -> None:
        for name in self.commands:
            await self.spawn(name)
        await asyncio.Event().wait()

    def pids(self) -> list[int]:
        return [process.pid for process in self.processes.values()]


def _is_alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_process_that_ends_by_itself(tmp_path: pathlib.Path) -> None:
    """Guards against waiting for a process that has failed."""

    async def main() -> None:
        fleet = _Fleet(
            tmp_path, {'sleeper': _SLEEP_SCRIPT, 'broken': _FAIL_SCRIPT}
        )
        try:
            with pytest.raises(demo.DemoError) as error:
                await demo._run_watched(fleet, fleet.start())
        finally:
            await fleet.stop()
        assert 'broken exited with code 1' in str(error.value)
        assert 'no such address' in str(error.value)
        assert len(fleet.pids()) == 2
        assert not any(_is_alive(pid) for pid in fleet.pids())

    asyncio.run(main())


def test_stop_of_the_demo(tmp_path: pathlib.Path) -> None:
    """Guards against processes that keep running after a cancelled demo."""

    async def main() -> None:
        fleet = _Fleet(tmp_path, {'one': _SLEEP_SCRIPT, 'two': _SLEEP_SCRIPT})

        async def run_demo() -> None:
            try:
                await demo._run_watched(fleet, fleet.start())
            finally:
                await fleet.stop()

        task = asyncio.create_task(run_demo())
        async with asyncio.timeout(_START_TIMEOUT_S):
            while len(fleet.processes) < 2:
                await asyncio.sleep(0)
        assert all(_is_alive(pid) for pid in fleet.pids())
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert not any(_is_alive(pid) for pid in fleet.pids())

    asyncio.run(main())


def test_outcome_of_a_load() -> None:
    """Guards against a table without the calls that were not good."""
    row = reports.Row('a to b', 'a', 'demo', 1.0, sent=6, good=2)
    row.refused = collections.Counter({'rate_exceeded/not-run': 3})
    row.failed = collections.Counter({'timeout': 1})
    assert demo.Step.from_row('GET /b', row) == demo.Step(
        'GET /b', 'a', 6, '2 good, 3 rate_exceeded/not-run, 1 timeout'
    )
