"""Tests of the HTTP listener of the request path, over real sockets."""

import asyncio
import contextlib

import pytest

from godwitstall import errors
from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0


async def _exchange(address: str, data: bytes) -> bytes:
    """Send bytes and read until the listener closes the connection."""
    reader, writer = await connections.connect(address)
    writer.write(data)
    async with asyncio.timeout(_TIMEOUT_S):
        response = await reader.read()
    writer.close()
    return response


def test_pipelined_answers_keep_their_order() -> None:
    """Guards against a response that is matched to another request."""

    async def scenario() -> None:
        is_second_done = asyncio.Event()

        async def handler(
            request: http_messages.Request,
        ) -> http_messages.Response:
            if request.target == '/1':
                await is_second_done.wait()
            else:
                is_second_done.set()
            return http_messages.Response(200, [], request.target.encode())

        async with connections.listening(handler) as (_, address):
            response = await _exchange(
                address,
                b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n'
                b'GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
            )
        assert response.index(b'/1') < response.index(b'/2')
        assert response.count(b'HTTP/1.1 200 OK') == 2

    asyncio.run(scenario())


def test_request_of_a_client_that_left_is_cancelled() -> None:
    """Guards against work for clients that have disconnected."""

    async def scenario() -> None:
        is_started = asyncio.Event()
        is_cancelled = asyncio.Event()

        async def handler(
            request: http_messages.Request,
        ) -> http_messages.Response:
            is_started.set()
            try:
                await asyncio.sleep(_TIMEOUT_S)
            except asyncio.CancelledError:
                is_cancelled.set()
                raise
            return http_messages.Response(200)

        async with connections.listening(handler) as (_, address):
            _, writer = await connections.connect(address)
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            async with asyncio.timeout(_TIMEOUT_S):
                await is_started.wait()
                writer.close()
                await is_cancelled.wait()

    asyncio.run(scenario())


def test_request_behind_a_closing_answer_is_answered_or_not_served() -> None:
    """Guards against work whose response is not delivered.

    The response to the first of three pipelined requests closes the
    connection.
    """
    handled_targets: list[str] = []

    async def scenario() -> None:
        async def handler(
            request: http_messages.Request,
        ) -> http_messages.Response:
            handled_targets.append(request.target)
            return http_messages.Response(
                200, [], b'', closes_connection=request.target == '/1'
            )

        async with connections.listening(handler) as (_, address):
            response = await _exchange(
                address,
                b''.join(
                    b'GET /%d HTTP/1.1\r\nhost: a\r\n\r\n' % number
                    for number in (1, 2, 3)
                ),
            )
        assert handled_targets[:1] == ['/1']
        assert response.count(b'HTTP/1.1') == len(handled_targets)
        _, _, last_response = response.rpartition(b'HTTP/1.1')
        assert b'connection: close' in last_response
        assert response.count(b'connection: close') == 1

    asyncio.run(scenario())


