"""Forwards calls over links to the nodes that own the upstreams.

There is one link per peer, which is opened by the first call and kept open.
Answers are matched to calls by call id; an answer without a pending call is
counted and dropped.
"""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import typing

import msgspec

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import link_bodies
from godwitstall import link_server
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import answers

_LOG = logs.get('forward')
_STRAY_ANSWERS = metrics.counter(
    'stray_answers_total', 'Answers from owners that no call waited for.'
)

# The owner itself answers a call whose deadline has passed. The entry node
# waits this long after the deadline for that answer, seconds.
_ANSWER_GRACE_S = 0.25

# Calls wait while the link is opened. A peer on the same network accepts
# within milliseconds.
_CONNECT_TIMEOUT_S = 0.4

# Interval at which links with pending calls are checked, and time without a
# message after which such a link is pinged or aborted, seconds. A link can
# stop delivering messages without being closed while a new link works.
_WATCH_INTERVAL_S = 0.2
_PING_AFTER_S = 0.4
_ABORT_AFTER_S = 1.2

# Time after a failed connection before the next one is attempted, seconds.
_RECONNECT_DELAY_S = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class _PendingCall:
    """A call that waits for its answer."""

    link: link_module.Link
    future: asyncio.Future[typing.Any]
    # Time at which it was passed to the link, seconds.
    started_at: float
    # Whether its body is still being sent, so that it has not been run.
    is_unsent: bool = False

    def fail(
        self, kind: errors.ErrorKind, detail: str = '', retry_after_ms: int = 0
    ) -> None:
        """Fail the call if it has no answer yet."""
        if not self.future.done():
            self.future.set_exception(
                errors.RequestError(kind, detail, retry_after_ms)
            )

    def time_out(self) -> None:
        """Fail the call at the end of its time."""
        if self.is_unsent:
            self.fail(errors.ErrorKind.DEADLINE_PASSED)
        else:
            self.fail(errors.ErrorKind.UPSTREAM_TIMEOUT)


