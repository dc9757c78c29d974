"""What upstreams have announced in the answers that this node relayed.

An owner node that starts again knows nothing of the answers before, and
control may not have heard of them. The nodes that passed on such answers
remember them by the process that sent them, so that a leaving process gets no
new calls and a limit outlives a restart of its owner.

Example: notices.on_report(node_id, answer.load)
"""

import math
import typing

from godwitstall import messages

# Largest number of nodes whose upstreams are remembered for one reason.
MAX_REMEMBERED_NODES = 4096

# Incarnation and limit of an upstream that named none.
_NO_LIMIT = (0, math.inf)

_Value = typing.TypeVar('_Value')


class Notices:
    """Notices of upstream processes, by the node id of their owner."""

    def __init__(self) -> None:
        # Incarnation of the last upstream process that was leaving, least
        # recently noticed first.
        self._left: dict[messages.NodeId, int] = {}
        # Upstream process that named a limit, and the limit, requests per
        # second, least recently named first.
        self._limits: dict[messages.NodeId, tuple[int, float]] = {}

    def on_report(
        self, node_id: messages.NodeId, load: messages.LoadReport
    ) -> bool:
        """Remember what a report says; return whether a process left."""
        incarnation = load.upstream_incarnation
        if not incarnation:
            return False
        # The rate of a cold upstream ends by itself; Picker keeps it.
        if load.rate_limit is not None and not load.cold_ms:
            self._set_limit(node_id, incarnation, load.rate_limit)
        if load.state is not messages.UpstreamState.DRAINING:
            return False
        if self._left.get(node_id, 0) >= incarnation:
            return False
        _remember(self._left, node_id, incarnation)
        return True

    def _set_limit(
        self, node_id: messages.NodeId, incarnation: int, limit: float
    ) -> None:
        if math.isfinite(limit):
            _remember(self._limits, node_id, (incarnation, limit))
        else:
            self._limits.pop(node_id, None)

    def has_left(self, member: messages.Member) -> bool:
        """Return whether the upstream process of a member is leaving."""
        return member.upstream_incarnation <= self._left.get(
            member.node_id, -1
        )

    def limit_of(self, node_id: messages.NodeId) -> float:
        """Return the limit that an upstream named; infinite without one."""
        return self._limits.get(node_id, _NO_LIMIT)[1]

    def add_limit(self, node_id: messages.NodeId, call: messages.Call) -> None:
        """Add to a call the limit that the upstream of its owner named."""
        call.limited_incarnation, call.rate_limit = self._limits.get(
            node_id, _NO_LIMIT
        )


def _remember(
    values: dict[messages.NodeId, _Value],
    node_id: messages.NodeId,
    value: _Value,
) -> None:
    """Set the value of a node, and forget the oldest one above the limit."""
    values.pop(node_id, None)
    values[node_id] = value
    if len(values) > MAX_REMEMBERED_NODES:
        del values[next(iter(values))]
