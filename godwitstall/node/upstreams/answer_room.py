"""Room in the memory of the process for the answer on one connection.

The connection is not read while there is no room. The whole body of an answer
with a length has to fit; one without a length grows in steps.

Example:
    room = AnswerRoom(budget)
    room.open(transport, request_started_at)
    room.reserve(content_length)
"""

import typing

from godwitstall import byte_budget

# Bytes by which an answer without Content-Length grows between two checks of
# the room, and as a fraction of what the process may hold if that is less.
_GROWTH_BYTES = 1024 * 1024
_GROWTH_FRACTION = 1 / 32


class AnswerRoom:
    """The reservations for the body of one answer at a time."""

    def __init__(self, budget: byte_budget.ByteBudget) -> None:
        self.budget = budget
        # None until the request has been sent.
        self.transport: typing.Any = None
        # Time at which the request was sent, seconds.
        self.started_at = 0.0
        # Room for a body whose length is known, if it is not small.
        self.whole: byte_budget.Reservation | None = None
        # Size up to which another body may grow, bytes, and the request for
        # more while there is none.
        self.allowed_bytes = budget.unreserved_bytes
        self.growth: byte_budget.Reservation | None = None

    def open(self, transport: typing.Any, started_at: float) -> None:
        """Prepare for the answer to a request."""
        self.transport = transport
        self.started_at = started_at

    def reserve(self, size: int) -> bool:
        """Reserve room for a whole body; until then nothing is read.

        Returns False if it can never have room.
        """
        if size <= self.budget.unreserved_bytes:
            return True
        if size > self.budget.total_bytes:
            return False
        self.whole = self.budget.reserve(
            size, self.started_at, self._resume_reading
        )
        if not self.whole.is_granted:
            self.transport.pause_reading()
        return True

    def check_growth(self, size: int) -> None:
        """Read a body that has grown to size further only if there is room."""
        if (
            self.whole is not None
            or self.growth is not None
            or size <= self.allowed_bytes
        ):
            return
        step_bytes = int(self.budget.limit_bytes * _GROWTH_FRACTION)
        growth = self.budget.reserve(
            min(_GROWTH_BYTES, step_bytes),
            self.started_at,
            self._on_growth_granted,
        )
        if growth.is_granted:
            self._allow(growth)
        else:
            self.growth = growth
            self.transport.pause_reading()

    def has_whole(self) -> bool:
        """Return whether the budget counts the body as a reservation."""
        return self.whole is not None and self.whole.is_granted

    def is_stuck(self) -> bool:
        """Return whether the body waits to grow, behind older requests."""
        return self.growth is not None and not self.budget.is_oldest(
            self.growth
        )

    def release(self) -> None:
        """Free the room of the answer."""
        for reservation in (self.whole, self.growth):
            if reservation is not None:
                reservation.release()
        self.whole = self.growth = None
        self.allowed_bytes = self.budget.unreserved_bytes

    def _on_growth_granted(self) -> None:
        growth, self.growth = self.growth, None
        if growth is not None:
            self._allow(growth)
            self._resume_reading()

    def _allow(self, growth: byte_budget.Reservation) -> None:
        # The budget counts the body as it grows.
        growth.release()
        self.allowed_bytes += growth.size

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()
