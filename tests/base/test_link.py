"""Links between processes: unauthenticated peers, garbage, and slow peers."""

import asyncio
import collections.abc
import typing

import pytest

from godwitstall import codec
from godwitstall import errors
from godwitstall import link as links
from godwitstall import messages

_SECRET = b'secret of the test fleet'

# Longest wait before a test gives up on a hang, seconds.
_HANG_S = 10.0

# Far longer than any reply takes; the tests that need it end otherwise.
_LONG_S = 60.0


def _identity(
    name: str,
    secret: bytes = _SECRET,
    role: messages.Role = messages.Role.NODE,
) -> links.Identity:
    return links.Identity(role, name, secret)


class _Server:
    """Accepts links and keeps the outcome of each handshake."""

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
        found = await self.outcomes.get()
        assert isinstance(found, links.Link)
        return found

    async def next_kind(self) -> errors.ErrorKind:
        found = await self.outcomes.get()
        assert isinstance(found, errors.LinkError)
        return found.kind


def _run(
    test: collections.abc.Callable[[_Server], collections.abc.Awaitable[None]],
) -> None:
    async def main() -> None:
        server = _Server()
        listener = await asyncio.start_server(server.accept, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        server.address = f'127.0.0.1:{port}'
        async with listener, asyncio.timeout(_HANG_S):
            await test(server)

    asyncio.run(main())


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(4, 'big') + data


async def _raw(
    server: _Server,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = links.split_address(server.address)
    return await asyncio.open_connection(host, port)


async def _pair(server: _Server) -> tuple[links.Link, links.Link]:
    """Return both ends of an open link."""
    near = await links.connect(server.address, _identity('n1'))
    return near, await server.next_link()


async def _ignore(message: messages.Message) -> None:
    del message


# The handshake.


def test_handshake() -> None:
    """Guards against peers that are taken for others."""

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        assert near.peer_id == 'server'
        assert (far.peer_id, far.peer_role) == ('n1', messages.Role.NODE)
        assert far.max_frame_bytes == codec.MAX_FRAME_BYTES
        near.close()
        far.close()

    _run(test)


def test_large_message_right_behind_the_handshake() -> None:
    """Guards against the bound of the handshake on what follows it.

    A release note of more than 4 KiB arrives in one read with the proof.
    """

    async def test(server: _Server) -> None:
        near = await links.connect(server.address, _identity('n1'))
        near.send(messages.Propose(1, b'x' * 20_000))
        far = await server.next_link()
        message = await far.receive()
        assert isinstance(message, messages.Propose)
        assert len(message.command) == 20_000
        near.close()
        far.close()

    _run(test)


def test_connecting_with_a_wrong_secret() -> None:
    """Guards against a process of another fleet that is let in.

    Neither side may go on: the one that connects finds out first.
    """

    async def test(server: _Server) -> None:
        with pytest.raises(errors.LinkError) as caught:
            await links.connect(server.address, _identity('n1', b'other'))
        assert caught.value.kind is errors.ErrorKind.NOT_ADMITTED
        assert await server.next_kind() is errors.ErrorKind.PEER_LOST

    _run(test)


@pytest.mark.parametrize('proof', [b'', b'x' * 32, 'echo', 'other name'])
def test_wrong_proof(proof: bytes | str) -> None:
    """Guards against a peer without the secret that goes on regardless.

    It could send the server's own proof back, or use a proof under another
    name than the one it was made for.
    """

    async def test(server: _Server) -> None:
        reader, writer = await _raw(server)
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
        assert await server.next_kind() is errors.ErrorKind.NOT_ADMITTED
        with pytest.raises(errors.LinkError):
            await link.receive()

    _run(test)


def test_reflected_proof() -> None:
    """Guards against a proof that is reused by a peer without the secret.

    It connects under the name of the process itself and gives the challenge
    that it got back as its own on a second connection.
    """

    async def test(server: _Server) -> None:
        first = links.Link(*await _raw(server))
        first.send(messages.Hello(messages.Role.CONTROL, 'server', b'n' * 16))
        challenge = await first.receive()
        assert isinstance(challenge, messages.HelloReply)
        second = links.Link(*await _raw(server))
        second.send(messages.Hello(messages.Role.NODE, 'n1', challenge.nonce))
        reply = await second.receive()
        assert isinstance(reply, messages.HelloReply)
        first.send(messages.HelloProof(reply.proof))
        assert await server.next_kind() is errors.ErrorKind.NOT_ADMITTED
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
        # A length above the bound is refused before its bytes come.
        ((4097).to_bytes(4, 'big'), errors.ErrorKind.BAD_MESSAGE),
        (b'\xff\xff\xff\xff', errors.ErrorKind.BAD_MESSAGE),
    ],
)
def test_garbage_before_the_handshake(
    data: bytes, kind: errors.ErrorKind
) -> None:
    """Guards against a peer without the secret that fills the memory."""

    async def test(server: _Server) -> None:
        reader, writer = await _raw(server)
        writer.write(data)
        assert await server.next_kind() is kind
        assert await reader.read() == b''
        writer.close()
        # The server still serves others.
        near, far = await _pair(server)
        near.close()
        far.close()

    _run(test)


