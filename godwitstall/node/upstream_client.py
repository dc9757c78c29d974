"""Pooled HTTP/1.1 connections to the own upstream.

One connection carries one request at a time. It goes back to the pool only
after a whole answer; after a timeout, a cancellation, a parse error or bytes
that nobody asked for it is closed, so that a late answer cannot reach
another request. An answer without Content-Length and chunked coding ends
with the connection and cannot be told from a cut one; it counts as cut,
unless the upstreams are known to close without a reset only after the end.

The connection is an asyncio.Protocol, not a stream: a stream gives no sight
of bytes that arrive while the connection is idle.

Example:
    client = UpstreamClient('127.0.0.1', 9000, 330, 1024 * 1024)
    answer = await client.send('GET', '/orders/7', block, b'', deadline)
"""

import asyncio
import dataclasses
import re
import typing

import httptools

from godwitstall import clock
from godwitstall import errors
from godwitstall import metrics
from godwitstall.node import headers

_OPENED = metrics.counter(
    'upstream_connections_total', 'Connections opened to the upstream.'
)
_STRAY = metrics.counter(
    'upstream_stray_bytes_total',
    'Connections closed because of bytes that no request waited for.',
)
_ENDLESS = metrics.counter(
    'upstream_endless_answers_total',
    'Answers cut because their bytes came without an end.',
)

# Idle connections older than this are not used again: many HTTP servers
# close after 5 s, and a request sent into a closing connection is lost.
IDLE_LIMIT_S = 4.0

# Largest headers of an answer, bytes. The frame that carries an answer to
# another node is bounded, and one that is too long ends the whole link.
MAX_HEADER_BYTES = 64 * 1024

# Bytes around a body for each byte of it. A chunk of one byte has five.
_FRAMING_BYTES = 8

# Bodies that are being collected for all requests together, bytes. An upstream
# that sends without an end on many connections must not fill the memory of
# the node, which the platform bounds at 200 MB.
MAX_COLLECTED_BYTES = 32 * 1024 * 1024

# Share of the idle time that an upstream promises which is used; the rest is
# for the way there and for timers that fire late.
_IDLE_SHARE = 0.8

_CONNECT_TIMEOUT_S = 1.0
_FIRST_FINAL_STATUS = 200
_BODILESS = (204, 304)

_TIMEOUT = re.compile(rb'timeout=(\d{1,6})')


@dataclasses.dataclass(frozen=True, slots=True)
class Framing:
    """What is known of how the upstreams answer."""

    # Header that gives back the id of the request; empty when none does.
    echo_name: bytes = b''
    # An answer without a length is whole when its connection ends cleanly.
    ends_with_connection: bool = False


@dataclasses.dataclass(slots=True)
class UpstreamAnswer:
    """A whole answer."""

    # HTTP status.
    status: int
    # Headers, names in lower case.
    headers: list[tuple[bytes, bytes]]
    # Body, whole.
    body: bytes


