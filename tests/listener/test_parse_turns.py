"""Tests that connections share the time in which requests are parsed."""

import asyncio

import pytest

from godwitstall import clock
from godwitstall.http import messages as http_messages
from godwitstall.http import parse_turns
from tests.listener import connections

_TIMEOUT_S = 20.0
_CHUNKS = 40_000


class _Waiter:
    """Notes the turns in which it parses."""

    def __init__(
        self, turns: parse_turns.ParseTurns, left: int, order: list['_Waiter']
    ) -> None:
        self.turns = turns
        self.left = left
        self.order = order

    def parse_waiting(self) -> None:
        if not self.turns.take(1024):
            self.turns.add(self)
            return
        self.order.append(self)
        self.left -= 1
        if self.left:
            self.turns.add(self)


def test_waiting_connections_take_turns() -> None:
    """Guards against a connection that parses all before the next one."""

    async def run() -> None:
        turns = parse_turns.ParseTurns()
        order: list[_Waiter] = []
        waiters = [_Waiter(turns, 3, order) for _ in range(3)]
        for waiter in waiters:
            turns.add(waiter)
        async with asyncio.timeout(_TIMEOUT_S):
            while any(waiter.left for waiter in waiters):
                await asyncio.sleep(0)
        assert order[:3] == order[3:6] == order[6:] == waiters

    asyncio.run(run())


def test_bytes_between_two_polls_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a crowd whose bytes are all parsed in one turn."""
    now = 1.0
    monkeypatch.setattr(clock, 'recent', lambda: now)
    turns = parse_turns.ParseTurns()
    parts = 0
    while turns.take(4096):
        parts += 1
    assert parts == 16
    now = 2.0
    assert turns.take(4096)


async def _echo(request: http_messages.Request) -> http_messages.Response:
    return http_messages.Response(200, [], request.body)


def test_small_chunks_are_joined_in_order() -> None:
    """Guards against bytes that are lost or mixed between turns."""

    async def run() -> None:
        async with connections.listening(_echo) as (_, address):
            clients = []
            for number in range(4):
                reader, writer = await connections.connect(address)
                body = b'%d' % number + b'ab' * _CHUNKS
                chunks = b''.join(
                    b'1\r\n%c\r\n' % byte for byte in body[:_CHUNKS]
                )
                writer.write(
                    b'POST / HTTP/1.1\r\nhost: a\r\n'
                    b'transfer-encoding: chunked\r\n\r\n' + chunks
                )
                clients.append((reader, writer, body[:_CHUNKS]))
            for _, writer, _ in clients:
                writer.write(b'0\r\n\r\n')
            async with asyncio.timeout(_TIMEOUT_S):
                for reader, writer, body in clients:
                    head = await reader.readuntil(b'\r\n\r\n')
                    assert b' 200 ' in head
                    assert await reader.readexactly(_CHUNKS) == body
                    writer.close()

    asyncio.run(run())
