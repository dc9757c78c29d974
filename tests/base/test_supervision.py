"""Tests of the restart of tasks after unexpected errors."""

import asyncio

import pytest

from godwitstall import supervision


def test_failed_task_starts_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an error that ends a process or one of its tasks."""
    monkeypatch.setattr(supervision, '_RESTART_DELAY_S', 0.0)
    starts = 0

    async def scenario() -> None:
        is_running = asyncio.Event()

        async def work() -> None:
            nonlocal starts
            starts += 1
            if starts < 4:
                raise KeyError('unexpected')
            is_running.set()
            await asyncio.Event().wait()

        task = asyncio.create_task(supervision.keep_running(work))
        async with asyncio.timeout(10.0):
            await is_running.wait()
        assert not task.done()
        task.cancel()

    asyncio.run(scenario())
    assert starts == 4
