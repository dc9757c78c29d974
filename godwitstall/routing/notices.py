"""What this node was told by upstreams in the answers that it passed on.

An owner node that starts again knows nothing of the answers before. The nodes
that passed on such answers remember them by the process that sent them, so
that a limit outlives a restart of its owner.

Example: notices.on_report(node_id, answer.load)
"""

import math

from godwitstall import messages


class Notices:
    """Notices of upstream processes, by the node id of their owner."""

    def __init__(self) -> None:
        # Upstream process that named a limit, and the limit, requests per
        # second.
        self._limits: dict[messages.NodeId, tuple[int, float]] = {}

    def on_report(
        self, node_id: messages.NodeId, load: messages.LoadReport
    ) -> None:
        """Remember what a report says."""
        incarnation = load.upstream_incarnation
        if not incarnation:
            return
        if math.isfinite(load.rate_limit):
            self._limits[node_id] = incarnation, load.rate_limit
        else:
            self._limits.pop(node_id, None)

    def set_limit(self, node_id: messages.NodeId, call: messages.Call) -> None:
        """Add to a call the limit that the upstream of its owner named."""
        call.limited_incarnation, call.rate_limit = self._limits.get(
            node_id, (0, math.inf)
        )
