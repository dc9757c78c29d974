"""Framed, authenticated connections between the processes of a fleet.

A frame is a 4-byte big-endian length followed by one encoded message. In the
handshake, each side proves that it knows the fleet secret. One task reads each
link: a reply completes the pending request with its sequence number, and any
other message is passed to the handler of the link.

Example:
    link = await link.connect('10.0.0.1:7100', identity)
    reply = await link.request(messages.BarrierRequest(), timeout_s=1.0)
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import hashlib
import hmac
import itertools
import secrets
import typing

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import codec
from godwitstall import errors
from godwitstall import log_limit
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics

_LOG = logs.get('link')
_BAD_MESSAGES = metrics.counter(
    'link_garbage_total', 'Links closed because of bytes that are no message.'
)

_LENGTH_BYTES = 4
_NONCE_BYTES = 16
_READ_BYTES = 64 * 1024

# The connection is closed if the handshake takes longer.
HANDSHAKE_TIMEOUT_S = 2.0

# Unsent bytes above which no more parts of bodies are sent.
_WRITE_HIGH_WATER_BYTES = 256 * 1024

# A link is not closed for lack of memory if it has no more of a half-received
# message, and no more that is unsent, bytes.
_MAX_KEPT_BYTES = 1024 * 1024
_MAX_KEPT_UNSENT_BYTES = 4 * 1024 * 1024

# Longest frame of the handshake. A peer that is not authenticated yet cannot
# make this process buffer more.
_MAX_HANDSHAKE_FRAME_BYTES = 4096

# The link is closed when its send buffer exceeds this limit, because a peer
# that reads slowly would otherwise exhaust the memory of the sender.
MAX_UNSENT_BYTES = 32 * 1024 * 1024

_bad_messages = log_limit.LogLimit()

_REPLY_TYPES = (
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
SyncHandler = collections.abc.Callable[[messages.Message], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity that this process presents to its peers."""

    # Role of this process.
    role: messages.Role
    # Node id, replica slot or name of the operator.
    sender_id: str
    # Secret shared by all processes of the fleet.
    secret: bytes
    # Whether this process receives large bodies in parts.
    takes_parts: bool = False


def _proof(secret: bytes, side: bytes, nonce: bytes, sender: str) -> bytes:
    """Return the HMAC by which one side proves that it knows the secret.

    It covers the side and the sender, so that a proof can neither be sent
    back to its author nor be used under another name.
    """
    return hmac.digest(secret, side + nonce + sender.encode(), hashlib.sha256)


