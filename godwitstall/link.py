"""A framed connection between two processes of one fleet.

A frame is a 4-byte big-endian length and one encoded message. Both sides
prove in the handshake that they know the fleet secret. One task reads each
link: replies wake the request that waits for them, everything else goes to
the handler of the link.

Example:
    link = await link.connect('10.0.0.1:7100', identity)
    reply = await link.request(messages.BarrierRequest(), timeout_s=1.0)
"""

import abc
import asyncio
import collections.abc
import contextlib
import dataclasses
import hashlib
import hmac
import itertools
import secrets
import typing

from godwitstall import codec
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics

_LOG = logs.get('link')
_GARBAGE = metrics.counter(
    'link_garbage_total', 'Links closed because of bytes that are no message.'
)

_LENGTH_BYTES = 4
_NONCE_BYTES = 16
_READ_BYTES = 64 * 1024

# Links that wait in the kernel, as when all nodes of a zone come back.
_BACKLOG = 1024

# A peer that does not finish the handshake in this time is dropped.
HANDSHAKE_TIMEOUT_S = 2.0

# Before the handshake is done nobody may make this process buffer more.
_MAX_GREETING_BYTES = 4096

# A peer that reads this slowly is dropped, so that its frames cannot fill
# the memory of the sender.
MAX_UNSENT_BYTES = 32 * 1024 * 1024

_REPLIES = (
    messages.Error,
    messages.HeartbeatReply,
    messages.GrantReply,
    messages.ProposeReply,
    messages.QueryReply,
    messages.VoteReply,
    messages.AppendReply,
    messages.SnapshotReply,
    messages.BarrierReply,
    messages.Done,
    messages.Directory,
)

