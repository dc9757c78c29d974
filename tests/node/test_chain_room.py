"""A gateway node that admits new chains by the room of services below.

The node runs over real sockets, beside an upstream that answers at once and
makes onward calls through the node on one of its paths.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import os
import random
import typing

import pytest

from godwitstall import clock
from godwitstall import decisions
from godwitstall.http import messages as http_messages
from godwitstall import messages
from godwitstall.node import gateway_node
from godwitstall.node.upstreams import announcements
from godwitstall import settings
from loadtool import addresses
from tests import gateways
from tests.listener import connections

_HOST = 'a.example'
_SERVICE = messages.ServiceName('siop')
_DEEP = messages.ServiceName('depots')
_TIMEOUT_S = 10.0


class _Draw(random.Random):
    """A source that always draws the same number."""

    def __init__(self, value: float) -> None:
        super().__init__()
        self.value = value

    def random(self) -> float:
        return self.value


async def _answer(
    request: http_messages.Request,
) -> http_messages.Response:
    attempt_id = gateways.DIALECT.attempt_id
    return http_messages.Response(
        200,
        [
            (attempt_id, request.header(attempt_id)),
            (gateways.DIALECT.signature, b's'),
        ],
        b'done',
    )


def _make_node(
    upstream_address: str, *, admits_by_room: bool
) -> gateway_node.GatewayNode:
    options = dataclasses.replace(
        gateways.make_options('n1', _SERVICE),
        link_address=addresses.free_address(),
        caller_address=addresses.free_address(),
        upstream_address=upstream_address,
        limit_policy=settings.LimitPolicy.FIXED,
        warmup_s=0.0,
        admits_by_chain_room=admits_by_room,
    )
    fleet = settings.FleetOptions(
        'tests', seeds=[addresses.free_address()], is_without_secret=True
    )
    node = gateway_node.GatewayNode.from_config(
        options, fleet, gateways.DIALECT
    )
    _, _, port = upstream_address.rpartition(':')
    node.upstream.on_announcement(
        announcements.Announcement(
            options.service, 1, int(port), 9, 9, instance_id='i-1'
        ),
        clock.now(),
    )
    return node


def _publish(node: gateway_node.GatewayNode) -> None:
    """Give the node routes of two priorities, and itself as a member."""
    node.view.apply(
        messages.StateUpdate(
            1,
            True,
            configuration=messages.Configuration(
                number=1,
                routes=[
                    _make_route('pay', messages.Priority.PAYMENT),
                    _make_route('read', messages.Priority.NORMAL),
                    _make_route('gone', messages.Priority.NORMAL, _DEEP),
                ],
            ),
            members=[
                messages.Member(
                    node_id=node.options.node_id,
                    incarnation=1,
                    service=node.options.service,
                    zone='z1',
                    region='r1',
                    address=node.options.link_address,
                    state=messages.UpstreamState.READY,
                    slots=9,
                    upstream_incarnation=1,
                )
            ],
        )
    )


def _make_route(
    name: str,
    priority: messages.Priority,
    service: messages.ServiceName = _SERVICE,
) -> messages.Route:
    return messages.Route(
        name,
        f'/{name}/',
        host=_HOST,
        service=service,
        priority=priority,
        is_open=True,
        is_idempotent=False,
        attempts=2,
        timeout_ms=2000,
    )


@contextlib.asynccontextmanager
async def _running_node(
    *, admits_by_room: bool
) -> collections.abc.AsyncIterator[gateway_node.GatewayNode]:
    async with connections.listening(_answer) as (_, upstream_address):
        node = _make_node(upstream_address, admits_by_room=admits_by_room)
        await node.start()
        _publish(node)
        try:
            yield node
        finally:
            node.stop_requested.set()
            await node.listener.close_gracefully(0.1)
            await node.stop_components()


async def _get(
    node: gateway_node.GatewayNode, target: str, request_id: str = 'r1'
) -> http_messages.Response:
    async with asyncio.timeout(_TIMEOUT_S):
        return await node.gateway.serve(
            http_messages.Request(
                'GET',
                target,
                [
                    (b'host', _HOST.encode()),
                    (gateways.DIALECT.attempt_id, request_id.encode()),
                ],
                b'',
                received_at=clock.now(),
            )
        )


def _tell_no_room(node: gateway_node.GatewayNode) -> None:
    """Store a mark: depots, which reads need, has room for level 0 only."""
    node.rooms.on_answer(
        'read',
        _SERVICE,
        [messages.ServiceRoom(_DEEP, 1.0, 120, 8.0)],
        clock.now(),
    )
    # Every request that is not certainly admitted is refused.
    node.chain_admission.random = _Draw(0.999)


def _run(
    test: collections.abc.Callable[
        [gateway_node.GatewayNode], collections.abc.Awaitable[None]
    ],
    *,
    admits_by_room: bool = True,
) -> None:
    async def run() -> None:
        async with _running_node(admits_by_room=admits_by_room) as node:
            await test(node)

    asyncio.run(run())


def test_a_chain_without_room_is_refused_before_it_runs() -> None:
    """Guards against a chain that runs here and fails further down."""

    async def check(node: gateway_node.GatewayNode) -> None:
        assert (await _get(node, '/read/1')).status == 200
        _tell_no_room(node)
        response = await _get(node, '/read/2')
        assert response.status == 503
        body = json.loads(response.body)
        assert body['error'] == 'chain_overloaded'
        assert body['outcome'] == 'not-run'
        pairs = dict(response.headers)
        assert 0.4 < float(pairs[gateways.DIALECT.retry_after]) < 13

    _run(check)


def test_the_highest_rank_passes() -> None:
    """Guards against a high rank refused for the shortage of a low one."""

    async def check(node: gateway_node.GatewayNode) -> None:
        _tell_no_room(node)
        assert (await _get(node, '/pay/1')).status == 200

    _run(check)


def test_switched_off_nothing_is_refused_or_measured() -> None:
    """Guards against a switch that leaves a part of the change on."""

    async def check(node: gateway_node.GatewayNode) -> None:
        _tell_no_room(node)
        for n in range(40):
            assert (await _get(node, f'/read/{n}', f'r{n}')).status == 200
        assert not node.owner.room.meter.mean_held_s
        assert list(node.rooms.marks) == [_DEEP]
        assert node.dump()['chain_admission']['is_enabled'] is False

    _run(check, admits_by_room=False)


def test_answers_tell_the_room_of_the_own_service() -> None:
    """Guards against owners whose marks never reach a sender."""

    async def check(node: gateway_node.GatewayNode) -> None:
        node.owner.room.random = _Draw(0.0)
        assert (await _get(node, '/read/1')).status == 200
        assert list(node.rooms.marks) == [_SERVICE]
        state = node.dump()
        assert state['chain_admission']['is_enabled'] is True
        assert state['chain_admission']['marks'][_SERVICE]['version'] == 1
        assert state['owner']['room']['mark'] > 0

    _run(check)


def test_the_refused_line_names_the_decision() -> None:
    """Guards against a refusal of which no line tells the reason."""
    lines: list[dict[str, typing.Any]] = []

    async def check(node: gateway_node.GatewayNode) -> None:
        _tell_no_room(node)
        reader, writer = os.pipe()
        try:
            decisions.open_output(writer)
            await _get(node, '/read/2', 'r2')
        finally:
            decisions.close_output()
            os.close(writer)
            data = os.read(reader, 100_000)
            os.close(reader)
        lines.extend(json.loads(line) for line in data.splitlines())

    _run(check)
    line = next(line for line in lines if line['event'] == 'refused')
    assert line['request'] == 'r2'
    assert line['decided_by'] == 'chain_room'
    assert line['room_service'] == _DEEP
    assert line['room_level'] == 1
    assert 120 <= line['room_age_ms'] < 2000
    assert line['room_version'] == 1
    assert line['fan_out'] == 8
    assert line['request_level'] == messages.Priority.NORMAL.value
    assert line['level_share'] == pytest.approx(0.1)
    assert line['retry_after_ms'] > 0


def test_a_service_without_members_has_no_room() -> None:
    """Guards against chains begun for a service that is gone."""

    async def check(node: gateway_node.GatewayNode) -> None:
        assert (await _get(node, '/gone/1')).status == 503
        assert node.rooms.marks[_DEEP].level == 0

    _run(check)


@pytest.mark.parametrize('admits_by_room', [False, True])
def test_the_throttle_acts_only_without_the_room(
    admits_by_room: bool,
) -> None:
    """Guards against chains that two parts refuse for the same reason.

    Every chain of the route has failed in an onward call.
    """

    async def check(node: gateway_node.GatewayNode) -> None:
        owner = node.owner
        for _ in range(100):
            owner.throttle.admits('read', 0.0, clock.now())
            owner.throttle.on_end('read', False, clock.now())
        owner.random = _Draw(0.999)
        status = (await _get(node, '/read/1')).status
        assert status == (200 if admits_by_room else 503)

    _run(check, admits_by_room=admits_by_room)


def test_refused_callers_come_back_at_different_times() -> None:
    """Guards against callers that are refused and return together."""

    async def check(node: gateway_node.GatewayNode) -> None:
        admission = node.chain_admission
        times = [admission.retry_after_ms(0.5, n / 100) for n in range(100)]
        assert max(times) > 3 * min(times)
        assert times[50] == 2000
        assert admission.retry_after_ms(1e-9, 0.5) == 8000

    _run(check)
