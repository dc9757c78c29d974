"""Crowds of clients whose chunked bodies stop just short of their ends."""

import asyncio
import pathlib

import pytest

from tests.crowds import crowd

_CLIENTS = 64

# Bytes of one body; 64 of them are 2 MiB and 144 MiB.
_SMALL_BODY_BYTES = 32 * 1024
_LARGE_BODY_BYTES = 2304 * 1024

_HEAD = (
    b'POST /siop/1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)
_PLACES = ('caller', 'upstream', 'admin', 'control_admin')


def _chunks(size: int, total: int, extension: bytes = b'') -> bytes:
    chunk = b'%x%s\r\n%s\r\n' % (size, extension, b'x' * size)
    return chunk * (total // size)


def _sends(body: bytes) -> crowd.Send:
    async def send(writer: asyncio.StreamWriter) -> None:
        writer.write(_HEAD + body)
        await writer.drain()

    return send


async def _check(
    folder: pathlib.Path,
    place: str,
    body: bytes,
    growth_bytes: int,
) -> None:
    lines = [f'max_body_bytes = {_LARGE_BODY_BYTES + 1024}']
    async with crowd.System(folder, lines) as system:
        async with crowd.Crowd(
            system.address(place), _CLIENTS, _sends(body)
        ) as clients:
            await clients.settle()
            await system.check(growth_bytes)


@pytest.mark.parametrize('place', _PLACES)
def test_small_chunks(tmp_path: pathlib.Path, place: str) -> None:
    """Guards against parts of a body that cost more than their bytes."""
    body = _chunks(2, _SMALL_BODY_BYTES)
    asyncio.run(_check(tmp_path, place, body, crowd.SMALL_GROWTH_BYTES))


@pytest.mark.parametrize('place', ('caller', 'control_admin'))
def test_small_chunks_in_large_bodies(
    tmp_path: pathlib.Path, place: str
) -> None:
    """Guards against a loop that is held by the chunks of many bodies."""
    body = _chunks(2, 8 * _SMALL_BODY_BYTES)
    asyncio.run(_check(tmp_path, place, body, crowd.LARGE_GROWTH_BYTES))


def test_small_chunks_with_extensions(tmp_path: pathlib.Path) -> None:
    """Guards against chunk extensions that are kept, or not bounded."""
    body = _chunks(2, _SMALL_BODY_BYTES, b';e=' + b'x' * 16)
    asyncio.run(_check(tmp_path, 'caller', body, crowd.SMALL_GROWTH_BYTES))


@pytest.mark.parametrize('place', _PLACES)
def test_large_chunks(tmp_path: pathlib.Path, place: str) -> None:
    """Guards against bodies that exceed the memory together."""
    body = _chunks(64 * 1024, _LARGE_BODY_BYTES)
    asyncio.run(_check(tmp_path, place, body, crowd.LARGE_GROWTH_BYTES))
