"""Crowds of connections that send nothing, more of them than descriptors."""

import asyncio
import pathlib

import pytest

from tests.crowds import crowd

_CLIENTS = 600


async def _send_nothing(writer: asyncio.StreamWriter) -> None:
    """Keep the connection open."""


async def _send_part(writer: asyncio.StreamWriter) -> None:
    writer.write(b'GET /siop')
    await writer.drain()


async def _check(folder: pathlib.Path, place: str, send: crowd.Send) -> None:
    async with crowd.System(folder) as system:
        async with crowd.Crowd(
            system.address(place), _CLIENTS, send
        ) as clients:
            await clients.settle()
            await system.check(crowd.SMALL_GROWTH_BYTES)
            # Connections of the system's own processes are still possible.
            await system.fleet.wait_for_members(1)


@pytest.mark.parametrize(
    'place',
    ('caller', 'upstream', 'admin', 'link', 'control_admin', 'control_link'),
)
def test_silent_connections(tmp_path: pathlib.Path, place: str) -> None:
    """Guards against a process without a descriptor for its own work."""
    asyncio.run(_check(tmp_path, place, _send_nothing))


def test_half_read_requests(tmp_path: pathlib.Path) -> None:
    """Guards against descriptors that half-read requests keep."""
    asyncio.run(_check(tmp_path, 'caller', _send_part))