class _Connection(asyncio.Protocol):
    """One connection; collects the answer to the request that it carries."""

    def __init__(
        self,
        max_answer_bytes: int,
        framing: Framing,
        collected: '_Collected',
    ) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.framing = framing
        self.collected = collected
        # Id that the answer must give back; empty when any will do.
        self.echo = b''
        # Time that the connection may be idle, seconds.
        self.idle_limit_s = IDLE_LIMIT_S
        self.transport: asyncio.Transport | None = None
        self.is_closed = False
        # When the last answer was complete, seconds.
        self.idle_since = 0.0
        # Whether the upstream lets the connection be used again.
        self.is_reusable = True
        self.waiter: asyncio.Future[UpstreamAnswer] | None = None
        self.has_answer_bytes = False
        self.is_head = False
        self.status = 0
        self.answer_headers: list[tuple[bytes, bytes]] = []
        self.header_bytes = 0
        # Whether the header section has ended; trailers come after it.
        self.has_headers = False
        self.body = bytearray()
        # Bytes received since the request, and those of them in bodies.
        self.received_bytes = 0
        self.received_body_bytes = 0
        self.parser: typing.Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        if exc is None and self._is_unframed():
            self.is_reusable = False
            self._finish()
        if self.has_answer_bytes:
            self._fail(errors.ErrorKind.ANSWER_CUT)
        else:
            self._fail(errors.ErrorKind.UPSTREAM_LOST)

    def data_received(self, data: bytes) -> None:
        if self.waiter is None or self.waiter.done():
            _STRAY.inc()
            self.close()
            return
        self.has_answer_bytes = True
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as e:
            self.close()
            # The second message of one read raises here after the first
            # was complete; the first is whole and stands.
            if not self.waiter.done():
                self._fail(errors.ErrorKind.ANSWER_CUT, f'Bad answer: {e}.')
        self._check_framing()

    def _check_framing(self) -> None:
        """Cut an answer whose bytes outside of a body do not end.

        The parser reports a header line, a chunk extension or a trailer only
        at its end, and keeps what it has of a line until then.
        """
        others = self.received_bytes - self.received_body_bytes
        bound = 2 * MAX_HEADER_BYTES
        if others > bound + _FRAMING_BYTES * self.received_body_bytes:
            self.cut_endless()

    def cut_endless(self) -> None:
        """Give up an answer whose bytes come without an end."""
        if self.waiter is None or self.waiter.done():
            return
        _ENDLESS.inc()
        self._fail(
            errors.ErrorKind.ANSWER_CUT, 'The answer came without an end.'
        )
        self.close()

    def _is_unframed(self) -> bool:
        """Return whether the end of the connection ends the answer."""
        return (
            self.framing.ends_with_connection
            and self.has_headers
            and self.status >= _FIRST_FINAL_STATUS
            and self.status not in _BODILESS
            and find_header(self.answer_headers, b'content-length') is None
            and find_header(self.answer_headers, b'transfer-encoding') is None
        )

    def _fail(self, kind: errors.ErrorKind, detail: str = '') -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(errors.RequestError(kind, detail))

    def is_open(self) -> bool:
        """Return whether a request written now would be sent.

        A transport that has seen the end drops what is written, one turn of
        the loop before connection_lost() is called.
        """
        return (
            not self.is_closed
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def close(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()

    def start(
        self, request: bytes, is_head: bool, echo: bytes = b''
    ) -> asyncio.Future[UpstreamAnswer]:
        """Send a request and return the future of its answer."""
        assert self.transport is not None
        self.echo = echo if self.framing.echo_name else b''
        self.has_headers = False
        self.parser = httptools.HttpResponseParser(self)
        self.has_answer_bytes = False
        self.received_bytes = 0
        self.received_body_bytes = 0
        self.is_head = is_head
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.waiter

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self.waiter is not None and self.waiter.done():
            # More bytes than one answer: whose they are is not known.
            _STRAY.inc()
            self.is_reusable = False
            return
        self.status = 0
        self.answer_headers = []
        self.header_bytes = 0
        self.has_headers = False
        self._drop_body()

    def _drop_body(self) -> None:
        self.collected.size -= len(self.body)
        self.body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.waiter is None or self.waiter.done() or self.has_headers:
            # The header of a second answer must not join the first, and a
            # trailer is no header (RFC 9110, section 6.5.1).
            return
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > MAX_HEADER_BYTES:
            self.cut_endless()
            return
        self.answer_headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.has_headers = True
        self.status = self.parser.get_status_code()
        if self._announced_bytes() > self.max_answer_bytes:
            self._fail(errors.ErrorKind.ANSWER_TOO_LARGE)
            self.close()
            return
        if self.is_head and self.status >= _FIRST_FINAL_STATUS:
            # The parser cannot know that no body follows.
            self.is_reusable = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        if self.waiter is None or self.waiter.done():
            return
        self.received_body_bytes += len(body)
        # Late answers to other requests may come before the own one.
        if (
            len(self.body) + len(body) > self.max_answer_bytes
            or self.received_body_bytes > 2 * self.max_answer_bytes
        ):
            self.cut_endless()
            return
        self.body += body
        self.collected.add(len(body))

    def _announced_bytes(self) -> int:
        """Return the length of the body that the header tells, 0 if none."""
        if self.is_head or self.status in _BODILESS:
            return 0
        length = find_header(self.answer_headers, b'content-length')
        return int(length) if length and length.isdigit() else 0

    def on_message_complete(self) -> None:
        if self.status < _FIRST_FINAL_STATUS:
            return
        if not self.parser.should_keep_alive():
            self.is_reusable = False
        self._finish()

    def _is_of_another(self) -> bool:
        """Return whether the answer gives back the id of another request."""
        if not self.echo:
            return False
        found = find_header(self.answer_headers, self.framing.echo_name)
        return found is not None and found != self.echo

    def _finish(self) -> None:
        if self._is_of_another():
            # A late answer to an earlier request; the own one follows.
            _STRAY.inc()
            self.is_reusable = False
            self.has_headers = False
            return
        promised = find_header(self.answer_headers, b'keep-alive')
        found = _TIMEOUT.search(promised) if promised else None
        if found is not None:
            self.idle_limit_s = int(found[1]) * _IDLE_SHARE
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(
                UpstreamAnswer(
                    self.status, self.answer_headers, bytes(self.body)
                )
            )

    def forget_answer(self) -> None:
        """Free the memory of an answer that was taken or given up."""
        self.answer_headers = []
        self._drop_body()


class _Collected:
    """Bytes of bodies that the connections of one client hold."""

    def __init__(self, connections: set[_Connection]) -> None:
        # Connections with a request on them.
        self.connections = connections
        # Bytes held now.
        self.size = 0

    def add(self, size: int) -> None:
        """Count bytes; above the bound the longest body is given up."""
        self.size += size
        if self.size <= MAX_COLLECTED_BYTES:
            return
        open_answers = [c for c in self.connections if not c.is_closed]
        if open_answers:
            max(open_answers, key=lambda c: len(c.body)).cut_endless()


class UpstreamClient:
    """Connections to one upstream process."""

    def __init__(
        self,
        host: str,
        port: int,
        max_connections: int,
        max_answer_bytes: int,
        framing: Framing | None = None,
    ) -> None:
        self.framing = framing or Framing()
        self.host = host
        self.port = port
        # Most connections open at a time.
        self.max_connections = max_connections
        # Longest answer body, bytes.
        self.max_answer_bytes = max_answer_bytes
        # Idle connections, the latest used last.
        self.idle: list[_Connection] = []
        # Connections with a request on them.
        self.busy: set[_Connection] = set()
        self.collected = _Collected(self.busy)
        # Connections that are being opened for a request.
        self.opening = 0

    async def send(
        self,
        method: str,
        path: str,
        header_block: bytes,
        body: bytes,
        deadline: float,
        host: bytes = b'',
        echo: bytes = b'',
    ) -> UpstreamAnswer:
        """Send one request and return its whole answer.

        host is the Host header, by default the address; echo is the id that
        the answer gives back, if it gives one. deadline is in seconds of
        clock.recent(). Errors: RequestError of kind UPSTREAM_UNREACHABLE when
        nothing was sent; UPSTREAM_LOST, ANSWER_CUT, ANSWER_TOO_LARGE or
        UPSTREAM_TIMEOUT after that. A cancellation closes the connection,
        which tells the upstream.
        """
        connection = await self._take(deadline)
        request = b'%s %s HTTP/1.1\r\nhost: %s\r\n%s' % (
            method.encode(),
            path.encode('latin-1'),
            host or b'%s:%d' % (self.host.encode(), self.port),
            header_block,
        )
        request += b'content-length: %d\r\n\r\n' % len(body) + body
        self.busy.add(connection)
        is_whole = False
        try:
            future = connection.start(request, method == 'HEAD', echo)
            timer = asyncio.get_running_loop().call_later(
                max(0.0, deadline - clock.recent()),
                connection._fail,
                errors.ErrorKind.UPSTREAM_TIMEOUT,
            )
            try:
                answer = await future
            finally:
                timer.cancel()
            is_whole = True
            return answer
        finally:
            self.busy.discard(connection)
            connection.forget_answer()
            if is_whole and connection.is_reusable:
                self._put_back(connection)
            else:
                connection.close()

    async def _take(self, deadline: float) -> _Connection:
        now = clock.recent()
        while self.idle:
            connection = self.idle.pop()
            idle_s = now - connection.idle_since
            is_fresh = idle_s < connection.idle_limit_s
            if is_fresh and connection.is_open():
                return connection
            connection.close()
        if len(self.busy) + self.opening >= self.max_connections:
            raise errors.RequestError(
                errors.ErrorKind.OVERLOADED, 'All connections are in use.'
            )
        self.opening += 1
        try:
            return await self._open(min(_CONNECT_TIMEOUT_S, deadline - now))
        finally:
            self.opening -= 1

    async def _open(self, timeout_s: float) -> _Connection:
        _OPENED.inc()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: _Connection(
                        self.max_answer_bytes, self.framing, self.collected
                    ),
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError) as e:
            raise errors.RequestError(
                errors.ErrorKind.UPSTREAM_UNREACHABLE,
                f'No connection to the upstream: {e}.',
            ) from e
        return connection

    def _put_back(self, connection: _Connection) -> None:
        if connection.is_closed:
            return
        connection.idle_since = clock.recent()
        connection.waiter = None
        self.idle.append(connection)

    async def is_refused(self, timeout_s: float) -> bool:
        """Return whether connections are refused: no process listens.

        A timeout does not count, since a full accept queue of a busy
        process looks the same.
        """
        try:
            connection = await self._open(timeout_s)
        except errors.RequestError as e:
            return isinstance(e.__cause__, ConnectionRefusedError)
        connection.close()
        return False

    def close(self) -> None:
        """Close the idle connections; running requests go on."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()


def find_header(pairs: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a lower-case name, None when absent."""
    for key, value in pairs:
        if key == name:
            return value
    return None


def is_shed(answer: UpstreamAnswer) -> bool:
    """Return whether the upstream says that it refused without running."""
    return (
        answer.status in (503, 504)
        and find_header(answer.headers, headers.OUTCOME) == b'not-run'
    )
