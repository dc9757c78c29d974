"""The event loop of the programs.

The asyncio loop polls its selector before each iteration, even if callbacks
are ready to run. A request takes several iterations in each process, so most
of these polls return no events. This loop polls when it is idle, and otherwise
once in several iterations. Between two polls it uses clock.recent(), a single
reading of the clock, to find due timers.

Example: event_loop.run(main())
"""

import asyncio
import collections.abc
import math
import selectors
import typing

from godwitstall import allocator
from godwitstall import clock

# While callbacks are ready, the loop polls once in this many iterations, so an
# event is delayed by at most as many.
_ITERATIONS_PER_POLL = 4

# The loop is late when this much time passes between two polls.
_LATE_AFTER_S = 0.1

# Longest time for which the loop is late after a delay between two polls.
_MAX_LATE_S = 1.0

_Events = list[tuple[selectors.SelectorKey, int]]


class _Lateness:
    """Whether events may have waited for the running loop."""

    def __init__(self) -> None:
        # Time of the last poll and time until which the loop is late, seconds
        # of clock.now().
        self.polled_at = math.inf
        self.late_until = 0.0

    def on_poll(self, now: float) -> None:
        """Record that the loop is about to poll its selector."""
        delay_s = now - self.polled_at
        if delay_s > _LATE_AFTER_S:
            # An event that takes several polls, such as the first bytes of a
            # new connection, may have waited as well.
            self.late_until = now + min(delay_s, _MAX_LATE_S)


_lateness = _Lateness()


def is_late() -> bool:
    """Return whether what the loop reads now may have waited to be read.

    A peer may have sent more since, or may have closed its connection. Always
    False in a loop that is not a Loop.
    """
    return clock.recent() < _lateness.late_until


class PollSkippingSelector(selectors.EpollSelector):
    """A selector that skips most polls with a timeout of 0."""

    def __init__(self) -> None:
        super().__init__()
        # Number of polls skipped since the last one.
        self.skipped_polls = 0
        # Whether the loop has not read the time since select() returned.
        self.is_after_select = False
        # The time before the first poll does not count.
        _lateness.polled_at = math.inf

    def select(self, timeout: float | None = None) -> _Events:
        """Return events; most polls with a timeout of 0 are skipped."""
        self.is_after_select = True
        if timeout is not None and timeout <= 0:
            self.skipped_polls += 1
            if self.skipped_polls < _ITERATIONS_PER_POLL:
                return []
        self.skipped_polls = 0
        _lateness.on_poll(clock.now())
        events = super().select(timeout)
        clock.invalidate_cache()
        _lateness.polled_at = clock.recent()
        return events


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose timers include suspended time."""

    def __init__(self, selector: PollSkippingSelector | None = None) -> None:
        self.poll_selector = selector or PollSkippingSelector()
        super().__init__(self.poll_selector)

    def time(self) -> float:
        """Return seconds since boot, suspended time included.

        The first call after each select() is for due timers and returns
        clock.recent(). Other calls are for new timers, which a long callback
        before them must not shorten, and read the clock.
        """
        if self.poll_selector.is_after_select:
            self.poll_selector.is_after_select = False
            return clock.recent()
        return clock.now()


def new_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop with a PollSkippingSelector."""
    return Loop()


def run(main: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a program until it completes, like asyncio.run()."""
    allocator.map_large_blocks()
    clock.set_caching(True)
    try:
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(main)
    finally:
        clock.set_caching(False)