class _Peer:
    """Link to one node and the pending calls on it."""

    def __init__(
        self, address: str, budget: byte_budget.ByteBudget | None
    ) -> None:
        self.address = address
        self.budget = budget or byte_budget.ByteBudget(
            'forwarder', link_server.MAX_HELD_BYTES
        )
        self.link: link_module.Link | None = None
        # Bodies on the link; set with it.
        self.bodies: link_bodies.LinkBodies
        # Calls that wait for their answer, by call id.
        self.pending: dict[int, _PendingCall] = {}
        # Number of calls that wait for the link or for an answer.
        self.use_count = 0
        self.read_task: asyncio.Task[None] | None = None
        # Time of the last message from the peer, and time of the unanswered
        # ping (0 if there is none), seconds.
        self.last_received_at = 0.0
        self.pinged_at = 0.0
        # Held while a connection is being opened.
        self.connect_lock = asyncio.Lock()
        # No new connection before this time, seconds.
        self.retry_at = 0.0

    def is_open(self) -> bool:
        """Return whether the link can be used."""
        return self.link is not None and not self.link.is_closed

    def on_message(
        self, link: link_module.Link, message: messages.Message
    ) -> None:
        """Deliver an answer to its pending call."""
        self.last_received_at = clock.recent()
        match message:
            case messages.BodyOffer():
                self._on_offer(link, message)
            case messages.BodyPart():
                self.bodies.on_part(message)
            case messages.BodyGrant():
                self.bodies.on_grant(message)
            case messages.Answer(call_id=0, kind=errors.ErrorKind.STOPPING):
                self.on_end(link, message)
            case messages.Answer(call_id=0) | messages.TakeReply(call_id=0):
                # The reply to a ping.
                pass
            case messages.Answer() | messages.TakeReply():
                self._on_reply(link, message)
            case _:
                _LOG.warning('Unexpected message %s.', type(message).__name__)

    def _on_offer(
        self, link: link_module.Link, offer: messages.BodyOffer
    ) -> None:
        """Receive the body of an answer when there is room for it."""
        pending = self.pending.get(offer.call_id)
        if pending is None or pending.future.done():
            with contextlib.suppress(errors.LinkError):
                link.send(messages.Cancel(offer.call_id))
        elif offer.size > self.bodies.budget.total_bytes:
            pending.fail(errors.ErrorKind.ANSWER_TOO_LARGE)
            with contextlib.suppress(errors.LinkError):
                link.send(messages.Cancel(offer.call_id))
        else:
            self.bodies.on_offer(offer, pending.started_at)

    def _on_reply(
        self,
        link: link_module.Link,
        message: messages.Answer | messages.TakeReply,
    ) -> None:
        pending = self.pending.get(message.call_id)
        if (
            pending is None
            or pending.future.done()
            or (pending.link is not link)
        ):
            _STRAY_ANSWERS.inc()
            return
        if isinstance(message, messages.Answer):
            if message.kind is errors.ErrorKind.PEER_LOST:
                # The owner stops, and has cut the call.
                pending.fail(message.kind, message.detail)
                return
            try:
                answers.check_status(message)
            except errors.RequestError as e:
                pending.future.set_exception(e)
                return
            self.bodies.take(message)
        pending.future.set_result(message)

    def on_end(self, link: link_module.Link, message: messages.Answer) -> None:
        """Close a link that the owner reads no more.

        The owner has answered the calls that it may have run.
        """
        link.close()
        self._fail_calls(link, message.kind, message.retry_after_ms)

    def _fail_calls(
        self,
        link: link_module.Link,
        kind: errors.ErrorKind,
        retry_after_ms: int = 0,
    ) -> None:
        """Fail the pending calls that were sent over a link."""
        for pending in self.pending.values():
            if pending.link is not link:
                continue
            if pending.is_unsent and kind is errors.ErrorKind.PEER_LOST:
                pending.fail(errors.ErrorKind.UPSTREAM_UNREACHABLE)
            else:
                pending.fail(kind, retry_after_ms=retry_after_ms)

    def check_silence(self, now: float) -> None:
        """Ping a silent peer, or abort the link if a ping was not answered."""
        link = self.link
        if link is None or link.is_closed or not self.pending:
            self.last_received_at = now
            self.pinged_at = 0.0
            return
        if not self.pinged_at:
            if now - self.last_received_at > _PING_AFTER_S:
                self.pinged_at = now
                # No call has the id 0, so that this serves as a ping.
                with contextlib.suppress(errors.LinkError):
                    link.send(messages.Cancel(0))
        elif self.last_received_at >= self.pinged_at:
            self.pinged_at = 0.0
        elif now - self.pinged_at > _ABORT_AFTER_S - _PING_AFTER_S:
            _LOG.warning('Node at %s does not respond.', self.address)
            self.pinged_at = 0.0
            link.abort()

    async def read(
        self, link: link_module.Link, bodies: link_bodies.LinkBodies
    ) -> None:
        """Read from the link until it ends, then fail the calls sent over it.

        A closed link may take a long time to end if the peer does not read.
        Calls on the link that replaced it are not affected.
        """
        try:
            await link.run_sync_handler(
                functools.partial(self.on_message, link)
            )
        finally:
            bodies.close()
            self._fail_calls(link, errors.ErrorKind.PEER_LOST)


