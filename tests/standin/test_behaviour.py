"""Announcements, cold start and incorrect reports of the stand-in."""

import asyncio
import json
import typing

import pytest

from godwitstall import clock
from loadtool import http_client
from standin import app
from standin import options as standin_options
from tests import tools

_TIMEOUT_S = 20.0

_ANNOUNCEMENT = {
    'service': 'siop',
    'slots': 3,
    'connections': 9,
    'health_path': '/health',
}


def test_announcements_follow_the_state() -> None:
    """Guards against malformed announcements and a late draining state."""

    async def scenario() -> None:
        async with tools.running_standin(service='node') as node:
            received: list[dict[str, typing.Any]] = []
            original = node.standin._run

            async def spy(request: typing.Any) -> tuple[int, bytes]:
                assert (request.method, request.path) == ('POST', '/announce')
                received.append(json.loads(request.body))
                return await original(request)

            node.standin._run = spy  # type: ignore[method-assign]
            # The interval leaves only the announcements of start and drain.
            async with tools.running_standin(
                node_address=node.options.address,
                slots=3,
                connections=9,
                announce_s=1000.0,
                drain_min_s=0.0,
            ) as program:
                async with asyncio.timeout(_TIMEOUT_S):
                    while len(received) < 1:
                        await asyncio.sleep(0.005)
                    await program.drain()
                    while len(received) < 2:
                        await asyncio.sleep(0.005)
                port = int(program.options.address.rpartition(':')[2])
                incarnation = program.standin.incarnation
            assert received == [
                {
                    **_ANNOUNCEMENT,
                    'port': port,
                    'incarnation': incarnation,
                    'state': state,
                }
                for state in ('ready', 'draining')
            ]

    asyncio.run(scenario())


# Age of the process in seconds, slowdown and expected service time in
# milliseconds.
_COLD_STARTS = [
    (0.0, 1.0, 30.0),
    (5.0, 1.0, 20.0),
    (10.0, 1.0, 10.0),
    (1000.0, 1.0, 10.0),
    (1000.0, 4.0, 40.0),
]


@pytest.mark.parametrize(('age_s', 'slowdown', 'expected_ms'), _COLD_STARTS)
def test_cold_start_eases(
    age_s: float, slowdown: float, expected_ms: float
) -> None:
    """Guards against a cold start factor that jumps or never reaches 1."""
    options = standin_options.StandinOptions(
        'siop', '127.0.0.1:1', service_ms=10.0, cold_factor=3.0, cold_s=10.0
    )
    standin = app.Standin(options, incarnation=1)
    standin.behaviour.slowdown = slowdown
    service_s = standin._draw_service_s(standin.started_at + age_s)
    assert service_s * 1000 == pytest.approx(expected_ms)


def test_spread_keeps_the_mean() -> None:
    """Guards against a spread that changes the mean service time."""
    options = standin_options.StandinOptions(
        'siop', '127.0.0.1:1', service_ms=10.0, spread=0.5
    )
    standin = app.Standin(options, incarnation=1)
    samples = [standin._draw_service_s(clock.now()) for _ in range(20_000)]
    assert sum(samples) / len(samples) == pytest.approx(0.010, rel=0.02)


# Behaviour, reported running and reported queued; the actual numbers are 2
# and 4.
_LOAD_REPORTS = [
    ({}, 2, 4),
    ({'load_factor': 0.5}, 1, 2),
    ({'report_lag_s': 1.5}, 1, 0),
    ({'report_lag_s': 100.0}, 0, 0),
]


@pytest.mark.parametrize(('behaviour', 'running', 'queued'), _LOAD_REPORTS)
def test_load_reports_follow_the_behaviour(
    behaviour: dict[str, typing.Any], running: int, queued: int
) -> None:
    """Guards against options for incorrect reports that have no effect."""
    options = standin_options.StandinOptions('siop', '127.0.0.1:1', slots=2)
    standin = app.Standin(options, incarnation=1)
    for name, value in behaviour.items():
        setattr(standin.behaviour, name, value)
    now = clock.now()
    standin.samples.extend([(now - 2.0, 1, 0), (now - 0.5, 2, 1)])
    standin.slots.running = 2
    standin.slots.waiters.extend(typing.cast(typing.Any, [None] * 4))
    report = standin._reported_load()
    assert (report['running'], report['queued']) == (running, queued)


def test_health_follows_the_behaviour() -> None:
    """Guards against a health behaviour that has no effect."""

    async def scenario() -> list[int]:
        async with tools.running_standin() as program:
            address = program.options.address
            client = http_client.Client(address, 1)
            statuses = []
            program.standin.drain()
            for health in ('true', 'fine', 'bad'):
                await tools.fetch(
                    address, 'POST', '/_standin/behaviour', {'health': health}
                )
                response = await client.request(
                    'GET', '/health', [], b'', _TIMEOUT_S
                )
                statuses.append(response.status)
            return statuses

    assert asyncio.run(scenario()) == [503, 200, 503]


def test_wrong_behaviour_is_refused() -> None:
    """Guards against a typo that silently leaves a test without its fault."""

    async def scenario() -> None:
        async with tools.running_standin() as program:
            address = program.options.address
            before = program.standin.behaviour
            for content in ({'fautl': 'cut'}, {'fault': 'cutt'}, [1]):
                client = http_client.Client(address, 1)
                response = await client.request(
                    'POST',
                    '/_standin/behaviour',
                    [],
                    json.dumps(content).encode(),
                    _TIMEOUT_S,
                )
                assert response.status == 400
            assert program.standin.behaviour == before

    asyncio.run(scenario())


def test_responses_describe_the_upstream() -> None:
    """Guards against a stand-in that cannot play a limit or a leave."""

    async def scenario() -> None:
        async with tools.running_standin() as program:
            client = http_client.Client(program.options.address, 1)
            response = await client.request('GET', '/a', [], b'', _TIMEOUT_S)
            assert 'godwitstall-rate-limit' not in response.headers
            assert 'godwitstall-leaving' not in response.headers
            program.standin.behaviour.rate_limit = 2.5
            program.standin.behaviour.says_leaving = True
            response = await client.request('GET', '/a', [], b'', _TIMEOUT_S)
            assert response.headers['godwitstall-rate-limit'] == '2.5'
            assert response.headers['godwitstall-leaving'] == '1'
            client.close()

    asyncio.run(scenario())
