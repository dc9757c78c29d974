"""Tests of links: unauthenticated peers, invalid data and slow peers."""

import asyncio
import collections.abc
import typing

import pytest

from godwitstall import codec
from godwitstall import errors
from godwitstall import link as links
from godwitstall import link_server
from godwitstall import messages

_SECRET = b'secret of the test fleet'

# Time after which a hanging test fails, seconds.
_TEST_TIMEOUT_S = 10.0

# Timeout of requests that must not time out, seconds.
_REQUEST_TIMEOUT_S = 60.0


def _identity(
    name: str,
    secret: bytes = _SECRET,
    role: messages.Role = messages.Role.NODE,
) -> links.Identity:
    return links.Identity(role, name, secret)


class _Server:
    """Accepts links and records the outcome of each handshake."""

    def __init__(self) -> None:
        self.outcomes: asyncio.Queue[links.Link | errors.LinkError] = (
            asyncio.Queue()
        )
        self.address = ''

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            link = await links.accept(reader, writer, _identity('server'))
        except errors.LinkError as e:
            self.outcomes.put_nowait(e)
            return
        self.outcomes.put_nowait(link)

    async def next_link(self) -> links.Link:
        outcome = await self.outcomes.get()
        assert isinstance(outcome, links.Link)
        return outcome

    async def next_error_kind(self) -> errors.ErrorKind:
        outcome = await self.outcomes.get()
        assert isinstance(outcome, errors.LinkError)
        return outcome.kind


