"""Upstreams whose answers never end.

Each answer must be aborted at a limit of size or time. Its connection and
memory must be freed, and the outcome of the request must be unknown.
"""

import asyncio
import collections.abc
import contextlib
import itertools
import tracemalloc

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_client

_FRAMING = upstream_answer.Framing(b'attempt-id', True)
_MAX_ANSWER_BYTES = 256 * 1024
_PIECE = b'x' * 16 * 1024
_DEADLINE_S = 20.0

# Allowance for data in socket buffers, beyond the memory of the client.
_SOCKET_BUFFER_BYTES = 2 * 1024 * 1024

_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
_LATE_ANSWER = (
    b'HTTP/1.1 200 OK\r\nattempt-id: old\r\n'
    b'content-length: 1000\r\n\r\n' + b'l' * 1000
)

# Bytes that are sent first, and bytes that are then sent repeatedly.
_ENDLESS_ANSWERS: dict[str, tuple[bytes, bytes]] = {
    'status line': (b'HTTP/1.1 200 ', _PIECE),
    'header name': (_HEAD, _PIECE),
    'header value': (_HEAD + b'x-a: ', _PIECE),
    'header lines': (_HEAD, b'x-a: ' + _PIECE + b'\r\n'),
    'small header lines': (_HEAD, b'a: b\r\n' * 2000),
    'interim answers': (b'', b'HTTP/1.1 103 X\r\nlink: </a>\r\n\r\n' * 500),
    'late answers': (b'', _LATE_ANSWER * 16),
    'chunk extension': (_CHUNKED + b'5;', _PIECE),
    'chunks': (_CHUNKED, b'4000\r\n' + _PIECE + b'\r\n'),
    'chunks of one byte': (_CHUNKED, b'1\r\nx\r\n' * 2000),
    'trailer value': (_CHUNKED + b'0\r\nx-a: ', _PIECE),
    'trailers': (_CHUNKED + b'0\r\n', b'x-a: ' + _PIECE + b'\r\n'),
    'body to the end of the connection': (_HEAD + b'\r\n', _PIECE),
    'garbage': (b'', b'\x00\xff' * 8192),
}

_SentBytes = list[int]


@contextlib.asynccontextmanager
async def _client(
    start: bytes, piece: bytes, pause_s: float = 0.0
) -> collections.abc.AsyncIterator[
    tuple[upstream_client.UpstreamClient, _SentBytes]
]:
    """Yield a client of an upstream that sends pieces endlessly."""
    sent: _SentBytes = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = len(sent)
        sent.append(0)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(start)
            for _ in itertools.count():
                writer.write(piece)
                await writer.drain()
                sent[number] += len(piece)
                await asyncio.sleep(pause_s)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    client = upstream_client.UpstreamClient(
        host, port, 64, _MAX_ANSWER_BYTES, _FRAMING
    )
    try:
        yield client, sent
    finally:
        client.close()
        server.close()


async def _send(
    client: upstream_client.UpstreamClient, limit_s: float = _DEADLINE_S
) -> errors.RequestError:
    with pytest.raises(errors.RequestError) as caught:
        await client.send(
            'GET', '/', b'', b'', clock.now() + limit_s, b'a', b'own'
        )
    return caught.value


@pytest.mark.parametrize('name', _ENDLESS_ANSWERS)
def test_endless_bytes_end_at_a_bound(name: str) -> None:
    """Guards against resources that an endless answer never frees."""

    async def scenario() -> None:
        async with _client(*_ENDLESS_ANSWERS[name]) as (client, sent):
            error = await _send(client)
            assert error.kind is errors.ErrorKind.ANSWER_CUT
            assert errors.ANSWERS[error.kind].outcome is (
                errors.Outcome.UNKNOWN
            )
            assert not client.busy and not client.idle
            assert client.budget.held_bytes() == 0
            assert sent[0] < 10 * _MAX_ANSWER_BYTES + _SOCKET_BUFFER_BYTES

    asyncio.run(scenario())


def test_drip_ends_at_the_deadline() -> None:
    """Guards against a slow body that is read past the deadline."""

    async def scenario() -> None:
        async with _client(_HEAD + b'\r\n', b'x', 0.005) as (client, _):
            error = await _send(client, 0.3)
            assert error.kind is errors.ErrorKind.UPSTREAM_TIMEOUT
            assert errors.ANSWERS[error.kind].outcome is (
                errors.Outcome.UNKNOWN
            )
            assert not client.busy and client.budget.held_bytes() == 0

    asyncio.run(scenario())


def test_length_above_the_bound_is_refused_at_its_header() -> None:
    """Guards against reading a body that is too large to be returned."""
    start = _HEAD + b'content-length: 999999999\r\n\r\n'

    async def scenario() -> None:
        async with _client(start, _PIECE) as (client, sent):
            error = await _send(client)
            assert error.kind is errors.ErrorKind.ANSWER_TOO_LARGE
            assert not client.busy
            assert sent[0] < _SOCKET_BUFFER_BYTES

    asyncio.run(scenario())


def test_all_bodies_together_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that grows with the number of connections."""
    bound = 2 * _MAX_ANSWER_BYTES
    monkeypatch.setattr(upstream_client, 'MAX_BUFFERED_BYTES', bound)
    peak = 0
    calls = 16

    async def scenario() -> None:
        nonlocal peak
        # All answers grow at the same rate, so that their total size reaches
        # its limit before the size of any single answer does.
        async with _client(_HEAD + b'\r\n', b'x' * 4096, 0.002) as (client, _):
            tracemalloc.start()
            try:
                request_errors = await asyncio.gather(
                    *(_send(client) for _ in range(calls))
                )
                peak = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            assert {error.kind for error in request_errors} == {
                errors.ErrorKind.ANSWER_CUT
            }
            assert client.budget.held_bytes() == 0

    asyncio.run(scenario())
    assert peak < bound + _SOCKET_BUFFER_BYTES


def test_whole_answer_beside_endless_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a limit on the total size that aborts short answers."""
    monkeypatch.setattr(upstream_client, 'MAX_BUFFERED_BYTES', 200_000)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await reader.readuntil(b'\r\n\r\n')
            if request.startswith(b'GET /whole '):
                writer.write(_HEAD + b'content-length: 3\r\n\r\n')
                await asyncio.sleep(0.2)
                writer.write(b'own')
            while request.startswith(b'GET /endless '):
                writer.write(_CHUNKED if not writer.is_closing() else b'')
                await writer.drain()
                request = b'GET /more '
            while request.startswith(b'GET /more '):
                writer.write(b'1000\r\n' + b'x' * 4096 + b'\r\n')
                await writer.drain()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        client = upstream_client.UpstreamClient(
            host, port, 64, _MAX_ANSWER_BYTES, _FRAMING
        )
        whole = asyncio.create_task(
            client.send(
                'GET', '/whole', b'', b'', clock.now() + _DEADLINE_S, b'a'
            )
        )
        for _ in range(4):
            with pytest.raises(errors.RequestError):
                await client.send(
                    'GET', '/endless', b'', b'', clock.now() + _DEADLINE_S
                )
        assert (await whole).body == b'own'
        client.close()
        server.close()

    asyncio.run(scenario())
