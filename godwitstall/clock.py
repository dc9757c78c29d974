"""Clocks of the system, in one module so that tests can replace them.

Leases and tokens use now(). Measurements, ordering and timeouts use recent(),
which is cheaper. Human-readable records use wall_ms().
"""

import time


class _Cache:
    """Cached time of recent()."""

    def __init__(self) -> None:
        # Whether an event loop invalidates the cache when it polls.
        self.is_enabled = False
        # Result of now(); None if the clock must be read again.
        self.time: float | None = None


_cache = _Cache()


def now() -> float:
    """Return seconds since boot, suspended time included.

    CLOCK_BOOTTIME advances while a VM is suspended, so a lease expires during
    the suspension. By CLOCK_MONOTONIC the lease would still be valid when the
    VM resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def recent() -> float:
    """Return the time of now(), which event_loop.run() caches between polls.

    A request reads the time about fifty times, nearly always for timeouts of
    seconds, so event_loop.run() caches the first reading after each poll of
    the selector. The cached time lags behind now() by the time spent in
    callbacks since then, and by any time for which the process was stopped, so
    leases and tokens must not rely on it. Without event_loop.run() nothing is
    cached.
    """
    if _cache.time is not None:
        return _cache.time
    seconds = now()
    if _cache.is_enabled:
        _cache.time = seconds
    return seconds


def set_caching(is_enabled: bool) -> None:
    """Enable or disable the cache of recent()."""
    _cache.is_enabled = is_enabled
    _cache.time = None


def invalidate_cache() -> None:
    """Make recent() read the clock at its next call."""
    _cache.time = None


def wall_ms() -> int:
    """Return the wall clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
