"""Onward calls and announcements go through the node as the design says."""

import asyncio
import typing

from loadtool import http_client
from standin import options as standin_options
from tests import tools

_TIMEOUT_S = 20.0


def test_onward_calls_carry_context_and_deadline() -> None:
    """Guards against chains that lose their context or their answers."""

    async def scenario() -> None:
        async with tools.running_standin(service='stordy') as inner:
            seen: list[dict[str, str]] = []
            original = inner.standin._run

            async def spy(request: typing.Any) -> tuple[int, bytes]:
                seen.append(request.headers)
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
                answer = await client.request(
                    'GET',
                    '/order',
                    [
                        ('Godwitstall-Context', 'c1'),
                        ('Godwitstall-Deadline-Ms', '15000'),
                    ],
                    b'',
                    _TIMEOUT_S,
                )
                assert answer.status == 200
                runs = inner.standin.oracle.runs
                calls = [run for run in runs if run.path != '/announce']
                assert [run.path.partition('?')[0] for run in calls] == [
                    '/stock',
                    '/price',
                ]
                chained = [
                    headers
                    for headers in seen
                    if 'godwitstall-context' in headers
                ]
                assert len(chained) == 2
                for headers in chained:
                    assert headers['godwitstall-context'] == 'c1'
                    left_ms = int(headers['godwitstall-deadline-ms'])
                    assert 0 < left_ms <= 15_000

    asyncio.run(scenario())


def test_failed_onward_call_shows_in_the_answer() -> None:
    """Guards against a chain that hides a failure behind status 200."""

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
                answer = await client.request(
                    'GET', '/order', [], b'', _TIMEOUT_S
                )
                assert answer.status == 502

    asyncio.run(scenario())
