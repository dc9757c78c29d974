"""Generates operation ids: UUIDv7, whose first 48 bits are Unix time in ms."""

import os
import uuid

from godwitstall import clock


def new_id() -> str:
    """Return a new UUIDv7 (RFC 9562) as text."""
    value = int.from_bytes(os.urandom(10), 'big')
    value |= (clock.wall_ms() & ((1 << 48) - 1)) << 80
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))
