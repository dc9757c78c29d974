"""When a connection of a client is closed, and which of them are idle.

Example:
    lifetime = Lifetime(transport, listener.limits, writer)
    if lifetime.is_abandoned(now):
        transport.abort()
"""

import enum
import select
import typing

from godwitstall import clock
from godwitstall.http import delivery as delivery_module
from godwitstall.http import messages as http_messages
from godwitstall import paced_writer

# After its last response a connection is read for this long, until the client
# closes it.
_LINGER_S = 1.0

# A client reads slowly if it takes longer for the responses that wait for it,
# seconds. It is closed only when the process is short of memory.
_SLOW_READER_S = 10.0


class IdleRank(enum.Enum):
    """Order in which connections are closed at the limit, lowest first."""

    # The last response has been written.
    LINGERING = 0
    # No request has been received.
    SILENT = 1
    # A request is half read.
    HALF_READ = 2
    # Kept for the next request.
    KEPT = 3
    # The client does not read its responses.
    UNREAD = 4


class Lifetime:
    """Activity of one connection."""

    def __init__(
        self,
        transport: typing.Any,
        limits: http_messages.Limits,
        writer: paced_writer.PacedWriter,
    ) -> None:
        self.transport = transport
        self.limits = limits
        self.delivery = delivery_module.Delivery(transport, writer)
        # When the last response was written, or the connection was made.
        self.last_active_at = clock.recent()
        # When the client last sent bytes, or could not be expected to.
        self.received_at = clock.recent()
        # Whether any request has been read.
        self.has_served = False

    def idle_order(
        self, is_lingering: bool, is_half_read: bool, is_unread: bool
    ) -> tuple[int, float]:
        """Return the rank of a connection without a request in progress."""
        if is_lingering:
            rank = IdleRank.LINGERING
        elif is_unread:
            rank = IdleRank.UNREAD
        elif is_half_read:
            rank = IdleRank.HALF_READ
        elif self.has_served:
            rank = IdleRank.KEPT
        else:
            rank = IdleRank.SILENT
        return rank.value, max(self.moved_at(), self.last_active_at)

    def moved_at(self) -> float:
        """Time at which the client last read or sent something, seconds."""
        if self.delivery.unsent_bytes():
            return self.delivery.moved_at
        return self.received_at

    def is_idle_too_long(self, now: float) -> bool:
        """Return whether the client has kept the connection for too long."""
        return now - self._active_at() > self.limits.idle_timeout_s

    def _active_at(self) -> float:
        """Return when a response was last written, or read by the client."""
        return max(self.last_active_at, self.delivery.progress_at)

    def is_body_late(self, now: float) -> bool:
        """Return whether nothing of a body has arrived for too long."""
        return now - self.received_at > self.limits.idle_timeout_s

    def has_lingered(self, now: float) -> bool:
        """Return whether the client has had time for the last response."""
        return (
            now - self._active_at() > _LINGER_S
            and not self.transport.get_write_buffer_size()
        )

    def is_slow_reader(self, size: int) -> bool:
        """Return whether the client takes size bytes of responses slowly."""
        return self.delivery.is_slow(size, _SLOW_READER_S)

    def is_abandoned(self, now: float) -> bool:
        """Return whether the client has left, or reads no response."""
        return self._is_left_unread() or self._is_stalled(now)

    def _is_left_unread(self) -> bool:
        """Return whether the client has left while reading is paused."""
        if self.transport.is_closing() or self.transport.is_reading():
            return False
        poll = select.poll()
        client_socket = self.transport.get_extra_info('socket')
        poll.register(client_socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def _is_stalled(self, now: float) -> bool:
        """Return whether the client does not read its responses."""
        self.delivery.update(now)
        return self.delivery.is_stalled(now, self.limits.delivery_timeout_s)
