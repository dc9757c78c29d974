"""Readings of the clock that are used again within a turn of the loop."""

import asyncio
import contextlib
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


def test_long_callback_does_not_shorten_new_timers() -> None:
    """Guards against timeouts that end before the peer could answer.

    A callback of half a second, as at a start, comes before a timeout of a
    fifth of a second.
    """

    async def scenario() -> float:
        await asyncio.sleep(0)
        time.sleep(0.5)
        started = clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await asyncio.Event().wait()
        return clock.now() - started

    async def timer() -> float:
        time.sleep(0.5)
        started = clock.now()
        await asyncio.sleep(0.2)
        return clock.now() - started

    async def main() -> None:
        assert await scenario() > 0.19
        assert await timer() > 0.19

    event_loop.run(main())


def test_long_callback_does_not_put_off_timers() -> None:
    """Guards against a wait that is measured from the start of a callback."""
    waits: list[float | None] = []

    class Selector(event_loop.PollSkippingSelector):
        def select(self, timeout: float | None = None) -> event_loop._Events:
            waits.append(timeout)
            return super().select(timeout)

    async def scenario() -> None:
        is_due = asyncio.Event()
        asyncio.get_running_loop().call_later(0.2, is_due.set)
        time.sleep(0.2)
        await is_due.wait()

    loop = event_loop.Loop(Selector())
    loop.run_until_complete(scenario())
    loop.close()
    # A wait of the whole time would come after the callback.
    assert all(wait is None or wait < 0.1 for wait in waits)


def test_readings_end_with_the_program() -> None:
    """Guards against a time that stands still after the loop has ended."""

    async def scenario() -> None:
        clock.recent()

    event_loop.run(scenario())
    assert clock.recent() != clock.recent()
