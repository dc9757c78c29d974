"""Crowds of clients that no page binds, on machines of the platform.

Each crowd stays connected while the processes are checked.
"""

import asyncio
import collections.abc
import pathlib

import pytest

from tests.crowds import crowd
from tests.crowds import machines as machines_module

_CLIENTS = 64
_MANY_CLIENTS = 256

# Bytes of a body that stops short of its end, inside the limits.
_SHORT_BYTES = 8_000_000
_TINY_BYTES = 128 * 1024
# Bytes that a client sends of a body over the limit, if it is not refused.
_ENDLESS_BYTES = 96 * 1024 * 1024
_FAR_OVER_LIMIT_BYTES = 1024 * 1024 * 1024

_UPLOAD_BYTES = 8_380_000
_DOWNLOAD_BYTES = 4_000_000
_PIPELINED = 8

# The upstream reads 1.3 MB a second of each upload.
_SLOW_PAUSE_S = 0.05

_SLOW_READ_BYTES = 1024
_SLOW_READ_PAUSE_S = 0.5

# The kernel keeps little for a client that reads slowly.
_RECEIVE_BUFFER_BYTES = 64 * 1024

_CHUNKED = 'transfer-encoding: chunked'

# Every address at which a client can reach a process, by machine and port.
_PLACES = (
    'front.outbound',
    'back.outbound',
    'front.controlPlane',
    'front.ready',
    'front.metrics',
    'control.controlPlane',
    'control.metrics',
)
_CALLER_PLACES = ('front.outbound', 'back.outbound')

_Parts = collections.abc.Iterator[bytes]


def _large_chunks() -> _Parts:
    yield machines_module.head('POST', '/put/x', _CHUNKED)
    for part in machines_module.blocks(_SHORT_BYTES):
        yield b'%x\r\n%s\r\n' % (len(part), part)


def _tiny_chunks() -> _Parts:
    yield machines_module.head('POST', '/put/x', _CHUNKED)
    for _ in range(_TINY_BYTES // 4096):
        yield b'1\r\nx\r\n' * 4096


def _endless_chunks() -> _Parts:
    yield machines_module.head('POST', '/put/x', _CHUNKED)
    for part in machines_module.blocks(_ENDLESS_BYTES):
        yield b'%x\r\n%s\r\n' % (len(part), part)


def _announced_short() -> _Parts:
    size = machines_module.MAX_BODY_BYTES
    yield machines_module.head('POST', '/put/x', f'content-length: {size}')
    yield from machines_module.blocks(size - 1)


def _announced_over_limit() -> _Parts:
    size = _FAR_OVER_LIMIT_BYTES
    yield machines_module.head('POST', '/put/x', f'content-length: {size}')
    yield from machines_module.blocks(_ENDLESS_BYTES)


def _upload() -> _Parts:
    size = _UPLOAD_BYTES
    yield machines_module.head('POST', '/put/x', f'content-length: {size}')
    yield from machines_module.blocks(size)


def _downloads() -> _Parts:
    request = machines_module.head('GET', f'/get/{_DOWNLOAD_BYTES}')
    yield request * _PIPELINED


_BODIES = {
    'large_chunks': _large_chunks,
    'tiny_chunks': _tiny_chunks,
    'endless_chunks': _endless_chunks,
    'announced_short': _announced_short,
    'announced_over_limit': _announced_over_limit,
}


def _sends(parts: collections.abc.Callable[[], _Parts]) -> crowd.Send:
    async def send(writer: asyncio.StreamWriter) -> None:
        for part in parts():
            writer.write(part)
            await writer.drain()

    return send


async def _check(
    folder: pathlib.Path,
    place: str,
    parts: collections.abc.Callable[[], _Parts],
    clients: int,
    read_pause_s: float = 0.0,
    client_read_pause_s: float | None = None,
) -> None:
    async with machines_module.Machines(folder) as machines:
        machines.upstream.read_pause_s = read_pause_s
        members = crowd.Crowd(
            machines.place(place),
            clients,
            _sends(parts),
            reads=client_read_pause_s is not None,
        )
        if parts is _downloads:
            members.receive_buffer_bytes = _RECEIVE_BUFFER_BYTES
        members.read_bytes = _SLOW_READ_BYTES
        members.read_pause_s = client_read_pause_s or 0.0
        async with members:
            await members.settle(machines_module.SETTLE_S)
            await machines.check_ordinary_request()
            machines.check_processes()


@pytest.mark.parametrize('kind', _BODIES)
@pytest.mark.parametrize('place', _PLACES)
def test_bodies(tmp_path: pathlib.Path, place: str, kind: str) -> None:
    """Guards against bodies that exceed the memory of a machine together."""
    asyncio.run(_check(tmp_path, place, _BODIES[kind], _CLIENTS))


@pytest.mark.parametrize('kind', ('large_chunks', 'tiny_chunks'))
def test_many_bodies(tmp_path: pathlib.Path, kind: str) -> None:
    """Guards against a cost of each client that adds up."""
    asyncio.run(
        _check(tmp_path, 'front.outbound', _BODIES[kind], _MANY_CLIENTS)
    )


@pytest.mark.parametrize('clients', (24, _CLIENTS))
@pytest.mark.parametrize('place', _CALLER_PLACES)
def test_uploads_to_a_slow_upstream(
    tmp_path: pathlib.Path, place: str, clients: int
) -> None:
    """Guards against bodies that wait for the upstream in several copies."""
    asyncio.run(_check(tmp_path, place, _upload, clients, _SLOW_PAUSE_S))


@pytest.mark.parametrize('clients', (_CLIENTS, _MANY_CLIENTS))
@pytest.mark.parametrize('place', _CALLER_PLACES)
def test_answers_read_slowly(
    tmp_path: pathlib.Path, place: str, clients: int
) -> None:
    """Guards against answers that exceed the memory until they are read."""
    asyncio.run(
        _check(
            tmp_path,
            place,
            _downloads,
            clients,
            client_read_pause_s=_SLOW_READ_PAUSE_S,
        )
    )


@pytest.mark.parametrize('place', _CALLER_PLACES)
def test_answers_never_read(tmp_path: pathlib.Path, place: str) -> None:
    """Guards against answers that wait for clients which read nothing."""
    asyncio.run(_check(tmp_path, place, _downloads, _CLIENTS))