Handler = collections.abc.Callable[
    [messages.Message], collections.abc.Awaitable[None]
]
DirectHandler = collections.abc.Callable[[messages.Message], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is towards its peers."""

    # What the process is.
    role: messages.Role
    # Node id, replica slot or operator name.
    sender_id: str
    # Secret shared by all processes of the fleet.
    secret: bytes


def _proof(secret: bytes, side: bytes, nonce: bytes, sender: str) -> bytes:
    return hmac.digest(secret, side + nonce + sender.encode(), hashlib.sha256)


class Link:
    """One open connection; made by connect() or accept()."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.reader = reader
        self.writer = writer
        # Id that the peer proved to be allowed to use.
        self.peer_id = ''
        # What the peer is.
        self.peer_role = messages.Role.NODE
        # Requests that wait for their reply, by sequence number.
        self.pending: dict[int, asyncio.Future[messages.Message]] = {}
        self.is_closed = False
        # Longest frame that is read, bytes.
        self.max_frame_bytes = _MAX_GREETING_BYTES
        # Bytes sent and received, for measurement.
        self.bytes_sent = 0
        self.bytes_received = 0
        self._sequence = itertools.count(1)
        self._buffer = bytearray()
        self._ready: list[messages.Message] = []

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait in this process for the peer to read."""
        return self.writer.transport.get_write_buffer_size()

    def send(self, message: messages.Message) -> None:
        """Queue one message for sending.

        Errors: LinkError of kind PEER_LOST when the link is closed or the
        peer has stopped reading.
        """
        self.send_encoded(codec.encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Queue a message that is encoded already, as send() does."""
        if self.is_closed:
            raise errors.LinkError(errors.ErrorKind.PEER_LOST)
        # Checked before the write, so that a refused message is surely unsent.
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            _LOG.warning('Peer %s stopped reading.', self.peer_id)
            self.close()
            raise errors.LinkError(errors.ErrorKind.PEER_LOST)
        frame = len(data).to_bytes(_LENGTH_BYTES, 'big') + data
        self.bytes_sent += len(frame)
        self.writer.write(frame)

    async def request(
        self, message: typing.Any, timeout_s: float
    ) -> messages.Message:
        """Send a request and return its reply.

        Errors: the LinkError or ControlError that the peer answered, or
        LinkError of kind PEER_LOST when the link breaks or timeout_s ends.
        """
        message.seq = next(self._sequence)
        future = asyncio.get_running_loop().create_future()
        self.pending[message.seq] = future
        try:
            self.send(message)
            # asyncio.wait_for() of Python 3.11 loses a cancellation that
            # comes together with the reply; asyncio.timeout() does not.
            async with asyncio.timeout(timeout_s):
                reply: messages.Message = await future
        except TimeoutError as e:
            raise errors.LinkError(
                errors.ErrorKind.PEER_LOST, 'No reply in time.'
            ) from e
        finally:
            del self.pending[message.seq]
        if isinstance(reply, messages.Error):
            raise errors.ControlError(
                reply.kind, reply.detail, reply.retry_after_ms
            )
        return reply

    async def receive(self) -> messages.Message:
        """Return the next message.

        Errors: LinkError of kind PEER_LOST at the end, BAD_MESSAGE for
        garbage; the link is closed in both cases.
        """
        while not self._ready:
            try:
                self._split_frames()
            except errors.LinkError:
                _GARBAGE.inc()
                self.close()
                raise
            if self._ready:
                break
            try:
                data = await self.reader.read(_READ_BYTES)
            except OSError as e:
                data = b''
                _LOG.debug('Read from %s failed: %s.', self.peer_id, e)
            if not data:
                self.close()
                raise errors.LinkError(errors.ErrorKind.PEER_LOST)
            self.bytes_received += len(data)
            self._buffer += data
        return self._ready.pop(0)

    def _split_frames(self) -> None:
        start = 0
        end = len(self._buffer)
        while end - start >= _LENGTH_BYTES:
            body = start + _LENGTH_BYTES
            length = int.from_bytes(self._buffer[start:body], 'big')
            if length > self.max_frame_bytes:
                raise errors.LinkError(
                    errors.ErrorKind.BAD_MESSAGE,
                    f'A frame of {length} bytes is too large.',
                )
            if end - body < length:
                break
            start = body + length
            self._ready.append(codec.decode(bytes(self._buffer[body:start])))
            if self.max_frame_bytes == _MAX_GREETING_BYTES:
                # The last frame of the handshake may have a large one behind
                # it, which the bound of the handshake must not refuse.
                break
        del self._buffer[:start]

    async def run(self, handler: Handler) -> None:
        """Read until the link ends; replies go to requests, the rest to
        handler.

        The handler runs in the reading task, so it must not wait for a
        request on the same link; it starts a task for that.
        """
        try:
            while True:
                message = await self.receive()
                if isinstance(message, _REPLIES):
                    future = self.pending.get(message.seq)
                    if future is not None and not future.done():
                        future.set_result(message)
                    continue
                await handler(message)
        except errors.LinkError as e:
            if e.kind is errors.ErrorKind.BAD_MESSAGE:
                _LOG.warning('Garbage from %s: %s', self.peer_id, e)
        finally:
            self.close()

    async def run_direct(self, handler: DirectHandler) -> None:
        """Read until the link ends, with a handler that never waits.

        Messages are handled in the step of the event loop in which they
        arrive. The task of run() would take one more step for each, which is
        much on the request path.
        """
        transport = typing.cast(asyncio.Transport, self.writer.transport)
        protocol = _DirectProtocol(self, handler)
        transport.set_protocol(protocol)
        # What came before is in the reader and nowhere else.
        self.reader.feed_eof()
        protocol.data_received(await self.reader.read())
        if not transport.is_closing() and not transport.is_reading():
            transport.resume_reading()
        try:
            if not self.is_closed:
                await protocol.ended
        finally:
            self.close()

    def take(self, data: bytes, handler: DirectHandler) -> None:
        """Handle the messages that data completes.

        Errors: LinkError of kind BAD_MESSAGE for garbage.
        """
        self.bytes_received += len(data)
        self._buffer += data
        self._split_frames()
        ready, self._ready = self._ready, []
        for message in ready:
            if isinstance(message, _REPLIES):
                future = self.pending.get(message.seq)
                if future is not None and not future.done():
                    future.set_result(message)
            else:
                handler(message)

    def abort(self) -> None:
        """Close without waiting for the peer to read what is unsent."""
        self.writer.transport.abort()
        self.close()

    def close(self) -> None:
        """Close the connection and fail all requests that wait."""
        if self.is_closed:
            return
        self.is_closed = True
        with contextlib.suppress(RuntimeError, OSError):
            self.writer.close()
        for future in self.pending.values():
            if not future.done():
                future.set_exception(
                    errors.LinkError(errors.ErrorKind.PEER_LOST)
                )


class _DirectProtocol(asyncio.Protocol):
    """Hands the bytes of a link on as they come."""

    def __init__(self, link: Link, handler: DirectHandler) -> None:
        self.link = link
        self.handler = handler
        # Ends with the connection.
        self.ended: asyncio.Future[None]
        self.ended = asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        if self.link.is_closed:
            return
        try:
            self.link.take(data, self.handler)
        except errors.LinkError as e:
            _GARBAGE.inc()
            _LOG.warning('Garbage from %s: %s', self.link.peer_id, e)
            self.link.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.close()
        if not self.ended.done():
            self.ended.set_result(None)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of 'host:port'.

    An IPv6 address stands in brackets before its port, but sockets
    take it without them.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


async def connect(
    address: str,
    identity: Identity,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
    local_host: str = '',
) -> Link:
    """Open a link to 'host:port'.

    Errors: LinkError of kind PEER_LOST when nobody answers in time,
    NOT_ADMITTED when the peer cannot prove that it knows the secret.
    """
    host, port = split_address(address)
    local = (local_host, 0) if local_host else None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, local_addr=local
            )
            link = Link(reader, writer)
            try:
                await _greet(link, identity)
            except BaseException:
                link.close()
                raise
            return link
    except (OSError, TimeoutError) as e:
        raise errors.LinkError(
            errors.ErrorKind.PEER_LOST, f'No link to {address}: {e}.'
        ) from e


