"""Tests of the registry against a model that keeps the whole history."""

import typing

from hypothesis import stateful
from hypothesis import strategies as st

from godwitstall import codec
from godwitstall.members import registry
from godwitstall import messages

_State = messages.UpstreamState
_NODES = st.sampled_from([messages.NodeId(name) for name in 'abc'])
_INCARNATIONS = st.integers(1, 4)


def _join(node_id: str, incarnation: int, slots: int = 0) -> messages.Join:
    return messages.Join(
        messages.Member(
            node_id=messages.NodeId(node_id),
            incarnation=incarnation,
            service=messages.ServiceName('s'),
            state=_State.READY,
            slots=slots,
        )
    )


class _RegistryAgainstModel(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.registry = registry.Registry()
        # Node and incarnation of accepted Join and Leave commands.
        self.joins: list[tuple[str, int]] = []
        self.departures: list[tuple[str, int]] = []
        # Incarnation, state and slots by node.
        self.members: dict[str, tuple[int, _State, int]] = {}
        self.drained_nodes: set[str] = set()

    def _apply(self, command: typing.Any) -> bool:
        """Check which nodes changed; return whether it was accepted."""
        before = dict(self.registry.members)
        result, changed = self.registry.apply(command)
        after = self.registry.members
        different = [
            node
            for node in before | after
            if before.get(node) != after.get(node)
        ]
        assert sorted(changed) == sorted(different)
        return result.is_accepted

    @stateful.rule(
        node=_NODES, incarnation=_INCARNATIONS, slots=st.integers(0, 2)
    )
    def join(
        self, node: messages.NodeId, incarnation: int, slots: int
    ) -> None:
        is_old = any(
            other > incarnation for name, other in self.joins if name == node
        ) or any(
            other >= incarnation
            for name, other in self.departures
            if name == node
        )
        assert self._apply(_join(node, incarnation, slots)) == (not is_old)
        if not is_old:
            self.joins.append((node, incarnation))
            self.members[node] = (incarnation, _State.READY, slots)

    @stateful.rule(
        node=_NODES,
        incarnation=_INCARNATIONS,
        state=st.sampled_from(list(_State)),
    )
    def set_state(
        self, node: messages.NodeId, incarnation: int, state: _State
    ) -> None:
        is_current = (
            node in self.members and self.members[node][0] == incarnation
        )
        command = messages.SetUpstreamState(node, incarnation, state, 9)
        assert self._apply(command) == is_current
        if is_current:
            self.members[node] = (incarnation, state, 9)

    @stateful.rule(node=_NODES, incarnation=_INCARNATIONS)
    def leave(self, node: messages.NodeId, incarnation: int) -> None:
        is_newer_member = (
            node in self.members and self.members[node][0] > incarnation
        )
        assert self._apply(messages.Leave(node, incarnation)) == (
            not is_newer_member
        )
        if not is_newer_member:
            self.departures.append((node, incarnation))
            self.members.pop(node, None)

    @stateful.rule(nodes=st.lists(st.tuples(_NODES, _INCARNATIONS)))
    def expire(self, nodes: list[tuple[messages.NodeId, int]]) -> None:
        expired = [
            messages.NodeBeat(node, incarnation) for node, incarnation in nodes
        ]
        assert self._apply(messages.Expire(expired))
        for node, incarnation in nodes:
            if node in self.members and self.members[node][0] == incarnation:
                del self.members[node]

    @stateful.rule(node=_NODES, is_drained=st.booleans())
    def drain(self, node: messages.NodeId, is_drained: bool) -> None:
        assert self._apply(messages.Drain(node, is_drained))
        self.drained_nodes -= {node}
        self.drained_nodes |= {node} if is_drained else set()

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        data = codec.encode(self.registry.to_snapshot())
        self.registry = registry.Registry()
        self.registry.restore(
            typing.cast(messages.MembersSnapshot, codec.decode(data))
        )

    @stateful.invariant()
    def check_members(self) -> None:
        found = self.registry.members.values()
        assert {
            m.node_id: (m.incarnation, m.state, m.slots) for m in found
        } == self.members
        assert {m.node_id for m in found if m.is_drained} == (
            self.drained_nodes & self.members.keys()
        )


TestRegistryAgainstModel = _RegistryAgainstModel.TestCase


def test_drain_outlives_restart() -> None:
    """Guards against work for a drained upstream after its node restarts."""
    node_registry = registry.Registry()
    node = messages.NodeId('n')
    node_registry.apply(_join('n', 1))
    node_registry.apply(messages.Drain(node, True, 'ann'))
    node_registry.apply(messages.Leave(node, 1))
    node_registry.apply(_join('n', 2))
    assert node_registry.members[node].is_drained


def test_late_join_of_a_node_that_left() -> None:
    """Guards against a delayed copy of a Join that brings a node back."""
    node_registry = registry.Registry()
    node_registry.apply(_join('n', 1))
    node_registry.apply(messages.Leave(messages.NodeId('n'), 1))
    assert not node_registry.apply(_join('n', 1))[0].is_accepted


def test_bounds(monkeypatch: typing.Any) -> None:
    """Guards against state that grows with every replaced VM."""
    monkeypatch.setattr(registry, 'MAX_REMEMBERED_NODES', 2)
    monkeypatch.setattr(registry, 'MAX_DRAINED_NODES', 1)
    node_registry = registry.Registry()
    for name in 'abcd':
        node_registry.apply(messages.Leave(messages.NodeId(name), 2**64 - 1))
        node_registry.apply(messages.Drain(messages.NodeId(name), True))
    assert list(node_registry.min_incarnations) == [
        'c',
        'd',
    ] and node_registry.drained_nodes == {'a'}
    codec.encode(node_registry.to_snapshot())
