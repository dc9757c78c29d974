"""Time sources used by every part, in one place so that tests can set them.

Leases and tokens use now(). Whatever only measures, orders or times out uses
recent(), which costs less. Records that people read use wall_ms().
"""

import time


class _Reading:
    """The last reading of the clock, while an event loop looks after it."""

    def __init__(self) -> None:
        # Whether an event loop forgets the reading when it gets old.
        self.is_kept = False
        # Seconds of now(); None when it must be read again.
        self.time: float | None = None


_reading = _Reading()


def now() -> float:
    """Return seconds since boot, suspended time included.

    CLOCK_BOOTTIME goes on while a VM is suspended, so that a lease has ended
    when the VM comes back. CLOCK_MONOTONIC would still call it valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def recent() -> float:
    """Return what now() was in this turn of the event loop, seconds.

    A request reads the time some fifty times on its way, nearly always to
    compare it with seconds. In event_loop.run() the first reading after each
    question to the kernel stands for all. It is late by the time that the
    callbacks have taken since, and by any time in which the process was
    stopped meanwhile, so nothing that must not outlive its time relies on it.
    Elsewhere it is now().
    """
    if _reading.time is not None:
        return _reading.time
    time_s = now()
    if _reading.is_kept:
        _reading.time = time_s
    return time_s


def keep_readings(is_kept: bool) -> None:
    """Begin or end to let recent() return one reading again and again."""
    _reading.is_kept = is_kept
    _reading.time = None


def forget_reading() -> None:
    """Let recent() read the clock again."""
    _reading.time = None


def wall_ms() -> int:
    """Return wall clock time, milliseconds since 1970."""
    return time.time_ns() // 1_000_000
