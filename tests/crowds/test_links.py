"""Crowds of peers that speak the protocol of the system's processes."""

import asyncio
import pathlib

import pytest

from godwitstall import codec
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import messages
from tests.crowds import crowd

_PEERS = 24

# A frame that announces the longest length and stops before its end.
_HALF_FRAME = codec.MAX_FRAME_BYTES.to_bytes(4, 'big') + bytes(
    codec.MAX_FRAME_BYTES // 2
)

_CALLS = 24
_CALL_BODY_BYTES = 512 * 1024


async def _open_links(
    system: crowd.System, place: str
) -> list[link_module.Link]:
    secret = system.fleet.secret
    links = []
    for number in range(_PEERS):
        identity = link_module.Identity(
            messages.Role.NODE, f'crowd-{number}', secret
        )
        links.append(
            await link_module.connect(system.address(place), identity, 10.0)
        )
    return links


async def _write(link: link_module.Link, data: bytes) -> None:
    try:
        link.writer.write(data)
        await link.writer.drain()
    except OSError:
        # The process has closed the link.
        pass


@pytest.mark.parametrize('place', ('link', 'control_link'))
def test_half_frames(tmp_path: pathlib.Path, place: str) -> None:
    """Guards against frames that exceed the memory together."""

    async def run() -> None:
        async with crowd.System(tmp_path) as system:
            links = await _open_links(system, place)
            await asyncio.wait(
                [
                    asyncio.create_task(_write(link, _HALF_FRAME))
                    for link in links
                ],
                timeout=20.0,
            )
            await system.check(crowd.LARGE_GROWTH_BYTES)
            for link in links:
                link.abort()

    asyncio.run(run())


def test_calls_with_bodies(tmp_path: pathlib.Path) -> None:
    """Guards against queued calls of peers that exceed the memory."""

    async def run() -> None:
        async with crowd.System(tmp_path) as system:
            links = await _open_links(system, 'link')
            for link in links:
                for number in range(_CALLS):
                    call = messages.Call(
                        call_id=number + 1,
                        service=messages.ServiceName('siop'),
                        method='POST',
                        path='/siop/1',
                        body=bytes(_CALL_BODY_BYTES),
                        route_name='siop',
                        deadline_ms=60_000,
                        attempts=1,
                        is_idempotent=True,
                    )
                    try:
                        link.send(call)
                    except errors.LinkError:
                        break
            await asyncio.wait(
                [asyncio.create_task(_write(link, b'')) for link in links],
                timeout=20.0,
            )
            await system.check(crowd.LARGE_GROWTH_BYTES)
            for link in links:
                link.abort()

    asyncio.run(run())
