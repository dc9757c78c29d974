"""Heartbeats and deregistrations of an upstream at its node."""

import typing

import pytest

from godwitstall import clock
from godwitstall import messages
from tests.platform import harnesses

_READY = messages.UpstreamState.READY
_DRAINING = messages.UpstreamState.DRAINING


def test_announced_upstream_gets_work(harness: harnesses.Harness) -> None:
    """Guards against an upstream that stays down after a heartbeat."""
    assert harness.heartbeat('i-1') == 200
    assert harness.node.upstream.state is _READY
    assert harness.node.upstream.slots == 87
    assert harness.node.upstream.instance_id == 'i-1'


def test_late_heartbeat_does_not_undo_a_drain(
    harness: harnesses.Harness,
) -> None:
    """Guards against requests to a draining upstream."""
    harness.heartbeat('i-1', sequence=4)
    harness.heartbeat('i-1', sequence=6, state='draining')
    assert harness.heartbeat('i-1', sequence=5) == 200
    assert harness.node.upstream.state is _DRAINING


def test_heartbeat_does_not_undo_a_deregistration(
    harness: harnesses.Harness,
) -> None:
    """Guards against requests to a deregistered upstream."""
    harness.heartbeat('i-1', sequence=4)
    assert harness.deregister('i-1') == 200
    assert harness.heartbeat('i-1', sequence=5) == 200
    assert harness.node.upstream.state is _DRAINING


@pytest.mark.parametrize('born', (None, 500))
def test_heartbeat_after_a_silence_does_not_undo_a_deregistration(
    harness: harnesses.Harness,
    monkeypatch: pytest.MonkeyPatch,
    born: int | None,
) -> None:
    """Guards against an upstream that has left and gets work again.

    The heartbeat lacks the start of its process, or is a late one of an
    earlier process with the same id.
    """
    harness.heartbeat('i-1', sequence=4, born=1000)
    assert harness.deregister('i-1') == 200
    later = clock.now() + 6.0
    monkeypatch.setattr(clock, 'now', lambda: later)
    content = {'born': born} if born else {}
    if born is None:
        monkeypatch.delitem(harnesses.HEARTBEAT, 'born')
    assert harness.heartbeat('i-1', sequence=5, **content) == 200
    assert harness.node.upstream.state is _DRAINING
    # A later process under the same id is another one.
    assert harness.heartbeat('i-1', sequence=1, born=2000) == 200
    assert harness.node.upstream.state is _READY


def test_late_heartbeat_of_the_process_before_changes_nothing(
    harness: harnesses.Harness,
) -> None:
    """Guards against requests addressed to a terminated process."""
    harness.heartbeat('i-2', born=2000)
    assert harness.heartbeat('i-1', born=1000, sequence=9) == 200
    assert harness.node.upstream.instance_id == 'i-2'


def test_new_process_under_the_same_id_starts_afresh(
    harness: harnesses.Harness,
) -> None:
    """Guards against ignoring a restart because of its lower sequence."""
    harness.heartbeat('i-1', sequence=40)
    harness.deregister('i-1')
    harness.heartbeat('i-1', born=2000, sequence=1)
    assert harness.node.upstream.state is _READY


def test_deregistration_of_another_process_changes_nothing(
    harness: harnesses.Harness,
) -> None:
    """Guards against a late deregistration that drains the successor."""
    harness.heartbeat('i-2', born=2000)
    assert harness.deregister('i-1') == 503
    assert harness.node.upstream.state is _READY


_INVALID_FIELDS: dict[str, dict[str, typing.Any]] = {
    'other service': {'service': 'gwydd'},
    'unknown state': {'state': 'asleep'},
    'no slots': {'concurrency': None},
    'slots of another type': {'concurrency': 'many'},
    'address without port': {'address': 'here'},
    'address of another type': {'address': 7},
    'infinite sequence': {'sequence': float('inf')},
    'no zone': {'zone': None},
    'no version': {'version': None},
    'no time until it is warm': {'coldRemaining': None},
    'time without a unit': {'coldRemaining': 0},
    'time that is no number': {'coldRemaining': 'soon'},
    'negative time': {'coldRemaining': '-5ms'},
    'time without an end': {'coldRemaining': '9' * 400 + 's'},
}


@pytest.mark.parametrize('name', _INVALID_FIELDS)
def test_forged_heartbeat_is_refused(
    harness: harnesses.Harness, name: str
) -> None:
    """Guards against a node that accepts an unusable upstream."""
    assert harness.heartbeat('i-1', **_INVALID_FIELDS[name]) == 400
    assert harness.node.upstream.state is messages.UpstreamState.DOWN


def test_heartbeat_of_another_writer_does_not_hide_a_drain(
    harness: harnesses.Harness,
) -> None:
    """Guards against a foreign heartbeat that takes the place of an upstream.

    It names the id of the upstream and a later start, and lacks fields.
    """
    harness.heartbeat('i-1', sequence=4)
    foreign = {'zone': None, 'version': None, 'coldRemaining': None}
    assert harness.heartbeat('i-1', born=2000, sequence=1, **foreign) == 400
    assert harness.heartbeat('i-1', sequence=5, state='draining') == 200
    assert harness.node.upstream.state is _DRAINING
    assert harness.drains() == [1000]


@pytest.mark.parametrize('body', [b'', b'\xff', b'[]', b'7', b'{' * 5000])
def test_unreadable_heartbeat_is_refused(
    harness: harnesses.Harness, body: bytes
) -> None:
    """Guards against an unhandled exception in the instance endpoint."""
    target = '/-/rpc?call=instances.heartbeat&of=i-1'
    assert harness.call(target, body) == 400


