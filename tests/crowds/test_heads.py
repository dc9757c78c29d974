"""Crowds of clients that send heads or empty lines without an end."""

import asyncio
import pathlib

import pytest

from tests.crowds import crowd

_CLIENTS = 64

# Bytes that a client sends at most.
_ENDLESS_BYTES = 2 * 1024 * 1024
_PART_BYTES = 16 * 1024

_HEAD = b'GET /siop/1 HTTP/1.1\r\nhost: a\r\n'
_ENDLESS = {
    'header_line': (_HEAD + b'x-a: ', b'x' * _PART_BYTES),
    'header_lines': (_HEAD, b'a:b\r\n' * (_PART_BYTES // 5)),
    'target': (b'GET /siop/', b'x' * _PART_BYTES),
    'empty_lines': (b'', b'\r\n' * (_PART_BYTES // 2)),
}


def _sends(start: bytes, part: bytes) -> crowd.Send:
    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(start)
        for _ in range(_ENDLESS_BYTES // len(part)):
            writer.write(part)
            await writer.drain()

    return send


async def _check(
    folder: pathlib.Path,
    place: str,
    send: crowd.Send,
    growth_bytes: int = crowd.SMALL_GROWTH_BYTES,
) -> None:
    async with crowd.System(folder) as system:
        async with crowd.Crowd(
            system.address(place), _CLIENTS, send
        ) as clients:
            await clients.settle()
            await system.check(growth_bytes)


@pytest.mark.parametrize('kind', _ENDLESS)
def test_endless_heads(tmp_path: pathlib.Path, kind: str) -> None:
    """Guards against heads that are kept without a bound."""
    asyncio.run(_check(tmp_path, 'caller', _sends(*_ENDLESS[kind])))


def test_endless_heads_at_control(tmp_path: pathlib.Path) -> None:
    """Guards against heads without a bound at the address of operators."""
    send = _sends(*_ENDLESS['header_lines'])
    asyncio.run(_check(tmp_path, 'control_admin', send))


def test_heads_that_stop(tmp_path: pathlib.Path) -> None:
    """Guards against half-read heads that cost more than their bytes."""
    head = _HEAD + b'a:b\r\n' * 4096

    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(head)
        await writer.drain()

    # Header lines within the limit are kept as objects until the head ends.
    growth_bytes = crowd.LARGE_GROWTH_BYTES
    asyncio.run(_check(tmp_path, 'caller', send, growth_bytes))
