"""Heartbeats and deregistrations of an upstream at its node."""

import asyncio
import json
import typing

from adapter import names
from adapter import node as node_adapter
import pytest

from godwitstall import http_listener
from godwitstall import messages
from tests import gateways

_READY = messages.UpstreamState.READY
_DRAINING = messages.UpstreamState.DRAINING


class _Harness:
    """Calls the instance endpoint of a node that is not started."""

    def __init__(self) -> None:
        self.node = gateways.make_node('siop', names.DIALECT)
        self.adapter = node_adapter.NodeApi(self.node)

    def call(self, target: str, body: bytes = b'') -> int:
        request = http_listener.Request('POST', target, [], body, 0.0)
        return asyncio.run(self.adapter.serve_call(request)).status

    def heartbeat(self, instance_id: str, **changes: typing.Any) -> int:
        content = {
            'service': 'siop',
            'address': '127.0.0.1:9000',
            'zone': 'z1',
            'version': 'v1',
            'concurrency': 87,
            'state': 'ready',
            'coldRemaining': '0ms',
            'sequence': 1,
            'born': 1000,
        } | changes
        return self.call(
            f'/-/rpc?call=instances.heartbeat&of={instance_id}',
            json.dumps(content).encode(),
        )

    def deregister(self, instance_id: str) -> int:
        return self.call(f'/-/rpc?call=instances.deregister&of={instance_id}')


def test_announced_upstream_gets_work() -> None:
    """Guards against an upstream that stays down after a heartbeat."""
    harness = _Harness()
    assert harness.heartbeat('i-1') == 200
    assert harness.node.upstream.state is _READY
    assert harness.node.upstream.slots == 87
    assert harness.node.upstream.instance_id == 'i-1'


def test_late_heartbeat_does_not_undo_a_drain() -> None:
    """Guards against requests to a draining upstream."""
    harness = _Harness()
    harness.heartbeat('i-1', sequence=4)
    harness.heartbeat('i-1', sequence=6, state='draining')
    assert harness.heartbeat('i-1', sequence=5) == 200
    assert harness.node.upstream.state is _DRAINING


def test_heartbeat_does_not_undo_a_deregistration() -> None:
    """Guards against requests to a deregistered upstream."""
    harness = _Harness()
    harness.heartbeat('i-1', sequence=4)
    assert harness.deregister('i-1') == 200
    assert harness.heartbeat('i-1', sequence=5) == 200
    assert harness.node.upstream.state is _DRAINING


def test_late_heartbeat_of_the_process_before_changes_nothing() -> None:
    """Guards against requests addressed to a terminated process."""
    harness = _Harness()
    harness.heartbeat('i-2', born=2000)
    assert harness.heartbeat('i-1', born=1000, sequence=9) == 200
    assert harness.node.upstream.instance_id == 'i-2'


def test_new_process_under_the_same_id_starts_afresh() -> None:
    """Guards against ignoring a restart because of its lower sequence."""
    harness = _Harness()
    harness.heartbeat('i-1', sequence=40)
    harness.deregister('i-1')
    harness.heartbeat('i-1', born=2000, sequence=1)
    assert harness.node.upstream.state is _READY


def test_deregistration_of_another_process_changes_nothing() -> None:
    """Guards against a late deregistration that drains the successor."""
    harness = _Harness()
    harness.heartbeat('i-2', born=2000)
    assert harness.deregister('i-1') == 200
    assert harness.node.upstream.state is _READY


_INVALID_FIELDS: dict[str, dict[str, typing.Any]] = {
    'other service': {'service': 'gwydd'},
    'unknown state': {'state': 'asleep'},
    'no slots': {'concurrency': None},
    'slots of another type': {'concurrency': 'many'},
    'address without port': {'address': 'here'},
    'address of another type': {'address': 7},
    'infinite sequence': {'sequence': float('inf')},
}


@pytest.mark.parametrize('name', _INVALID_FIELDS)
def test_forged_heartbeat_is_refused(name: str) -> None:
    """Guards against a node that accepts an unusable upstream."""
    harness = _Harness()
    assert harness.heartbeat('i-1', **_INVALID_FIELDS[name]) == 400
    assert harness.node.upstream.state is messages.UpstreamState.DOWN


@pytest.mark.parametrize('body', [b'', b'\xff', b'[]', b'7', b'{' * 5000])
def test_unreadable_heartbeat_is_refused(body: bytes) -> None:
    """Guards against an unhandled exception in the instance endpoint."""
    harness = _Harness()
    target = '/-/rpc?call=instances.heartbeat&of=i-1'
    assert harness.call(target, body) == 400


def test_other_calls_are_not_found() -> None:
    """Guards against unknown calls that are acknowledged."""
    harness = _Harness()
    assert harness.call('/-/rpc?call=other') == 404
    assert harness.call('/other') == 404


def test_deregistration_before_the_first_heartbeat_is_kept() -> None:
    """Guards against ignoring a deregistration sent before a heartbeat."""
    harness = _Harness()
    assert harness.deregister('i-1') == 200
    harness.heartbeat('i-1', sequence=30)
    assert harness.node.upstream.state is _DRAINING
    harness.heartbeat('i-1', sequence=31)
    assert harness.node.upstream.state is _DRAINING


def test_new_process_after_an_unknown_deregistration_gets_work() -> None:
    """Guards against an instance id that stays deregistered for ever."""
    harness = _Harness()
    harness.deregister('i-1')
    harness.heartbeat('i-1', born=2000, sequence=1)
    assert harness.node.upstream.state is _READY


def test_unknown_deregistrations_are_bounded() -> None:
    """Guards against unbounded memory for unknown instance ids."""
    harness = _Harness()
    for number in range(1000):
        harness.deregister(f'i-{number}')
    assert len(harness.adapter.pending_deregistrations) == 16


def test_upstream_that_drained_and_was_lost_stays_out() -> None:
    """Guards against a refused connection that ends the draining state."""
    harness = _Harness()
    harness.heartbeat('i-1', sequence=1, state='draining')
    harness.node.upstream.mark_down(harness.node.upstream.incarnation)
    harness.heartbeat('i-1', sequence=2)
    assert harness.node.upstream.state is _DRAINING