@pytest.mark.parametrize('data', [b'', b'\0', b'\0\0\0\x10half'])
def test_peer_that_closes(data: bytes) -> None:
    """Guards against a handshake that waits for a peer that has gone."""

    async def test(server: _Server) -> None:
        _, writer = await _raw(server)
        writer.write(data)
        writer.close()
        assert await server.next_kind() is errors.ErrorKind.PEER_LOST

    _run(test)


def test_silent_peer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections that stay open without a handshake."""
    monkeypatch.setattr(links, 'HANDSHAKE_TIMEOUT_S', 0.01)

    async def test(server: _Server) -> None:
        reader, writer = await _raw(server)
        assert await server.next_kind() is errors.ErrorKind.PEER_LOST
        assert await reader.read() == b''
        writer.close()

    _run(test)


@pytest.mark.parametrize(
    ('answer', 'kind'),
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
    answer: bytes, kind: errors.ErrorKind
) -> None:
    """Guards against a process that trusts whoever listens at an address."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(4096)
        writer.write(answer)
        writer.close()

    async def test(server: _Server) -> None:
        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        async with listener:
            with pytest.raises(errors.LinkError) as caught:
                await links.connect(f'127.0.0.1:{port}', _identity('n1'))
        assert caught.value.kind is kind
        # Nobody listens any more.
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
    """Guards against a broken peer whose bytes are read on out of step."""

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        seen: list[messages.Message] = []

        async def handle(message: messages.Message) -> None:
            seen.append(message)

        near.send(messages.Cancel(1))
        near.writer.write(data)
        near.send(messages.Cancel(2))
        await far.run(handle)
        assert far.is_closed
        assert messages.Cancel(2) not in seen
        # The other side learns of it.
        await near.run(_ignore)
        assert near.is_closed

    _run(test)


def test_frames_in_pieces() -> None:
    """Guards against a message that is lost where the network cuts it."""

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        sent = [messages.Cancel(number) for number in range(20)]
        data = b''.join(_frame(codec.encode(m)) for m in sent)
        for start in range(0, len(data), 7):
            near.writer.write(data[start : start + 7])
            await near.writer.drain()
        assert [await far.receive() for _ in sent] == sent
        near.writer.write(data)
        assert [await far.receive() for _ in sent] == sent
        near.close()
        far.close()

    _run(test)


def test_large_frame() -> None:
    """Guards against a bound that valid messages exceed."""

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        call = messages.Call(body=b'x' * (1024 * 1024))
        near.send(call)
        assert await far.receive() == call
        near.close()
        far.close()

    _run(test)


# Requests and replies.


def test_replies_out_of_order() -> None:
    """Guards against a reply that reaches another request."""

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        reader = asyncio.create_task(near.run(_ignore))
        requests = [
            asyncio.create_task(
                near.request(messages.Query(text=str(number)), _LONG_S)
            )
            for number in range(10)
        ]
        came = [await far.receive() for _ in requests]
        for query in reversed(came):
            assert isinstance(query, messages.Query)
            far.send(messages.QueryReply(query.seq, query.text.encode()))
        for number, request in enumerate(requests):
            reply = await request
            assert isinstance(reply, messages.QueryReply)
            assert reply.body == str(number).encode()
        assert near.pending == {}
        near.close()
        far.close()
        await reader

    _run(test)


