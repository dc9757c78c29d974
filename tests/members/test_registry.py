"""Members against a model that looks through the whole history."""

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
        # (node, incarnation) of accepted joins and leaves.
        self.joined: list[tuple[str, int]] = []
        self.left: list[tuple[str, int]] = []
        # Node -> (incarnation, state, slots).
        self.members: dict[str, tuple[int, _State, int]] = {}
        self.drained: set[str] = set()

    def _apply(self, command: typing.Any) -> bool:
        """Return whether the command is accepted; check what it changed."""
        before = dict(self.registry.members)
        result, changed = self.registry.apply(command)
        after = self.registry.members
        differ = [
            node
            for node in before | after
            if before.get(node) != after.get(node)
        ]
        assert sorted(changed) == sorted(differ)
        return result.is_accepted

    @stateful.rule(node=_NODES, number=_INCARNATIONS, slots=st.integers(0, 2))
    def join(self, node: messages.NodeId, number: int, slots: int) -> None:
        is_old = any(
            other > number for name, other in self.joined if name == node
        ) or any(other >= number for name, other in self.left if name == node)
        assert self._apply(_join(node, number, slots)) == (not is_old)
        if not is_old:
            self.joined.append((node, number))
            self.members[node] = (number, _State.READY, slots)

    @stateful.rule(
        node=_NODES, number=_INCARNATIONS, to=st.sampled_from(list(_State))
    )
    def set_state(
        self, node: messages.NodeId, number: int, to: _State
    ) -> None:
        is_it = node in self.members and self.members[node][0] == number
        command = messages.SetUpstreamState(node, number, to, 9)
        assert self._apply(command) == is_it
        if is_it:
            self.members[node] = (number, to, 9)

    @stateful.rule(node=_NODES, number=_INCARNATIONS)
    def leave(self, node: messages.NodeId, number: int) -> None:
        is_newer_here = node in self.members and self.members[node][0] > number
        assert self._apply(messages.Leave(node, number)) == (not is_newer_here)
        if not is_newer_here:
            self.left.append((node, number))
            self.members.pop(node, None)

    @stateful.rule(nodes=st.lists(st.tuples(_NODES, _INCARNATIONS)))
    def expire(self, nodes: list[tuple[messages.NodeId, int]]) -> None:
        beats = [messages.NodeBeat(node, number) for node, number in nodes]
        assert self._apply(messages.Expire(beats))
        for node, number in nodes:
            if node in self.members and self.members[node][0] == number:
                del self.members[node]

    @stateful.rule(node=_NODES, is_drained=st.booleans())
    def drain(self, node: messages.NodeId, is_drained: bool) -> None:
        assert self._apply(messages.Drain(node, is_drained))
        self.drained -= {node}
        self.drained |= {node} if is_drained else set()

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        data = codec.encode(self.registry.to_snapshot())
        self.registry = registry.Registry()
        self.registry.restore(
            typing.cast(messages.MembersSnapshot, codec.decode(data))
        )

    @stateful.invariant()
    def same_members(self) -> None:
        found = self.registry.members.values()
        assert {
            m.node_id: (m.incarnation, m.state, m.slots) for m in found
        } == self.members
        assert {m.node_id for m in found if m.is_drained} == (
            self.drained & self.members.keys()
        )


TestRegistryAgainstModel = _RegistryAgainstModel.TestCase


def test_drain_outlives_restart() -> None:
    """Guards against work for a drained upstream after its node restarts."""
    members = registry.Registry()
    node = messages.NodeId('n')
    members.apply(_join('n', 1))
    members.apply(messages.Drain(node, True, 'ann'))
    members.apply(messages.Leave(node, 1))
    members.apply(_join('n', 2))
    assert members.members[node].is_drained


def test_late_join_of_a_node_that_left() -> None:
    """Guards against a node that comes back by a delayed copy of its Join."""
    members = registry.Registry()
    members.apply(_join('n', 1))
    members.apply(messages.Leave(messages.NodeId('n'), 1))
    assert not members.apply(_join('n', 1))[0].is_accepted


def test_bounds(monkeypatch: typing.Any) -> None:
    """Guards against memory that grows with each replaced VM."""
    monkeypatch.setattr(registry, 'KEPT_GONE', 2)
    monkeypatch.setattr(registry, 'MAX_DRAINED', 1)
    members = registry.Registry()
    for name in 'abcd':
        members.apply(messages.Leave(messages.NodeId(name), 2**64 - 1))
        members.apply(messages.Drain(messages.NodeId(name), True))
    assert list(members.gone) == ['c', 'd'] and members.drained == {'a'}
    codec.encode(members.to_snapshot())
