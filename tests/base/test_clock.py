"""Readings of the clock that are used again within a turn of the loop."""

import asyncio
import time

import pytest

from godwitstall import clock
from godwitstall import event_loop


def test_without_the_loop_each_reading_is_new(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a time that stands still where nobody forgets it."""
    times = iter((1.0, 2.0))
    monkeypatch.setattr(clock, 'now', lambda: next(times))
    assert clock.recent() == 1.0
    assert clock.recent() == 2.0


def test_recent_time_moves_on_with_the_loop() -> None:
    """Guards against timeouts that never end in a running program."""

    async def scenario() -> None:
        before = clock.recent()
        assert clock.recent() == before
        await asyncio.sleep(0.02)
        assert clock.recent() >= before + 0.02
        assert abs(clock.now() - clock.recent()) < 1.0

    event_loop.run(scenario())


def test_busy_loop_reads_the_clock_again() -> None:
    """Guards against timers that starve while callbacks come in series."""

    async def scenario() -> None:
        is_due = asyncio.Event()
        asyncio.get_running_loop().call_later(0.01, is_due.set)
        end = clock.now() + 5.0
        while not is_due.is_set():
            await asyncio.sleep(0)
            assert clock.now() < end

    event_loop.run(scenario())


def test_long_callback_does_not_put_off_timers() -> None:
    """Guards against a wait that is measured from the start of a callback."""
    waits: list[float | None] = []

    class Selector(event_loop.SparingSelector):
        def select(self, timeout: float | None = None) -> event_loop._Events:
            waits.append(timeout)
            return super().select(timeout)

    class Loop(event_loop.Loop):
        def __init__(self) -> None:
            asyncio.SelectorEventLoop.__init__(self, Selector())

    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        is_due = asyncio.Event()
        started = clock.now()
        loop.call_later(0.2, is_due.set)
        time.sleep(0.2)
        await is_due.wait()
        return clock.now() - started

    clock.keep_readings(True)
    try:
        with asyncio.Runner(loop_factory=Loop) as runner:
            took_s = runner.run(scenario())
    finally:
        clock.keep_readings(False)
    # Twice the time would be a wait of the whole delay after the callback.
    assert took_s < 0.4
    assert waits


def test_readings_end_with_the_program() -> None:
    """Guards against a time that stands still after the loop has ended."""

    async def scenario() -> None:
        clock.recent()

    event_loop.run(scenario())
    assert clock.recent() != clock.recent()
