"""The admin listener: health, state and metrics of a process."""

import asyncio
import collections.abc
import json
import typing

import httpx
import pytest

from godwitstall import admin
from godwitstall import http_server
from godwitstall import metrics
from loadtool import addresses

_Test = collections.abc.Callable[
    [httpx.AsyncClient], collections.abc.Awaitable[None]
]


def _run(dump: admin.DumpState, is_healthy: typing.Any, test: _Test) -> None:
    """Run a test with a client of an admin listener."""

    async def main() -> None:
        address = addresses.free_address()
        server = http_server.HttpServer(
            {address: admin.create_app(dump, is_healthy)}
        )
        await server.start()
        try:
            async with httpx.AsyncClient(
                base_url=f'http://{address}', trust_env=False
            ) as client:
                await test(client)
        finally:
            await server.stop(1.0)

    asyncio.run(main())


def test_health() -> None:
    """Guards against a process that looks well while it refuses work."""
    states = [True]

    async def test(client: httpx.AsyncClient) -> None:
        answer = await client.get('/healthz')
        assert (answer.status_code, answer.json()) == (200, {'healthy': True})
        states[0] = False
        answer = await client.get('/healthz')
        assert (answer.status_code, answer.json()) == (503, {'healthy': False})

    _run(dict, lambda: states[0], test)


def test_state_is_read_at_each_request() -> None:
    """Guards against a dump that is older than the request."""
    state: dict[str, typing.Any] = {'term': 1, 'leader': None}

    async def test(client: httpx.AsyncClient) -> None:
        assert (await client.get('/state')).json() == state
        state['term'] = 2
        answer = await client.get('/state')
        assert answer.headers['content-type'] == 'application/json'
        assert json.loads(answer.content) == state

    _run(lambda: state, lambda: True, test)


def test_state_that_fails() -> None:
    """Guards against a dump error that ends the listener."""

    def dump() -> dict[str, typing.Any]:
        raise ValueError('no state')

    async def test(client: httpx.AsyncClient) -> None:
        assert (await client.get('/state')).status_code == 500
        assert (await client.get('/healthz')).status_code == 200

    _run(dump, lambda: True, test)


def test_metrics() -> None:
    """Guards against a text that monitoring cannot read."""
    counter = metrics.counter('test_admin_total', 'Counted by a test.')
    counter.inc(3, workspace='a"b\\c')
    gauge = metrics.gauge('test_admin_level', 'Set by a test.')
    gauge.set(0.5)

    async def test(client: httpx.AsyncClient) -> None:
        answer = await client.get('/metrics')
        assert answer.status_code == 200
        assert answer.headers['content-type'].startswith('text/plain')
        lines = answer.text.splitlines()
        assert '# TYPE godwitstall_test_admin_total counter' in lines
        line = r'godwitstall_test_admin_total{workspace="a\"b\\c"} 3.0'
        assert line in lines
        assert '# TYPE godwitstall_test_admin_level gauge' in lines
        assert 'godwitstall_test_admin_level 0.5' in lines

    _run(dict, lambda: True, test)


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        ('GET', '/', 404),
        ('GET', '/state/x', 404),
        ('GET', '/schema', 404),
        ('POST', '/state', 405),
        ('DELETE', '/metrics', 405),
    ],
)
def test_other_requests(method: str, path: str, status: int) -> None:
    """Guards against an endpoint that nobody knows of."""

    async def test(client: httpx.AsyncClient) -> None:
        answer = await client.request(method, path)
        assert answer.status_code == status

    _run(dict, lambda: True, test)
