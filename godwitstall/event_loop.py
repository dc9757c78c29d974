"""The event loop of the programs.

The standard loop asks the kernel for events before each round of callbacks,
also when callbacks wait to be run. A request takes several rounds in each
process, so most of these questions find nothing. This loop asks when it is
idle, and otherwise after some rounds only. Between two questions it looks for
due timers with one reading of the clock, which is that of clock.recent().

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
        # The loop has not read the time since select() returned.
        self.has_returned = False

    def select(self, timeout: float | None = None) -> _Events:
        """Return events, or none without asking when timeout is 0."""
        self.has_returned = True
        if timeout is not None and timeout <= 0:
            self.passed_over += 1
            if self.passed_over < _MAX_ROUNDS:
                return []
        self.passed_over = 0
        events = super().select(timeout)
        clock.forget_reading()
        return events


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose timers count suspended time."""

    def __init__(self, selector: SparingSelector | None = None) -> None:
        self.sparing_selector = selector or SparingSelector()
        super().__init__(self.sparing_selector)

    def time(self) -> float:
        """Return seconds since boot, suspended time included.

        The loop looks for due timers after each select(). All other readings
        are for new timers, which a long callback before must not shorten.
        """
        if self.sparing_selector.has_returned:
            self.sparing_selector.has_returned = False
            return clock.recent()
        return clock.now()


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
