"""Settings of the C library's allocator, for processes that hold many bodies.

By default the allocator raises its threshold for memory that it maps by itself
as soon as such memory is freed. Bodies that grow then leave holes in the heap,
which the process keeps: half as much again as the bodies have.

Example: allocator.map_large_blocks()
"""

import ctypes

# Blocks of this size or more are mapped, and returned when they are freed.
# What is read from a socket at once is smaller.
MAPPED_BYTES = 128 * 1024

# Number of the parameter in malloc.h of glibc.
_M_MMAP_THRESHOLD = -3


def map_large_blocks() -> bool:
    """Map large blocks one by one; return whether the C library can."""
    try:
        set_parameter = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(set_parameter(_M_MMAP_THRESHOLD, MAPPED_BYTES))
