"""Writes a body to a transport only as fast as the peer takes it.

A transport copies what the kernel does not take at once, so a body that is
written whole is held twice while its peer reads slowly.

Example:
    writer = PacedWriter(transport)
    writer.write(head, body)
    # In resume_writing() of the protocol:
    if writer.resume():
        ...  # All has been passed to the transport.
"""

import typing

# Bytes that are passed to the transport at once.
PART_BYTES = 64 * 1024


class PacedWriter:
    """The body that is being written to one transport."""

    def __init__(self, transport: typing.Any) -> None:
        self.transport = transport
        self.body = b''
        # Bytes of the body that the transport has.
        self.written_bytes = 0
        # Size of all heads and bodies since the start.
        self.total_bytes = 0
        # Whether the transport has as much as it should hold.
        self.is_paused = False

    def is_busy(self) -> bool:
        """Return whether a part of the body is left."""
        return self.written_bytes < len(self.body)

    def held_bytes(self) -> int:
        """Return the size of the body, which is kept until its end."""
        return len(self.body)

    def left_bytes(self) -> int:
        """Return the number of bytes that the transport does not have yet."""
        return len(self.body) - self.written_bytes

    def write(self, head: bytes, body: bytes) -> None:
        """Write a head and as much of the body as the peer takes now.

        Nothing else may be written before resume() has returned True, if
        is_busy() is true after this.
        """
        self.total_bytes += len(head) + len(body)
        if len(body) <= PART_BYTES:
            self.transport.write(b'%b%b' % (head, body) if body else head)
            return
        self.transport.write(head)
        self.body = body
        self.written_bytes = 0
        self._write_parts()

    def pause(self) -> None:
        """Write no more; called by pause_writing() of the protocol."""
        self.is_paused = True

    def resume(self) -> bool:
        """Go on, and return whether nothing is left to be written."""
        self.is_paused = False
        self._write_parts()
        return not self.is_busy()

    def flush(self) -> None:
        """Pass all that is left to the transport, which copies it."""
        if self.is_busy():
            self.transport.write(memoryview(self.body)[self.written_bytes :])
        self.clear()

    def clear(self) -> None:
        """Drop what is left."""
        self.body = b''
        self.written_bytes = 0

    def _write_parts(self) -> None:
        view = memoryview(self.body)
        while self.written_bytes < len(view) and not self.is_paused:
            start = self.written_bytes
            # pause() may be called by the write.
            self.written_bytes = min(start + PART_BYTES, len(view))
            self.transport.write(view[start : self.written_bytes])
        if self.written_bytes == len(view):
            self.clear()
