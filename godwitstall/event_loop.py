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
import selectors
import typing

from godwitstall import clock

# While callbacks are ready, the loop polls once in this many iterations, so an
# event is delayed by at most as many.
_ITERATIONS_PER_POLL = 4

_Events = list[tuple[selectors.SelectorKey, int]]


class PollSkippingSelector(selectors.EpollSelector):
    """A selector that skips most polls with a timeout of 0."""

    def __init__(self) -> None:
        super().__init__()
        # Number of polls skipped since the last one.
        self.skipped_polls = 0
        # Whether the loop has not read the time since select() returned.
        self.is_after_select = False

    def select(self, timeout: float | None = None) -> _Events:
        """Return events; most polls with a timeout of 0 are skipped."""
        self.is_after_select = True
        if timeout is not None and timeout <= 0:
            self.skipped_polls += 1
            if self.skipped_polls < _ITERATIONS_PER_POLL:
                return []
        self.skipped_polls = 0
        events = super().select(timeout)
        clock.invalidate_cache()
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
    clock.set_caching(True)
    try:
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(main)
    finally:
        clock.set_caching(False)
