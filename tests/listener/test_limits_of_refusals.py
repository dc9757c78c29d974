"""Limits that hold while a listener refuses requests behind a close."""

import asyncio
import collections.abc

from godwitstall import errors
from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0
_LIMIT = 2

# More requests than one connection may have read.
_FLOOD = 20_000

# Requests that may be read in one part, beyond the limit on pending ones.
_MAX_PENDING = 300


def _request(target: str, method: str = 'GET') -> bytes:
    return f'{method} {target} HTTP/1.1\r\nhost: a\r\n\r\n'.encode()


def _respond_to_error(kind: errors.ErrorKind) -> http_messages.Response:
    return http_messages.Response(
        errors.ANSWERS[kind].status, [], b'the refusal'
    )


async def _until(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


class _Refusing:
    """A connection whose first response of a stop has been written.

    The last of its requests runs until it is released.
    """

    def __init__(self) -> None:
        self.started: list[str] = []
        self.released = asyncio.Event()
        self.pending = 0

    async def serve(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        self.started.append(request.target)
        if request.target == '/last':
            await self.released.wait()
        return http_messages.Response(200, [], request.target.encode())

    async def exchange(self, first: bytes, late: bytes) -> bytes:
        """Send requests, and more when the first response has come.

        Returns all responses.
        """
        async with connections.listening(self.serve) as (listener, address):
            listener.respond_to_error = _respond_to_error
            listener.limits.max_pipelined_requests = _LIMIT
            listener.is_stopping = True
            reader, writer = await connections.connect(address)
            writer.write(first)
            async with asyncio.timeout(_TIMEOUT_S):
                received = await reader.readuntil(b'/1')
                await _until(lambda: '/last' in self.started)
                (connection,) = listener.connections
                writer.write(late)
                await _until(
                    lambda: any(e.is_refused for e in connection.exchanges)
                )
                await asyncio.sleep(0.1)
                self.pending = len(connection.exchanges)
                self.released.set()
                received += await reader.read()
            writer.close()
        return received


def _exchange(first: bytes, late: bytes) -> tuple[_Refusing, list[bytes]]:
    async def scenario() -> tuple[_Refusing, list[bytes]]:
        refusing = _Refusing()
        received = await refusing.exchange(first, late)
        return refusing, received.split(b'HTTP/1.1 ')[1:]

    return asyncio.run(scenario())


def test_flood_of_refused_requests_is_not_kept_in_memory() -> None:
    """Guards against refusals without a limit behind a pending response."""
    refusing, responses = _exchange(
        _request('/1') + _request('/last'), _request('/late') * _FLOOD
    )
    assert refusing.pending <= _MAX_PENDING
    assert {r[:3] for r in responses[2:]} == {b'503'}
    assert [b'connection: close' in r for r in responses] == [False] * (
        len(responses) - 1
    ) + [True]


def test_requests_that_wait_when_refusing_begins_are_served() -> None:
    """Guards against a request that was read before and never gets a handler.

    It waited for the requests before it, and none comes behind it.
    """
    targets = ['/1', '/2', '/3', '/4', '/last']
    refusing, responses = _exchange(
        b''.join(map(_request, targets)), _request('/late')
    )
    assert refusing.started == targets
    assert [r[:3] for r in responses] == [b'200'] * 5 + [b'503']


def test_refused_head_request_gets_no_body() -> None:
    """Guards against a body that is taken for the start of a response."""
    _, responses = _exchange(
        _request('/1') + _request('/last'),
        _request('/late', 'HEAD') + _request('/late'),
    )
    assert [r[:3] for r in responses] == [b'200'] * 2 + [b'503'] * 2
    assert responses[2].endswith(b'\r\n\r\n')
    assert responses[3].endswith(b'the refusal')
