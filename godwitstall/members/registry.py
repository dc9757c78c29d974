"""Replicated registry of nodes and the state of their upstreams.

A node process is identified by its node id and incarnation. Commands may
arrive late or more than once, so a command of an older incarnation never
affects a newer one.

An upstream process that has drained never receives work again. A node that is
killed and restarted meanwhile would take a late announcement of that process
for a new upstream, so the registry remembers the processes that drained. A
drain is therefore recorded from every process of the node, also from one that
has left or was replaced.
"""

import dataclasses

from godwitstall import messages

# Largest number of removed nodes, and of drained upstream processes, that are
# remembered; covers a month of 120 restarts and replacements a day.
MAX_REMEMBERED_NODES = 4096
# Largest number of nodes drained by operators at a time, members or not.
MAX_DRAINED_NODES = 4096
# Incarnations are stored in 64 bits.
_MAX_INCARNATION = 2**64 - 1

_Command = (
    messages.Join
    | messages.SetUpstreamState
    | messages.Leave
    | messages.Expire
    | messages.Drain
)


class Registry:
    """Members by node id, and the nodes that operators drained."""

    def __init__(self) -> None:
        # Members by node id; a member is replaced, never modified.
        self.members: dict[messages.NodeId, messages.Member] = {}
        # Nodes drained by an operator, also while they are not members.
        self.drained_nodes: set[messages.NodeId] = set()
        # Lowest incarnation that may join, by id of a removed node, least
        # recently removed first.
        self.min_incarnations: dict[messages.NodeId, int] = {}
        # Node ids and incarnations of the upstream processes that drained,
        # least recently drained first; the values are unused.
        self.drained_upstreams: dict[tuple[messages.NodeId, int], None] = {}

    def is_member(self, node_id: messages.NodeId, incarnation: int) -> bool:
        """Return whether this process of the node is a member."""
        member = self.members.get(node_id)
        return member is not None and member.incarnation == incarnation

    def apply(
        self, command: _Command
    ) -> tuple[messages.CommandResult, list[messages.NodeId]]:
        """Apply a command; return the result and the nodes that changed.

        These are the nodes whose member was added, changed or removed.
        """
        match command:
            case messages.Join():
                return self._join(command.member)
            case messages.SetUpstreamState():
                return self._set_upstream_state(command)
            case messages.Leave():
                return self._leave(command)
            case messages.Expire():
                return self._expire(command)
            case messages.Drain():
                return self._drain(command)

    def _join(
        self, joining: messages.Member
    ) -> tuple[messages.CommandResult, list[messages.NodeId]]:
        node_id = joining.node_id
        if not node_id or not joining.service:
            return _rejected('A member requires a node id and a service.')
        member = self.members.get(node_id)
        min_incarnation = (
            member.incarnation
            if member
            else self.min_incarnations.get(node_id, 0)
        )
        if joining.incarnation < min_incarnation:
            return _rejected(
                f'Incarnation {joining.incarnation} of {node_id!r} is older '
                f'than {min_incarnation}.'
            )
        self.min_incarnations.pop(node_id, None)
        removed = self._remove_others_at(joining.address, node_id)
        result, changed = self._put_member(
            dataclasses.replace(
                joining, is_drained=node_id in self.drained_nodes
            )
        )
        return result, removed + changed

    def _remove_others_at(
        self, address: str, node_id: messages.NodeId
    ) -> list[messages.NodeId]:
        """Remove other members that have the address of a joining node."""
        removed = [
            member.node_id
            for member in self.members.values()
            if member.address == address != '' and member.node_id != node_id
        ]
        for removed_id in removed:
            self._raise_min_incarnation(
                removed_id, self.members[removed_id].incarnation + 1
            )
            del self.members[removed_id]
        return removed

    def _set_upstream_state(
        self, command: messages.SetUpstreamState
    ) -> tuple[messages.CommandResult, list[messages.NodeId]]:
        member = self.members.get(command.node_id)
        if member is None or member.incarnation != command.incarnation:
            if (
                command.state is messages.UpstreamState.DRAINING
                and command.upstream_incarnation
            ):
                return self._drain_upstream_of_successor(command)
            return _rejected(
                f'Incarnation {command.incarnation} of {command.node_id!r} '
                f'is not a member.'
            )
        return self._put_member(
            dataclasses.replace(
                member,
                state=command.state,
                slots=command.slots,
                upstream_incarnation=command.upstream_incarnation,
            )
        )

    def _drain_upstream_of_successor(
        self, command: messages.SetUpstreamState
    ) -> tuple[messages.CommandResult, list[messages.NodeId]]:
        """Record a drain that comes from a node process that is no member.

        It binds the member if that has the same upstream process, and every
        later process of the node.
        """
        self._remember_drain(command.node_id, command.upstream_incarnation)
        member = self.members.get(command.node_id)
        if member is None:
            return messages.CommandResult(is_accepted=True), []
        return self._put_member(member)

    def _leave(
        self, command: messages.Leave
    ) -> tuple[messages.CommandResult, list[messages.NodeId]]:
        member = self.members.get(command.node_id)
        if member is not None and member.incarnation > command.incarnation:
            return _rejected(
                f'A newer incarnation of {command.node_id!r} is a member.'
            )
        # A Join that was sent before the Leave may still arrive, and must
        # be rejected then.
        is_raised = self._raise_min_incarnation(
            command.node_id, command.incarnation + 1
        )
        if member is None:
            return messages.CommandResult(
                is_accepted=True,
                detail='' if is_raised else 'The node has already left.',
            ), []
        del self.members[command.node_id]
        return messages.CommandResult(is_accepted=True), [command.node_id]

    def _expire(
        self, command: messages.Expire
    ) -> tuple[messages.CommandResult, list[messages.NodeId]]:
        changed = []
        for beat in command.nodes:
            if self.is_member(beat.node_id, beat.incarnation):
                del self.members[beat.node_id]
                # The same process may join again after a network fault.
                self._raise_min_incarnation(beat.node_id, beat.incarnation)
                changed.append(beat.node_id)
        return messages.CommandResult(is_accepted=True), changed

    def _drain(
        self, command: messages.Drain
    ) -> tuple[messages.CommandResult, list[messages.NodeId]]:
        node_id = command.node_id
        if not node_id:
            return _rejected('A drain requires a node id.')
        if not command.is_drained:
            self.drained_nodes.discard(node_id)
        elif (
            node_id in self.drained_nodes
            or len(self.drained_nodes) < MAX_DRAINED_NODES
        ):
            self.drained_nodes.add(node_id)
        else:
            return _rejected(f'{MAX_DRAINED_NODES} nodes are already drained.')
        member = self.members.get(node_id)
        if member is None:
            return messages.CommandResult(
                is_accepted=True, detail=f'{node_id!r} is not a member.'
            ), []
        return self._put_member(
            dataclasses.replace(member, is_drained=command.is_drained)
        )

    def _put_member(
        self, member: messages.Member
    ) -> tuple[messages.CommandResult, list[messages.NodeId]]:
        member = self._keep_draining(member)
        is_unchanged = self.members.get(member.node_id) == member
        self.members[member.node_id] = member
        return messages.CommandResult(is_accepted=True), (
            [] if is_unchanged else [member.node_id]
        )

    def _keep_draining(self, member: messages.Member) -> messages.Member:
        """Keep an upstream process that drained from becoming READY again.

        Remembers a process that drains, and changes a later READY of the same
        process to DRAINING.
        """
        upstream_incarnation = member.upstream_incarnation
        if member.state is messages.UpstreamState.DRAINING:
            self._remember_drain(member.node_id, upstream_incarnation)
        elif (
            member.state is messages.UpstreamState.READY
            and (member.node_id, upstream_incarnation)
            in self.drained_upstreams
        ):
            return dataclasses.replace(
                member, state=messages.UpstreamState.DRAINING
            )
        return member

    def _remember_drain(
        self, node_id: messages.NodeId, upstream_incarnation: int
    ) -> None:
        if not upstream_incarnation:
            return
        key = (node_id, upstream_incarnation)
        self.drained_upstreams.pop(key, None)
        self.drained_upstreams[key] = None
        if len(self.drained_upstreams) > MAX_REMEMBERED_NODES:
            del self.drained_upstreams[next(iter(self.drained_upstreams))]

    def _raise_min_incarnation(
        self, node_id: messages.NodeId, min_incarnation: int
    ) -> bool:
        """Remember a removed node; return whether its minimum has risen."""
        current = self.min_incarnations.pop(node_id, -1)
        self.min_incarnations[node_id] = max(
            current, min(min_incarnation, _MAX_INCARNATION)
        )
        if len(self.min_incarnations) > MAX_REMEMBERED_NODES:
            del self.min_incarnations[next(iter(self.min_incarnations))]
        return min_incarnation > current

    def to_snapshot(self) -> messages.MembersSnapshot:
        """Return the replicated state."""
        return messages.MembersSnapshot(
            members=list(self.members.values()),
            drained=sorted(self.drained_nodes),
            gone=[
                messages.NodeBeat(node_id=node_id, incarnation=incarnation)
                for node_id, incarnation in self.min_incarnations.items()
            ],
            departed=[
                messages.NodeBeat(node_id=node_id, incarnation=incarnation)
                for node_id, incarnation in self.drained_upstreams
            ],
        )

    def restore(self, snapshot: messages.MembersSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.members = {m.node_id: m for m in snapshot.members}
        self.drained_nodes = {
            messages.NodeId(name) for name in snapshot.drained
        }
        self.min_incarnations = {
            b.node_id: b.incarnation for b in snapshot.gone
        }
        self.drained_upstreams = dict.fromkeys(
            (b.node_id, b.incarnation) for b in snapshot.departed
        )


def _rejected(
    detail: str,
) -> tuple[messages.CommandResult, list[messages.NodeId]]:
    return messages.CommandResult(is_accepted=False, detail=detail), []
