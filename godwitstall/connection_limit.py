"""Limit on the connections that peers open to a process.

Each connection takes a descriptor, which the process also needs for its own
work: links to control and other nodes, connections to the upstream, files.
The limits for clients and for peers leave a part of the descriptors free.
At a limit, the connections that have been idle for longest are closed.

Example:
    limit = ConnectionLimit('clients', descriptor_share(0, 0.5), connections)
    if not limit.make_room():
        accepted_socket.close()
"""

import collections.abc
import heapq
import resource
import typing

from godwitstall import log_limit
from godwitstall import logs
from godwitstall import metrics

_LOG = logs.get('connections')
_CLOSED = metrics.counter(
    'connections_closed_at_limit_total',
    'Connections closed to stay below a limit, by limit.',
)
_REFUSED = metrics.counter(
    'connections_refused_total',
    'Connections refused because all others are in use, by limit.',
)

# Shares of the descriptors for connections that others open. A node has many
# clients; a control process has a link from each node.
NODE_CLIENT_SHARE = 0.5
NODE_PEER_SHARE = 0.25
CONTROL_CLIENT_SHARE = 0.25
CONTROL_PEER_SHARE = 0.5

# Descriptors of a machine of the platform. A process may have a higher limit
# of its own that the machine does not grant.
_MACHINE_DESCRIPTORS = 4096

# A limit never gets smaller than this.
_MIN_CONNECTIONS = 16

# Part of the limit that is closed at once, so that connections are not
# compared for each one that is accepted.
_CLOSE_FRACTION = 1 / 32


def descriptor_share(configured: int, share: float) -> int:
    """Return a limit on connections; 0 selects a share of descriptors."""
    if configured:
        return configured
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = _MACHINE_DESCRIPTORS
    usable = min(soft_limit, _MACHINE_DESCRIPTORS)
    return max(_MIN_CONNECTIONS, int(usable * share))


class Closable(typing.Protocol):
    """A connection that a peer has opened."""

    def idle_order(self) -> tuple[int, float] | None:
        """Return a key for the order of closing, lowest first.

        It is a rank and the time at which the connection was last active;
        None if the connection is in use.
        """

    def close_idle(self) -> None:
        """Close the connection at once."""


class ConnectionLimit:
    """Bounds the number of connections of one kind."""

    def __init__(
        self,
        name: str,
        max_connections: int,
        connections: collections.abc.MutableSet[typing.Any],
    ) -> None:
        # Label of its metrics.
        self.name = name
        self.max_connections = max_connections
        # Set of the caller, whose items are Closable.
        self.connections = connections
        self.log_limit = log_limit.LogLimit()

    def make_room(self, arriving: int = 0) -> bool:
        """Return whether one more connection may be served.

        arriving is the number of those accepted that are not in the set yet.
        At the limit, some idle connections are closed first.
        """
        count = len(self.connections) + arriving
        if count < self.max_connections:
            return True
        closed = self._close_idle(count - self.max_connections)
        if not closed:
            _REFUSED.inc(limit=self.name)
        if self.log_limit.allows():
            _LOG.warning(
                'All %d connections of %s are open; closed %d idle ones.%s',
                self.max_connections,
                self.name,
                closed,
                self.log_limit.suffix(),
            )
        return closed > 0

    def _close_idle(self, excess: int) -> int:
        """Close those that have been idle for longest; return their number."""
        count = excess + max(1, int(self.max_connections * _CLOSE_FRACTION))
        idle = []
        for connection in self.connections:
            order = connection.idle_order()
            if order is not None:
                idle.append((order, id(connection), connection))
        chosen = heapq.nsmallest(count, idle)
        for _, _, connection in chosen:
            # Its descriptor is free in the next iteration of the loop.
            self.connections.discard(connection)
            connection.close_idle()
        _CLOSED.inc(len(chosen), limit=self.name)
        return len(chosen)
