"""Accepts the connections of a listening socket, within a limit.

asyncio.Server accepts as many connections in one iteration of the loop as the
kernel queues. Without a free descriptor, that of Python 3.11 logs a line for
each of them and tries again at once, and leaves a connection open unread if
it is closed between accept() and the registration of the connection.

Example:
    acceptor = Acceptor(bind('127.0.0.1:8080'), make_protocol, limit)
    acceptor.start(backlog=2048)
"""

import asyncio
import collections.abc
import contextlib
import errno
import socket

from godwitstall import connection_limit
from godwitstall import log_limit
from godwitstall import logs
from godwitstall import metrics

_LOG = logs.get('connections')
_FAILED = metrics.counter(
    'accept_failures_total', 'Failures to accept a connection by error.'
)

# Connections that are accepted in one iteration of the loop.
_ACCEPTS_PER_TURN = 32

# Accepting stops for this time when there is no descriptor left, seconds.
_RETRY_DELAY_S = 0.1

_RESOURCE_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

ProtocolFactory = collections.abc.Callable[[], asyncio.Protocol]


def bind(host: str, port: int) -> socket.socket:
    """Return a bound socket.

    Errors: OSError when the address is not available.
    """
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
        raise OSError(f'Cannot listen on {host}:{port}: {e.strerror}.') from e
    return listening_socket


class Acceptor:
    """Accepts connections and connects each to a protocol of its own."""

    def __init__(
        self,
        listening_socket: socket.socket,
        make_protocol: ProtocolFactory,
        limit: connection_limit.ConnectionLimit,
    ) -> None:
        self.socket = listening_socket
        self.make_protocol = make_protocol
        self.limit = limit
        self.is_accepting = False
        self.retry: asyncio.TimerHandle | None = None
        # Connections that are being registered with the loop.
        self.tasks: set[asyncio.Task[None]] = set()
        self.log_limit = log_limit.LogLimit()

    @property
    def sockets(self) -> list[socket.socket]:
        """The listening socket, as asyncio.Server returns it."""
        return [self.socket]

    def start(self, backlog: int) -> None:
        """Listen; backlog connections may wait in the kernel."""
        self.socket.setblocking(False)
        self.socket.listen(backlog)
        self.is_accepting = True
        self._watch()

    def close(self) -> None:
        """Close the listening socket, not the connections.

        Connections that the kernel has queued are served too, since the close
        of the socket would reset them.
        """
        if not self.is_accepting:
            return
        self._unwatch()
        self.is_accepting = False
        while self._accept_one():
            pass
        self.socket.close()

    async def wait_registered(self) -> None:
        """Wait until all accepted connections have their protocols."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))

    def _watch(self) -> None:
        self.retry = None
        asyncio.get_running_loop().add_reader(
            self.socket.fileno(), self._accept_some
        )

    def _unwatch(self) -> None:
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        asyncio.get_running_loop().remove_reader(self.socket.fileno())

    def _accept_some(self) -> None:
        for _ in range(_ACCEPTS_PER_TURN):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection; return whether there may be more."""
        try:
            accepted_socket, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as e:
            return self._on_error(e)
        if not self.limit.make_room(len(self.tasks)):
            accepted_socket.close()
            return True
        accepted_socket.setblocking(False)
        task = asyncio.get_running_loop().create_task(
            self._register(accepted_socket)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return True

    def _on_error(self, error: OSError) -> bool:
        name = errno.errorcode.get(error.errno or 0, 'unknown')
        _FAILED.inc(error=name)
        if error.errno not in _RESOURCE_ERRORS:
            # The client has reset the connection.
            return True
        if self.log_limit.allows():
            _LOG.warning(
                'Cannot accept connections: %s.%s',
                error.strerror,
                self.log_limit.suffix(),
            )
        if self.is_accepting and self.retry is None:
            # The queue of the kernel keeps the connections meanwhile.
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.socket.fileno())
            self.retry = loop.call_later(_RETRY_DELAY_S, self._watch)
        return False

    async def _register(self, accepted_socket: socket.socket) -> None:
        # The client may have reset the connection.
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().connect_accepted_socket(
                self.make_protocol, accepted_socket
            )
