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

_INT = struct.Struct('i')


class Delivery:
    """Observes how many bytes of one connection are on their way."""

    def __init__(self, transport: typing.Any) -> None:
        self.transport = transport
        # Bytes on their way at the last update.
        self.pending_bytes = 0
        # Time of the last update at which fewer bytes were on their way, or
        # none, seconds.
        self.moved_at = clock.recent()

    def unsent_bytes(self) -> int:
        """Return the number of bytes in the buffer of the process."""
        size: int = self.transport.get_write_buffer_size()
        return size

    def update(self, now: float) -> None:
        """Note whether the peer has received bytes since the last update.

        The buffer of the process changes only when the kernel has room for
        many bytes, so what the kernel has not delivered is counted as well.
        """
        unsent_bytes = self.unsent_bytes()
        pending_bytes = unsent_bytes
        if unsent_bytes:
            pending_bytes += self._kernel_bytes()
        if not unsent_bytes or pending_bytes < self.pending_bytes:
            self.moved_at = now
        self.pending_bytes = pending_bytes

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
