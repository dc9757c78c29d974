"""HTTP/1.1 client with persistent connections and a low cost per call.

httpx takes about 1 ms per call, which would distort measurements. Here a
connection is an asyncio protocol with the httptools parser. It carries one
request at a time and is closed unless the response was complete.

Example:
    client = http_client.Client('127.0.0.1:8080', max_connections=64)
    response = await client.request('GET', '/health', [], b'', timeout_s=1.0)
"""

import asyncio
import collections
import collections.abc
import hashlib
import typing

import httptools

from godwitstall import link


class CallError(Exception):
    """A call got no complete response; reason is a name for counters."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        # 'connect', 'no_connection', 'timeout', 'closed', 'cut', 'malformed'.
        self.reason = reason


class Response(typing.NamedTuple):
    """A complete response."""

    # HTTP status.
    status: int
    # Headers by lowercase name; the last header of a name wins.
    headers: dict[str, str]
    # Complete body.
    body: bytes


Headers = collections.abc.Iterable[tuple[str, str]]


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the SHA-256 of a request, hex; path includes the query."""
    head = f'{method} {path}\n'.encode('latin-1')
    return hashlib.sha256(head + body).hexdigest()


def _has_result(future: asyncio.Future[typing.Any]) -> bool:
    return (
        future.done() and not future.cancelled() and future.exception() is None
    )


class _Connection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        # Future of the expected response; None between requests.
        self.waiter: asyncio.Future[Response] | None = None
        # Whether the connection cannot carry another request.
        self.is_closed = False
        # Whether any byte of the expected response was received.
        self.has_response_bytes = False
        self.headers: dict[str, str] = {}
        self.body_parts: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        # A transport that sent its last bytes after it had received the end
        # of the stream cannot be aborted any more.
        self.transport = None
        self._fail('cut' if self.has_response_bytes else 'closed')

    def data_received(self, data: bytes) -> None:
        if self.waiter is None:
            # Unsolicited bytes would be parsed as the next response.
            self.close()
            return
        self.has_response_bytes = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail('malformed')
            self.close()

    def on_message_begin(self) -> None:
        if self.waiter is None:
            self.close()
        self.headers = {}
        self.body_parts = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, data: bytes) -> None:
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        waiter, self.waiter = self.waiter, None
        if waiter is None or waiter.done():
            self.close()
            return
        if not self.parser.should_keep_alive():
            self.close()
        waiter.set_result(
            Response(
                self.parser.get_status_code(),
                self.headers,
                b''.join(self.body_parts),
            )
        )

    def send(self, data: bytes) -> asyncio.Future[Response]:
        self.waiter = asyncio.get_running_loop().create_future()
        self.has_response_bytes = False
        assert self.transport is not None
        self.transport.write(data)
        return self.waiter

    def time_out(self) -> None:
        self._fail('timeout')
        self.close()

    def close(self) -> None:
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, reason: str) -> None:
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(CallError(reason))


class Client:
    """Calls one server over a limited number of persistent connections."""

    def __init__(self, address: str, max_connections: int) -> None:
        self.host, self.port = link.split_address(address)
        self.address = address
        self.max_connections = max_connections
        # Number of connections that are open or being opened.
        self.connection_count = 0
        self.idle: list[_Connection] = []
        # Calls that wait for a connection, in FIFO order.
        self.waiters: collections.deque[asyncio.Future[_Connection | None]] = (
            collections.deque()
        )

    async def request(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout_s: float,
    ) -> Response:
        """Send a request and return the complete response.

        Cancelling the call closes its connection.

        Errors: CallError if there is no complete response within timeout_s
        seconds, which include the wait for a free connection.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = await self._acquire(deadline)
        lines = ''.join(f'{name}: {value}\r\n' for name, value in headers)
        if body or method not in ('GET', 'HEAD', 'DELETE'):
            lines += f'content-length: {len(body)}\r\n'
        head = f'{method} {path} HTTP/1.1\r\nhost: {self.address}\r\n{lines}'
        waiter = connection.send(f'{head}\r\n'.encode('latin-1') + body)
        timer = loop.call_at(deadline, connection.time_out)
        try:
            return await waiter
        except BaseException:
            connection.close()
            raise
        finally:
            timer.cancel()
            self._release(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.close()
        self.connection_count -= len(self.idle)
        self.idle.clear()

    async def _acquire(self, deadline: float) -> _Connection:
        while self.idle:
            connection = self.idle.pop()
            if not connection.is_closed:
                return connection
            self.connection_count -= 1
        loop = asyncio.get_running_loop()
        if self.connection_count < self.max_connections:
            self.connection_count += 1
            return await self._open(deadline)
        waiter: asyncio.Future[_Connection | None] = loop.create_future()
        self.waiters.append(waiter)
        timer = loop.call_at(deadline, self._expire, waiter)
        try:
            candidate = await waiter
        except asyncio.CancelledError:
            if _has_result(waiter):
                self._hand_over(waiter.result())
            raise
        finally:
            timer.cancel()
        if candidate is not None and not candidate.is_closed:
            return candidate
        return await self._open(deadline)

    async def _open(self, deadline: float) -> _Connection:
        """Open a connection that is already counted."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(deadline):
                _, connection = await loop.create_connection(
                    _Connection, self.host, self.port
                )
        except BaseException as e:
            self._hand_over(None)
            if isinstance(e, OSError):
                raise CallError('connect') from e
            raise
        return connection

    def _release(self, connection: _Connection) -> None:
        self._hand_over(None if connection.is_closed else connection)

    def _hand_over(self, connection: _Connection | None) -> None:
        """Pass a connection, or the right to open one, to a waiting call."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(connection)
                return
        if connection is None:
            self.connection_count -= 1
        else:
            self.idle.append(connection)

    @staticmethod
    def _expire(waiter: asyncio.Future[_Connection | None]) -> None:
        if not waiter.done():
            waiter.set_exception(CallError('no_connection'))
