"""Onward calls of the stand-in."""

import asyncio
import typing

from loadtool import http_client
from standin import options as standin_options
from tests import tools

_TIMEOUT_S = 20.0


def test_onward_calls_carry_context_and_deadline() -> None:
    """Guards against onward calls without the context or the deadline."""

    async def scenario() -> None:
        async with tools.running_standin(service='stordy') as inner:
            received: list[dict[str, str]] = []
            original = inner.standin._run

            async def spy(request: typing.Any) -> tuple[int, bytes]:
                received.append(request.headers)
                return await original(request)

            inner.standin._run = spy  # type: ignore[method-assign]
            async with tools.running_standin(
                node_address=inner.options.address,
                onward=[
                    standin_options.OnwardCall('/stock'),
                    standin_options.OnwardCall('/price'),
                ],
            ) as outer:
                client = http_client.Client(outer.options.address, 1)
                response = await client.request(
                    'GET',
                    '/order',
                    [
                        ('Godwitstall-Context', 'c1'),
                        ('Godwitstall-Deadline-Ms', '15000'),
                    ],
                    b'',
                    _TIMEOUT_S,
                )
                assert response.status == 200
                runs = inner.standin.oracle.runs
                calls = [run for run in runs if run.path != '/announce']
                assert [run.path.partition('?')[0] for run in calls] == [
                    '/stock',
                    '/price',
                ]
                onward_headers = [
                    headers
                    for headers in received
                    if 'godwitstall-context' in headers
                ]
                assert len(onward_headers) == 2
                for headers in onward_headers:
                    assert headers['godwitstall-context'] == 'c1'
                    remaining_ms = int(headers['godwitstall-deadline-ms'])
                    assert 0 < remaining_ms <= 15_000

    asyncio.run(scenario())


def test_failed_onward_call_shows_in_the_answer() -> None:
    """Guards against a failed onward call that is reported as status 200."""

    async def scenario() -> None:
        async with tools.running_standin(service='stordy') as inner:
            await tools.fetch(
                inner.options.address,
                'POST',
                '/_standin/behaviour',
                {'fault': 'cut'},
            )
            async with tools.running_standin(
                node_address=inner.options.address,
                onward=[standin_options.OnwardCall('/stock')],
            ) as outer:
                client = http_client.Client(outer.options.address, 1)
                response = await client.request(
                    'GET', '/order', [], b'', _TIMEOUT_S
                )
                assert response.status == 502

    asyncio.run(scenario())