def test_reply_after_the_timeout() -> None:
    """Guards against a late reply that answers the next request."""

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        reader = asyncio.create_task(near.run(_ignore))
        with pytest.raises(errors.LinkError) as caught:
            await near.request(messages.Query(text='late'), 0.0)
        assert caught.value.kind is errors.ErrorKind.PEER_LOST
        assert near.pending == {}
        assert not near.is_closed
        late = await far.receive()
        assert isinstance(late, messages.Query)
        request = asyncio.create_task(
            near.request(messages.Query(text='next'), _LONG_S)
        )
        following = await far.receive()
        assert isinstance(following, messages.Query)
        # An unknown number and a number twice must not matter either.
        for seq, body in (
            (late.seq, b'late'),
            (999, b'unknown'),
            (following.seq, b'next'),
            (following.seq, b'twice'),
        ):
            far.send(messages.QueryReply(seq, body))
        reply = await request
        assert isinstance(reply, messages.QueryReply)
        assert reply.body == b'next'
        near.close()
        far.close()
        await reader

    _run(test)


def test_error_reply() -> None:
    """Guards against an error of the peer that is taken for a reply."""

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        reader = asyncio.create_task(near.run(_ignore))
        request = asyncio.create_task(near.request(messages.Query(), _LONG_S))
        query = await far.receive()
        assert isinstance(query, messages.Query)
        kind = errors.ErrorKind.NOT_LEADER
        far.send(messages.Error(query.seq, kind, 'not here', 70))
        with pytest.raises(errors.ControlError) as caught:
            await request
        assert caught.value.kind is kind
        assert caught.value.detail == 'not here'
        assert caught.value.retry_after_ms == 70
        near.close()
        far.close()
        await reader

    _run(test)


def test_closed_link() -> None:
    """Guards against requests that wait on a link that has ended."""

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        reader = asyncio.create_task(near.run(_ignore))
        requests = [
            asyncio.create_task(near.request(messages.Query(), _LONG_S))
            for _ in range(3)
        ]
        for _ in requests:
            await far.receive()
        far.close()
        far.close()
        for request in requests:
            with pytest.raises(errors.LinkError) as caught:
                await request
            assert caught.value.kind is errors.ErrorKind.PEER_LOST
        await reader
        assert near.is_closed
        assert near.pending == {}
        with pytest.raises(errors.LinkError):
            near.send(messages.Cancel(1))
        with pytest.raises(errors.LinkError):
            await near.request(messages.Query(), _LONG_S)
        assert near.pending == {}
        with pytest.raises(errors.LinkError):
            await near.receive()

    _run(test)


def test_cancelled_request() -> None:
    """Guards against a place that a request leaves behind."""

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        request = asyncio.create_task(near.request(messages.Query(), _LONG_S))
        await far.receive()
        request.cancel()
        with pytest.raises(asyncio.CancelledError):
            await request
        assert near.pending == {}
        near.close()
        far.close()

    _run(test)


def test_slow_reader(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a peer that stops reading and fills the memory.

    The message that meets the bound is refused before it is written, so it
    is surely not sent, and requests that wait end.
    """
    bound = 256 * 1024
    monkeypatch.setattr(links, 'MAX_UNSENT_BYTES', bound)

    async def test(server: _Server) -> None:
        near, far = await _pair(server)
        request = asyncio.create_task(near.request(messages.Query(), _LONG_S))
        await far.receive()
        # Beyond these many bytes the buffers of the kernel are full as well.
        far.reader._transport.pause_reading()  # type: ignore[attr-defined]
        call = messages.Call(body=b'x' * 64 * 1024)
        most = 0
        with pytest.raises(errors.LinkError) as caught:
            for _ in range(2000):
                near.send(call)
                transport: typing.Any = near.writer.transport
                most = max(most, transport.get_write_buffer_size())
        assert caught.value.kind is errors.ErrorKind.PEER_LOST
        assert most <= bound + 65 * 1024
        assert near.is_closed
        with pytest.raises(errors.LinkError):
            await request
        near.writer.transport.abort()
        far.close()

    _run(test)


@pytest.mark.parametrize(
    ('address', 'expected'),
    [
        ('10.0.0.1:7100', ('10.0.0.1', 7100)),
        ('[fd00::1]:7100', ('fd00::1', 7100)),
    ],
)
def test_split_address(address: str, expected: tuple[str, int]) -> None:
    """Guards against brackets that no socket takes."""
    assert links.split_address(address) == expected
