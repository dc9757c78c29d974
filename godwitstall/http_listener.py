"""A minimal HTTP/1.1 server for the request path.

Pipelined requests of a connection are handled concurrently, and their
responses are sent in the order of the requests. A request is passed to its
handler after its body has been read. A response announces the close of the
connection only if it is the last one. Requests that are read before it, while
the close is due, are refused, because the client cannot know of the close yet.
When the client closes the connection, its pending requests are cancelled. When
the listener closes it, they are cancelled too, but each gets a final response,
in order with the responses that are ready. The limits on headers, bodies and
idle time can be changed while connections are open.

Example:
    listener = http_listener.Listener({'127.0.0.1:8080': serve})
    await listener.start()
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import enum
import http
import select
import socket
import typing

import httptools

from godwitstall import clock
from godwitstall import errors
from godwitstall import event_loop
from godwitstall import link
from godwitstall import logs
from godwitstall import metrics

_LOG = logs.get('http')
_BAD_REQUESTS = metrics.counter(
    'http_bad_requests_total', 'Connections closed for bad requests by status.'
)
_CUT_REQUESTS = metrics.counter(
    'http_cut_requests_total',
    'Requests ended before their handlers returned by reason.',
)
_REFUSED_REQUESTS = metrics.counter(
    'http_refused_requests_total',
    'Requests refused because their connections are about to close.',
)
_DISCARDED_BYTES = metrics.counter(
    'http_discarded_bytes_total',
    'Bytes discarded on connections that are closing, by whether the last '
    'response was written.',
)

# Connections that the kernel queues until the event loop accepts them.
_BACKLOG = 2048

# Requests are parsed in parts of this size, so that few of them have to wait
# for their handlers.
_PARSE_BYTES = 4096

# Reading is paused while a connection has this many bytes that are not parsed.
_MAX_UNPARSED_BYTES = 64 * 1024

_TIMEOUT_CHECK_INTERVAL_S = 0.5

# After its last response a connection is read for this long, until the client
# closes it.
_LINGER_S = 1.0

# A graceful close first waits this long for the first bytes of connections
# that have just been accepted.
_FIRST_READ_WAIT_S = 0.05

# A graceful close gives the clients at most this long to read the last
# responses.
_DELIVERY_TIME_S = 0.2

# Time in which the close of a client is read behind a request that has waited
# to be read.
_LATE_CLOSE_WAIT_S = 0.001

# Interval at which a graceful close checks for pending requests.
_CLOSE_POLL_INTERVAL_S = 0.02

# The ': ' and the line end of a header line.
_HEADER_LINE_OVERHEAD_BYTES = 4

# A Content-Length with more digits is rejected without being converted.
_MAX_CONTENT_LENGTH_DIGITS = 15

# Unsent bytes of one connection above which no more requests are parsed.
_WRITE_HIGH_WATER_BYTES = 256 * 1024

_CHECKED_HEADERS = frozenset(
    (b'content-length', b'expect', b'host', b'transfer-encoding')
)
_HTTP_VERSIONS = frozenset(('1.0', '1.1'))

_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_BODILESS_STATUSES = frozenset((204, 304))

Headers = list[tuple[bytes, bytes]]


class CutReason(enum.Enum):
    """Why a request ends before its handler returns.

    The task of its handler is cancelled with the value as the message.
    """

    CLIENT_LEFT = 'client_left'
    LISTENER_CLOSED = 'listener_closed'


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits on the requests of clients."""

    # Total size of the request target and the headers.
    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    # Time from the start of a request to the end of its headers.
    header_timeout_s: float = 10.0
    # Time after which a connection without requests is closed.
    idle_timeout_s: float = 75.0
    # Number of requests of one connection that are handled at the same time.
    # No more are parsed while as many are pending.
    max_pipelined_requests: int = 32


@dataclasses.dataclass(slots=True)
class Request:
    """A request with its complete body."""

    method: str
    # Path and query, as sent by the client.
    target: str
    # Names are in lower case.
    headers: Headers
    body: bytes
    # Time of clock.recent() at which the last byte was received.
    received_at: float

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or b'' if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return b''


