"""Accepts links of other processes, in nodes and in control.

Example:
    class Echo(link_server.LinkServer):
        async def serve(self, link: link_module.Link) -> None:
            await link.run(functools.partial(send_back, link))
"""

import abc
import asyncio

from godwitstall import acceptor as acceptor_module
from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import connection_limit
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import log_limit
from godwitstall import logs

_LOG = logs.get('link')

# Connections that the kernel queues until they are accepted. All nodes of a
# zone may reconnect at once.
_BACKLOG = 1024

# Interval at which a server checks whether its peers have closed their links.
_END_POLL_INTERVAL_S = 0.01

# Maximum size of the half-received messages of all links together, and of the
# send buffers where they count, bytes, for a server without the budget of its
# process.
MAX_HELD_BYTES = 32 * 1024 * 1024

# A link that has received nothing for this long may be closed at the limit on
# connections, seconds. Processes of the fleet send more often.
_IDLE_LINK_S = 5.0

_rejected = log_limit.LogLimit()


class _Incoming:
    """A connection to a server, from its first byte to its close."""

    def __init__(
        self, server: 'LinkServer', writer: asyncio.StreamWriter
    ) -> None:
        self.server = server
        self.writer = writer
        self.opened_at = clock.recent()
        # None until the handshake has ended.
        self.link: link_module.Link | None = None

    def idle_order(self) -> tuple[int, float] | None:
        """Return a key for the order of closing, handshakes first.

        A handshake takes milliseconds, so the oldest are those of peers that
        are silent.
        """
        if self.link is None:
            return 0, self.opened_at
        idle_s = clock.recent() - self.link.received_at
        if idle_s < _IDLE_LINK_S or self.server.is_in_use(self.link):
            return None
        return 1, self.link.received_at

    def close_idle(self) -> None:
        """Close the connection at once."""
        if self.link is not None:
            self.link.abort()
        else:
            self.writer.transport.abort()


class LinkServer(abc.ABC):
    """Base of the servers that accept links, in nodes and in control."""

    def __init__(
        self,
        identity: link_module.Identity,
        max_connections: int = 0,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self.identity = identity
        # Whether the send buffers of the links count in the budget.
        self.counts_unsent = False
        self.server: acceptor_module.Acceptor | None = None
        # Open links.
        self.links: set[link_module.Link] = set()
        # That of the process, or one of its own.
        self.budget = budget or byte_budget.ByteBudget('links', MAX_HELD_BYTES)
        self.budget.include(self.links)
        # Connections of these links and of handshakes.
        self.connections: set[_Incoming] = set()
        # 0 selects the share of a node.
        self.connection_limit = connection_limit.ConnectionLimit(
            'peers',
            connection_limit.descriptor_share(
                max_connections, connection_limit.NODE_PEER_SHARE
            ),
            self.connections,
        )
        # Whether no link is served any more.
        self.is_closed = False

    @abc.abstractmethod
    async def serve(self, link: link_module.Link) -> None:
        """Read one link until it closes."""

    def is_in_use(self, link: link_module.Link) -> bool:
        """Return whether a link must stay open although it is silent."""
        return False

    def on_end(self, link: link_module.Link) -> None:
        """Send the last messages of a link; nothing is read after this."""

    async def listen(self, address: str) -> None:
        """Listen on 'host:port'.

        Errors: OSError when the address cannot be used.
        """
        host, port = link_module.split_address(address)
        self.server = acceptor_module.Acceptor(
            acceptor_module.bind(host, port),
            self._make_protocol,
            self.connection_limit,
        )
        self.server.start(_BACKLOG)

    def _make_protocol(self) -> asyncio.Protocol:
        loop = asyncio.get_running_loop()
        return asyncio.StreamReaderProtocol(
            asyncio.StreamReader(loop=loop), self._accept, loop=loop
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        incoming = _Incoming(self, writer)
        self.connections.add(incoming)
        try:
            await self._serve_incoming(incoming, reader, writer)
        finally:
            self.connections.discard(incoming)

    async def _serve_incoming(
        self,
        incoming: '_Incoming',
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            link = await link_module.accept(reader, writer, self.identity)
        except errors.LinkError as e:
            if _rejected.allows():
                _LOG.warning(
                    'Rejected an incoming link: %s%s', e, _rejected.suffix()
                )
            return
        if self.is_closed:
            # The handshake has ended after close_links(). The peer would
            # never connect to the next server at this address.
            self.on_end(link)
            link.close()
            return
        incoming.link = link
        link.budget = self.budget
        link.counts_unsent = self.counts_unsent
        self.links.add(link)
        try:
            await self.serve(link)
        finally:
            self.links.discard(link)

    async def end_links(self, timeout_s: float) -> None:
        """Stop listening, and end all links.

        Returns when the peers have closed them, at the latest after timeout_s.
        """
        self.is_closed = True
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            self.on_end(link)
            link.end()
        deadline = clock.now() + timeout_s
        while self.links and clock.now() < deadline:
            await asyncio.sleep(_END_POLL_INTERVAL_S)

    def close_links(self) -> None:
        """Stop listening and close all links, also those of handshakes."""
        self.is_closed = True
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.close()
