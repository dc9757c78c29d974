"""A light HTTP/1.1 listener for the request path.

Requests of one connection are served side by side and answered in the order
in which they came. Each request is read whole before it is served; when the
connection ends, the requests that it still waits for are cancelled. The
bounds on headers, bodies and idle time can change while connections are open.

Example:
    listener = http_listener.Listener({'127.0.0.1:8080': serve})
    await listener.start()
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import http
import socket
import typing

import httptools

from godwitstall import clock
from godwitstall import link
from godwitstall import logs
from godwitstall import metrics

_LOG = logs.get('http')
_BAD_REQUESTS = metrics.counter(
    'http_bad_requests_total', 'Connections closed for bad requests by status.'
)

# Connections that wait in the kernel while the loop is busy.
_BACKLOG = 2048

# Requests of one connection that are served at once; reading waits then.
_MAX_PIPELINED = 32

# Time between two looks at slow and idle connections, seconds.
_SWEEP_INTERVAL_S = 0.5

# Time for the first bytes of connections that came last before a stop, and
# time between two looks at what is still owed, seconds.
_LAST_READ_S = 0.05
_FINISH_POLL_S = 0.02

# Bytes of a header line besides its name and value.
_HEADER_LINE_BYTES = 4

# Longest Content-Length that is read, digits.
_LENGTH_DIGITS = 15

# Unsent bytes above which no further request of a connection is read.
_HIGH_WATER_BYTES = 256 * 1024

_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_BODILESS = frozenset((204, 304))

Pairs = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True)
class Limits:
    """Bounds on what a client may send."""

    # Largest request line and headers together, bytes.
    max_header_bytes: int = 32 * 1024
    # Largest body, bytes.
    max_body_bytes: int = 8 * 1024 * 1024
    # Longest time for the headers of one request, seconds.
    header_timeout_s: float = 10.0
    # Longest time without a request, seconds.
    idle_timeout_s: float = 75.0


@dataclasses.dataclass(slots=True)
class Request:
    """One request, read whole."""

    # HTTP method.
    method: str
    # Path with the query, as it was sent.
    target: str
    # Headers, names in lower case.
    headers: Pairs
    # Body, whole.
    body: bytes
    # Arrival of the last byte, seconds of clock.recent().
    received_at: float

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, empty when absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return b''


@dataclasses.dataclass(slots=True)
class Response:
    """One answer; the length is added when it is written."""

    # HTTP status.
    status: int
    # Headers without those of the connection and the length.
    headers: Pairs = dataclasses.field(default_factory=list)
    # Body, whole.
    body: bytes = b''
    # The connection ends after this answer.
    closes: bool = False
    # Further headers as they go out, each line with its end.
    block: bytes = b''


Handler = collections.abc.Callable[
    [Request], collections.abc.Awaitable[Response]
]


@dataclasses.dataclass(slots=True, eq=False)
class _Exchange:
    """One request of a connection and its answer."""

    # Bytes of the answer; None until it is known.
    answer: bytes | None = None
    # The client wants no further request on the connection.
    closes: bool = False
    # The answer to a HEAD request has no body.
    is_head: bool = False
    task: asyncio.Task[None] | None = None


class _Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, listener: 'Listener', handler: Handler) -> None:
        self.listener = listener
        self.handler = handler
        self.transport: typing.Any = None
        self.parser: typing.Any = httptools.HttpRequestParser(self)
        # Requests without a written answer, oldest first.
        self.exchanges: collections.deque[_Exchange] = collections.deque()
        # When the last request or answer ended, seconds.
        self.active_at = clock.recent()
        # When the request that is being read began; 0 between requests.
        self.began_at = 0.0
        # Bytes read since the last request ended, at most up to its body.
        self.header_bytes = 0
        # No further request is read.
        self.is_ending = False
        self.is_paused = False
        self._reset()

    def _reset(self) -> None:
        self.url = b''
        self.headers: Pairs = []
        self.is_in_headers = True
        self.body: list[bytes] = []
        self.body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.connections.discard(self)
        self.is_ending = True
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()

    def pause_writing(self) -> None:
        """Read no further request while the client does not read."""
        self.is_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Read on."""
        self.is_paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self.transport.is_closing():
            return
        if self.is_paused or len(self.exchanges) >= _MAX_PIPELINED:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.is_ending:
            return
        if not self.began_at:
            self.began_at = clock.recent()
        if self.is_in_headers:
            # A line without an end is not reported by the parser.
            self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(400)
        except httptools.HttpParserError as e:
            if not self.is_ending:
                _LOG.info('Bad request: %s.', e)
                self.refuse(400)
        if self.is_in_headers and self.header_bytes > (
            self.listener.limits.max_header_bytes
        ):
            self.refuse(431)

    def refuse(self, status: int) -> None:
        """Answer a request that cannot be read, and close."""
        if self.is_ending:
            return
        _BAD_REQUESTS.inc(status=str(status))
        self.is_ending = True
        exchange = _Exchange(closes=True)
        self.exchanges.append(exchange)
        self._answer(exchange, Response(status, closes=True))

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self.is_ending:
            return
        self._reset()
        self.began_at = clock.recent()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.is_in_headers:
            # A trailer is no header (RFC 9110, section 6.5.1).
            return
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.is_in_headers = False
        limits = self.listener.limits
        size = len(self.url)
        hosts = 0
        for name, value in self.headers:
            size += len(name) + len(value) + _HEADER_LINE_BYTES
            if name == b'host':
                hosts += 1
            elif name == b'content-length' and (
                len(value) > _LENGTH_DIGITS
                or int(value) > limits.max_body_bytes
            ):
                self.refuse(413)
        if size > limits.max_header_bytes:
            self.refuse(431)
        elif hosts > 1:
            # Two readers could choose different ones.
            self.refuse(400)

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.body_bytes > self.listener.limits.max_body_bytes:
            self.refuse(413)
            self.body.clear()
        elif not self.is_ending:
            self.body.append(body)

    def on_message_complete(self) -> None:
        self.began_at = 0.0
        self.is_in_headers = True
        self.header_bytes = 0
        if self.is_ending:
            return
        method = self.parser.get_method().decode('ascii', 'replace')
        request = Request(
            method,
            self.url.decode('latin-1'),
            self.headers,
            b''.join(self.body),
            clock.recent(),
        )
        self.body = []
        exchange = _Exchange(
            closes=not self.parser.should_keep_alive(),
            is_head=method == 'HEAD',
        )
        if exchange.closes:
            self.is_ending = True
        self.exchanges.append(exchange)
        exchange.task = asyncio.get_running_loop().create_task(
            self._serve(exchange, request)
        )
        if len(self.exchanges) >= _MAX_PIPELINED:
            self._update_reading()

    async def _serve(self, exchange: _Exchange, request: Request) -> None:
        self.listener.active += 1
        try:
            response = await self.handler(request)
        except Exception:
            _LOG.exception('Unexpected error while serving a request.')
            response = Response(500)
        finally:
            self.listener.active -= 1
        self._answer(exchange, response)

    def _answer(self, exchange: _Exchange, response: Response) -> None:
        exchange.closes |= response.closes or self.listener.is_stopping
        exchange.task = None
        exchange.answer = _to_bytes(response, exchange)
        if exchange.closes:
            self.is_ending = True
        self._flush()

    def _flush(self) -> None:
        """Write the answers that are next in order."""
        was_full = len(self.exchanges) >= _MAX_PIPELINED
        while self.exchanges and self.exchanges[0].answer is not None:
            exchange = self.exchanges.popleft()
            self.transport.write(exchange.answer)
            self.active_at = clock.recent()
            if exchange.closes:
                # Requests behind this answer were not read, for the client.
                for later in self.exchanges:
                    if later.task is not None:
                        later.task.cancel()
                self.exchanges.clear()
                self.transport.close()
                return
        if was_full:
            self._update_reading()

    def is_owing(self) -> bool:
        """Return whether a request was begun and is not answered."""
        return bool(self.began_at or self.exchanges)

    def check_time(self, now: float) -> None:
        """End a connection that is idle or sends its headers too slowly."""
        limits = self.listener.limits
        if self.began_at:
            if self.is_in_headers and (
                now - self.began_at > limits.header_timeout_s
            ):
                self.refuse(408)
        elif not self.exchanges and (
            now - self.active_at > limits.idle_timeout_s
        ):
            self.is_ending = True
            self.transport.close()


