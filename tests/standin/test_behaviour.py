"""Announcements, cold start and misleading reports of the stand-in."""

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

_ANNOUNCED = {
    'service': 'siop',
    'slots': 3,
    'connections': 9,
    'health_path': '/health',
}


def test_announcements_follow_the_state() -> None:
    """Guards against fields a node cannot read and a drain it hears late."""

    async def scenario() -> None:
        async with tools.running_standin(service='node') as node:
            seen: list[dict[str, typing.Any]] = []
            original = node.standin._run

            async def spy(request: typing.Any) -> tuple[int, bytes]:
                assert (request.method, request.path) == ('POST', '/announce')
                seen.append(json.loads(request.body))
                return await original(request)

            node.standin._run = spy  # type: ignore[method-assign]
            # Only the start and the drain can cause an announcement.
            async with tools.running_standin(
                node_address=node.options.address,
                slots=3,
                connections=9,
                announce_s=1000.0,
                drain_min_s=0.0,
            ) as stand:
                async with asyncio.timeout(_TIMEOUT_S):
                    while len(seen) < 1:
                        await asyncio.sleep(0.005)
                    await stand.drain()
                    while len(seen) < 2:
                        await asyncio.sleep(0.005)
                port = int(stand.options.address.rpartition(':')[2])
                incarnation = stand.standin.incarnation
            assert seen == [
                {
                    **_ANNOUNCED,
                    'port': port,
                    'incarnation': incarnation,
                    'state': state,
                }
                for state in ('ready', 'draining')
            ]

    asyncio.run(scenario())


# Age of the process, slowdown, expected service time in milliseconds.
_COLD = [
    (0.0, 1.0, 30.0),
    (5.0, 1.0, 20.0),
    (10.0, 1.0, 10.0),
    (1000.0, 1.0, 10.0),
    (1000.0, 4.0, 40.0),
]


@pytest.mark.parametrize(('age_s', 'slowdown', 'expected_ms'), _COLD)
def test_cold_start_eases(
    age_s: float, slowdown: float, expected_ms: float
) -> None:
    """Guards against a cold start that jumps or never ends."""
    options = standin_options.StandinOptions(
        'siop', '127.0.0.1:1', service_ms=10.0, cold_factor=3.0, cold_s=10.0
    )
    stand = app.Standin(options, incarnation=1)
    stand.behaviour.slowdown = slowdown
    service_s = stand._draw_service_s(stand.started + age_s)
    assert service_s * 1000 == pytest.approx(expected_ms)


def test_spread_keeps_the_mean() -> None:
    """Guards against a spread that changes the capacity."""
    options = standin_options.StandinOptions(
        'siop', '127.0.0.1:1', service_ms=10.0, spread=0.5
    )
    stand = app.Standin(options, incarnation=1)
    draws = [stand._draw_service_s(clock.now()) for _ in range(20_000)]
    assert sum(draws) / len(draws) == pytest.approx(0.010, rel=0.02)


# Behaviour and running, queued as reported; truly 2 run and 4 wait.
_REPORTS = [
    ({}, 2, 4),
    ({'load_factor': 0.5}, 1, 2),
    ({'report_lag_s': 1.5}, 1, 0),
    ({'report_lag_s': 100.0}, 0, 0),
]


@pytest.mark.parametrize(('behaviour', 'running', 'queued'), _REPORTS)
def test_load_reports_can_mislead(
    behaviour: dict[str, typing.Any], running: int, queued: int
) -> None:
    """Guards against a stand-in whose lies are not told."""
    options = standin_options.StandinOptions('siop', '127.0.0.1:1', slots=2)
    stand = app.Standin(options, incarnation=1)
    for name, value in behaviour.items():
        setattr(stand.behaviour, name, value)
    now = clock.now()
    stand.samples.extend([(now - 2.0, 1, 0), (now - 0.5, 2, 1)])
    stand.slots.running = 2
    stand.slots.waiting.extend(typing.cast(typing.Any, [None] * 4))
    shown = stand._load()
    assert (shown['running'], shown['queued']) == (running, queued)


def test_health_can_lie() -> None:
    """Guards against health answers that the control page cannot set."""

    async def scenario() -> list[int]:
        async with tools.running_standin() as stand:
            address = stand.options.address
            client = http_client.Client(address, 1)
            seen = []
            stand.standin.drain()
            for health in ('true', 'fine', 'bad'):
                await tools.fetch(
                    address, 'POST', '/_standin/behaviour', {'health': health}
                )
                answer = await client.request(
                    'GET', '/health', [], b'', _TIMEOUT_S
                )
                seen.append(answer.status)
            return seen

    assert asyncio.run(scenario()) == [503, 200, 503]


def test_wrong_behaviour_is_refused() -> None:
    """Guards against a typing error that leaves a test without its fault."""

    async def scenario() -> None:
        async with tools.running_standin() as stand:
            address = stand.options.address
            before = stand.standin.behaviour
            for content in ({'fautl': 'cut'}, {'fault': 'cutt'}, [1]):
                client = http_client.Client(address, 1)
                answer = await client.request(
                    'POST',
                    '/_standin/behaviour',
                    [],
                    json.dumps(content).encode(),
                    _TIMEOUT_S,
                )
                assert answer.status == 400
            assert stand.standin.behaviour == before

    asyncio.run(scenario())
