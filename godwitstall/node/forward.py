"""Links to other nodes, over which calls reach the owners of upstreams.

One link a peer, opened at the first call and kept. Answers are matched by
call id; an answer whose call is gone is counted and dropped.
"""

import asyncio
import contextlib
import functools
import itertools
import typing

from godwitstall import clock
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics

_LOG = logs.get('forward')
_STRAY = metrics.counter(
    'stray_answers_total', 'Answers from owners that no call waited for.'
)

# The owner answers a call that passed its deadline by itself; the entry
# waits this much longer for that answer, seconds.
_ANSWER_GRACE_S = 0.25

# A peer on the same network connects within milliseconds; calls wait for it.
_CONNECT_TIMEOUT_S = 0.4

# Time between two looks at links whose calls wait, and silence of a link
# after which the peer is asked for a sign of life or given up, seconds. A
# link can go silent without an end while a new one works.
_WATCH_INTERVAL_S = 0.2
_ASK_AFTER_S = 0.4
_GIVE_UP_AFTER_S = 1.2

# After a failed connection the peer is not tried again for this long.
_RECONNECT_S = 0.5


class _Peer:
    """Link to one node and the calls on it."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.link: link_module.Link | None = None
        # Calls that wait for their answer, by call id, with the link that
        # each was sent over.
        self.waiting: dict[
            int, tuple[link_module.Link, asyncio.Future[typing.Any]]
        ] = {}
        # Calls that wait for a link or an answer.
        self.users = 0
        self.reader: asyncio.Task[None] | None = None
        # When the peer was last heard or asked for a sign, seconds.
        self.heard_at = 0.0
        self.asked_at = 0.0
        # Serves to open one connection at a time.
        self.lock = asyncio.Lock()
        # No new connection before this time, seconds.
        self.retry_at = 0.0

    def is_open(self) -> bool:
        """Return whether the link can be used."""
        return self.link is not None and not self.link.is_closed

    def on_message(
        self, link: link_module.Link, message: messages.Message
    ) -> None:
        """Hand an answer to its call."""
        self.heard_at = clock.recent()
        if not isinstance(message, messages.Answer | messages.TakeReply):
            _LOG.warning('Unexpected %s.', type(message).__name__)
            return
        if not message.call_id:
            return
        sent_over, future = self.waiting.get(message.call_id, (None, None))
        if future is None or future.done() or sent_over is not link:
            _STRAY.inc()
            return
        future.set_result(message)

    def watch(self, now: float) -> None:
        """Ask a silent peer for a sign of life, or give the link up."""
        link = self.link
        if link is None or link.is_closed or not self.waiting:
            self.heard_at = now
            self.asked_at = 0.0
            return
        if not self.asked_at:
            if now - self.heard_at > _ASK_AFTER_S:
                self.asked_at = now
                with contextlib.suppress(errors.LinkError):
                    link.send(messages.Cancel(0))
        elif self.heard_at >= self.asked_at:
            self.asked_at = 0.0
        elif now - self.asked_at > _GIVE_UP_AFTER_S - _ASK_AFTER_S:
            _LOG.warning('Node at %s is silent.', self.address)
            self.asked_at = 0.0
            link.abort()

    async def read(self, link: link_module.Link) -> None:
        """Read the link to its end, then fail the calls on it.

        A closed link may take long to end when the peer does not read; calls
        on the next link are not concerned.
        """
        try:
            await link.run_sync_handler(
                functools.partial(self.on_message, link)
            )
        finally:
            for sent_over, future in self.waiting.values():
                if sent_over is link and not future.done():
                    future.set_exception(
                        errors.RequestError(errors.ErrorKind.PEER_LOST)
                    )


class Forwarder:
    """Sends calls to owner nodes."""

    def __init__(
        self, identity: link_module.Identity, local_host: str
    ) -> None:
        self.identity = identity
        # Address that outgoing links come from.
        self.local_host = local_host
        self.peers: dict[str, _Peer] = {}
        self.call_ids = itertools.count(1)

    async def run(self) -> None:
        """Watch for links that went silent until cancelled."""
        while True:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            now = clock.recent()
            for peer in list(self.peers.values()):
                peer.watch(now)

    async def call(self, address: str, call: messages.Call) -> messages.Answer:
        """Send a call to the owner at address and return its answer.

        Errors: RequestError of kind UPSTREAM_UNREACHABLE when nothing was
        sent, PEER_LOST or UPSTREAM_TIMEOUT when the outcome is unknown. A
        cancellation tells the owner that the caller gave up.
        """
        left_s = call.deadline_ms / 1000
        answer: messages.Answer = await self._ask(
            address, call, left_s, left_s + _ANSWER_GRACE_S
        )
        return answer

    async def take(
        self, address: str, question: messages.Take, timeout_s: float
    ) -> messages.TakeReply:
        """Ask another node for a token and return its reply.

        Errors: as of call().
        """
        reply: messages.TakeReply = await self._ask(
            address, question, timeout_s, timeout_s
        )
        return reply

    async def _ask(
        self,
        address: str,
        question: messages.Call | messages.Take,
        connect_s: float,
        answer_s: float,
    ) -> typing.Any:
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = _Peer(address)
        peer.users += 1
        try:
            link = await self._link_of(peer, connect_s)
            return await self._send(peer, link, question, answer_s)
        finally:
            peer.users -= 1

    async def _send(
        self,
        peer: _Peer,
        link: link_module.Link,
        call: messages.Call | messages.Take,
        timeout_s: float,
    ) -> typing.Any:
        call.call_id = next(self.call_ids)
        future: asyncio.Future[typing.Any]
        future = asyncio.get_running_loop().create_future()
        peer.waiting[call.call_id] = link, future
        timer = asyncio.get_running_loop().call_later(
            timeout_s, _time_out, future
        )
        try:
            link.send(call)
            return await future
        except errors.LinkError as e:
            raise errors.RequestError(
                errors.ErrorKind.UPSTREAM_UNREACHABLE, e.detail
            ) from e
        except asyncio.CancelledError:
            # Without the link the owner cancels by itself.
            with contextlib.suppress(errors.LinkError):
                link.send(messages.Cancel(call.call_id))
            raise
        finally:
            timer.cancel()
            del peer.waiting[call.call_id]

    async def _link_of(
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
        async with peer.lock:
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
                peer.retry_at = clock.now() + _RECONNECT_S
                raise errors.RequestError(
                    errors.ErrorKind.UPSTREAM_UNREACHABLE, e.detail
                ) from e
            peer.link = link
            peer.heard_at = clock.recent()
            peer.asked_at = 0.0
            peer.reader = asyncio.create_task(peer.read(link))

    def keep_only(self, addresses: set[str]) -> None:
        """Close links to nodes that are gone, once no call uses them."""
        for address, peer in list(self.peers.items()):
            if address in addresses or peer.users:
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
        """Return the state for the dump."""
        return {
            address: {
                'is_open': peer.is_open(),
                'waiting': len(peer.waiting),
            }
            for address, peer in self.peers.items()
        }


def _time_out(future: asyncio.Future[typing.Any]) -> None:
    if not future.done():
        future.set_exception(
            errors.RequestError(errors.ErrorKind.UPSTREAM_TIMEOUT)
        )
