"""The HTTP listener of the request path, over real sockets."""

import asyncio
import collections.abc
import contextlib

import pytest

from godwitstall import http_listener
from loadtool import addresses

_WAIT_S = 10.0


@contextlib.asynccontextmanager
async def _listening(
    handler: http_listener.Handler,
) -> collections.abc.AsyncIterator[tuple[http_listener.Listener, str]]:
    address = addresses.free_address()
    listener = http_listener.Listener({address: handler})
    await listener.start()
    try:
        yield listener, address
    finally:
        await listener.close()


async def _connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


async def _talk(address: str, data: bytes) -> bytes:
    """Send bytes, then read until the listener closes."""
    reader, writer = await _connect(address)
    writer.write(data)
    async with asyncio.timeout(_WAIT_S):
        answer = await reader.read()
    writer.close()
    return answer


def test_pipelined_answers_keep_their_order() -> None:
    """Guards against an answer that reaches another request."""

    async def scenario() -> None:
        second_is_done = asyncio.Event()

        async def handler(
            request: http_listener.Request,
        ) -> http_listener.Response:
            if request.target == '/1':
                await second_is_done.wait()
            else:
                second_is_done.set()
            return http_listener.Response(200, [], request.target.encode())

        async with _listening(handler) as (_, address):
            answer = await _talk(
                address,
                b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n'
                b'GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
            )
        assert answer.index(b'/1') < answer.index(b'/2')
        assert answer.count(b'HTTP/1.1 200 OK') == 2

    asyncio.run(scenario())


def test_request_of_a_client_that_left_is_cancelled() -> None:
    """Guards against work for callers that are gone."""

    async def scenario() -> None:
        has_begun = asyncio.Event()
        was_cancelled = asyncio.Event()

        async def handler(
            request: http_listener.Request,
        ) -> http_listener.Response:
            has_begun.set()
            try:
                await asyncio.sleep(_WAIT_S)
            except asyncio.CancelledError:
                was_cancelled.set()
                raise
            return http_listener.Response(200)

        async with _listening(handler) as (_, address):
            _, writer = await _connect(address)
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            async with asyncio.timeout(_WAIT_S):
                await has_begun.wait()
                writer.close()
                await was_cancelled.wait()

    asyncio.run(scenario())


def test_requests_behind_a_closing_answer_are_not_served() -> None:
    """Guards against work whose answer cannot be delivered."""

    async def scenario() -> None:
        async def handler(
            request: http_listener.Request,
        ) -> http_listener.Response:
            return http_listener.Response(200, [], b'', closes_connection=True)

        async with _listening(handler) as (_, address):
            answer = await _talk(
                address, b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n' * 3
            )
        assert answer.count(b'HTTP/1.1') == 1
        assert b'connection: close' in answer

    asyncio.run(scenario())


_BAD = {
    'garbage': (b'\x00\x01\r\n\r\n', 400),
    'two hosts': (b'GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n', 400),
    'two lengths': (
        b'POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
        400,
    ),
    'length and chunked': (
        b'POST / HTTP/1.1\r\ncontent-length: 1\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
        400,
    ),
    'large headers': (b'GET / HTTP/1.1\r\na: ' + b'x' * 3000, 431),
    'large body': (b'POST / HTTP/1.1\r\ncontent-length: 9000\r\n\r\n', 413),
    'large chunks': (
        b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
        b'2000\r\n' + b'x' * 0x2000 + b'\r\n',
        413,
    ),
}


@pytest.mark.parametrize('name', _BAD)
def test_bad_request_is_refused(name: str) -> None:
    """Guards against a bad request that reaches a handler."""
    data, status = _BAD[name]

    async def scenario() -> None:
        async def handler(
            request: http_listener.Request,
        ) -> http_listener.Response:
            raise AssertionError('must not be served')

        async with _listening(handler) as (listener, address):
            listener.limits.max_header_bytes = 2000
            listener.limits.max_body_bytes = 5000
            answer = await _talk(address, data)
        assert answer.startswith(b'HTTP/1.1 %d ' % status)

    asyncio.run(scenario())


def test_slow_headers_end_the_connection() -> None:
    """Guards against clients that hold connections with half a request."""

    async def scenario() -> None:
        async def handler(
            request: http_listener.Request,
        ) -> http_listener.Response:
            raise AssertionError('must not be served')

        async with _listening(handler) as (listener, address):
            listener.limits.header_timeout_s = 0.01
            answer = await _talk(address, b'GET / HTTP/1.1\r\nhost:')
        assert answer.startswith(b'HTTP/1.1 408 ')

    asyncio.run(scenario())


def test_idle_connection_is_closed_without_an_answer() -> None:
    """Guards against connections that stay for ever."""

    async def scenario() -> None:
        async def handler(
            request: http_listener.Request,
        ) -> http_listener.Response:
            return http_listener.Response(204)

        async with _listening(handler) as (listener, address):
            listener.limits.idle_timeout_s = 0.01
            answer = await _talk(address, b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 204 ')
        assert answer.count(b'HTTP/1.1') == 1

    asyncio.run(scenario())


@pytest.mark.parametrize('turns', range(1, 25))
def test_no_connection_is_left_open_at_the_end(turns: int) -> None:
    """Guards against a connection that nobody reads and nobody closes.

    Clients connect in each turn of the loop while the listener finishes.
    """

    async def ask(address: str, delay: int) -> bytes:
        for _ in range(delay):
            await asyncio.sleep(0)
        try:
            return await _talk(address, b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        except (ConnectionRefusedError, ConnectionResetError):
            # Not accepted, so not read.
            return b'refused'

    async def handler(
        request: http_listener.Request,
    ) -> http_listener.Response:
        await asyncio.sleep(0)
        return http_listener.Response(200, [], b'whole')

    async def scenario() -> None:
        async with _listening(handler) as (listener, address):
            asks = [asyncio.create_task(ask(address, i)) for i in range(30)]
            for _ in range(turns):
                await asyncio.sleep(0)
            await listener.close_gracefully(_WAIT_S)
            answers = await asyncio.gather(*asks)
            assert all(
                a == b'refused' or a.endswith(b'whole') for a in answers
            )

    asyncio.run(scenario())


def test_request_in_the_last_moment_is_answered_or_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a planned stop that cuts what it has just accepted."""
    handled: list[str] = []

    async def handler(
        request: http_listener.Request,
    ) -> http_listener.Response:
        handled.append(request.target)
        await asyncio.sleep(0.05)
        return http_listener.Response(200, [], b'done')

    async def scenario() -> None:
        async with _listening(handler) as (listener, address):
            reader, writer = await _connect(address)
            writer.write(b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n')
            await reader.readuntil(b'done')
            stop_listening = listener._stop_listening
            calls = 0

            async def send_meanwhile() -> None:
                nonlocal calls
                calls += 1
                if calls == 2:
                    # The stop has looked for what is owed, and now closes.
                    writer.write(b'GET /2 HTTP/1.1\r\nhost: a\r\n\r\n')
                    await asyncio.sleep(0.02)
                await stop_listening()

            monkeypatch.setattr(listener, '_stop_listening', send_meanwhile)
            await listener.close_gracefully(_WAIT_S)
            with contextlib.suppress(ConnectionResetError):
                rest = await reader.read()
                assert rest.count(b'done') == len(handled) - 1
            assert handled == ['/1']
            writer.close()

    asyncio.run(scenario())
