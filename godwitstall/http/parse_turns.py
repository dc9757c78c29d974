"""Shares the parsing time of the event loop between connections.

A client can fill a read with tens of thousands of small chunks, and a crowd of
such clients would hold the loop for seconds. At most _TURN_BYTES are parsed
between two polls; connections with more wait for their turns.

Example:
    if turns.take(len(data)):
        parser.feed(data)
    else:
        turns.add(connection)
"""

import asyncio
import collections
import typing

from godwitstall import clock

# Bytes of all connections that are parsed between two polls.
_TURN_BYTES = 64 * 1024


class Waiter(typing.Protocol):
    """A connection with bytes to parse."""

    def parse_waiting(self) -> None:
        """Parse some bytes; call add() again if more are left."""


class ParseTurns:
    """The connections of a listener that wait to parse."""

    def __init__(self) -> None:
        self.waiting: collections.deque[Waiter] = collections.deque()
        # Time of clock.recent(), which is the same until the next poll.
        self.turn_at = 0.0
        # Bytes parsed since then.
        self.parsed_bytes = 0
        self.is_scheduled = False

    def take(self, size: int) -> bool:
        """Return whether size bytes may be parsed now, and count them."""
        now = clock.recent()
        if now != self.turn_at:
            self.turn_at = now
            self.parsed_bytes = 0
        elif self.parsed_bytes >= _TURN_BYTES:
            return False
        self.parsed_bytes += size
        return True

    def add(self, waiter: Waiter) -> None:
        """Let a connection parse in its turn."""
        self.waiting.append(waiter)
        self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled and self.waiting:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self.is_scheduled = False
        # Each connection that waits now gets one turn at most.
        for _ in range(len(self.waiting)):
            if not self.take(0):
                break
            self.waiting.popleft().parse_waiting()
        self._schedule()
