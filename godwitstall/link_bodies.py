"""Large bodies of calls and answers on one link.

A large body is offered first. The receiver grants it when the process has room
for all of it, and the sender then sends parts as fast as the link takes them.
The call or the answer itself follows as the end of its body, so a message that
is cut is never taken for a whole one, and a call whose body was not sent in
full has not been run.

Example:
    bodies = LinkBodies(link, budget)
    await bodies.send(call.call_id, call.body)
    link.send(call_without_body)
"""

import asyncio
import contextlib
import dataclasses
import typing

from godwitstall import byte_budget
from godwitstall import codec
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import messages

# A longer body is sent in parts, bytes.
MAX_WHOLE_BYTES = 256 * 1024

# A longer body cannot be sent to a peer that takes no parts, bytes.
_MAX_WHOLE_BYTES_OF_OLD_PEERS = codec.MAX_FRAME_BYTES - 1024 * 1024

_PART_BYTES = 64 * 1024

# Other tasks run after this number of parts.
_PARTS_OF_TURN = 16


@dataclasses.dataclass(slots=True)
class _Incoming:
    """A body that is being received."""

    reservation: byte_budget.Reservation
    body: bytearray = dataclasses.field(default_factory=bytearray)


class LinkBodies:
    """The bodies that one link sends and receives in parts."""

    def __init__(
        self, link: link_module.Link, budget: byte_budget.ByteBudget
    ) -> None:
        self.link = link
        self.budget = budget
        # Bodies that were offered to the peer, by call id.
        self.offered: dict[int, asyncio.Future[None]] = {}
        # Bodies that the peer has offered, by call id.
        self.incoming: dict[int, _Incoming] = {}

    def sends_in_parts(self, body: bytes) -> bool:
        """Return whether a body has to be sent ahead of its message.

        Errors: LinkError of kind PEER_LOST if the peer cannot receive it.
        """
        if len(body) <= MAX_WHOLE_BYTES:
            return False
        if self.link.peer_takes_parts:
            return True
        if len(body) > _MAX_WHOLE_BYTES_OF_OLD_PEERS:
            raise errors.LinkError(
                errors.ErrorKind.PEER_LOST,
                'The peer is of a version that takes no bodies in parts.',
            )
        return False

    async def send(self, call_id: int, body: bytes) -> None:
        """Send a body; its message has to follow.

        Errors: LinkError of kind PEER_LOST when the link is closed. After a
        cancellation the peer must be told that the message does not follow.
        """
        granted = asyncio.get_running_loop().create_future()
        self.offered[call_id] = granted
        try:
            self.link.send(messages.BodyOffer(call_id, len(body)))
            await granted
        finally:
            del self.offered[call_id]
        view = memoryview(body)
        for number, start in enumerate(range(0, len(view), _PART_BYTES)):
            if number % _PARTS_OF_TURN == 0:
                await asyncio.sleep(0)
            # Nothing is awaited between this and the sending of the part.
            await self.link.wait_writable()
            part = bytes(view[start : start + _PART_BYTES])
            self.link.send(messages.BodyPart(call_id, part))

    def on_grant(self, grant: messages.BodyGrant) -> None:
        """Send a body that the peer has room for."""
        granted = self.offered.get(grant.call_id)
        if granted is not None and not granted.done():
            granted.set_result(None)

    def on_offer(self, offer: messages.BodyOffer, requested_at: float) -> None:
        """Grant an offered body when there is room.

        requested_at is the time of its request, seconds of clock.recent().
        """
        self.forget(offer.call_id)
        incoming = _Incoming(
            self.budget.reserve(
                offer.size,
                requested_at,
                lambda: self._send_grant(offer.call_id),
            )
        )
        self.incoming[offer.call_id] = incoming
        if incoming.reservation.is_granted:
            self._send_grant(offer.call_id)

    def on_offer_at_once(
        self, offer: messages.BodyOffer, requested_at: float
    ) -> bool:
        """Grant an offered body, and return False if there is no room now."""
        if not self.budget.has_room(offer.size):
            return False
        self.on_offer(offer, requested_at)
        return True

    def _send_grant(self, call_id: int) -> None:
        # The reader of the link notices that it is closed.
        with contextlib.suppress(errors.LinkError):
            self.link.send(messages.BodyGrant(call_id))

    def on_part(self, part: messages.BodyPart) -> None:
        """Add a part to its body; parts of a forgotten one are dropped.

        Errors: LinkError of kind BAD_MESSAGE for more than was granted.
        """
        incoming = self.incoming.get(part.call_id)
        if incoming is None:
            return
        incoming.body += part.data
        if (
            len(incoming.body) > incoming.reservation.size
            or not incoming.reservation.is_granted
        ):
            raise errors.LinkError(
                errors.ErrorKind.BAD_MESSAGE, 'A body exceeds its offer.'
            )

    def take(self, message: messages.Call | messages.Answer) -> None:
        """Complete a message with the body that was sent ahead of it.

        Errors: LinkError of kind BAD_MESSAGE if the body is not whole.
        """
        if not message.body_bytes:
            return
        incoming = self.incoming.pop(message.call_id, None)
        if incoming is not None:
            incoming.reservation.release()
        if incoming is None or len(incoming.body) != message.body_bytes:
            raise errors.LinkError(
                errors.ErrorKind.BAD_MESSAGE, 'A body is not whole.'
            )
        # A copy would take its size once more.
        message.body = typing.cast(bytes, incoming.body)

    def forget(self, call_id: int) -> bool:
        """Free the body of a call; return whether there was one."""
        incoming = self.incoming.pop(call_id, None)
        if incoming is not None:
            incoming.reservation.release()
        return incoming is not None

    def close(self) -> None:
        """Fail what is being sent, and free what was received."""
        for granted in self.offered.values():
            if not granted.done():
                granted.set_exception(
                    errors.LinkError(errors.ErrorKind.PEER_LOST)
                )
        for call_id in list(self.incoming):
            self.forget(call_id)