def test_other_calls_are_not_found(harness: harnesses.Harness) -> None:
    """Guards against unknown calls that are acknowledged."""
    assert harness.call('/-/rpc?call=other') == 404
    assert harness.call('/other') == 404


def test_deregistration_before_the_first_heartbeat_is_kept(
    harness: harnesses.Harness,
) -> None:
    """Guards against ignoring a deregistration sent before a heartbeat."""
    assert harness.deregister('i-1') == 503
    harness.heartbeat('i-1', sequence=30)
    assert harness.node.upstream.state is _DRAINING
    harness.heartbeat('i-1', sequence=31)
    assert harness.node.upstream.state is _DRAINING


def test_deregistration_is_recorded_when_acknowledged(
    harness: harnesses.Harness,
) -> None:
    """Guards against an acknowledged leave that is lost with the node."""
    harness.heartbeat('i-1', sequence=4)
    assert harness.deregister('i-1') == 200
    assert harness.drains() == [1000]


def test_draining_is_recorded_when_acknowledged(
    harness: harnesses.Harness,
) -> None:
    """Guards against an acknowledged drain that is lost with the node."""
    assert harness.heartbeat('i-1', state='draining') == 200
    assert harness.drains() == [1000]


def test_deregistration_in_a_planned_stop_is_recorded(
    harness: harnesses.Harness,
) -> None:
    """Guards against a leave that is forgotten with a stopping node."""
    harness.heartbeat('i-1', sequence=4)
    harness.runner.run(harness.node.membership.leave())
    assert harness.deregister('i-1') == 200
    assert harness.drains() == [1000]
    assert not harness.control.registry.members


@pytest.mark.parametrize('is_deregistered', [False, True])
def test_drain_is_not_acknowledged_without_control(
    harness: harnesses.Harness, is_deregistered: bool
) -> None:
    """Guards against an acknowledged drain that is lost with its node."""
    harness.heartbeat('i-1', sequence=4)

    def leave(sequence: int) -> int:
        if is_deregistered:
            return harness.deregister('i-1')
        return harness.heartbeat('i-1', state='draining', sequence=sequence)

    harness.control.is_lost = True
    assert leave(5) == 503
    assert harness.node.upstream.state is _DRAINING
    harness.control.is_lost = False
    assert leave(6) == 200
    assert harness.drains() == [1000]


def test_late_draining_heartbeat_still_drains(
    harness: harnesses.Harness,
) -> None:
    """Guards against an acknowledged drain without an effect."""
    harness.heartbeat('i-1', sequence=6)
    assert harness.heartbeat('i-1', sequence=5, state='draining') == 200
    assert harness.node.upstream.state is _DRAINING
    assert harness.drains() == [1000]


def test_drain_of_the_process_before_is_not_acknowledged(
    harness: harnesses.Harness,
) -> None:
    """Guards against an acknowledged drain that the node cannot place."""
    harness.heartbeat('i-2', born=2000)
    status = harness.heartbeat('i-1', born=1000, state='draining')
    assert status == 503
    assert harness.node.upstream.state is _READY


@pytest.mark.parametrize('is_deregistered', [False, True])
def test_call_without_an_instance_is_refused(
    harness: harnesses.Harness, is_deregistered: bool
) -> None:
    """Guards against an acknowledged call that names no upstream."""
    call = harness.deregister if is_deregistered else harness.heartbeat
    assert call('') == 400
    assert harness.node.upstream.state is messages.UpstreamState.DOWN


def test_new_process_after_an_unknown_deregistration_gets_work(
    harness: harnesses.Harness,
) -> None:
    """Guards against an instance id that stays deregistered for ever."""
    harness.deregister('i-1')
    harness.heartbeat('i-1', born=2000, sequence=1)
    assert harness.node.upstream.state is _READY


def test_unknown_deregistrations_are_bounded(
    harness: harnesses.Harness,
) -> None:
    """Guards against unbounded memory for unknown instance ids."""
    for number in range(1000):
        harness.deregister(f'i-{number}')
    assert len(harness.adapter.pending_deregistrations) == 16


def test_upstream_that_drained_and_was_lost_stays_out(
    harness: harnesses.Harness,
) -> None:
    """Guards against a refused connection that ends the draining state."""
    harness.heartbeat('i-1', sequence=1, state='draining')
    harness.node.upstream.mark_down(harness.node.upstream.incarnation)
    harness.heartbeat('i-1', sequence=2)
    assert harness.node.upstream.state is _DRAINING


def test_upstream_is_followed_again_after_an_odd_process(
    harness: harnesses.Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one heartbeat that shuts out an upstream for good.

    It seems to come from a process that starts later. No other follows it,
    and the upstream goes on.
    """
    now = clock.now()
    monkeypatch.setattr(clock, 'now', lambda: now)
    harness.heartbeat('i-1', sequence=1)
    harness.heartbeat('i-2', sequence=1, born=4_000_000_000_000)
    harness.heartbeat('i-1', sequence=2)
    assert harness.node.upstream.instance_id == 'i-2'
    now += harness.node.options.announce_timeout_s + 0.1
    assert harness.heartbeat('i-1', sequence=3) == 200
    upstream = harness.node.upstream
    assert upstream.instance_id == 'i-1'
    assert upstream.state is messages.UpstreamState.READY
    # A late heartbeat of the process that is followed is still ignored.
    assert harness.heartbeat('i-1', sequence=2, concurrency=1) == 200
    assert upstream.slots == 87
