"""A single large request or answer inside the limits, in calm."""

import asyncio
import collections.abc
import pathlib

import pytest

from tests.crowds import machines as machines_module

# Bytes; the last is the limit of the configuration.
_SIZES = (9_000_000, 20_000_000, 60_000_000, machines_module.MAX_BODY_BYTES)


def _announced(size: int) -> collections.abc.Iterator[bytes]:
    yield machines_module.head('POST', '/put/x', f'content-length: {size}')
    yield from machines_module.blocks(size)


def _chunked(size: int) -> collections.abc.Iterator[bytes]:
    yield machines_module.head('POST', '/put/x', 'transfer-encoding: chunked')
    for part in machines_module.blocks(size):
        yield b'%x\r\n%s\r\n' % (len(part), part)
    yield b'0\r\n\r\n'


@pytest.mark.parametrize('place', ('front', 'back'))
@pytest.mark.parametrize('framing', (_announced, _chunked))
def test_large_requests(
    tmp_path: pathlib.Path,
    place: str,
    framing: collections.abc.Callable[[int], collections.abc.Iterator[bytes]],
) -> None:
    """Guards against a body inside the limits that is refused in calm."""

    async def run() -> None:
        async with machines_module.Machines(tmp_path) as machines:
            for size in _SIZES:
                answer = await machines.exchange(
                    getattr(machines, place), framing(size)
                )
                assert answer.status == 200, (size, answer)
                expected = machines_module.digest_of(size).encode()
                assert answer.start == expected
            await machines.check_ordinary_request()
            machines.check_processes()

    asyncio.run(run())


@pytest.mark.parametrize('place', ('front', 'back'))
@pytest.mark.parametrize('sends_chunks', (False, True))
def test_large_answers(
    tmp_path: pathlib.Path, place: str, sends_chunks: bool
) -> None:
    """Guards against an answer that runs and does not reach its caller."""

    async def run() -> None:
        async with machines_module.Machines(tmp_path) as machines:
            machines.upstream.sends_chunks = sends_chunks
            for size in _SIZES:
                request = machines_module.head('GET', f'/get/{size}')
                answer = await machines.exchange(
                    getattr(machines, place), [request]
                )
                assert answer.status == 200, (size, answer)
                assert answer.digest == machines_module.digest_of(size)
            await machines.check_ordinary_request()
            machines.check_processes()

    asyncio.run(run())
