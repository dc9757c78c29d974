"""Upstreams that stop within an answer, at each byte of head and body.

An answer counts as complete only after its whole head, and then after its
whole body. A body without a length is complete when its connection is closed
cleanly. Every other end of the connection is an error with unknown outcome.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import enum
import socket
import struct
import typing

import hypothesis
from hypothesis import strategies
import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import event_loop
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_client

_FRAMING = upstream_answer.Framing(b'attempt-id', True)
_MAX_ANSWER_BYTES = 4096
_WAIT_S = 10.0
_RESET = struct.pack('ii', 1, 0)

# More than the buffers of two sockets hold, and how long it is not read.
_LONG_BODY = b'x' * 16 * 1024 * 1024
_UNREAD_S = 0.05
_READ_BYTES = 1024 * 1024

_Pairs = list[tuple[bytes, bytes]]

_ID = (b'attempt-id', b'own')
_SIGNATURE = (b'server-signature', b'3e1b.07.5a2')
_CHUNKED = (b'transfer-encoding', b'chunked')
_LENGTH = (b'content-length', b'12')
_BODY = b'the own body'
_CHUNKED_BODY = b'8\r\nthe own \r\n4;a=b\r\nbody\r\n0\r\nx-end: 1\r\n\r\n'


class _BodyEnd(enum.Enum):
    """What ends the body of an answer."""

    # The body has a length or is chunked.
    LAST_BYTE = 0
    # There is no body, so the answer ends with its head.
    HEAD = 1
    # The body ends when the connection is closed.
    CLOSE = 2
    # The bytes are no valid answer, or not one to the request.
    NONE = 3


class _Closing(enum.Enum):
    """How the upstream closes the connection."""

    CLEAN = 0
    RESET = 1


def _head(
    pairs: _Pairs,
    status_line: bytes = b'HTTP/1.1 200 OK',
    line_end: bytes = b'\r\n',
) -> bytes:
    lines = [status_line, *(b'%s: %s' % pair for pair in pairs), b'', b'']
    return line_end.join(lines)


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """Bytes that an upstream sends for one request."""

    head: bytes
    body: bytes = b''
    end: _BodyEnd = _BodyEnd.LAST_BYTE
    # Bytes before the head: interim answers and late answers.
    before: bytes = b''
    method: str = 'GET'

    @property
    def data(self) -> bytes:
        return self.before + self.head + self.body

    @property
    def head_end(self) -> int:
        """Number of bytes up to the end of the head."""
        return len(self.before) + len(self.head)

    def is_complete(self, cut: int, closing: _Closing) -> bool:
        """Return whether the answer is complete if it is cut there."""
        match self.end:
            case _BodyEnd.LAST_BYTE:
                return cut == len(self.data)
            case _BodyEnd.HEAD:
                return cut >= self.head_end
            case _BodyEnd.CLOSE:
                return closing is _Closing.CLEAN and cut >= self.head_end
            case _BodyEnd.NONE:
                return False

    def body_at(self, cut: int) -> bytes:
        """Return the body of an answer that is complete at this byte."""
        match self.end:
            case _BodyEnd.CLOSE:
                return self.data[self.head_end : cut]
            case _BodyEnd.HEAD:
                return b''
            case _:
                return _BODY


_HINTS = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_LATE_ID = (b'attempt-id', b'old')
_LATE = _head([_LATE_ID, _SIGNATURE, (b'content-length', b'4')]) + b'late'
_LATE_CHUNKED = (
    _head([_LATE_ID, _SIGNATURE, _CHUNKED]) + b'4\r\nlate\r\n0\r\n\r\n'
)
_LATE_WITHOUT_BODY = _head([_LATE_ID, _SIGNATURE], b'HTTP/1.1 204 No Content')
_LATE_WITHOUT_LENGTH = _head([_LATE_ID, _SIGNATURE]) + b'late'
_LATE_HEAD = _head([_LATE_ID, _SIGNATURE, (b'content-length', b'5')])

_WITH_LENGTH = _Shape(_head([_ID, _LENGTH, _SIGNATURE]), _BODY)
_IN_CHUNKS = _Shape(_head([_SIGNATURE, _ID, _CHUNKED]), _CHUNKED_BODY)
_WITHOUT_LENGTH = _Shape(
    _head([_ID, (b'date', b'now'), _SIGNATURE]), _BODY, _BodyEnd.CLOSE
)
_TO_HEAD = _Shape(
    _head([_ID, _LENGTH, _SIGNATURE]), end=_BodyEnd.HEAD, method='HEAD'
)


def _behind(before: bytes, shape: _Shape) -> _Shape:
    return dataclasses.replace(shape, before=before)


_SHAPES: dict[str, _Shape] = {
    'length': _WITH_LENGTH,
    'length, signature first': _Shape(
        _head([_SIGNATURE, _LENGTH, _ID]), _BODY
    ),
    'chunked': _IN_CHUNKS,
    'chunked, signature last': _Shape(
        _head([_CHUNKED, _ID, _SIGNATURE]), _CHUNKED_BODY
    ),
    'no length': _WITHOUT_LENGTH,
    'no length, signature first': _Shape(
        _head([_SIGNATURE, _ID]), _BODY, _BodyEnd.CLOSE
    ),
    'no length, HTTP/1.0': _Shape(
        _head([_SIGNATURE, _ID], b'HTTP/1.0 200 OK'), _BODY, _BodyEnd.CLOSE
    ),
    'no header': _Shape(_head([]), _BODY, _BodyEnd.CLOSE),
    'failure without length': _Shape(
        _head([_ID], b'HTTP/1.1 500 X'), _BODY, _BodyEnd.CLOSE
    ),
    'no content': _Shape(
        _head([_ID, _SIGNATURE], b'HTTP/1.1 204 X'), end=_BodyEnd.HEAD
    ),
    'not modified': _Shape(
        _head([_ID, _LENGTH, _SIGNATURE], b'HTTP/1.1 304 X'),
        end=_BodyEnd.HEAD,
    ),
    'to HEAD': _TO_HEAD,
    'to HEAD, no length': _Shape(
        _head([_SIGNATURE, _ID]), end=_BodyEnd.HEAD, method='HEAD'
    ),
    'length behind hints': _behind(_HINTS, _WITH_LENGTH),
    'chunked behind 100 and hints': _behind(_CONTINUE + _HINTS, _IN_CHUNKS),
    'no length behind hints': _behind(_HINTS, _WITHOUT_LENGTH),
    'to HEAD behind hints': _behind(_HINTS, _TO_HEAD),
    'length behind a late answer': _behind(_LATE, _WITH_LENGTH),
    'no length behind a late answer': _behind(_LATE, _WITHOUT_LENGTH),
    'no length behind late chunks and hints': _behind(
        _LATE_CHUNKED + _HINTS, _WITHOUT_LENGTH
    ),
    'no length behind a late answer without body': _behind(
        _LATE_WITHOUT_BODY, _WITHOUT_LENGTH
    ),
    'to HEAD behind a late answer': _behind(_LATE, _TO_HEAD),
    'behind a late answer without length': _Shape(
        _WITH_LENGTH.head, _BODY, _BodyEnd.NONE, _LATE_WITHOUT_LENGTH
    ),
    'behind a late answer to HEAD': _Shape(
        _WITHOUT_LENGTH.head, _BODY, _BodyEnd.NONE, _LATE_HEAD
    ),
    'only a late answer without length': _Shape(
        _LATE_WITHOUT_LENGTH, end=_BodyEnd.NONE
    ),
    'only hints': _Shape(_HINTS, end=_BodyEnd.NONE),
    'bare line feeds': _Shape(
        _head([_ID, _SIGNATURE], line_end=b'\n'), _BODY, _BodyEnd.NONE
    ),
    'bare line feed at the end of the head': _Shape(
        _WITHOUT_LENGTH.head[:-2] + b'\n', _BODY, _BodyEnd.NONE
    ),
    'bare carriage return at the end of the head': _Shape(
        _WITHOUT_LENGTH.head[:-1], _BODY, _BodyEnd.NONE
    ),
    'folded header': _Shape(
        _head([_ID, (b'x-a', b'1\r\n 2'), _SIGNATURE]), _BODY, _BodyEnd.NONE
    ),
    'length with a space before its colon': _Shape(
        _head([_ID, (b'content-length ', b'40'), _SIGNATURE]),
        _BODY,
        _BodyEnd.NONE,
    ),
    'empty length': _Shape(
        _head([_ID, _SIGNATURE, (b'content-length', b'')]),
        _BODY,
        _BodyEnd.NONE,
    ),
    'name of the length without a value': _Shape(
        b'HTTP/1.1 200 OK\r\nattempt-id: own\r\ncontent-length\r\n\r\n',
        _BODY,
        _BodyEnd.NONE,
    ),
    'unknown coding': _Shape(
        _head([_ID, _SIGNATURE, (b'transfer-encoding', b'chunke')]),
        _CHUNKED_BODY,
        _BodyEnd.NONE,
    ),
    'head within a head': _Shape(
        b'HTTP/1.1 200 OK\r\nattempt-id: own\r\nserver-sig'
        + _WITHOUT_LENGTH.head,
        _BODY,
        _BodyEnd.NONE,
    ),
}

# Answers to a request before on the same connection.
_EARLIER_ANSWERS: dict[str, bytes] = {
    'length': _WITH_LENGTH.data,
    'chunked': _IN_CHUNKS.data,
    'no content': _SHAPES['no content'].data,
    'hints': _HINTS + _WITH_LENGTH.data,
}


class _Connection(asyncio.Transport):
    """A connection in memory, which delivers exactly the given reads."""

    def __init__(self, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.protocol = protocol
        self.is_closed = False
        # Number of requests that were written.
        self.requests = 0

    def write(self, data: typing.Any) -> None:
        self.requests += 1

    def is_closing(self) -> bool:
        return self.is_closed

    def abort(self) -> None:
        self.is_closed = True

    def deliver(self, reads: collections.abc.Iterable[bytes]) -> None:
        """Deliver bytes, until the client has closed the connection."""
        for read in reads:
            if read and not self.is_closed:
                self.protocol.data_received(read)

    def end(self, closing: _Closing) -> None:
        """End the connection, by the upstream unless it is closed."""
        is_reset = closing is _Closing.RESET and not self.is_closed
        self.is_closed = True
        self.protocol.connection_lost(
            ConnectionResetError() if is_reset else None
        )


class _Upstream:
    """An upstream in memory and its client."""

    def __init__(self, framing: upstream_answer.Framing = _FRAMING) -> None:
        self.client = upstream_client.UpstreamClient(
            '127.0.0.1', 1, 4, _MAX_ANSWER_BYTES, framing
        )
        self.connections: list[_Connection] = []
        loop: typing.Any = asyncio.get_running_loop()
        loop.create_connection = self._create_connection

    async def _create_connection(
        self,
        factory: collections.abc.Callable[[], asyncio.Protocol],
        host: str,
        port: int,
    ) -> tuple[_Connection, asyncio.Protocol]:
        connection = _Connection(factory())
        connection.protocol.connection_made(connection)
        self.connections.append(connection)
        return connection, connection.protocol

    async def send(
        self,
        method: str,
        reads: collections.abc.Iterable[bytes],
        closing: _Closing | None,
    ) -> upstream_answer.UpstreamAnswer:
        """Send a request that is answered by these reads."""
        task = asyncio.create_task(_send(self.client, method))
        await asyncio.sleep(0)
        connection = self.connections[-1]
        assert connection.requests
        connection.deliver(reads)
        if closing is not None:
            connection.end(closing)
        return await task


async def _send(
    client: upstream_client.UpstreamClient, method: str = 'GET'
) -> upstream_answer.UpstreamAnswer:
    deadline = clock.now() + _WAIT_S
    return await client.send(method, '/', b'', b'', deadline, b'a', b'own')


async def _check_cut(
    answer: collections.abc.Awaitable[upstream_answer.UpstreamAnswer],
    shape: _Shape,
    cut: int,
    closing: _Closing,
) -> None:
    """Check what the client returns for an answer that is cut there."""
    if shape.is_complete(cut, closing):
        complete = await answer
        assert complete.body == shape.body_at(cut)
        pairs = [b'%s: %s' % pair for pair in complete.headers]
        assert pairs == shape.head.split(b'\r\n')[1:-2]
        return
    with pytest.raises(errors.RequestError) as caught:
        await answer
    kind = errors.ErrorKind.ANSWER_CUT
    if not cut:
        kind = errors.ErrorKind.UPSTREAM_LOST
    assert caught.value.kind is kind, (cut, closing)
    assert errors.ANSWERS[kind].outcome is errors.Outcome.UNKNOWN


async def _check_all_cuts(
    shape: _Shape,
    split: collections.abc.Callable[[bytes], collections.abc.Iterable[bytes]],
    earlier: bytes = b'',
) -> None:
    for closing in _Closing:
        for cut in range(len(shape.data) + 1):
            upstream = _Upstream()
            if earlier:
                await upstream.send('GET', [earlier], None)
            reads = split(shape.data[:cut])
            await _check_cut(
                upstream.send(shape.method, reads, closing),
                shape,
                cut,
                closing,
            )
            assert not upstream.client.busy and not upstream.client.idle
            [connection] = upstream.connections
            assert connection.requests == (2 if earlier else 1)


def _split_into_bytes(data: bytes) -> list[bytes]:
    return [data[i : i + 1] for i in range(len(data))]


@pytest.mark.parametrize('name', _SHAPES)
def test_cut_at_each_byte(name: str) -> None:
    """Guards against a cut answer in one read that looks complete."""
    asyncio.run(_check_all_cuts(_SHAPES[name], lambda data: [data]))


@pytest.mark.parametrize('name', _SHAPES)
def test_cut_at_each_byte_read_byte_by_byte(name: str) -> None:
    """Guards against a cut answer in many reads that looks complete."""
    asyncio.run(_check_all_cuts(_SHAPES[name], _split_into_bytes))


@pytest.mark.parametrize('earlier', _EARLIER_ANSWERS)
@pytest.mark.parametrize(
    'name', ['length', 'chunked', 'no length', 'no length behind hints']
)
def test_cut_behind_an_earlier_answer(name: str, earlier: str) -> None:
    """Guards against state of the answer before on a kept connection.

    An upstream that closes without an answer must not repeat the status of
    the answer before.
    """
    asyncio.run(
        _check_all_cuts(
            _SHAPES[name], lambda data: [data], _EARLIER_ANSWERS[earlier]
        )
    )


# Heads of other messages that a cut may leave before the answer.
_OTHER_HEADS: dict[str, bytes] = {
    'late answer': _head(
        [(b'date', b'now'), _LATE_ID, _SIGNATURE, (b'content-length', b'4')]
    ),
    'late failure': _head(
        [(b'date', b'now'), _LATE_ID, _SIGNATURE], b'HTTP/1.1 500 Failed'
    ),
    'hints': _HINTS,
}


@pytest.mark.parametrize('other', _OTHER_HEADS)
@pytest.mark.parametrize('name', ['length', 'chunked', 'no length'])
def test_cut_head_before_the_answer(name: str, other: str) -> None:
    """Guards against a cut head that is joined to the head behind it.

    The status of one message and the headers of another are no answer.
    """
    shape = _SHAPES[name]

    async def scenario() -> None:
        for cut in range(1, len(_OTHER_HEADS[other])):
            reads = [_OTHER_HEADS[other][:cut], shape.data]
            with pytest.raises(errors.RequestError) as caught:
                await _Upstream().send('GET', reads, _Closing.CLEAN)
            assert caught.value.kind is errors.ErrorKind.ANSWER_CUT

    asyncio.run(scenario())


def test_no_answer_without_length_unless_allowed() -> None:
    """Guards against a body without an end that counts as complete."""

    async def scenario() -> None:
        shape = dataclasses.replace(_WITHOUT_LENGTH, end=_BodyEnd.NONE)
        for cut in range(len(shape.data) + 1):
            upstream = _Upstream(upstream_answer.Framing(b'attempt-id'))
            await _check_cut(
                upstream.send('GET', [shape.data[:cut]], _Closing.CLEAN),
                shape,
                cut,
                _Closing.CLEAN,
            )

    asyncio.run(scenario())


_FRAMED_BODIES: dict[_BodyEnd, list[tuple[_Pairs, bytes]]] = {
    _BodyEnd.LAST_BYTE: [([_LENGTH], _BODY), ([_CHUNKED], _CHUNKED_BODY)],
    _BodyEnd.CLOSE: [([], _BODY)],
}


@strategies.composite
def _shapes(draw: strategies.DrawFn) -> _Shape:
    end = draw(strategies.sampled_from(sorted(_FRAMED_BODIES, key=str)))
    added, body = draw(strategies.sampled_from(_FRAMED_BODIES[end]))
    others: _Pairs = [(b'date', b'now'), (b'keep-alive', b'timeout=9')]
    pairs = draw(strategies.permutations([_ID, _SIGNATURE, *added, *others]))
    before = draw(
        strategies.lists(
            strategies.sampled_from(
                [_HINTS, _CONTINUE, _LATE, _LATE_CHUNKED, _LATE_WITHOUT_BODY]
            ),
            max_size=3,
        )
    )
    return _Shape(_head(pairs), body, end, b''.join(before))


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    shape=_shapes(),
    cut_part=strategies.floats(0, 1),
    read_sizes=strategies.lists(strategies.integers(1, 90), max_size=6),
    closing=strategies.sampled_from(_Closing),
    earlier=strategies.lists(
        strategies.sampled_from(sorted(_EARLIER_ANSWERS)), max_size=2
    ),
)
def test_any_order_of_headers_and_reads(
    shape: _Shape,
    cut_part: float,
    read_sizes: list[int],
    closing: _Closing,
    earlier: list[str],
) -> None:
    """Guards against a cut answer that looks complete in a rare order."""
    cut = round(cut_part * len(shape.data))
    reads = []
    start = 0
    for size in [*read_sizes, cut]:
        reads.append(shape.data[start : min(start + size, cut)])
        start += size

    async def scenario() -> None:
        upstream = _Upstream()
        for name in earlier:
            await upstream.send('GET', [_EARLIER_ANSWERS[name]], None)
        await _check_cut(
            upstream.send('GET', reads, closing), shape, cut, closing
        )
        assert len(upstream.connections) == 1

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def _listening(
    shape: _Shape, closing: _Closing
) -> collections.abc.AsyncIterator[
    tuple[upstream_client.UpstreamClient, list[int]]
]:
    """Yield a client of an upstream on a socket, and where it cuts."""
    cuts: list[int] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(shape.data[: cuts[-1]])
        if closing is _Closing.CLEAN:
            writer.close()
            return
        connection_socket: socket.socket = writer.get_extra_info('socket')
        connection_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET
        )
        writer.transport.abort()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    client = upstream_client.UpstreamClient(
        host, port, 4, _MAX_ANSWER_BYTES, _FRAMING
    )
    try:
        yield client, cuts
    finally:
        client.close()
        server.close()


@pytest.mark.parametrize('closing', _Closing)
@pytest.mark.parametrize(
    'name',
    [
        'length',
        'chunked',
        'no length',
        'no length behind late chunks and hints',
    ],
)
def test_cut_on_a_socket(name: str, closing: _Closing) -> None:
    """Guards against the end of a socket that is taken for another end."""
    shape = _SHAPES[name]

    async def scenario() -> None:
        async with _listening(shape, closing) as (client, cuts):
            for cut in range(len(shape.data) + 1):
                cuts.append(cut)
                await _check_cut(_send(client), shape, cut, closing)

    with asyncio.Runner(loop_factory=event_loop.new_loop) as runner:
        runner.run(scenario())


@pytest.mark.parametrize('part', [0.0, 0.5, 1.0])
def test_answer_that_ends_before_its_request_is_sent(part: float) -> None:
    """Guards against an unexpected error instead of an answer or a cut one.

    The upstream ends its side of the connection and reads on, and the rest of
    a long request is sent only then.
    """
    shape = _WITHOUT_LENGTH
    cut = round(part * len(shape.data))

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(shape.data[:cut])
            writer.write_eof()
            await asyncio.sleep(_UNREAD_S)
            while await reader.read(_READ_BYTES):
                pass
        finally:
            writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        client = upstream_client.UpstreamClient(
            host, port, 4, _MAX_ANSWER_BYTES, _FRAMING
        )
        answer = client.send(
            'POST', '/', b'', _LONG_BODY, clock.now() + _WAIT_S, b'a', b'own'
        )
        await _check_cut(answer, shape, cut, _Closing.CLEAN)
        assert not client.busy and not client.idle
        server.close()

    asyncio.run(scenario())
