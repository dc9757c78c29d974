"""HTTP/1.1 client with kept connections and a low cost per call.

httpx takes about 1 ms a call, which would show up in the figures. Here a
connection is an asyncio protocol with the httptools parser; it carries one
request at a time and is closed after anything but a whole answer.

Example:
    client = http_client.Client('127.0.0.1:8080', max_connections=64)
    answer = await client.request('GET', '/health', [], b'', timeout_s=1.0)
"""

import asyncio
import collections
import collections.abc
import hashlib
import typing

import httptools

from godwitstall import link


class CallError(Exception):
    """A call got no whole answer; the reason is one word for counters."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        # 'connect', 'no_connection', 'timeout', 'closed', 'cut', 'malformed'.
        self.reason = reason


class Answer(typing.NamedTuple):
    """One whole answer."""

    # HTTP status.
    status: int
    # Headers, names in lower case; the last of equal names stands.
    headers: dict[str, str]
    # Body, whole.
    body: bytes


Headers = collections.abc.Iterable[tuple[str, str]]


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return SHA-256 of a request, hex; path includes the query."""
    head = f'{method} {path}\n'.encode('latin-1')
    return hashlib.sha256(head + body).hexdigest()


def _has_result(future: asyncio.Future[typing.Any]) -> bool:
    return (
        future.done() and not future.cancelled() and future.exception() is None
    )


class _Connection(asyncio.Protocol):
    """One connection; at most one request is open on it."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        # Answer that is awaited; None between requests.
        self.waiter: asyncio.Future[Answer] | None = None
        # No further request may use this connection.
        self.is_broken = False
        # Any byte of the awaited answer has come.
        self.has_bytes = False
        self.headers: dict[str, str] = {}
        self.parts: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_broken = True
        self._fail('cut' if self.has_bytes else 'closed')

    def data_received(self, data: bytes) -> None:
        if self.waiter is None:
            # Bytes that nobody asked for would answer the next request.
            self.close()
            return
        self.has_bytes = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail('malformed')
            self.close()

    def on_message_begin(self) -> None:
        if self.waiter is None:
            self.close()
        self.headers = {}
        self.parts = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, data: bytes) -> None:
        self.parts.append(data)

    def on_message_complete(self) -> None:
        waiter, self.waiter = self.waiter, None
        if waiter is None or waiter.done():
            self.close()
            return
        if not self.parser.should_keep_alive():
            self.close()
        waiter.set_result(
            Answer(
                self.parser.get_status_code(),
                self.headers,
                b''.join(self.parts),
            )
        )

    def send(self, data: bytes) -> asyncio.Future[Answer]:
        self.waiter = asyncio.get_running_loop().create_future()
        self.has_bytes = False
        assert self.transport is not None
        self.transport.write(data)
        return self.waiter

    def expire(self) -> None:
        self._fail('timeout')
        self.close()

    def close(self) -> None:
        self.is_broken = True
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, reason: str) -> None:
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(CallError(reason))


class Client:
    """Calls one server over a bounded number of kept connections."""

    def __init__(self, address: str, max_connections: int) -> None:
        self.host, self.port = link.split_address(address)
        self.address = address
        self.max_connections = max_connections
        # Connections that are open or being opened.
        self.count = 0
        self.idle: list[_Connection] = []
        # Calls that wait for a connection, first in, first out.
        self.waiting: collections.deque[asyncio.Future[_Connection | None]] = (
            collections.deque()
        )

    async def request(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout_s: float,
    ) -> Answer:
        """Return the whole answer to one request.

        Errors: CallError when none came within timeout_s seconds, the wait
        for a free connection included. Cancelling the call closes its
        connection.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        connection = await self._take(ends_at)
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers)
        if body or method not in ('GET', 'HEAD', 'DELETE'):
            lines += f'content-length: {len(body)}\r\n'
        head = f'{method} {path} HTTP/1.1\r\nhost: {self.address}\r\n{lines}'
        waiter = connection.send(f'{head}\r\n'.encode('latin-1') + body)
        timer = loop.call_at(ends_at, connection.expire)
        try:
            return await waiter
        except BaseException:
            connection.close()
            raise
        finally:
            timer.cancel()
            self._give_back(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.close()
        self.count -= len(self.idle)
        self.idle.clear()

    async def _take(self, ends_at: float) -> _Connection:
        while self.idle:
            connection = self.idle.pop()
            if not connection.is_broken:
                return connection
            self.count -= 1
        loop = asyncio.get_running_loop()
        if self.count < self.max_connections:
            self.count += 1
            return await self._open(ends_at)
        place: asyncio.Future[_Connection | None] = loop.create_future()
        self.waiting.append(place)
        timer = loop.call_at(ends_at, self._expire, place)
        try:
            found = await place
        except asyncio.CancelledError:
            if _has_result(place):
                self._pass_on(place.result())
            raise
        finally:
            timer.cancel()
        if found is not None and not found.is_broken:
            return found
        return await self._open(ends_at)

    async def _open(self, ends_at: float) -> _Connection:
        """Open a connection in a place that is already counted."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(ends_at):
                _, connection = await loop.create_connection(
                    _Connection, self.host, self.port
                )
        except BaseException as e:
            self._pass_on(None)
            if isinstance(e, OSError):
                raise CallError('connect') from e
            raise
        return connection

    def _give_back(self, connection: _Connection) -> None:
        self._pass_on(None if connection.is_broken else connection)

    def _pass_on(self, connection: _Connection | None) -> None:
        """Hand a connection, or the place of a closed one, to a waiter."""
        while self.waiting:
            place = self.waiting.popleft()
            if not place.done():
                place.set_result(connection)
                return
        if connection is None:
            self.count -= 1
        else:
            self.idle.append(connection)

    @staticmethod
    def _expire(place: asyncio.Future[_Connection | None]) -> None:
        if not place.done():
            place.set_exception(CallError('no_connection'))
