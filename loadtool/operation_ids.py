"""Operation ids: UUIDs of version 7, whose first 48 bits are the time."""

import os
import uuid

from godwitstall import clock


def new_id() -> str:
    """Return a new UUIDv7 (RFC 9562) in its usual text form."""
    number = int.from_bytes(os.urandom(10), 'big')
    number |= (clock.wall_ms() & ((1 << 48) - 1)) << 80
    number = number & ~(0xF << 76) | 7 << 76
    number = number & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=number))
