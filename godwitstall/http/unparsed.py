"""Bytes of a connection that have been read and not parsed.

They wait because the client has too many pending requests, does not read its
responses, or because other connections have their turns. Reading goes on up
to a limit, as the close of the client could not be noticed otherwise.

Example:
    unparsed = UnparsedBytes(transport, listener.parse_turns, connection)
    unparsed.add(data)
    unparsed.parse()
"""

import typing

from godwitstall.http import parse_turns

# Requests are parsed in parts of this size, so that few of them have to wait
# for their handlers.
PARSE_BYTES = 4096

# Bytes that a connection parses before others get their turns.
_TURN_BYTES = 4 * PARSE_BYTES

# Reading is paused while a connection has this many bytes that are not parsed.
_MAX_UNPARSED_BYTES = 64 * 1024

# Bytes that are read from a connection at once, above the limit as well.
_READ_BYTES = 64 * 1024


class Owner(typing.Protocol):
    """The connection that the bytes belong to."""

    def may_parse(self) -> bool:
        """Return whether more requests may be parsed now."""

    def feed(self, data: bytes) -> None:
        """Parse bytes."""

    def is_stopped(self) -> bool:
        """Return whether nothing more is parsed."""


class UnparsedBytes:
    """The unparsed bytes of one connection, and whether it is read."""

    def __init__(
        self,
        transport: typing.Any,
        turns: parse_turns.ParseTurns,
        owner: Owner,
    ) -> None:
        self.transport = transport
        # asyncio reads 256 KiB at once by default.
        self.transport.max_size = _READ_BYTES
        self.turns = turns
        self.owner = owner
        self.data = bytearray()
        # Whether the connection waits for its turn to parse.
        self.is_waiting = False

    def __len__(self) -> int:
        return len(self.data)

    def add(self, data: bytes) -> None:
        """Keep received bytes."""
        self.data += data

    def clear(self) -> None:
        """Discard the bytes."""
        self.data.clear()

    def take_all(self) -> bytes:
        """Return the bytes and keep them no longer."""
        data = bytes(self.data)
        self.data.clear()
        return data

    def parse(self) -> None:
        """Parse as far as the pending requests and other connections allow."""
        left_bytes = _TURN_BYTES
        while self.data and not self.is_waiting and self.owner.may_parse():
            if left_bytes <= 0 or not self.turns.take(PARSE_BYTES):
                self.is_waiting = True
                self.turns.add(self)
                break
            left_bytes -= PARSE_BYTES
            part = bytes(self.data[:PARSE_BYTES])
            del self.data[:PARSE_BYTES]
            self.owner.feed(part)
        if self.owner.is_stopped():
            self.data.clear()
        self.update_reading()

    def parse_waiting(self) -> None:
        """Go on when other connections have had their turns."""
        self.is_waiting = False
        self.parse()

    def update_reading(self) -> None:
        """Pause reading while too many bytes are kept."""
        if self.transport.is_closing():
            return
        if len(self.data) > _MAX_UNPARSED_BYTES:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