class Forwarder:
    """Sends calls to owner nodes."""

    def __init__(
        self,
        identity: link_module.Identity,
        local_host: str,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self.identity = identity
        # Bounds what the process holds; None selects one for each peer.
        self.budget = budget
        # Source address of outgoing links.
        self.local_host = local_host
        self.peers: dict[str, _Peer] = {}
        self.call_ids = itertools.count(1)

    async def run(self) -> None:
        """Check for silent links until cancelled."""
        while True:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            now = clock.recent()
            for peer in list(self.peers.values()):
                peer.check_silence(now)

    async def call(self, address: str, call: messages.Call) -> messages.Answer:
        """Send a call to the owner at address and return its answer.

        Errors: RequestError of kind UPSTREAM_UNREACHABLE if the call was not
        sent, DEADLINE_PASSED if no link was open in time, PEER_LOST or
        UPSTREAM_TIMEOUT if the outcome is unknown. A cancellation cancels the
        call at the owner.
        """
        remaining_s = call.deadline_ms / 1000
        answer: messages.Answer = await self._request(
            address, call, remaining_s, remaining_s + _ANSWER_GRACE_S
        )
        return answer

    async def take(
        self, address: str, request: messages.Take, timeout_s: float
    ) -> messages.TakeReply:
        """Request a token from another node and return its reply.

        Errors: the same as those of call().
        """
        reply: messages.TakeReply = await self._request(
            address, request, timeout_s, timeout_s
        )
        return reply

    async def _request(
        self,
        address: str,
        request: messages.Call | messages.Take,
        connect_timeout_s: float,
        answer_timeout_s: float,
    ) -> typing.Any:
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = _Peer(address, self.budget)
        peer.use_count += 1
        try:
            link = await self._get_link(peer, connect_timeout_s)
            return await self._send(peer, link, request, answer_timeout_s)
        finally:
            peer.use_count -= 1

    async def _send(
        self,
        peer: _Peer,
        link: link_module.Link,
        request: messages.Call | messages.Take,
        timeout_s: float,
    ) -> typing.Any:
        request.call_id = next(self.call_ids)
        loop = asyncio.get_running_loop()
        pending = _PendingCall(link, loop.create_future(), clock.recent())
        peer.pending[request.call_id] = pending
        timer = loop.call_later(timeout_s, pending.time_out)
        sending: asyncio.Task[None] | None = None
        try:
            if isinstance(request, messages.Call) and (
                peer.bodies.sends_in_parts(request.body)
            ):
                pending.is_unsent = True
                sending = asyncio.create_task(
                    _send_in_parts(peer.bodies, pending, request)
                )
            else:
                link.send(request)
            return await pending.future
        except errors.LinkError as e:
            raise errors.RequestError(
                errors.ErrorKind.UPSTREAM_UNREACHABLE, e.detail
            ) from e
        except asyncio.CancelledError:
            # If the link is lost, the owner cancels the call by itself.
            with contextlib.suppress(errors.LinkError):
                link.send(messages.Cancel(request.call_id))
            raise
        finally:
            timer.cancel()
            del peer.pending[request.call_id]
            self._end_bodies(peer, pending, request.call_id, sending)

    def _end_bodies(
        self,
        peer: _Peer,
        pending: _PendingCall,
        call_id: int,
        sending: asyncio.Task[None] | None,
    ) -> None:
        """End what is still being sent or received for a call."""
        if sending is not None:
            sending.cancel()
        is_half_received = peer.link is pending.link and peer.bodies.forget(
            call_id
        )
        if is_half_received or pending.is_unsent:
            # The owner drops the call, or its answer.
            with contextlib.suppress(errors.LinkError):
                pending.link.send(messages.Cancel(call_id))

    async def _get_link(
        self, peer: _Peer, timeout_s: float
    ) -> link_module.Link:
        if not peer.is_open():
            try:
                async with asyncio.timeout(timeout_s):
                    await self._open(peer)
            except TimeoutError as e:
                raise errors.RequestError(
                    errors.ErrorKind.DEADLINE_PASSED
                ) from e
        assert peer.link is not None
        return peer.link

    async def _open(self, peer: _Peer) -> None:
        async with peer.connect_lock:
            if peer.is_open():
                return
            if clock.recent() < peer.retry_at:
                raise errors.RequestError(
                    errors.ErrorKind.UPSTREAM_UNREACHABLE,
                    f'No link to {peer.address}.',
                )
            try:
                link = await link_module.connect(
                    peer.address,
                    self.identity,
                    _CONNECT_TIMEOUT_S,
                    self.local_host,
                )
            except errors.LinkError as e:
                peer.retry_at = clock.now() + _RECONNECT_DELAY_S
                raise errors.RequestError(
                    errors.ErrorKind.UPSTREAM_UNREACHABLE, e.detail
                ) from e
            peer.link = link
            peer.bodies = link_bodies.LinkBodies(link, peer.budget)
            peer.last_received_at = clock.recent()
            peer.pinged_at = 0.0
            peer.read_task = asyncio.create_task(peer.read(link, peer.bodies))

    def close_links_except(self, addresses: set[str]) -> None:
        """Close unused links to nodes that are not at these addresses."""
        for address, peer in list(self.peers.items()):
            if address in addresses or peer.use_count:
                continue
            if peer.link is not None:
                peer.link.close()
            del self.peers[address]

    def close(self) -> None:
        """Close all links."""
        for peer in self.peers.values():
            if peer.link is not None:
                peer.link.close()

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            address: {
                'is_open': peer.is_open(),
                'waiting': len(peer.pending),
            }
            for address, peer in self.peers.items()
        }


async def _send_in_parts(
    bodies: link_bodies.LinkBodies, pending: _PendingCall, call: messages.Call
) -> None:
    """Send a call behind its body, and fail it if the link is lost."""
    try:
        await bodies.send(call.call_id, call.body)
        passed_ms = (clock.recent() - pending.started_at) * 1000
        bodies.link.send(
            msgspec.structs.replace(
                call,
                body=b'',
                body_bytes=len(call.body),
                deadline_ms=max(1, int(call.deadline_ms - passed_ms)),
            )
        )
        pending.is_unsent = False
    except errors.LinkError as e:
        pending.fail(errors.ErrorKind.UPSTREAM_UNREACHABLE, e.detail)
