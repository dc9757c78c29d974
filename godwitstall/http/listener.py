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
import collections.abc
import contextlib
import functools

from godwitstall import acceptor as acceptor_module
from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import connection_limit
from godwitstall.http import connection as http_connection
from godwitstall.http import messages as http_messages
from godwitstall.http import parse_turns
from godwitstall import link

# Connections that the kernel queues until the event loop accepts them.
_BACKLOG = 2048

_TIMEOUT_CHECK_INTERVAL_S = 0.5

# Maximum size of the requests and responses that all connections hold
# together, bytes, for a listener without the budget of its process.
MAX_HELD_BYTES = 64 * 1024 * 1024

# A graceful close first waits this long for the first bytes of connections
# that have just been accepted.
_FIRST_READ_WAIT_S = 0.05

# A graceful close gives the clients at most this long to read the last
# responses.
_DELIVERY_TIME_S = 0.2

# Interval at which a graceful close checks for pending requests.
_CLOSE_POLL_INTERVAL_S = 0.02


class Listener:
    """HTTP server of a process, with a handler for each address."""

    def __init__(
        self,
        handlers: dict[str, http_messages.Handler],
        respond_to_error: http_messages.ErrorResponder = (
            http_messages.respond_plainly
        ),
        max_connections: int = 0,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        # Keyed by 'host:port'.
        self.handlers = handlers
        self.respond_to_error = respond_to_error
        self.limits = http_messages.Limits()
        # Number of requests that are being handled.
        self.active_requests = 0
        # Whether a connection is closed when its pending requests have been
        # answered.
        self.is_stopping = False
        self.connections: set[http_connection.Connection] = set()
        # That of the process, or one of its own.
        self.budget = budget or byte_budget.ByteBudget(
            'requests', MAX_HELD_BYTES
        )
        self.budget.include(self.connections)
        # 0 selects the share of a node.
        self.connection_limit = connection_limit.ConnectionLimit(
            'clients',
            connection_limit.descriptor_share(
                max_connections, connection_limit.NODE_CLIENT_SHARE
            ),
            self.connections,
        )
        self.parse_turns = parse_turns.ParseTurns()
        self.acceptors: dict[str, acceptor_module.Acceptor] = {}
        self.timeout_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on all addresses.

        Errors: OSError when an address is not available.
        """
        for address, handler in self.handlers.items():
            host, port = link.split_address(address)
            self.acceptors[address] = acceptor = acceptor_module.Acceptor(
                acceptor_module.bind(host, port),
                functools.partial(http_connection.Connection, self, handler),
                self.connection_limit,
            )
            acceptor.start(_BACKLOG)
        self.timeout_task = asyncio.create_task(self._check_timeouts())

    async def _check_timeouts(self) -> None:
        while True:
            await asyncio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            now = clock.recent()
            for connection in list(self.connections):
                connection.check_timeouts(now)
            # Some clients may be known to read slowly by now.
            self.budget.enforce()

    def is_accepting(self, address: str) -> bool:
        """Return whether connections to an address are accepted."""
        return self.acceptors[address].is_accepting

    async def stop_accepting(self, address: str) -> None:
        """Close the listening socket of an address, not its connections."""
        await self._close_listening_sockets([address])

    async def _close_listening_sockets(
        self, addresses: collections.abc.Iterable[str]
    ) -> None:
        """Close listening sockets; accept all that clients have opened."""
        for address in addresses:
            acceptor = self.acceptors[address]
            acceptor.close()
            await acceptor.wait_registered()

    async def close_gracefully(self, timeout_s: float) -> None:
        """Stop listening, finish the pending requests, and close.

        Requests that are still pending after timeout_s are cut. Clients then
        have a short time to read their responses.
        """
        self.is_stopping = True
        await self._close_listening_sockets(list(self.acceptors))
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
        await self._close_listening_sockets(list(self.acceptors))
        if self.timeout_task is not None:
            self.timeout_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.timeout_task
        for connection in list(self.connections):
            connection.close()