class Link:
    """An open connection, as returned by connect() and accept()."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.reader = reader
        self.writer = writer
        # asyncio reads 256 KiB at once by default.
        transport: typing.Any = writer.transport
        transport.max_size = _READ_BYTES
        # Id of the peer, authenticated by the handshake.
        self.peer_id = ''
        # Role that the peer announced; CONTROL on the connecting side, because
        # HelloReply has no role.
        self.peer_role = messages.Role.NODE
        # Whether the peer receives large bodies in parts.
        self.peer_takes_parts = False
        # Set unless the send buffer has as much as it should hold.
        self.writable = asyncio.Event()
        self.writable.set()
        # Requests without a reply so far, by sequence number.
        self.pending: dict[int, asyncio.Future[messages.Message]] = {}
        self.is_closed = False
        # Whether nothing more is sent and received; what was sent before may
        # still be on its way.
        self.is_ended = False
        # Whether the link is closed when a request times out and nothing has
        # been received since it was sent. The connection of an otherwise idle
        # link may be dead without a sign, and a new one may work.
        self.closes_when_silent = False
        # Longest frame that is accepted, bytes.
        self.max_frame_bytes = _MAX_HANDSHAKE_FRAME_BYTES
        # Bytes sent and received, for statistics.
        self.bytes_sent = 0
        self.bytes_received = 0
        # When bytes were last received, seconds.
        self.received_at = clock.recent()
        # Bounds what the links of a server hold; None on other links.
        self.budget: byte_budget.ByteBudget | None = None
        # Whether the send buffer counts in it.
        self.counts_unsent = False
        self._seq_numbers = itertools.count(1)
        self._buffer = bytearray()
        self._decoded: list[messages.Message] = []

    @property
    def unsent_bytes(self) -> int:
        """Size of the send buffer in this process, bytes."""
        return self.writer.transport.get_write_buffer_size()

    def send(self, message: messages.Message) -> None:
        """Queue one message for sending.

        Errors: LinkError of kind PEER_LOST when the link is closed or its
        send buffer has exceeded MAX_UNSENT_BYTES.
        """
        self.send_encoded(codec.encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Queue an encoded message for sending, with the errors of send()."""
        if self.is_closed or self.is_ended:
            raise errors.LinkError(errors.ErrorKind.PEER_LOST)
        # Checked before the write, so that none of a rejected message is sent.
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            _LOG.warning(
                'Closing the link to %s: its send buffer is full.',
                self.peer_id,
            )
            self.close()
            raise errors.LinkError(errors.ErrorKind.PEER_LOST)
        frame = len(data).to_bytes(_LENGTH_BYTES, 'big') + data
        self.bytes_sent += len(frame)
        self.writer.write(frame)
        if self.budget is not None and self.counts_unsent:
            self.budget.add(len(frame))

    async def wait_writable(self) -> None:
        """Wait until the peer has received most of what was sent.

        Returns when the link is closed, too. A link has this sight of its send
        buffer only within run_sync_handler().
        """
        # Another task may have filled the buffer since it was writable.
        while not self.writable.is_set():
            await self.writable.wait()

    async def request(
        self, message: typing.Any, timeout_s: float
    ) -> messages.Message:
        """Send a request and return its reply.

        Errors: ControlError when the peer replies with an error, LinkError
        of kind PEER_LOST when the link closes or no reply arrives within
        timeout_s. See also closes_when_silent.
        """
        message.seq = next(self._seq_numbers)
        received_before = self.bytes_received
        future = asyncio.get_running_loop().create_future()
        self.pending[message.seq] = future
        try:
            self.send(message)
            # Unlike asyncio.timeout(), asyncio.wait_for() of Python 3.11
            # loses a cancellation that coincides with the reply.
            async with asyncio.timeout(timeout_s):
                reply: messages.Message = await future
        except TimeoutError as e:
            if self.closes_when_silent and (
                self.bytes_received == received_before
            ):
                _LOG.info('Closing the silent link to %s.', self.peer_id)
                self.close()
            raise errors.LinkError(
                errors.ErrorKind.PEER_LOST, 'The request timed out.'
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

        Errors: LinkError of kind PEER_LOST when the peer closed the
        connection, BAD_MESSAGE for an invalid frame or message. The link is
        closed in both cases.
        """
        while not self._decoded:
            try:
                self._decode_frames()
            except errors.LinkError:
                _BAD_MESSAGES.inc()
                self.close()
                raise
            if self._decoded:
                break
            try:
                data = await self.reader.read(_READ_BYTES)
            except OSError as e:
                data = b''
                _LOG.debug('Read from %s failed: %s.', self.peer_id, e)
            if not data:
                self.close()
                raise errors.LinkError(errors.ErrorKind.PEER_LOST)
            self._count_received(data)
            self._buffer += data
        return self._decoded.pop(0)

    def _count_received(self, data: bytes) -> None:
        self.bytes_received += len(data)
        self.received_at = clock.recent()
        if self.budget is not None:
            self.budget.add(len(data))

    # Methods for the budget of the server.

    @property
    def moved_at(self) -> float:
        """Time at which bytes were last received, seconds."""
        return self.received_at

    def held_bytes(self) -> int:
        """Return the size of what is half received, and perhaps unsent."""
        unsent_bytes = self.unsent_bytes if self.counts_unsent else 0
        return len(self._buffer) + unsent_bytes

    def release_bytes(self) -> None:
        """Close a link that holds much; half a message cannot be refused."""
        unsent_bytes = self.unsent_bytes if self.counts_unsent else 0
        if (
            len(self._buffer) > _MAX_KEPT_BYTES
            or unsent_bytes > _MAX_KEPT_UNSENT_BYTES
        ):
            self._buffer.clear()
            self.abort()

    def _decode_frames(self) -> None:
        start = 0
        end = len(self._buffer)
        while end - start >= _LENGTH_BYTES:
            body = start + _LENGTH_BYTES
            length = int.from_bytes(self._buffer[start:body], 'big')
            if length > self.max_frame_bytes:
                raise errors.LinkError(
                    errors.ErrorKind.BAD_MESSAGE,
                    f'A frame of {length} bytes exceeds the limit.',
                )
            if end - body < length:
                break
            start = body + length
            self._decoded.append(codec.decode(bytes(self._buffer[body:start])))
            if self.max_frame_bytes == _MAX_HANDSHAKE_FRAME_BYTES:
                # The last frame of the handshake may be followed by a larger
                # one. Stop here until the caller has raised the limit.
                break
        del self._buffer[:start]

    async def run(self, handler: Handler) -> None:
        """Read until the link closes and pass non-replies to the handler.

        The handler runs in the reading task, so it must not await a request
        on the same link; it has to start a task for that.
        """
        try:
            while True:
                message = await self.receive()
                if isinstance(message, _REPLY_TYPES):
                    future = self.pending.get(message.seq)
                    if future is not None and not future.done():
                        future.set_result(message)
                    continue
                await handler(message)
        except errors.LinkError as e:
            if e.kind is errors.ErrorKind.BAD_MESSAGE:
                _log_bad_message(self.peer_id, e)
        finally:
            self.close()

    async def run_sync_handler(self, handler: SyncHandler) -> None:
        """Read until the link closes, with a synchronous handler.

        Messages are handled in the iteration of the event loop that reads
        them. The task of run() needs one more iteration for each, which is
        too expensive on the request path.
        """
        transport = typing.cast(asyncio.Transport, self.writer.transport)
        protocol = _LinkProtocol(self, handler)
        transport.set_protocol(protocol)
        transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        # Bytes received before the switch are only in the stream reader.
        self.reader.feed_eof()
        protocol.data_received(await self.reader.read())
        if not transport.is_closing() and not transport.is_reading():
            transport.resume_reading()
        try:
            if not self.is_closed:
                await protocol.closed
        finally:
            self.close()

    def feed_data(self, data: bytes, handler: SyncHandler) -> None:
        """Handle each message whose last byte is in data.

        Errors: LinkError of kind BAD_MESSAGE for an invalid frame or message.
        """
        self._count_received(data)
        self._buffer += data
        self._decode_frames()
        decoded, self._decoded = self._decoded, []
        for message in decoded:
            if isinstance(message, _REPLY_TYPES):
                future = self.pending.get(message.seq)
                if future is not None and not future.done():
                    future.set_result(message)
            else:
                handler(message)

    def end(self) -> None:
        """Send the end of the stream behind the messages sent so far.

        The peer then closes the connection, when it has received them. What it
        sends until then is ignored.
        """
        if self.is_closed or self.is_ended:
            return
        self.is_ended = True
        # The peer may have reset the connection.
        with contextlib.suppress(OSError):
            self.writer.write_eof()

    def abort(self) -> None:
        """Close the connection and discard the send buffer."""
        self.writer.transport.abort()
        self.close()

    def close(self) -> None:
        """Close the connection and fail all pending requests."""
        if self.is_closed:
            return
        self.is_closed = True
        self.writable.set()
        with contextlib.suppress(RuntimeError, OSError):
            self.writer.close()
        for future in self.pending.values():
            if not future.done():
                future.set_exception(
                    errors.LinkError(errors.ErrorKind.PEER_LOST)
                )


def _log_bad_message(peer_id: str, error: errors.LinkError) -> None:
    if _bad_messages.allows():
        _LOG.warning(
            'Invalid message from %s: %s%s',
            peer_id,
            error,
            _bad_messages.suffix(),
        )


class _LinkProtocol(asyncio.Protocol):
    """Passes received bytes to a link, without a stream reader."""

    def __init__(self, link: Link, handler: SyncHandler) -> None:
        self.link = link
        self.handler = handler
        # Done when the connection is lost.
        self.closed: asyncio.Future[None]
        self.closed = asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        if self.link.is_closed or self.link.is_ended:
            return
        try:
            self.link.feed_data(data, self.handler)
        except errors.LinkError as e:
            _BAD_MESSAGES.inc()
            _log_bad_message(self.link.peer_id, e)
            self.link.close()

    def pause_writing(self) -> None:
        self.link.writable.clear()

    def resume_writing(self) -> None:
        self.link.writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.close()
        if not self.closed.done():
            self.closed.set_result(None)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of 'host:port'.

    The brackets of an IPv6 address are removed, as sockets expect.
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

    Errors: LinkError of kind PEER_LOST when the address is invalid or the
    connection fails or times out, BAD_MESSAGE for an invalid reply,
    NOT_ADMITTED when the peer does not prove that it knows the secret.
    """
    local = (local_host, 0) if local_host else None
    try:
        host, port = split_address(address)
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, local_addr=local
            )
            link = Link(reader, writer)
            try:
                await _connect_handshake(link, identity)
            except BaseException:
                link.close()
                raise
            return link
    except (OSError, TimeoutError, ValueError, OverflowError) as e:
        # The last two come from an address that names no host or port.
        shown = address.encode('ascii', 'backslashreplace').decode()
        raise errors.LinkError(
            errors.ErrorKind.PEER_LOST, f'No link to {shown}: {e}.'
        ) from e


async def _connect_handshake(link: Link, identity: Identity) -> None:
    nonce = secrets.token_bytes(_NONCE_BYTES)
    link.send(
        messages.Hello(
            identity.role, identity.sender_id, nonce, identity.takes_parts
        )
    )
    reply = await link.receive()
    if not isinstance(reply, messages.HelloReply) or not hmac.compare_digest(
        reply.proof,
        _proof(identity.secret, b'accept', nonce, reply.sender_id),
    ):
        raise errors.LinkError(errors.ErrorKind.NOT_ADMITTED)
    link.peer_id = reply.sender_id
    link.peer_takes_parts = reply.takes_parts
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
    """Perform the handshake of an incoming connection.

    Errors: LinkError of kind NOT_ADMITTED, BAD_MESSAGE or PEER_LOST. The
    connection is closed in each case.
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
                    identity.takes_parts,
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
            errors.ErrorKind.PEER_LOST, 'The handshake timed out.'
        ) from e
    except BaseException:
        link.close()
        raise
    link.peer_id = hello.sender_id
    link.peer_takes_parts = hello.takes_parts
    link.peer_role = hello.role
    link.max_frame_bytes = codec.MAX_FRAME_BYTES
    return link
