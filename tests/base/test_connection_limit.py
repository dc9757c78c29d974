"""Tests of the limit on connections, and of accepting within it."""

import asyncio
import dataclasses
import errno
import logging
import resource
import socket

import pytest

from godwitstall import acceptor as acceptor_module
from godwitstall import connection_limit
from godwitstall import log_limit
from loadtool import addresses

_TIMEOUT_S = 10.0


@dataclasses.dataclass(eq=False)
class _Connection:
    """A connection with a given order of closing."""

    order: tuple[int, float] | None
    is_closed: bool = False

    def idle_order(self) -> tuple[int, float] | None:
        return self.order

    def close_idle(self) -> None:
        self.is_closed = True


def _limit(
    orders: list[tuple[int, float] | None], max_connections: int
) -> tuple[connection_limit.ConnectionLimit, list[_Connection]]:
    connections = [_Connection(order) for order in orders]
    limit = connection_limit.ConnectionLimit(
        'test', max_connections, set(connections)
    )
    return limit, connections


def test_nothing_is_closed_below_the_limit() -> None:
    """Guards against idle connections that are closed without need."""
    limit, connections = _limit([(1, 1.0), (1, 2.0)], 3)
    assert limit.make_room()
    assert not any(c.is_closed for c in connections)


def test_lowest_rank_and_oldest_is_closed_first() -> None:
    """Guards against a kept connection that goes before a silent one."""
    limit, connections = _limit([(3, 1.0), (1, 5.0), (1, 2.0), None], 4)
    assert limit.make_room()
    assert [c.is_closed for c in connections] == [False, False, True, False]
    assert len(limit.connections) == 3


def test_connections_in_use_are_kept() -> None:
    """Guards against requests that are cut for a new connection."""
    limit, connections = _limit([None, None], 2)
    assert not limit.make_room()
    assert not any(c.is_closed for c in connections)


def test_arriving_connections_count() -> None:
    """Guards against a limit that is exceeded within one iteration."""
    limit, connections = _limit([(1, 1.0), (1, 2.0)], 4)
    assert limit.make_room(arriving=1)
    assert limit.make_room(arriving=2)
    assert [c.is_closed for c in connections] == [True, False]


def test_share_of_the_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against limits above what the process may open."""
    monkeypatch.setattr(resource, 'getrlimit', lambda _: (256, 256))
    share = connection_limit.descriptor_share
    assert share(0, connection_limit.NODE_CLIENT_SHARE) == 128
    assert share(0, connection_limit.NODE_PEER_SHARE) == 64
    assert share(7, connection_limit.NODE_PEER_SHARE) == 7


def test_log_lines_are_counted_when_left_out() -> None:
    """Guards against a line for each failure, and a silent loss of lines."""
    limit = log_limit.LogLimit(interval_s=60.0)
    assert limit.allows()
    assert not limit.suffix()
    assert not limit.allows()
    limit.next_at = 0.0
    assert limit.allows()
    assert '1 similar' in limit.suffix()


class _FailingSocket:
    """A listening socket that fails as one without descriptors does."""

    def __init__(self, listening_socket: socket.socket) -> None:
        self.listening_socket = listening_socket
        self.failures = 3
        self.attempts = 0

    def accept(self) -> tuple[socket.socket, object]:
        self.attempts += 1
        if self.attempts <= self.failures:
            raise OSError(errno.EMFILE, 'Too many open files')
        return self.listening_socket.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self.listening_socket, name)


def test_accepting_pauses_without_descriptors(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a loop that spins, and logs, until one is free."""
    caplog.set_level(logging.WARNING)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        connected: asyncio.Future[None] = loop.create_future()

        class _Protocol(asyncio.Protocol):
            def connection_made(self, transport: object) -> None:
                connected.set_result(None)

        limit, _ = _limit([], 10)
        host, port = addresses.free_address().split(':')
        acceptor = acceptor_module.Acceptor(
            acceptor_module.bind(host, int(port)), _Protocol, limit
        )
        failing = _FailingSocket(acceptor.socket)
        acceptor.socket = failing  # type: ignore[assignment]
        acceptor.start(backlog=8)
        _, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(_TIMEOUT_S):
            await connected
        acceptor.close()
        writer.close()
        assert failing.attempts <= failing.failures + 3

    asyncio.run(run())
    lines = [r for r in caplog.records if 'Cannot accept' in r.message]
    assert len(lines) == 1
