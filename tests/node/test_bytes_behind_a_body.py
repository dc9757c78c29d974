"""Answers whose bytes go on without an end behind a part of the body.

The parser buffers a line until its end. The limit on such a line must not
grow with the body before it.
"""

import asyncio
import tracemalloc
import typing

import pytest

from godwitstall import errors
from godwitstall.node.upstreams import upstream_client
from godwitstall.node.upstreams import upstream_connection

_MAX_ANSWER_BYTES = 1024 * 1024
_BODY_BYTES = _MAX_ANSWER_BYTES // 2
_PIECE_BYTES = 16 * 1024

# Bytes behind a body that an answer may have before it is cut.
_BOUND_BYTES = 2 * upstream_connection.MAX_HEADER_BYTES + _PIECE_BYTES

_BODY = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    + b'%x\r\n' % _BODY_BYTES
    + b'b' * _BODY_BYTES
    + b'\r\n'
)

# Start of the endless part, and the piece that follows again and again.
_ENDLESS_PARTS = {
    'trailer value': (b'0\r\nx-a: ', b'x' * _PIECE_BYTES),
    'trailer name': (b'0\r\n', b'x' * _PIECE_BYTES),
    'trailer lines': (b'0\r\n', b'x-a: b\r\n' * (_PIECE_BYTES // 8)),
    'chunk extension': (b'5;', b'x' * _PIECE_BYTES),
    'chunk size': (b'', b'0' * _PIECE_BYTES),
}


class _Transport(asyncio.Transport):
    """Transport that records only whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def write(self, data: typing.Any) -> None:
        """Drop the bytes."""

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True


@pytest.mark.parametrize('name', _ENDLESS_PARTS)
def test_bytes_behind_a_body_are_bounded(name: str) -> None:
    """Guards against a bound on trailers that grows with the body."""
    start, piece = _ENDLESS_PARTS[name]

    async def scenario() -> None:
        client = upstream_client.UpstreamClient(
            '127.0.0.1', 1, 4, _MAX_ANSWER_BYTES
        )
        transport = _Transport()
        connection = client.make_connection()
        connection.connection_made(transport)
        answer = connection.start(b'', False)
        connection.data_received(_BODY + start)
        sent_bytes = 0
        while not answer.done() and sent_bytes <= _BOUND_BYTES:
            connection.data_received(piece)
            sent_bytes += len(piece)
        assert sent_bytes <= _BOUND_BYTES
        assert transport.is_aborted
        error = answer.exception()
        assert isinstance(error, errors.RequestError)
        assert error.kind is errors.ErrorKind.ANSWER_CUT

    asyncio.run(scenario())


def test_small_chunks_behind_a_body_are_complete() -> None:
    """Guards against a bound that cuts the framing of a long body."""

    async def scenario() -> None:
        client = upstream_client.UpstreamClient(
            '127.0.0.1', 1, 4, _MAX_ANSWER_BYTES
        )
        connection = client.make_connection()
        connection.connection_made(_Transport())
        answer = connection.start(b'', False)
        connection.data_received(_BODY)
        for _ in range(100):
            connection.data_received(b'1\r\nx\r\n' * 1000)
        connection.data_received(b'0\r\nx-sum: 1\r\n\r\n')
        assert len((await answer).body) == _BODY_BYTES + 100_000

    asyncio.run(scenario())


# Endless parts that lie before or behind a body of no size.
_PARTS_OUTSIDE_OF_BODIES = {
    'header value': b'HTTP/1.1 200 OK\r\nx-a: ',
    'trailer value': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx-a: '
    ),
}


@pytest.mark.parametrize('name', _PARTS_OUTSIDE_OF_BODIES)
def test_heads_and_trailers_count_in_the_limit_of_all_answers(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory outside of bodies that grows with connections."""
    limit_bytes = 512 * 1024
    monkeypatch.setattr(upstream_client, 'MAX_BUFFERED_BYTES', limit_bytes)

    async def scenario() -> None:
        client = upstream_client.UpstreamClient(
            '127.0.0.1', 1, 64, _MAX_ANSWER_BYTES
        )
        answers = []
        for _ in range(64):
            connection = client.make_connection()
            connection.connection_made(_Transport())
            client.busy.add(connection)
            answers.append(connection.start(b'', False))
            connection.data_received(_PARTS_OUTSIDE_OF_BODIES[name])
            for _ in range(3):
                connection.data_received(b'x' * _PIECE_BYTES)
        is_cut = [answer.done() for answer in answers]
        open_bytes = is_cut.count(False) * 3 * _PIECE_BYTES
        assert open_bytes <= limit_bytes + _PIECE_BYTES
        for answer in answers:
            if answer.done():
                error = answer.exception()
                assert isinstance(error, errors.RequestError)
                assert error.kind is errors.ErrorKind.ANSWER_CUT

    asyncio.run(scenario())


def test_small_header_lines_count_as_what_they_take(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against heads whose objects take 30 times their bytes."""
    limit_bytes = 4 * 1024 * 1024
    monkeypatch.setattr(upstream_client, 'MAX_BUFFERED_BYTES', limit_bytes)
    lines = b'a: b\r\n' * 2000

    async def scenario() -> int:
        client = upstream_client.UpstreamClient(
            '127.0.0.1', 1, 64, _MAX_ANSWER_BYTES
        )
        tracemalloc.start()
        try:
            for _ in range(64):
                connection = client.make_connection()
                connection.connection_made(_Transport())
                client.busy.add(connection)
                connection.start(b'', False).add_done_callback(
                    lambda answer: answer.exception()
                )
                connection.data_received(b'HTTP/1.1 200 OK\r\n')
                for _ in range(8):
                    connection.data_received(lines)
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    assert asyncio.run(scenario()) < 2 * limit_bytes
