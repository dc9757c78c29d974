"""Progress of the bytes that a peer has not received yet.

Example:
    delivery = delivery_module.Delivery(transport)
    delivery.update(clock.recent())
    if delivery.is_stalled(clock.recent(), limits.idle_timeout_s): ...
"""

import fcntl
import struct
import termios
import typing

from godwitstall import clock
from godwitstall import paced_writer

_INT = struct.Struct('i')

# The kernel may still have a response of this size when the process has none,
# bytes. Smaller ones are delivered or lost within a moment.
_LARGE_BYTES = 64 * 1024

# Time over which the rate of a peer is measured, seconds.
_RATE_WINDOW_S = 1.0


class Delivery:
    """Observes how many bytes of one connection are on their way."""

    def __init__(
        self, transport: typing.Any, writer: paced_writer.PacedWriter
    ) -> None:
        self.transport = transport
        # Has the rest of the body that is being written.
        self.writer = writer
        # Bytes on their way at the last update.
        self.pending_bytes = 0
        # Time of the last update at which fewer bytes were on their way, or
        # none, seconds.
        self.moved_at = clock.recent()
        # Time of the last update at which it took some of them, seconds.
        self.progress_at = 0.0
        # What the peer had taken and what was written at the last update,
        # bytes.
        self._taken_bytes = 0
        self._written_bytes = 0
        # Bytes that the peer takes in a second, None if it keeps up.
        self.rate: float | None = None
        # Start of the window in which the rate is measured, seconds, and what
        # the peer had taken until then, bytes.
        self._window_at = clock.recent()
        self._window_bytes = 0

    def unsent_bytes(self) -> int:
        """Return the number of bytes in the buffer of the process."""
        size: int = self.transport.get_write_buffer_size()
        return size + self.writer.left_bytes()

    def update(self, now: float) -> None:
        """Note whether the peer has received bytes since the last update.

        The buffer of the process changes only when the kernel has room for
        many bytes, so what the kernel has not delivered is counted as well.
        """
        unsent_bytes = self.unsent_bytes()
        written_bytes = self.writer.total_bytes - self._written_bytes
        is_large = written_bytes > _LARGE_BYTES
        if not (unsent_bytes or self.pending_bytes or is_large):
            self.moved_at = now
            return
        pending_bytes = unsent_bytes + self._kernel_bytes()
        taken_bytes = self.writer.total_bytes - pending_bytes
        if taken_bytes > self._taken_bytes:
            self.progress_at = now
        if not unsent_bytes or pending_bytes < self.pending_bytes:
            self.moved_at = now
        self.pending_bytes = pending_bytes
        self._taken_bytes = taken_bytes
        self._written_bytes = self.writer.total_bytes
        self._update_rate(now, unsent_bytes, taken_bytes)

    def _update_rate(
        self, now: float, unsent_bytes: int, taken_bytes: int
    ) -> None:
        passed_s = now - self._window_at
        if unsent_bytes and passed_s < _RATE_WINDOW_S:
            return
        if unsent_bytes:
            self.rate = (taken_bytes - self._window_bytes) / passed_s
        else:
            self.rate = None
        self._window_at = now
        self._window_bytes = taken_bytes

    def is_slow(self, size: int, timeout_s: float) -> bool:
        """Return whether the peer would take size bytes in over timeout_s."""
        return self.rate is not None and size > self.rate * timeout_s

    def _kernel_bytes(self) -> int:
        """Return the bytes that the peer has not acknowledged."""
        client_socket = self.transport.get_extra_info('socket')
        try:
            value = fcntl.ioctl(
                client_socket.fileno(), termios.TIOCOUTQ, bytes(_INT.size)
            )
        except OSError:
            # The connection is closed.
            return 0
        (size,) = _INT.unpack(value)
        return int(size)

    def is_stalled(self, now: float, timeout_s: float) -> bool:
        """Return whether the peer has received nothing for timeout_s."""
        return bool(self.unsent_bytes()) and now - self.moved_at > timeout_s
