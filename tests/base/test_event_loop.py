"""The event loop that asks the kernel less often."""

import asyncio
import socket

import pytest

from godwitstall import event_loop


def test_busy_loop_still_sees_events() -> None:
    """Guards against sockets that starve while callbacks come in series."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        is_read = asyncio.Event()
        loop.add_reader(ours, is_read.set)
        theirs.send(b'x')
        rounds = 0
        while not is_read.is_set():
            await asyncio.sleep(0)
            rounds += 1
            assert rounds < 100
        loop.remove_reader(ours)
        ours.close()
        theirs.close()

    event_loop.run(scenario())


def test_idle_loop_waits_for_its_timers() -> None:
    """Guards against a loop that spins instead of waiting."""
    asked: list[float | None] = []

    class Selector(event_loop.PollSkippingSelector):
        def select(self, timeout: float | None = None) -> event_loop._Events:
            asked.append(timeout)
            return super().select(timeout)

    loop = asyncio.SelectorEventLoop(Selector())
    loop.run_until_complete(asyncio.sleep(0.05))
    loop.close()
    assert len(asked) < 20
    assert any(timeout is not None and timeout > 0.01 for timeout in asked)


def test_threads_wake_the_loop() -> None:
    """Guards against file operations whose end is never noticed."""

    async def scenario() -> None:
        assert await asyncio.to_thread(sum, (1, 2)) == 3

    event_loop.run(scenario())


def test_failure_of_the_program_is_raised() -> None:
    """Guards against a program that ends well after an error."""

    async def scenario() -> None:
        raise OSError('no disk')

    with pytest.raises(OSError, match='no disk'):
        event_loop.run(scenario())
