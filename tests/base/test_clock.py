"""Tests of the time that clock.recent() caches between polls."""

import asyncio
import contextlib
import time

import pytest

from godwitstall import clock
from godwitstall import event_loop


def test_without_the_loop_each_reading_is_new(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cached time that is never invalidated."""
    times = iter((1.0, 2.0))
    monkeypatch.setattr(clock, 'now', lambda: next(times))
    assert clock.recent() == 1.0
    assert clock.recent() == 2.0


def test_recent_time_advances_with_the_loop() -> None:
    """Guards against timeouts that never expire because time is cached."""

    async def scenario() -> None:
        before = clock.recent()
        assert clock.recent() == before
        await asyncio.sleep(0.02)
        assert clock.recent() >= before + 0.02
        assert abs(clock.now() - clock.recent()) < 1.0

    event_loop.run(scenario())


def test_busy_loop_reads_the_clock_again() -> None:
    """Guards against timers that starve while callbacks are always ready."""

    async def scenario() -> None:
        is_due = asyncio.Event()
        asyncio.get_running_loop().call_later(0.01, is_due.set)
        end = clock.now() + 5.0
        while not is_due.is_set():
            await asyncio.sleep(0)
            assert clock.now() < end

    event_loop.run(scenario())


def test_long_callback_does_not_shorten_new_timers() -> None:
    """Guards against timeouts that expire before the peer could reply.

    A callback of 0.5 s, as during startup, runs before a timeout of 0.2 s is
    set. Measured from the start of the callback, it would expire at once.
    """

    async def wait_with_timeout() -> float:
        await asyncio.sleep(0)
        time.sleep(0.5)
        started = clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await asyncio.Event().wait()
        return clock.now() - started

    async def sleep() -> float:
        time.sleep(0.5)
        started = clock.now()
        await asyncio.sleep(0.2)
        return clock.now() - started

    async def main() -> None:
        assert await wait_with_timeout() > 0.19
        assert await sleep() > 0.19

    event_loop.run(main())


def test_long_callback_does_not_delay_timers() -> None:
    """Guards against poll timeouts that ignore the time of a callback."""
    poll_timeouts: list[float | None] = []

    class Selector(event_loop.PollSkippingSelector):
        def select(self, timeout: float | None = None) -> event_loop._Events:
            poll_timeouts.append(timeout)
            return super().select(timeout)

    async def scenario() -> None:
        is_due = asyncio.Event()
        asyncio.get_running_loop().call_later(0.2, is_due.set)
        time.sleep(0.2)
        await is_due.wait()

    loop = event_loop.Loop(Selector())
    loop.run_until_complete(scenario())
    loop.close()
    # The timer is due when the callback ends, so no poll may wait 0.2 s.
    assert all(t is None or t < 0.1 for t in poll_timeouts)


def test_caching_ends_with_the_program() -> None:
    """Guards against a time that is cached after the loop has ended."""

    async def scenario() -> None:
        clock.recent()

    event_loop.run(scenario())
    assert clock.recent() != clock.recent()