async def _greet(link: Link, identity: Identity) -> None:
    nonce = secrets.token_bytes(_NONCE_BYTES)
    link.send(messages.Hello(identity.role, identity.sender_id, nonce))
    reply = await link.receive()
    if not isinstance(reply, messages.HelloReply) or not hmac.compare_digest(
        reply.proof,
        _proof(identity.secret, b'accept', nonce, reply.sender_id),
    ):
        raise errors.LinkError(errors.ErrorKind.NOT_ADMITTED)
    link.peer_id = reply.sender_id
    link.peer_role = messages.Role.CONTROL
    link.max_frame_bytes = codec.MAX_FRAME_BYTES
    link.send(
        messages.HelloProof(
            _proof(
                identity.secret, b'connect', reply.nonce, identity.sender_id
            )
        )
    )


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: Identity,
) -> Link:
    """Finish the handshake of a connection that came in.

    Errors: LinkError of kind NOT_ADMITTED, BAD_MESSAGE or PEER_LOST; the
    connection is closed then.
    """
    link = Link(reader, writer)
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            hello = await link.receive()
            if not isinstance(hello, messages.Hello):
                raise errors.LinkError(errors.ErrorKind.BAD_MESSAGE)
            nonce = secrets.token_bytes(_NONCE_BYTES)
            link.send(
                messages.HelloReply(
                    identity.sender_id,
                    nonce,
                    _proof(
                        identity.secret,
                        b'accept',
                        hello.nonce,
                        identity.sender_id,
                    ),
                )
            )
            proof = await link.receive()
            expected = _proof(
                identity.secret, b'connect', nonce, hello.sender_id
            )
            if not isinstance(
                proof, messages.HelloProof
            ) or not hmac.compare_digest(proof.proof, expected):
                raise errors.LinkError(errors.ErrorKind.NOT_ADMITTED)
    except TimeoutError as e:
        link.close()
        raise errors.LinkError(
            errors.ErrorKind.PEER_LOST, 'The handshake took too long.'
        ) from e
    except BaseException:
        link.close()
        raise
    link.peer_id = hello.sender_id
    link.peer_role = hello.role
    link.max_frame_bytes = codec.MAX_FRAME_BYTES
    return link


class LinkServer(abc.ABC):
    """Base of what accepts links: the peers of a node, a control process."""

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.server: asyncio.Server | None = None
        # Links that are open.
        self.links: set[Link] = set()

    @abc.abstractmethod
    async def serve(self, link: Link) -> None:
        """Read one link until it ends."""

    async def listen(self, address: str) -> None:
        """Listen on 'host:port'.

        Errors: OSError when the address cannot be used.
        """
        host, port = split_address(address)
        self.server = await asyncio.start_server(
            self._accept, host, port, backlog=_BACKLOG
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            link = await accept(reader, writer, self.identity)
        except errors.LinkError as e:
            _LOG.warning('Refused a link: %s', e)
            return
        self.links.add(link)
        try:
            await self.serve(link)
        finally:
            self.links.discard(link)

    def close_links(self) -> None:
        """Stop listening and close all links."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.close()