def _to_bytes(response: Response, exchange: _Exchange) -> bytes:
    status = response.status
    parts = [b'HTTP/1.1 %d %s\r\n' % (status, _PHRASES.get(status, b''))]
    parts += [
        b'%s: %s\r\n' % (name, value) for name, value in response.headers
    ]
    parts.append(response.block)
    if status not in _BODILESS:
        parts.append(b'content-length: %d\r\n' % len(response.body))
    if exchange.closes:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    if not exchange.is_head and status not in _BODILESS:
        parts.append(response.body)
    return b''.join(parts)


class Listener:
    """All HTTP addresses of a process, each with its handler."""

    def __init__(self, handlers: dict[str, Handler]) -> None:
        # Handlers by 'host:port'.
        self.handlers = handlers
        self.limits = Limits()
        # Requests in handlers.
        self.active = 0
        # Answers ask clients to close their connections.
        self.is_stopping = False
        self.connections: set[_Connection] = set()
        self.servers: dict[str, asyncio.Server] = {}
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on all addresses.

        Errors: OSError when an address cannot be used.
        """
        loop = asyncio.get_running_loop()
        for address, handler in self.handlers.items():
            host, port = link.split_address(address)
            self.servers[address] = await loop.create_server(
                lambda handler=handler: _Connection(self, handler),
                host,
                port,
                backlog=_BACKLOG,
                family=socket.AF_INET6 if ':' in host else socket.AF_INET,
            )
        self.sweeper = asyncio.create_task(self._sweep())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = clock.recent()
            for connection in list(self.connections):
                connection.check_time(now)

    def stop_accepting(self, address: str) -> None:
        """Close the listening socket of an address; connections stay."""
        self.servers[address].close()

    async def _stop_listening(self) -> None:
        """Close the listening sockets.

        A connection that asyncio has accepted but not yet handed to its
        server when that is closed stays open and is never read (Python 3.11),
        so accepting ends two turns of the loop before: one for an accept that
        was due already, one for the hand-over.
        """
        loop = asyncio.get_running_loop()
        for server in self.servers.values():
            for listening in server.sockets:
                loop.remove_reader(listening.fileno())
        for _ in range(2):
            await asyncio.sleep(0)
        for server in self.servers.values():
            server.close()

    async def finish(self, timeout_s: float) -> None:
        """Stop listening, answer what was sent before, and close.

        Requests that are still served after timeout_s are cut.
        """
        self.is_stopping = True
        await self._stop_listening()
        end = clock.recent() + timeout_s
        # Connections that were accepted just now have not been read yet.
        await asyncio.sleep(_LAST_READ_S)
        while True:
            # Closed in the turn in which it is seen to owe nothing, so that
            # no request is read between the look and the close.
            for connection in list(self.connections):
                if not connection.is_owing():
                    connection.transport.close()
            if not self.connections or clock.recent() >= end:
                break
            await asyncio.sleep(_FINISH_POLL_S)
        await self.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._stop_listening()
        if self.sweeper is not None:
            self.sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.sweeper
        for connection in list(self.connections):
            connection.transport.close()
