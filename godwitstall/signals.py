"""Signals of the programs.

Example:
    stop_requested = signals.stop_requested()
    await stop_requested.wait()
"""

import asyncio
import signal

from godwitstall import logs

_LOG = logs.get('signals')


def stop_requested() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set; SIGHUP has no effect.

    SIGHUP would end the process otherwise, without a planned stop.
    """
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, event.set)
    loop.add_signal_handler(
        signal.SIGHUP,
        _LOG.info,
        'SIGHUP is ignored: the settings are read at the start.',
    )
    return event
