"""Pool of HTTP/1.1 connections to the node's own upstream.

A connection carries one request at a time. It returns to the pool only after
a complete answer. It is closed after a timeout, a cancellation, a parse error
or unexpected bytes, so that a late answer cannot reach another request.

Example:
    client = UpstreamClient('127.0.0.1', 9000, 330, 1024 * 1024)
    answer = await client.send('GET', '/orders/7', block, b'', deadline)
"""

import asyncio
import collections.abc

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import errors
from godwitstall import metrics
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_connection

_CONNECTIONS_OPENED = metrics.counter(
    'upstream_connections_total', 'Connections opened to the upstream.'
)

# Maximum size of all incomplete answers together, bytes, for a client without
# the budget of its process.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024

_CONNECT_TIMEOUT_S = 1.0


class UpstreamClient:
    """Pool of connections to one upstream process."""

    def __init__(
        self,
        host: str,
        port: int,
        max_connections: int,
        max_answer_bytes: int,
        framing: upstream_answer.Framing | None = None,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self.framing = framing or upstream_answer.Framing()
        self.host = host
        self.port = port
        # Maximum number of connections that run a request or are being opened
        # for one; idle connections do not count.
        self.max_connections = max_connections
        # Maximum size of the body of an answer, bytes.
        self.max_answer_bytes = max_answer_bytes
        # Idle connections, with the most recently used one last.
        self.idle: list[upstream_connection.UpstreamConnection] = []
        # Connections that are running a request.
        self.busy: set[upstream_connection.UpstreamConnection] = set()
        # That of the process, or one of its own.
        self.budget = budget or byte_budget.ByteBudget(
            'answers', MAX_BUFFERED_BYTES
        )
        self.budget.include(self.busy)
        # Number of connections that are being opened for a request.
        self.opening_count = 0

    async def send(
        self,
        method: str,
        path: str,
        header_block: bytes,
        body: bytes,
        deadline: float,
        host: bytes = b'',
        request_id: bytes = b'',
        check_write: collections.abc.Callable[[], None] | None = None,
    ) -> upstream_answer.UpstreamAnswer:
        """Send one request and return its complete answer.

        host is the Host header, by default the address. request_id is the id
        that the answer returns, empty if the request has none. check_write is
        called right before the request is written, and may raise a
        RequestError. deadline is in seconds of clock.recent(). Errors:
        RequestError of kind OVERLOADED or UPSTREAM_UNREACHABLE if nothing was
        sent; UPSTREAM_LOST, ANSWER_CUT, ANSWER_TOO_LARGE or UPSTREAM_TIMEOUT
        after that. A cancellation closes the connection, which notifies the
        upstream.
        """
        connection = await self._acquire(deadline)
        if check_write is not None:
            try:
                check_write()
            except errors.RequestError:
                self._release(connection)
                raise
        head = b'%s %s HTTP/1.1\r\nhost: %s\r\n%scontent-length: %d\r\n\r\n'
        head %= (
            method.encode(),
            path.encode('latin-1'),
            host or b'%s:%d' % (self.host.encode(), self.port),
            header_block,
            len(body),
        )
        self.busy.add(connection)
        is_complete = False
        try:
            future = connection.start(head, method == 'HEAD', request_id, body)
            timer = asyncio.get_running_loop().call_later(
                max(0.0, deadline - clock.recent()),
                connection.fail,
                errors.ErrorKind.UPSTREAM_TIMEOUT,
            )
            try:
                answer = await future
            finally:
                timer.cancel()
            is_complete = True
            return answer
        finally:
            self.busy.discard(connection)
            connection.clear_answer()
            if is_complete and connection.is_reusable:
                self._release(connection)
            else:
                connection.close()

    async def _acquire(
        self, deadline: float
    ) -> upstream_connection.UpstreamConnection:
        now = clock.recent()
        while self.idle:
            connection = self.idle.pop()
            idle_s = now - connection.idle_since
            is_reusable = idle_s < connection.idle_limit_s
            if is_reusable and connection.is_open():
                return connection
            connection.close()
        if len(self.busy) + self.opening_count >= self.max_connections:
            raise errors.RequestError(
                errors.ErrorKind.OVERLOADED, 'All connections are in use.'
            )
        self.opening_count += 1
        try:
            return await self._open(min(_CONNECT_TIMEOUT_S, deadline - now))
        finally:
            self.opening_count -= 1

    def make_connection(self) -> upstream_connection.UpstreamConnection:
        """Return the protocol of a new connection."""
        return upstream_connection.UpstreamConnection(
            self.max_answer_bytes, self.framing, self.budget
        )

    async def _open(
        self, timeout_s: float
    ) -> upstream_connection.UpstreamConnection:
        _CONNECTIONS_OPENED.inc()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    self.make_connection, self.host, self.port
                )
        except (OSError, TimeoutError) as e:
            raise errors.RequestError(
                errors.ErrorKind.UPSTREAM_UNREACHABLE,
                f'No connection to the upstream: {e}.',
            ) from e
        return connection

    def _release(
        self, connection: upstream_connection.UpstreamConnection
    ) -> None:
        if connection.is_closed:
            return
        connection.idle_since = clock.recent()
        connection.waiter = None
        self.idle.append(connection)

    def has_open_connection(self) -> bool:
        """Return whether a connection to the process is still open."""
        return any(
            connection.is_open() for connection in (*self.busy, *self.idle)
        )

    async def is_refused(self, timeout_s: float) -> bool:
        """Return whether connections are refused, so no process listens.

        A timeout does not count, because it may also be caused by the full
        accept queue of a busy process.
        """
        try:
            connection = await self._open(timeout_s)
        except errors.RequestError as e:
            return isinstance(e.__cause__, ConnectionRefusedError)
        connection.close()
        return False

    def close(self) -> None:
        """Close the idle connections; running requests continue."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()
        self.budget.exclude(self.busy)
