"""Crowds of clients that ask for much and read slowly or nothing."""

import asyncio
import pathlib

import pytest

from tests.crowds import crowd

_CLIENTS = 64
_PIPELINED = 32


def _sends(path: bytes) -> crowd.Send:
    async def send(writer: asyncio.StreamWriter) -> None:
        request = b'GET %s HTTP/1.1\r\nhost: a\r\n\r\n' % path
        writer.write(request * _PIPELINED)
        await writer.drain()

    return send


async def _check(
    folder: pathlib.Path, place: str, path: bytes, reads: bool
) -> None:
    async with crowd.System(folder) as system:
        async with crowd.Crowd(
            system.address(place), _CLIENTS, _sends(path), reads
        ) as clients:
            if not reads:
                await clients.settle()
            await system.check(crowd.LARGE_GROWTH_BYTES)


@pytest.mark.parametrize('reads', (False, True))
def test_pipelined_answers(tmp_path: pathlib.Path, reads: bool) -> None:
    """Guards against answers that exceed the memory until they are read."""
    asyncio.run(_check(tmp_path, 'caller', b'/siop/1', reads))


@pytest.mark.parametrize('place', ('admin', 'control_admin'))
def test_pipelined_metrics(tmp_path: pathlib.Path, place: str) -> None:
    """Guards against unread answers at the addresses of operators."""
    asyncio.run(_check(tmp_path, place, b'/metrics', False))