_INVALID_REQUESTS = {
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


@pytest.mark.parametrize('name', _INVALID_REQUESTS)
def test_bad_request_is_refused(name: str) -> None:
    """Guards against an invalid request that reaches a handler."""
    data, status = _INVALID_REQUESTS[name]

    async def scenario() -> None:
        async def handler(
            request: http_messages.Request,
        ) -> http_messages.Response:
            raise AssertionError('must not be served')

        async with connections.listening(handler) as (listener, address):
            listener.limits.max_header_bytes = 2000
            listener.limits.max_body_bytes = 5000
            response = await _exchange(address, data)
        assert response.startswith(b'HTTP/1.1 %d ' % status)

    asyncio.run(scenario())


def test_slow_headers_end_the_connection() -> None:
    """Guards against clients that keep connections open by slow headers."""

    async def scenario() -> None:
        async def handler(
            request: http_messages.Request,
        ) -> http_messages.Response:
            raise AssertionError('must not be served')

        async with connections.listening(handler) as (listener, address):
            listener.limits.header_timeout_s = 0.01
            response = await _exchange(address, b'GET / HTTP/1.1\r\nhost:')
        assert response.startswith(b'HTTP/1.1 408 ')

    asyncio.run(scenario())


def test_headers_that_wait_unread_do_not_time_out() -> None:
    """Guards against 408 for headers that the listener itself holds back."""

    async def scenario() -> None:
        is_released = asyncio.Event()

        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            await is_released.wait()
            return http_messages.Response(200)

        async with connections.listening(serve) as (listener, address):
            listener.limits.header_timeout_s = 0.1
            get = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
            reader, writer = await connections.connect(address)
            writer.write(get * 32 + get[:10])
            while listener.active_requests < 32:
                await asyncio.sleep(0.01)
            writer.write(get[10:])
            # Longer than the timeout, and than the interval of its checks.
            await asyncio.sleep(0.8)
            is_released.set()
            async with asyncio.timeout(_TIMEOUT_S):
                for _ in range(33):
                    head = await reader.readuntil(b'\r\n\r\n')
                    assert head.startswith(b'HTTP/1.1 200 ')
            writer.close()

    asyncio.run(scenario())


def test_idle_connection_is_closed_without_an_answer() -> None:
    """Guards against idle connections that are never closed."""

    async def scenario() -> None:
        async def handler(
            request: http_messages.Request,
        ) -> http_messages.Response:
            return http_messages.Response(204)

        async with connections.listening(handler) as (listener, address):
            listener.limits.idle_timeout_s = 0.01
            response = await _exchange(
                address, b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
            )
        assert response.startswith(b'HTTP/1.1 204 ')
        assert response.count(b'HTTP/1.1') == 1

    asyncio.run(scenario())


@pytest.mark.parametrize('iterations', range(1, 25))
def test_no_connection_is_left_open_at_the_end(iterations: int) -> None:
    """Guards against a connection that is never read and never closed.

    Clients connect in each iteration of the event loop while the listener
    closes.
    """

    async def send_request(address: str, delay_iterations: int) -> bytes:
        for _ in range(delay_iterations):
            await asyncio.sleep(0)
        try:
            return await _exchange(
                address, b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
            )
        except (ConnectionRefusedError, ConnectionResetError):
            # The connection was not accepted, so the request was not read.
            return b'refused'

    async def handler(
        request: http_messages.Request,
    ) -> http_messages.Response:
        await asyncio.sleep(0)
        return http_messages.Response(200, [], b'whole')

    async def scenario() -> None:
        async with connections.listening(handler) as (listener, address):
            tasks = [
                asyncio.create_task(send_request(address, i))
                for i in range(30)
            ]
            for _ in range(iterations):
                await asyncio.sleep(0)
            await listener.close_gracefully(_TIMEOUT_S)
            responses = await asyncio.gather(*tasks)
            assert all(
                r == b'refused' or r.endswith(b'whole') for r in responses
            )

    asyncio.run(scenario())


def test_request_in_the_last_moment_is_answered_or_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a graceful close that cancels an accepted request."""
    handled_targets: list[str] = []

    async def handler(
        request: http_messages.Request,
    ) -> http_messages.Response:
        handled_targets.append(request.target)
        await asyncio.sleep(0.05)
        return http_messages.Response(200, [], b'done')

    async def scenario() -> None:
        async with connections.listening(handler) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n')
            await reader.readuntil(b'done')
            stop_listening = listener._close_listening_sockets
            calls = 0

            async def send_before_close(names: list[str]) -> None:
                nonlocal calls
                calls += 1
                if calls == 2:
                    # close_gracefully() no longer checks for requests.
                    writer.write(b'GET /2 HTTP/1.1\r\nhost: a\r\n\r\n')
                    await asyncio.sleep(0.02)
                await stop_listening(names)

            monkeypatch.setattr(
                listener, '_close_listening_sockets', send_before_close
            )
            await listener.close_gracefully(_TIMEOUT_S)
            with contextlib.suppress(ConnectionResetError):
                remaining_data = await reader.read()
                assert (
                    remaining_data.count(b'done') == len(handled_targets) - 1
                )
            assert handled_targets == ['/1']
            writer.close()

    asyncio.run(scenario())


def test_request_that_expects_a_continue_behind_another_gets_it() -> None:
    """Guards against a client that waits for 100 Continue for ever.

    Its request was read while the one before it was running.
    """

    async def scenario() -> bytes:
        is_released = asyncio.Event()

        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            await is_released.wait()
            return http_messages.Response(204)

        async with connections.listening(serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(
                b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n'
                + b'POST /2 HTTP/1.1\r\nhost: a\r\n'
                b'expect: 100-continue\r\ncontent-length: 4\r\n\r\n'
            )
            await connections.until(lambda: listener.active_requests == 1)
            is_released.set()
            async with asyncio.timeout(_TIMEOUT_S):
                await reader.readuntil(b'\r\n\r\n')
                received = await reader.readuntil(b'\r\n\r\n')
                writer.write(b'body')
                received += await reader.readuntil(b'\r\n\r\n')
            writer.close()
        return received

    received = asyncio.run(scenario())
    assert received.startswith(b'HTTP/1.1 100 ')
    assert received.count(b'HTTP/1.1 204 ') == 1


def test_rejected_head_request_gets_no_body() -> None:
    """Guards against bytes behind a response to HEAD that belong to none."""

    async def scenario() -> bytes:
        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            return http_messages.Response(200, [], b'done')

        async with connections.listening(serve) as (listener, address):
            listener.respond_to_error = lambda kind: http_messages.Response(
                errors.ANSWERS[kind].status, [], b'a body'
            )
            reader, writer = await connections.connect(address)
            writer.write(
                b'HEAD / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n',
            )
            async with asyncio.timeout(_TIMEOUT_S):
                received = await reader.read()
            writer.close()
        return received

    received = asyncio.run(scenario())
    assert received.startswith(b'HTTP/1.1 400 ')
    assert received.endswith(b'\r\n\r\n')
