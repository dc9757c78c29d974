"""Time sources used by every part, in one place so that tests can set them.

Leases and deadlines use now(); records that people read use wall_ms().
"""

import time


def now() -> float:
    """Return seconds since boot, suspended time included.

    CLOCK_BOOTTIME goes on while a VM is suspended, so that a lease has ended
    when the VM comes back. CLOCK_MONOTONIC would still call it valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return wall clock time, milliseconds since 1970."""
    return time.time_ns() // 1_000_000
