"""Tests of the admin application: health, state dump and metrics."""

import asyncio
import collections.abc
import json
import typing

import httpx
import pytest

from godwitstall import admin
from godwitstall.http import asgi
from godwitstall.http import listener as http_listener
from godwitstall import metrics
from loadtool import addresses

_Check = collections.abc.Callable[
    [httpx.AsyncClient], collections.abc.Awaitable[None]
]


def _run(
    dump_state: admin.DumpState, is_healthy: typing.Any, check: _Check
) -> None:
    """Run a check with a client of an admin application."""

    async def main() -> None:
        address = addresses.free_address()
        app = admin.create_app(dump_state, is_healthy)
        listener = http_listener.Listener({address: asgi.handler(app)})
        await listener.start()
        try:
            async with httpx.AsyncClient(
                base_url=f'http://{address}', trust_env=False
            ) as client:
                await check(client)
        finally:
            await listener.close()

    asyncio.run(main())


def test_health() -> None:
    """Guards against a process that reports itself healthy when it is not."""
    is_healthy_now = [True]

    async def check(client: httpx.AsyncClient) -> None:
        response = await client.get('/healthz')
        assert (response.status_code, response.json()) == (
            200,
            {'healthy': True},
        )
        is_healthy_now[0] = False
        response = await client.get('/healthz')
        assert (response.status_code, response.json()) == (
            503,
            {'healthy': False},
        )

    _run(dict, lambda: is_healthy_now[0], check)


def test_state_is_read_at_each_request() -> None:
    """Guards against a cached state dump."""
    state: dict[str, typing.Any] = {'term': 1, 'leader': None}

    async def check(client: httpx.AsyncClient) -> None:
        assert (await client.get('/state')).json() == state
        state['term'] = 2
        response = await client.get('/state')
        assert response.headers['content-type'] == 'application/json'
        assert json.loads(response.content) == state

    _run(lambda: state, lambda: True, check)


def test_error_in_the_state_dump() -> None:
    """Guards against an error in the state dump that stops the listener."""

    def dump_state() -> dict[str, typing.Any]:
        raise ValueError('no state')

    async def check(client: httpx.AsyncClient) -> None:
        assert (await client.get('/state')).status_code == 500
        assert (await client.get('/healthz')).status_code == 200

    _run(dump_state, lambda: True, check)


def test_metrics() -> None:
    """Guards against output that Prometheus cannot parse."""
    counter = metrics.counter('test_admin_total', 'Counted by a test.')
    counter.inc(3, workspace='a"b\\c')
    gauge = metrics.gauge('test_admin_level', 'Set by a test.')
    gauge.set(0.5)

    async def check(client: httpx.AsyncClient) -> None:
        response = await client.get('/metrics')
        assert response.status_code == 200
        assert response.headers['content-type'].startswith('text/plain')
        lines = response.text.splitlines()
        assert '# TYPE godwitstall_test_admin_total counter' in lines
        line = r'godwitstall_test_admin_total{workspace="a\"b\\c"} 3.0'
        assert line in lines
        assert '# TYPE godwitstall_test_admin_level gauge' in lines
        assert 'godwitstall_test_admin_level 0.5' in lines

    _run(dict, lambda: True, check)


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
    """Guards against undocumented endpoints and methods."""

    async def check(client: httpx.AsyncClient) -> None:
        response = await client.request(method, path)
        assert response.status_code == status

    _run(dict, lambda: True, check)