@dataclasses.dataclass(slots=True)
class Response:
    """A response; Content-Length is added when it is sent."""

    status: int
    # Headers other than Connection and Content-Length.
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b''
    # Whether to close the connection. The requests that have been read are
    # answered first, and those that are read meanwhile are refused.
    closes_connection: bool = False
    # Encoded lines of additional headers, each with its line end.
    encoded_headers: bytes = b''


Handler = collections.abc.Callable[
    [Request], collections.abc.Awaitable[Response]
]

# Builds the responses of a listener to requests that get none from a handler.
ErrorResponder = collections.abc.Callable[[errors.ErrorKind], Response]


def respond_plainly(kind: errors.ErrorKind) -> Response:
    """Return a response to an error that has a status only."""
    return Response(errors.ANSWERS[kind].status)


@dataclasses.dataclass(slots=True, eq=False)
class _Exchange:
    """A request and its response."""

    # None for an invalid request, and once the handler has been started.
    request: Request | None = None
    # None until the handler has returned or the request has been cut.
    response: Response | None = None
    # Whether the client asked to close the connection after the response.
    closes_connection: bool = False
    # A response to HEAD has no body.
    is_head: bool = False
    task: asyncio.Task[None] | None = None


class _Connection(asyncio.Protocol):
    """A connection from a client."""

    def __init__(self, listener: 'Listener', handler: Handler) -> None:
        self.listener = listener
        self.handler = handler
        self.transport: typing.Any = None
        self.parser: typing.Any = httptools.HttpRequestParser(self)
        # Requests whose responses have not been written, oldest first.
        self.exchanges: collections.deque[_Exchange] = collections.deque()
        # Whether some of them may wait for their handlers.
        self.has_waiting = False
        # When the last response was written, or the connection was made.
        self.last_active_at = clock.recent()
        # When the first byte of the current request was read; 0 between
        # requests.
        self.request_started_at = 0.0
        # Bytes received since the last request ended, until the headers of
        # the next one are complete.
        self.header_bytes = 0
        # The connection is closed behind the pending responses. Requests are
        # read, and refused without being passed to the handler.
        self.is_refusing = False
        # No more requests are read; pending responses are still sent.
        self.is_closing = False
        # Whether the last response has been written. The connection is then
        # read until the client closes it, because the kernel resets a
        # connection that is closed with unread bytes, and the client would
        # lose what it has not received yet.
        self.is_lingering = False
        self.is_write_paused = False
        # Bytes that were read and not parsed, because the client has too many
        # pending requests or does not read its responses. Reading goes on, as
        # the close of the client could not be noticed otherwise.
        self.unparsed = bytearray()
        self._reset()

    def _reset(self) -> None:
        self.url = b''
        self.headers: Headers = []
        self.is_in_headers = True
        # Whether the client waits for a response before it sends the body.
        self.expects_continue = False
        # Whether the client offers another protocol.
        self.is_upgrade = False
        self.body: list[bytes] = []
        self.body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.connections.discard(self)
        self._on_client_left()

    def eof_received(self) -> None:
        """Cancel the pending requests, and close the connection.

        The transport closes it only when all that was written has been sent.
        """
        self._on_client_left()

    def _on_client_left(self) -> None:
        self.is_closing = True
        self._cancel_handlers(CutReason.CLIENT_LEFT)
        self.exchanges.clear()
        self.unparsed.clear()

    def cut_requests(self) -> None:
        """End the pending requests, and close after the last response.

        Those whose handlers have not returned get a final response, so that
        they delay the responses that are ready behind them no longer.
        """
        self.is_closing = True
        self._cancel_handlers(CutReason.LISTENER_CLOSED)
        for exchange in self.exchanges:
            if exchange.response is not None:
                continue
            kind = errors.ErrorKind.CUT_BY_STOP
            if exchange.request is not None:
                kind = errors.ErrorKind.STOPPING
                # Its handler must not be started any more.
                exchange.request = None
            exchange.response = self.listener.respond_to_error(kind)
        self._flush()

    def close(self) -> None:
        """Cut the pending requests and close the connection."""
        self.cut_requests()
        self.transport.close()

    def _cancel_handlers(self, reason: CutReason) -> None:
        for exchange in self.exchanges:
            if exchange.task is not None:
                _CUT_REQUESTS.inc(reason=reason.value)
                exchange.task.cancel(reason.value)
                exchange.task = None

    def pause_writing(self) -> None:
        """Parse no more requests; the client is slow to read its responses."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Go on parsing when the client has caught up."""
        self.is_write_paused = False
        self._parse_requests()

    def _may_parse(self) -> bool:
        return not (
            self.is_closing
            or self.is_write_paused
            or len(self.exchanges)
            >= self.listener.limits.max_pipelined_requests
        )

    def data_received(self, data: bytes) -> None:
        if self.is_closing:
            _DISCARDED_BYTES.inc(
                len(data), is_answered=str(self.is_lingering).lower()
            )
            return
        if (
            self.exchanges
            or self.unparsed
            or self.is_write_paused
            or len(data) > _PARSE_BYTES
        ):
            self.unparsed += data
            self._parse_requests()
        else:
            self._parse(data)

    def _parse_requests(self) -> None:
        """Parse received bytes as far as the pending requests allow it."""
        while self.unparsed and self._may_parse():
            part = bytes(self.unparsed[:_PARSE_BYTES])
            del self.unparsed[:_PARSE_BYTES]
            self._parse(part)
        if self.is_closing:
            self.unparsed.clear()
        self._update_reading()

    def _update_reading(self) -> None:
        if self.transport.is_closing():
            return
        if len(self.unparsed) > _MAX_UNPARSED_BYTES:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _parse(self, data: bytes) -> None:
        if not self.request_started_at:
            self.request_started_at = clock.recent()
        if self.is_in_headers:
            # The parser reports a header line only when it is complete, so its
            # callbacks cannot limit an incomplete line.
            self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Its request closes the connection.
            pass
        except httptools.HttpParserError as e:
            if not self.is_closing:
                _LOG.info('Bad request: %s.', e)
                self.reject(errors.ErrorKind.BAD_REQUEST)
        if self.is_in_headers and self.header_bytes > (
            self.listener.limits.max_header_bytes
        ):
            self.reject(errors.ErrorKind.HEADERS_TOO_LARGE)

    def reject(self, kind: errors.ErrorKind) -> None:
        """Send an error response to an invalid request and close.

        The requests before it are answered first.
        """
        if self.is_closing:
            return
        response = self.listener.respond_to_error(kind)
        _BAD_REQUESTS.inc(status=str(response.status))
        exchange = _Exchange(closes_connection=True)
        self.exchanges.append(exchange)
        self._complete(exchange, response)

    # Callbacks of httptools.HttpRequestParser.

    def on_message_begin(self) -> None:
        if self.is_closing:
            return
        self._reset()
        self.request_started_at = clock.recent()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.is_in_headers:
            # Trailer fields must not be merged into the headers (RFC 9110,
            # section 6.5.1).
            return
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.is_in_headers = False
        if self.is_closing:
            return
        if not self.url.startswith(b'/'):
            self._use_origin_form()
        problem = self._find_problem()
        if problem is not None:
            self.reject(problem)
        elif self.expects_continue and not self.exchanges:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _use_origin_form(self) -> None:
        """Split an absolute URL, as proxies get it, into host and path."""
        if self.url == b'*':
            return
        try:
            url = httptools.parse_url(self.url)
        except httptools.HttpParserInvalidURLError:
            self.url = b''
            return
        self.url = url.path or b''
        if url.query:
            self.url += b'?' + url.query
        if url.host:
            # It replaces the header (RFC 9112, section 3.2.2).
            host = url.host + (b':%d' % url.port if url.port else b'')
            headers = [(n, v) for n, v in self.headers if n != b'host']
            self.headers = [(b'host', host), *headers]

    def _find_problem(self) -> errors.ErrorKind | None:
        """Return why the request cannot be served, None if it can."""
        limits = self.listener.limits
        header_size = len(self.url)
        host_count = 0
        has_body = False
        for name, value in self.headers:
            header_size += len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES
            if name not in _CHECKED_HEADERS:
                continue
            if name == b'host':
                host_count += 1
            elif name == b'transfer-encoding':
                has_body = True
            elif name == b'expect':
                self.expects_continue = value.lower() == b'100-continue'
            else:
                has_body = has_body or value != b'0'
                if (
                    len(value) > _MAX_CONTENT_LENGTH_DIGITS
                    or int(value) > limits.max_body_bytes
                ):
                    return errors.ErrorKind.BODY_TOO_LARGE
        if header_size > limits.max_header_bytes:
            return errors.ErrorKind.HEADERS_TOO_LARGE
        self.is_upgrade = self.parser.should_upgrade()
        if (
            # Another server on the path could use a different one of them.
            host_count > 1
            or not self.url
            or not self.url.isascii()
            or self.parser.get_http_version() not in _HTTP_VERSIONS
            # The parser does not read the body of such a request.
            or (self.is_upgrade and (has_body or self._is_connect()))
        ):
            return errors.ErrorKind.BAD_REQUEST
        return None

    def _is_connect(self) -> bool:
        method: bytes = self.parser.get_method()
        return method == b'CONNECT'

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.body_bytes > self.listener.limits.max_body_bytes:
            self.reject(errors.ErrorKind.BODY_TOO_LARGE)
            self.body.clear()
        elif not (self.is_closing or self.is_refusing):
            self.body.append(body)

    def on_message_complete(self) -> None:
        self.request_started_at = 0.0
        self.is_in_headers = True
        self.header_bytes = 0
        if self.is_closing:
            return
        limits = self.listener.limits
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
            request,
            # The listener supports no other protocol, and the parser reads
            # nothing behind an upgrade request.
            closes_connection=(
                self.is_upgrade or not self.parser.should_keep_alive()
            ),
            is_head=method == 'HEAD',
        )
        if exchange.closes_connection:
            self.is_closing = True
        self.exchanges.append(exchange)
        if self.is_refusing:
            self._refuse(exchange)
        elif len(self.exchanges) <= limits.max_pipelined_requests:
            self._start_handler(exchange)
        else:
            self.has_waiting = True

    def _refuse(self, exchange: _Exchange) -> None:
        """Answer a request that is read while the last responses are pending.

        It is written behind them, so that a client that always has a request
        pending cannot keep the connection.
        """
        _REFUSED_REQUESTS.inc()
        exchange.request = None
        exchange.response = self.listener.respond_to_error(
            errors.ErrorKind.STOPPING
        )

    def _start_handler(self, exchange: _Exchange) -> None:
        assert exchange.request is not None
        exchange.task = asyncio.get_running_loop().create_task(
            self._serve(exchange, exchange.request, event_loop.is_late())
        )
        exchange.request = None

    def _start_waiting_handler(self) -> None:
        """Start the handler of the first request that waits for others."""
        last = self.listener.limits.max_pipelined_requests - 1
        if len(self.exchanges) > last:
            exchange = self.exchanges[last]
            if exchange.request is not None:
                self._start_handler(exchange)
        else:
            self.has_waiting = False

    async def _serve(
        self, exchange: _Exchange, request: Request, is_read_late: bool
    ) -> None:
        self.listener.active_requests += 1
        try:
            if is_read_late:
                # The client may have left, which cancels this task.
                await asyncio.sleep(_LATE_CLOSE_WAIT_S)
            response = await self.handler(request)
        except Exception:
            _LOG.exception('Unexpected error while serving a request.')
            response = self.listener.respond_to_error(
                errors.ErrorKind.INTERNAL
            )
        finally:
            self.listener.active_requests -= 1
        if exchange.response is None:
            self._complete(exchange, response)

    def _complete(self, exchange: _Exchange, response: Response) -> None:
        exchange.task = None
        exchange.response = response
        if exchange.closes_connection:
            self.is_closing = True
        elif response.closes_connection:
            self.is_refusing = True
        self._flush()

    def _flush(self) -> None:
        """Write the completed responses that are next in order."""
        while self.exchanges:
            exchange = self.exchanges[0]
            if exchange.response is None:
                break
            self.exchanges.popleft()
            if self.listener.is_stopping:
                self.is_refusing = True
            # For the client, requests after a closing response were not
            # processed (RFC 9112, section 9.6), so all requests that have been
            # read are answered before the connection is closed.
            is_last = not self.exchanges and (
                self.is_refusing or self.is_closing
            )
            self.transport.write(
                _encode_response(exchange.response, exchange.is_head, is_last)
            )
            self.last_active_at = clock.recent()
            if is_last:
                self._linger()
                return
            if self.has_waiting:
                self._start_waiting_handler()
        if self.unparsed:
            self._parse_requests()

    def _linger(self) -> None:
        """Send the end of the stream; ignore what still arrives."""
        self.is_closing = True
        self.is_lingering = True
        self.request_started_at = 0.0
        self.unparsed.clear()
        # The client may have reset the connection.
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self._update_reading()

    def close_if_finished(self) -> None:
        """Close the connection if no request and no response can be lost."""
        if self.request_started_at or self.exchanges:
            return
        if self._has_lingered(clock.recent()):
            self.is_closing = True
            self.transport.close()
        elif not self.is_lingering:
            # The last response may still be on its way.
            self._linger()

    def _has_lingered(self, now: float) -> bool:
        return (
            now - self.last_active_at > _LINGER_S
            and not self.transport.get_write_buffer_size()
        )

    def _is_left_unread(self) -> bool:
        """Return whether the client has left while reading is paused."""
        if self.transport.is_closing() or self.transport.is_reading():
            return False
        poll = select.poll()
        client_socket = self.transport.get_extra_info('socket')
        poll.register(client_socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle or done, or headers are late.

        A client that leaves while reading is paused is noticed here, too.
        """
        limits = self.listener.limits
        if self._is_left_unread():
            self._on_client_left()
            self.transport.abort()
        elif self.is_lingering:
            if self._has_lingered(now):
                self.transport.close()
        elif self.request_started_at:
            if not self._may_parse():
                # The rest of the headers may have arrived.
                self.request_started_at = now
            elif self.is_in_headers and (
                now - self.request_started_at > limits.header_timeout_s
            ):
                self.reject(errors.ErrorKind.HEADERS_LATE)
        elif not self.exchanges and (
            now - self.last_active_at > limits.idle_timeout_s
        ):
            self.is_closing = True
            self.transport.close()


def _encode_response(
    response: Response, is_head: bool, closes_connection: bool
) -> bytes:
    status = response.status
    parts = [
        b'HTTP/1.1 %d %s\r\n' % (status, _REASON_PHRASES.get(status, b''))
    ]
    parts += [
        b'%s: %s\r\n' % (name, value) for name, value in response.headers
    ]
    parts.append(response.encoded_headers)
    # The length of the body that GET would return is unknown.
    is_length_known = not is_head or response.body
    if status not in _BODILESS_STATUSES and is_length_known:
        parts.append(b'content-length: %d\r\n' % len(response.body))
    if closes_connection:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    if not is_head and status not in _BODILESS_STATUSES:
        parts.append(response.body)
    return b''.join(parts)


class Listener:
    """HTTP server of a process, with a handler for each address."""

    def __init__(
        self,
        handlers: dict[str, Handler],
        respond_to_error: ErrorResponder = respond_plainly,
    ) -> None:
        # Keyed by 'host:port'.
        self.handlers = handlers
        self.respond_to_error = respond_to_error
        self.limits = Limits()
        # Number of requests that are being handled.
        self.active_requests = 0
        # Whether a connection is closed when its pending requests have been
        # answered.
        self.is_stopping = False
        self.connections: set[_Connection] = set()
        self.servers: dict[str, asyncio.Server] = {}
        # The listening sockets of the servers.
        self.sockets: dict[str, socket.socket] = {}
        self.timeout_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on all addresses.

        Errors: OSError when an address is not available.
        """
        for address, handler in self.handlers.items():
            self.sockets[address] = _bind(address)
            self.servers[address] = await self._listen(address, handler)
        self.timeout_task = asyncio.create_task(self._check_timeouts())

    async def _listen(self, address: str, handler: Handler) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(
            lambda: _Connection(self, handler),
            sock=self.sockets[address],
            backlog=_BACKLOG,
        )

    async def _check_timeouts(self) -> None:
        while True:
            await asyncio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            now = clock.recent()
            for connection in list(self.connections):
                connection.check_timeouts(now)

    def is_accepting(self, address: str) -> bool:
        """Return whether connections to an address are accepted."""
        return self.servers[address].is_serving()

    async def stop_accepting(self, address: str) -> None:
        """Close the listening socket of an address, not its connections."""
        await self._close_listening_sockets([address])

    async def _close_listening_sockets(
        self, addresses: collections.abc.Iterable[str]
    ) -> None:
        """Close listening sockets; accept all that clients have opened.

        If asyncio.Server is closed between the accept() of a connection and
        its registration with the server, Python 3.11 leaves the connection
        open and never reads it. Accepting therefore stops two loop iterations
        earlier: one for an accept() that was already scheduled, and one for
        the registration. Connections that the kernel has queued are accepted
        here, since the close of the socket would reset them.
        """
        loop = asyncio.get_running_loop()
        open_addresses = [a for a in addresses if self.is_accepting(a)]
        for address in open_addresses:
            loop.remove_reader(self.sockets[address].fileno())
        for _ in range(2):
            await asyncio.sleep(0)
        for address in open_addresses:
            accepted = list(_accept_queued(self.sockets[address]))
            self.servers[address].close()
            for accepted_socket in accepted:
                await self._serve_connection(address, accepted_socket)

    async def _serve_connection(
        self, address: str, accepted_socket: socket.socket
    ) -> None:
        # The client may have reset the connection.
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: _Connection(self, self.handlers[address]),
                accepted_socket,
            )

    async def close_gracefully(self, timeout_s: float) -> None:
        """Stop listening, finish the pending requests, and close.

        Requests that are still pending after timeout_s are cut. Clients then
        have a short time to read their responses.
        """
        self.is_stopping = True
        await self._close_listening_sockets(list(self.servers))
        deadline = clock.recent() + timeout_s
        # Nothing has been read yet from connections accepted just now.
        await asyncio.sleep(_FIRST_READ_WAIT_S)
        await self._finish_connections(deadline)
        for connection in list(self.connections):
            connection.cut_requests()
        await self._finish_connections(clock.recent() + _DELIVERY_TIME_S)
        await self.close()

    async def _finish_connections(self, deadline: float) -> None:
        """Close connections without pending requests until the deadline."""
        while True:
            # There is no await between the check and the close, so that no
            # request is read in between.
            for connection in list(self.connections):
                connection.close_if_finished()
            if not self.connections or clock.recent() >= deadline:
                return
            await asyncio.sleep(_CLOSE_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Stop listening and close all connections.

        Pending requests are cut.
        """
        await self._close_listening_sockets(list(self.servers))
        if self.timeout_task is not None:
            self.timeout_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.timeout_task
        for connection in list(self.connections):
            connection.close()


def _bind(address: str) -> socket.socket:
    host, port = link.split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio disables Nagle's algorithm only on sockets created with
    # IPPROTO_TCP. The algorithm delays the body of a response by 40 ms, until
    # the delayed ACK of the peer.
    listening_socket = socket.socket(
        family, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening_socket.bind((host, port))
    except OSError as e:
        listening_socket.close()
        raise OSError(f'Cannot listen on {address}: {e.strerror}.') from e
    return listening_socket


def _accept_queued(
    listening_socket: socket.socket,
) -> collections.abc.Iterator[socket.socket]:
    """Accept the connections that the kernel has queued."""
    # None is left, or a client has reset its connection.
    with contextlib.suppress(OSError):
        while True:
            accepted_socket, _ = listening_socket.accept()
            accepted_socket.setblocking(False)
            yield accepted_socket
