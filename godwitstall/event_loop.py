"""The event loop of the programs.

The standard loop asks the kernel for events before each round of callbacks,
also when callbacks wait to be run. A request takes several rounds in each
process, so most of these questions find nothing. This loop asks when it is
idle, and otherwise after some rounds only. Between two questions it reads
the clock once, for its timers and for clock.recent().

Example: event_loop.run(main())
"""

import asyncio
import collections.abc
import selectors
import typing

from godwitstall import clock

# Rounds of callbacks between two questions while callbacks wait. Events that
# come meanwhile wait for that many rounds at most.
_MAX_ROUNDS = 4

_Events = list[tuple[selectors.SelectorKey, int]]


class SparingSelector(selectors.EpollSelector):
    """A selector that passes over most questions that may not wait."""

    def __init__(self) -> None:
        super().__init__()
        # Questions passed over since the last one that was asked.
        self.passed_over = 0

    def select(self, timeout: float | None = None) -> _Events:
        """Return events, or none without asking when timeout is 0."""
        if timeout is not None and timeout <= 0:
            self.passed_over += 1
            if self.passed_over < _MAX_ROUNDS:
                return []
        self.passed_over = 0
        if timeout:
            # The loop worked out the timeout with the reading that is kept.
            timeout = max(timeout - (clock.now() - clock.recent()), 0)
        events = super().select(timeout)
        clock.forget_reading()
        return events


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose timers use clock.recent()."""

    def __init__(self) -> None:
        super().__init__(SparingSelector())

    def time(self) -> float:
        """Return seconds since boot, suspended time included."""
        return clock.recent()


def new_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop with a SparingSelector."""
    return Loop()


def run(main: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a program to its end, as asyncio.run() does."""
    clock.keep_readings(True)
    try:
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(main)
    finally:
        clock.keep_readings(False)
