"""Signals of the programs.

Example:
    stop_requested = signals.stop_requested()
    await stop_requested.wait()
"""

import asyncio
import math
import signal
import typing

from godwitstall import clock
from godwitstall import logs

_LOG = logs.get('signals')


class StopRequest(asyncio.Event):
    """An event that requests a planned stop.

    The sender of a signal counts the grace time from the signal, and a busy
    loop sets the event later.
    """

    def __init__(self) -> None:
        super().__init__()
        # Time of the first request, seconds of clock.now().
        self.requested_at = math.inf

    def is_requested(self) -> bool:
        """Return whether a stop is requested, also before the event is set."""
        return not math.isinf(self.requested_at)

    def set(self) -> None:
        """Request a stop, now unless it has been requested before."""
        self.on_signal()
        super().set()

    def on_signal(self, *_: typing.Any) -> None:
        """Record the time of a signal."""
        self.requested_at = min(self.requested_at, clock.now())


def stop_requested() -> StopRequest:
    """Return an event that SIGTERM and SIGINT set; SIGHUP has no effect.

    SIGHUP would end the process otherwise, without a planned stop.
    """
    event = StopRequest()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, event.set)
        # The loop has registered a handler that does nothing. Python runs it
        # between two bytecodes, also in a callback that blocks the loop.
        signal.signal(signal_number, event.on_signal)
        signal.siginterrupt(signal_number, False)
    loop.add_signal_handler(
        signal.SIGHUP,
        _LOG.info,
        'SIGHUP is ignored: the settings are read at the start.',
    )
    return event
