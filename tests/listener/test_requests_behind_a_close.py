"""Requests that are read while the last responses of a connection are pending.

The close is announced on the last response, so that the client does not know
of it yet and goes on sending.
"""

import asyncio
import random

import pytest

from godwitstall import errors
from godwitstall.http import connection as http_connection
from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0
_RETRY_AFTER = b'1.500'


def _get(target: str, headers: str = '') -> bytes:
    return f'GET {target} HTTP/1.1\r\nhost: a\r\n{headers}\r\n'.encode()


def _respond_to_error(kind: errors.ErrorKind) -> http_messages.Response:
    return http_messages.Response(
        errors.ANSWERS[kind].status, [(b'retry-after', _RETRY_AFTER)]
    )


class _Handler:
    """Echoes the target of each request once it has been released."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.released: dict[str, asyncio.Event] = {}
        self.closing_target = ''

    async def serve(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        self.started.append(request.target)
        await self._event(request.target).wait()
        return http_messages.Response(
            200,
            [],
            request.target.encode(),
            closes_connection=request.target == self.closing_target,
        )

    def release(self, target: str) -> None:
        self._event(target).set()

    def _event(self, target: str) -> asyncio.Event:
        return self.released.setdefault(target, asyncio.Event())

    async def wait_until_started(self, count: int) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while len(self.started) < count:
                await asyncio.sleep(0.01)


async def _send_behind_a_close(
    handler: _Handler, cause: str, late: list[bytes], limit: int = 32
) -> list[bytes]:
    """Send requests behind a response that is to close the connection.

    Returns all responses to /1, /2 and the late requests.
    """
    async with connections.listening(handler.serve) as (listener, address):
        listener.respond_to_error = _respond_to_error
        listener.limits.max_pipelined_requests = limit
        reader, writer = await connections.connect(address)
        writer.write(_get('/1') + _get('/2'))
        await handler.wait_until_started(2)
        if cause == 'planned stop':
            listener.is_stopping = True
        else:
            handler.closing_target = '/1'
        handler.release('/1')
        async with asyncio.timeout(_TIMEOUT_S):
            received = await reader.readuntil(b'/1')
            for part in late:
                writer.write(part)
                await asyncio.sleep(0.02)
            handler.release('/2')
            received += await reader.read()
        writer.close()
    return received.split(b'HTTP/1.1 ')[1:]


def _assert_answered(
    handler: _Handler, responses: list[bytes], late_count: int
) -> None:
    assert handler.started == ['/1', '/2']
    assert [response[:3] for response in responses] == [b'200'] * 2 + [
        b'503'
    ] * late_count
    # Only the last response announces the close.
    assert [b'connection: close' in r for r in responses] == [False] * (
        1 + late_count
    ) + [True]
    for response in responses[2:]:
        assert b'retry-after: ' + _RETRY_AFTER in response


@pytest.mark.parametrize('cause', ['planned stop', 'closing response'])
@pytest.mark.parametrize('late_count', [1, 5, 40])
def test_request_that_is_read_behind_a_pending_close_gets_an_answer(
    cause: str, late_count: int
) -> None:
    """Guards against requests that a stopping listener reads and drops.

    They were not run, and the client would not know it.
    """
    handler = _Handler()
    late = [_get('/late') * late_count]
    responses = asyncio.run(_send_behind_a_close(handler, cause, late))
    _assert_answered(handler, responses, late_count)


@pytest.mark.parametrize('limit', [2, 32])
def test_requests_beyond_the_limit_of_pending_ones_get_an_answer(
    limit: int,
) -> None:
    """Guards against requests dropped because too many were pending.

    The listener has received them and has not parsed them yet.
    """
    late_count = 15
    body = b'x' * 3000
    request = (
        f'POST /late HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}'
        '\r\n\r\n'.encode()
        + body
    )
    handler = _Handler()
    responses = asyncio.run(
        _send_behind_a_close(
            handler, 'planned stop', [request * late_count], limit
        )
    )
    _assert_answered(handler, responses, late_count)


@pytest.mark.parametrize('seed', range(10))
def test_request_in_pieces_behind_a_pending_close_gets_an_answer(
    seed: int,
) -> None:
    """Guards against a refused request whose body is taken for the next."""
    chance = random.Random(seed)
    body = _get('/in-the-body') * 3
    data = b''.join(
        f'POST /late HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}'
        '\r\n\r\n'.encode()
        + body
        for _ in range(3)
    )
    cuts = sorted(chance.sample(range(1, len(data)), 4))
    pieces = [
        data[start:end]
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True)
    ]
    handler = _Handler()
    responses = asyncio.run(
        _send_behind_a_close(handler, 'planned stop', pieces)
    )
    _assert_answered(handler, responses, 3)


def test_malformed_request_behind_a_pending_close_gets_an_answer() -> None:
    """Guards against a malformed request that hides the refusal before it."""
    handler = _Handler()
    responses = asyncio.run(
        _send_behind_a_close(
            handler, 'planned stop', [_get('/late'), b'no request\r\n\r\n']
        )
    )
    assert [response[:3] for response in responses] == [
        b'200',
        b'200',
        b'503',
        b'400',
    ]
    assert b'connection: close' in responses[-1]


def test_client_that_asks_for_the_close_behind_a_pending_one_is_answered() -> (
    None
):
    """Guards against a request with Connection: close that gets no answer."""
    handler = _Handler()
    responses = asyncio.run(
        _send_behind_a_close(
            handler,
            'planned stop',
            [_get('/late', 'connection: close\r\n')],
        )
    )
    _assert_answered(handler, responses, 1)


def test_request_is_served_while_no_response_of_a_stop_is_due() -> None:
    """Guards against a refusal that the client learns of no sooner.

    Its response is written behind a request that is still running, and a
    response of its handler comes at the same time.
    """

    async def scenario() -> bytes:
        handler = _Handler()
        async with connections.listening(handler.serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_get('/1') + _get('/2'))
            await handler.wait_until_started(2)
            listener.is_stopping = True
            # Its response cannot be written yet.
            handler.release('/2')
            await asyncio.sleep(0.05)
            writer.write(_get('/3'))
            await handler.wait_until_started(3)
            handler.release('/3')
            await asyncio.sleep(0.05)
            handler.release('/1')
            async with asyncio.timeout(_TIMEOUT_S):
                received = await reader.read()
            writer.close()
        return received

    responses = asyncio.run(scenario()).split(b'HTTP/1.1 ')[1:]
    assert [response[:3] for response in responses] == [b'200'] * 3
    assert b'connection: close' in responses[-1]


def test_requests_refused_behind_a_close_are_counted() -> None:
    """Guards against refusals of a stop that no metric shows."""
    before = http_connection._REFUSED_REQUESTS.value()
    asyncio.run(
        _send_behind_a_close(_Handler(), 'planned stop', [_get('/late') * 3])
    )
    assert http_connection._REFUSED_REQUESTS.value() == before + 3


def test_refusal_that_waits_for_its_turn_is_built_when_it_is_written() -> None:
    """Guards against a Retry-After that counts from before it was sent.

    The refusal waits behind a request that is still running. Its client would
    stay away for as long again.
    """

    async def scenario() -> bytes:
        handler = _Handler()

        def respond_to_error(
            kind: errors.ErrorKind,
        ) -> http_messages.Response:
            is_due = handler.released['/2'].is_set()
            return http_messages.Response(
                errors.ANSWERS[kind].status, [], b'due' if is_due else b'early'
            )

        async with connections.listening(handler.serve) as (listener, address):
            listener.respond_to_error = respond_to_error
            reader, writer = await connections.connect(address)
            writer.write(_get('/1') + _get('/2'))
            await handler.wait_until_started(2)
            listener.is_stopping = True
            handler.release('/1')
            async with asyncio.timeout(_TIMEOUT_S):
                received = await reader.readuntil(b'/1')
                writer.write(_get('/late'))
                await asyncio.sleep(0.05)
                handler.release('/2')
                received += await reader.read()
            writer.close()
        return received

    received = asyncio.run(scenario())
    assert received.count(b'HTTP/1.1 503 ') == 1
    assert received.endswith(b'due')
