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
import socket

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall.http import connection as http_connection
from godwitstall.http import messages as http_messages
from godwitstall import link

# Connections that the kernel queues until the event loop accepts them.
_BACKLOG = 2048

_TIMEOUT_CHECK_INTERVAL_S = 0.5

# Maximum size of the requests and responses that all connections hold
# together, bytes. With the answers of the upstream it must fit into the 200 MB
# that the platform allows.
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
        self.budget = byte_budget.ByteBudget(
            'requests', MAX_HELD_BYTES, self.connections
        )
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

    async def _listen(
        self, address: str, handler: http_messages.Handler
    ) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(
            lambda: http_connection.Connection(self, handler),
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
                lambda: http_connection.Connection(
                    self, self.handlers[address]
                ),
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