def _run(
    test: collections.abc.Callable[[_Server], collections.abc.Awaitable[None]],
) -> None:
    async def main() -> None:
        server = _Server()
        listener = await asyncio.start_server(server.accept, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        server.address = f'127.0.0.1:{port}'
        async with listener, asyncio.timeout(_TEST_TIMEOUT_S):
            await test(server)

    asyncio.run(main())


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(4, 'big') + data


async def _connect_raw(
    server: _Server,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = links.split_address(server.address)
    return await asyncio.open_connection(host, port)


async def _connect_pair(server: _Server) -> tuple[links.Link, links.Link]:
    """Return the connecting and the accepting end of an open link."""
    client = await links.connect(server.address, _identity('n1'))
    return client, await server.next_link()


async def _ignore(message: messages.Message) -> None:
    del message


# Handshake.


def test_handshake() -> None:
    """Guards against a peer that is identified as another one."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        assert client.peer_id == 'server'
        assert (peer.peer_id, peer.peer_role) == (
            'n1',
            messages.Role.NODE,
        )
        assert peer.max_frame_bytes == codec.MAX_FRAME_BYTES
        client.close()
        peer.close()

    _run(test)


def test_large_message_right_behind_the_handshake() -> None:
    """Guards against the frame limit of the handshake after its end.

    A release note of more than 4 KiB arrives in the same read as the proof.
    """

    async def test(server: _Server) -> None:
        client = await links.connect(server.address, _identity('n1'))
        client.send(messages.Propose(1, b'x' * 20_000))
        peer = await server.next_link()
        message = await peer.receive()
        assert isinstance(message, messages.Propose)
        assert len(message.command) == 20_000
        client.close()
        peer.close()

    _run(test)


def test_connecting_with_a_wrong_secret() -> None:
    """Guards against a link to a process of another fleet.

    Both sides must fail; the connecting side detects the mismatch first.
    """

    async def test(server: _Server) -> None:
        with pytest.raises(errors.LinkError) as caught:
            await links.connect(server.address, _identity('n1', b'other'))
        assert caught.value.kind is errors.ErrorKind.NOT_ADMITTED
        assert await server.next_error_kind() is errors.ErrorKind.PEER_LOST

    _run(test)


@pytest.mark.parametrize('proof', [b'', b'x' * 32, 'echo', 'other name'])
def test_wrong_proof(proof: bytes | str) -> None:
    """Guards against an accepted peer that does not know the secret.

    The peer may send back the proof of the server, or use a proof that was
    made for another name.
    """

    async def test(server: _Server) -> None:
        reader, writer = await _connect_raw(server)
        link = links.Link(reader, writer)
        link.send(messages.Hello(messages.Role.CONTROL, 'c1', b'n' * 16))
        reply = await link.receive()
        assert isinstance(reply, messages.HelloReply)
        data = proof
        if data == 'echo':
            data = reply.proof
        elif data == 'other name':
            data = links._proof(_SECRET, b'connect', reply.nonce, 'c2')
        assert isinstance(data, bytes)
        link.send(messages.HelloProof(data))
        assert await server.next_error_kind() is errors.ErrorKind.NOT_ADMITTED
        with pytest.raises(errors.LinkError):
            await link.receive()

    _run(test)


def test_reflected_proof() -> None:
    """Guards against a reflection attack by a peer without the secret.

    The peer connects under the name of the server, and obtains a proof by
    sending the nonce it received as its own nonce on a second connection.
    """

    async def test(server: _Server) -> None:
        first = links.Link(*await _connect_raw(server))
        first.send(messages.Hello(messages.Role.CONTROL, 'server', b'n' * 16))
        challenge = await first.receive()
        assert isinstance(challenge, messages.HelloReply)
        second = links.Link(*await _connect_raw(server))
        second.send(messages.Hello(messages.Role.NODE, 'n1', challenge.nonce))
        reply = await second.receive()
        assert isinstance(reply, messages.HelloReply)
        first.send(messages.HelloProof(reply.proof))
        assert await server.next_error_kind() is errors.ErrorKind.NOT_ADMITTED
        second.close()

    _run(test)


@pytest.mark.parametrize(
    ('data', 'kind'),
    [
        (b'GET / HTTP/1.1\r\n\r\n', errors.ErrorKind.BAD_MESSAGE),
        (_frame(b''), errors.ErrorKind.BAD_MESSAGE),
        (_frame(b'garbage'), errors.ErrorKind.BAD_MESSAGE),
        (_frame(b'\0' * 64), errors.ErrorKind.BAD_MESSAGE),
        (
            _frame(codec.encode(messages.Cancel(1))),
            errors.ErrorKind.BAD_MESSAGE,
        ),
        (
            _frame(codec.encode(messages.HelloProof(b'x'))),
            errors.ErrorKind.BAD_MESSAGE,
        ),
        # A length above the limit is rejected before the body arrives.
        ((4097).to_bytes(4, 'big'), errors.ErrorKind.BAD_MESSAGE),
        (b'\xff\xff\xff\xff', errors.ErrorKind.BAD_MESSAGE),
    ],
)
def test_garbage_before_the_handshake(
    data: bytes, kind: errors.ErrorKind
) -> None:
    """Guards against an unauthenticated peer that exhausts the memory."""

    async def test(server: _Server) -> None:
        reader, writer = await _connect_raw(server)
        writer.write(data)
        assert await server.next_error_kind() is kind
        assert await reader.read() == b''
        writer.close()
        # The server still accepts other links.
        client, peer = await _connect_pair(server)
        client.close()
        peer.close()

    _run(test)


@pytest.mark.parametrize('data', [b'', b'\0', b'\0\0\0\x10half'])
def test_peer_that_closes(data: bytes) -> None:
    """Guards against a handshake that waits for a disconnected peer."""

    async def test(server: _Server) -> None:
        _, writer = await _connect_raw(server)
        writer.write(data)
        writer.close()
        assert await server.next_error_kind() is errors.ErrorKind.PEER_LOST

    _run(test)


@pytest.mark.parametrize(
    'address',
    [
        '',
        'host',
        '127.0.0.1:65536',
        '127.0.0.1:-1',
        '127.0.0.1:' + '9' * 400,
        'a..b:80',
        'a' * 300 + ':80',
        '\ud800:80',
    ],
)
def test_connecting_to_an_invalid_address(address: str) -> None:
    """Guards against one odd entry of a list that ends its reader."""

    async def connect() -> None:
        with pytest.raises(errors.LinkError) as raised:
            await links.connect(address, _identity('n1'))
        assert raised.value.kind is errors.ErrorKind.PEER_LOST
        assert raised.value.detail.isascii()

    asyncio.run(connect())


class _LinkServer(link_server.LinkServer):
    """Records the links that it serves."""

    def __init__(self) -> None:
        super().__init__(_identity('server'))
        self.served: list[links.Link] = []

    async def serve(self, link: links.Link) -> None:
        self.served.append(link)
        await link.run(_ignore)


def test_handshake_that_ends_after_the_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a link that a closed server keeps open.

    A replica that fails and is started again in its process would never get
    another link from a peer whose link the server before had just accepted.
    """
    may_end = asyncio.Event()
    accept = links.accept

    async def accept_slowly(*arguments: typing.Any) -> links.Link:
        link = await accept(*arguments)
        await may_end.wait()
        return link

    async def run() -> None:
        monkeypatch.setattr(links, 'accept', accept_slowly)
        server = _LinkServer()
        await server.listen('127.0.0.1:0')
        assert server.server is not None
        port = server.server.sockets[0].getsockname()[1]
        link = await links.connect(f'127.0.0.1:{port}', _identity('n1'))
        server.close_links()
        may_end.set()
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            with pytest.raises(errors.LinkError):
                await link.receive()
        assert not server.served

    asyncio.run(run())


def test_silent_peer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections that stay open without a handshake."""
    monkeypatch.setattr(links, 'HANDSHAKE_TIMEOUT_S', 0.01)

    async def test(server: _Server) -> None:
        reader, writer = await _connect_raw(server)
        assert await server.next_error_kind() is errors.ErrorKind.PEER_LOST
        assert await reader.read() == b''
        writer.close()

    _run(test)


@pytest.mark.parametrize(
    ('response', 'kind'),
    [
        (b'HTTP/1.1 400 Bad Request\r\n\r\n', errors.ErrorKind.BAD_MESSAGE),
        (
            _frame(codec.encode(messages.HelloReply('s', b'n', b'p'))),
            errors.ErrorKind.NOT_ADMITTED,
        ),
        (
            _frame(codec.encode(messages.Done())),
            errors.ErrorKind.NOT_ADMITTED,
        ),
        (b'', errors.ErrorKind.PEER_LOST),
    ],
)
def test_connecting_to_another_server(
    response: bytes, kind: errors.ErrorKind
) -> None:
    """Guards against a client that trusts any server at the address."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(4096)
        writer.write(response)
        writer.close()

    async def test(server: _Server) -> None:
        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        async with listener:
            with pytest.raises(errors.LinkError) as caught:
                await links.connect(f'127.0.0.1:{port}', _identity('n1'))
        assert caught.value.kind is kind
        # The listener is closed now.
        with pytest.raises(errors.LinkError) as caught:
            await links.connect(f'127.0.0.1:{port}', _identity('n1'))
        assert caught.value.kind is errors.ErrorKind.PEER_LOST
        assert f'No link to 127.0.0.1:{port}' in str(caught.value)

    _run(test)


# Frames after the handshake.


@pytest.mark.parametrize(
    'data',
    [
        _frame(b'garbage'),
        _frame(b''),
        (codec.MAX_FRAME_BYTES + 1).to_bytes(4, 'big'),
        b'\xff\xff\xff\xff',
    ],
)
def test_garbage_after_the_handshake(data: bytes) -> None:
    """Guards against reading on after an invalid frame of a peer."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        received: list[messages.Message] = []

        async def handle(message: messages.Message) -> None:
            received.append(message)

        client.send(messages.Cancel(1))
        client.writer.write(data)
        client.send(messages.Cancel(2))
        await peer.run(handle)
        assert peer.is_closed
        assert messages.Cancel(2) not in received
        # The sender of the invalid frame notices that the link is closed.
        await client.run(_ignore)
        assert client.is_closed

    _run(test)


def test_frames_in_pieces() -> None:
    """Guards against the loss of messages that are split between reads."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        sent = [messages.Cancel(number) for number in range(20)]
        data = b''.join(_frame(codec.encode(m)) for m in sent)
        for start in range(0, len(data), 7):
            client.writer.write(data[start : start + 7])
            await client.writer.drain()
        assert [await peer.receive() for _ in sent] == sent
        client.writer.write(data)
        assert [await peer.receive() for _ in sent] == sent
        client.close()
        peer.close()

    _run(test)


def test_large_frame() -> None:
    """Guards against a frame limit that valid messages exceed."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        call = messages.Call(body=b'x' * (1024 * 1024))
        client.send(call)
        assert await peer.receive() == call
        client.close()
        peer.close()

    _run(test)


# Requests and replies.


def test_replies_out_of_order() -> None:
    """Guards against a reply that completes another request."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        reader = asyncio.create_task(client.run(_ignore))
        requests = [
            asyncio.create_task(
                client.request(
                    messages.Query(text=str(number)), _REQUEST_TIMEOUT_S
                )
            )
            for number in range(10)
        ]
        queries = [await peer.receive() for _ in requests]
        for query in reversed(queries):
            assert isinstance(query, messages.Query)
            peer.send(messages.QueryReply(query.seq, query.text.encode()))
        for number, request in enumerate(requests):
            reply = await request
            assert isinstance(reply, messages.QueryReply)
            assert reply.body == str(number).encode()
        assert client.pending == {}
        client.close()
        peer.close()
        await reader

    _run(test)


def test_reply_after_the_timeout() -> None:
    """Guards against a late reply that completes the next request."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        reader = asyncio.create_task(client.run(_ignore))
        with pytest.raises(errors.LinkError) as caught:
            await client.request(messages.Query(text='late'), 0.0)
        assert caught.value.kind is errors.ErrorKind.PEER_LOST
        assert client.pending == {}
        assert not client.is_closed
        late = await peer.receive()
        assert isinstance(late, messages.Query)
        request = asyncio.create_task(
            client.request(messages.Query(text='next'), _REQUEST_TIMEOUT_S)
        )
        following = await peer.receive()
        assert isinstance(following, messages.Query)
        # Unknown and duplicate sequence numbers must be ignored as well.
        for seq, body in (
            (late.seq, b'late'),
            (999, b'unknown'),
            (following.seq, b'next'),
            (following.seq, b'twice'),
        ):
            peer.send(messages.QueryReply(seq, body))
        reply = await request
        assert isinstance(reply, messages.QueryReply)
        assert reply.body == b'next'
        client.close()
        peer.close()
        await reader

    _run(test)


def test_request_over_a_silent_link() -> None:
    """Guards against a dead connection that is used for ever."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        client.closes_when_silent = True
        reader = asyncio.create_task(client.run(_ignore))

        async def request_and_time_out() -> None:
            with pytest.raises(errors.LinkError):
                await client.request(messages.Query(), 0.05)

        request = asyncio.create_task(request_and_time_out())
        await peer.receive()
        # The peer is there, and only this reply is late.
        peer.send(messages.Done())
        await request
        assert not client.is_closed
        await request_and_time_out()
        assert client.is_closed
        peer.close()
        await reader

    _run(test)


def test_error_reply() -> None:
    """Guards against an error reply that is returned as a normal one."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        reader = asyncio.create_task(client.run(_ignore))
        request = asyncio.create_task(
            client.request(messages.Query(), _REQUEST_TIMEOUT_S)
        )
        query = await peer.receive()
        assert isinstance(query, messages.Query)
        kind = errors.ErrorKind.NOT_LEADER
        peer.send(messages.Error(query.seq, kind, 'not here', 70))
        with pytest.raises(errors.ControlError) as caught:
            await request
        assert caught.value.kind is kind
        assert caught.value.detail == 'not here'
        assert caught.value.retry_after_ms == 70
        client.close()
        peer.close()
        await reader

    _run(test)


def test_closed_link() -> None:
    """Guards against requests that stay pending on a closed link."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        reader = asyncio.create_task(client.run(_ignore))
        requests = [
            asyncio.create_task(
                client.request(messages.Query(), _REQUEST_TIMEOUT_S)
            )
            for _ in range(3)
        ]
        for _ in requests:
            await peer.receive()
        peer.close()
        peer.close()
        for request in requests:
            with pytest.raises(errors.LinkError) as caught:
                await request
            assert caught.value.kind is errors.ErrorKind.PEER_LOST
        await reader
        assert client.is_closed
        assert client.pending == {}
        with pytest.raises(errors.LinkError):
            client.send(messages.Cancel(1))
        with pytest.raises(errors.LinkError):
            await client.request(messages.Query(), _REQUEST_TIMEOUT_S)
        assert client.pending == {}
        with pytest.raises(errors.LinkError):
            await client.receive()

    _run(test)


def test_cancelled_request() -> None:
    """Guards against a cancelled request that stays pending."""

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        request = asyncio.create_task(
            client.request(messages.Query(), _REQUEST_TIMEOUT_S)
        )
        await peer.receive()
        request.cancel()
        with pytest.raises(asyncio.CancelledError):
            await request
        assert client.pending == {}
        client.close()
        peer.close()

    _run(test)


def test_slow_reader(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a peer that stops reading and exhausts the memory.

    The message that exceeds the limit is rejected before it is written, so
    that no part of it is sent, and pending requests fail.
    """
    limit_bytes = 256 * 1024
    monkeypatch.setattr(links, 'MAX_UNSENT_BYTES', limit_bytes)

    async def test(server: _Server) -> None:
        client, peer = await _connect_pair(server)
        request = asyncio.create_task(
            client.request(messages.Query(), _REQUEST_TIMEOUT_S)
        )
        await peer.receive()
        # Without reads, the buffers of the kernel fill up as well.
        peer.reader._transport.pause_reading()  # type: ignore[attr-defined]
        call = messages.Call(body=b'x' * 64 * 1024)
        peak_bytes = 0
        with pytest.raises(errors.LinkError) as caught:
            for _ in range(2000):
                client.send(call)
                transport: typing.Any = client.writer.transport
                peak_bytes = max(peak_bytes, transport.get_write_buffer_size())
        assert caught.value.kind is errors.ErrorKind.PEER_LOST
        assert peak_bytes <= limit_bytes + 65 * 1024
        assert client.is_closed
        with pytest.raises(errors.LinkError):
            await request
        client.writer.transport.abort()
        peer.close()

    _run(test)


@pytest.mark.parametrize(
    ('address', 'expected'),
    [
        ('10.0.0.1:7100', ('10.0.0.1', 7100)),
        ('[fd00::1]:7100', ('fd00::1', 7100)),
    ],
)
def test_split_address(address: str, expected: tuple[str, int]) -> None:
    """Guards against passing the brackets of IPv6 addresses to sockets."""
    assert links.split_address(address) == expected
