"""Drained upstream processes after restarts of nodes and control."""

import dataclasses

import pytest

from godwitstall.members import registry
from godwitstall import messages

_State = messages.UpstreamState
_NODE = messages.NodeId('n1')


def _member(
    incarnation: int, upstream_incarnation: int, state: _State = _State.READY
) -> messages.Member:
    return messages.Member(
        node_id=_NODE,
        incarnation=incarnation,
        service=messages.ServiceName('s'),
        address='10.0.0.1:1',
        state=state,
        upstream_incarnation=upstream_incarnation,
    )


def _registry_after_drain() -> registry.Registry:
    node_registry = registry.Registry()
    node_registry.apply(messages.Join(_member(1, 500)))
    node_registry.apply(
        messages.SetUpstreamState(_NODE, 1, _State.DRAINING, 0, 500)
    )
    return node_registry


@pytest.mark.parametrize('is_planned', [True, False])
def test_restarted_node_does_not_bring_a_drained_upstream_back(
    is_planned: bool,
) -> None:
    """Guards against work for an upstream that drained before its node ended.

    The restarted node announces the same upstream process as ready again.
    """
    node_registry = _registry_after_drain()
    if is_planned:
        node_registry.apply(messages.Leave(_NODE, 1))
    node_registry.apply(messages.Join(_member(2, 500)))
    assert node_registry.members[_NODE].state is _State.DRAINING
    node_registry.apply(
        messages.SetUpstreamState(_NODE, 2, _State.READY, 9, 500)
    )
    assert node_registry.members[_NODE].state is _State.DRAINING


def test_next_upstream_of_the_node_gets_work() -> None:
    """Guards against a node whose new upstream process never gets work."""
    node_registry = _registry_after_drain()
    node_registry.apply(messages.Join(_member(2, 501)))
    assert node_registry.members[_NODE].state is _State.READY


def test_drain_is_kept_in_a_snapshot() -> None:
    """Guards against a restarted replica that forgets a drained upstream."""
    restored = registry.Registry()
    restored.restore(_registry_after_drain().to_snapshot())
    restored.apply(messages.Leave(_NODE, 1))
    restored.apply(messages.Join(_member(2, 500)))
    assert restored.members[_NODE].state is _State.DRAINING


def test_drain_after_the_node_has_left_is_kept() -> None:
    """Guards against the loss of a drain that a stopping node records."""
    node_registry = registry.Registry()
    node_registry.apply(messages.Join(_member(1, 500)))
    node_registry.apply(messages.Leave(_NODE, 1))
    result, changed = node_registry.apply(
        messages.SetUpstreamState(_NODE, 1, _State.DRAINING, 0, 500)
    )
    assert result.is_accepted
    assert not changed
    node_registry.apply(messages.Join(_member(2, 500)))
    assert node_registry.members[_NODE].state is _State.DRAINING


def test_drain_from_the_node_process_before_is_kept() -> None:
    """Guards against the loss of a drain while the node starts again.

    The next process of the node has already announced the upstream as ready.
    """
    node_registry = registry.Registry()
    node_registry.apply(messages.Join(_member(2, 500)))
    result, changed = node_registry.apply(
        messages.SetUpstreamState(_NODE, 1, _State.DRAINING, 9, 500)
    )
    assert result.is_accepted
    assert changed == [_NODE]
    member = node_registry.members[_NODE]
    assert (member.incarnation, member.state) == (2, _State.DRAINING)


def test_late_drain_does_not_affect_the_next_upstream() -> None:
    """Guards against a late command that drains the successor."""
    node_registry = registry.Registry()
    node_registry.apply(messages.Join(_member(2, 501)))
    _, changed = node_registry.apply(
        messages.SetUpstreamState(_NODE, 1, _State.DRAINING, 9, 500)
    )
    assert not changed
    assert node_registry.members[_NODE].state is _State.READY


def test_state_of_a_node_process_before_is_still_refused() -> None:
    """Guards against a late command that makes an upstream ready."""
    node_registry = registry.Registry()
    node_registry.apply(messages.Join(_member(2, 500, _State.DOWN)))
    result, _ = node_registry.apply(
        messages.SetUpstreamState(_NODE, 1, _State.READY, 9, 500)
    )
    assert not result.is_accepted
    assert node_registry.members[_NODE].state is _State.DOWN


@pytest.mark.parametrize('is_restored', [False, True])
def test_each_drained_upstream_of_a_node_is_kept(is_restored: bool) -> None:
    """Guards against a drain that is forgotten with the next one."""
    node_registry = _registry_after_drain()
    node_registry.apply(messages.Join(_member(1, 501)))
    node_registry.apply(
        messages.SetUpstreamState(_NODE, 1, _State.DRAINING, 0, 501)
    )
    if is_restored:
        snapshot = node_registry.to_snapshot()
        node_registry = registry.Registry()
        node_registry.restore(snapshot)
    for upstream_incarnation in 500, 501:
        node_registry.apply(messages.Join(_member(2, upstream_incarnation)))
        assert node_registry.members[_NODE].state is _State.DRAINING


def test_memory_of_drains_is_bounded() -> None:
    """Guards against state that grows with every node that ever drained."""
    node_registry = registry.Registry()
    for number in range(registry.MAX_REMEMBERED_NODES + 10):
        draining = dataclasses.replace(
            _member(1, 500, _State.DRAINING),
            node_id=messages.NodeId(f'n{number}'),
            address=f'10.0.0.1:{number}',
        )
        node_registry.apply(messages.Join(draining))
    assert (
        len(node_registry.drained_upstreams) == registry.MAX_REMEMBERED_NODES
    )
