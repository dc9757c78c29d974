"""Tests of the event loop that skips polls."""

import asyncio
import socket

import pytest

from godwitstall import event_loop


def test_busy_loop_still_sees_events() -> None:
    """Guards against sockets that starve while callbacks are always ready."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        receiver, sender = socket.socketpair()
        receiver.setblocking(False)
        is_readable = asyncio.Event()
        loop.add_reader(receiver, is_readable.set)
        sender.send(b'x')
        iterations = 0
        while not is_readable.is_set():
            await asyncio.sleep(0)
            iterations += 1
            assert iterations < 100
        loop.remove_reader(receiver)
        receiver.close()
        sender.close()

    event_loop.run(scenario())


def test_idle_loop_waits_for_its_timers() -> None:
    """Guards against a loop that is busy while it waits."""
    poll_timeouts: list[float | None] = []

    class Selector(event_loop.PollSkippingSelector):
        def select(self, timeout: float | None = None) -> event_loop._Events:
            poll_timeouts.append(timeout)
            return super().select(timeout)

    loop = asyncio.SelectorEventLoop(Selector())
    loop.run_until_complete(asyncio.sleep(0.05))
    loop.close()
    assert len(poll_timeouts) < 20
    assert any(
        timeout is not None and timeout > 0.01 for timeout in poll_timeouts
    )


def test_threads_wake_the_loop() -> None:
    """Guards against thread results that never reach the loop."""

    async def scenario() -> None:
        assert await asyncio.to_thread(sum, (1, 2)) == 3

    event_loop.run(scenario())


def test_failure_of_the_program_is_raised() -> None:
    """Guards against a program that exits successfully after an error."""

    async def scenario() -> None:
        raise OSError('no disk')

    with pytest.raises(OSError, match='no disk'):
        event_loop.run(scenario())
