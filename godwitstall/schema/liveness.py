"""Reports of control replicas about nodes that are alive.

Example: Done()
"""

import dataclasses

from godwitstall.schema import ids


@dataclasses.dataclass(slots=True)
class NodeBeat:
    """Time since the last heartbeat of a node."""

    # Id of the node.
    node_id: ids.NodeId = ids.NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: int = 0
    # Time since the last heartbeat, milliseconds.
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class LivenessReport:
    """Reports to the leader the heartbeats that a follower received."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Nodes that send heartbeats to this replica.
    beats: list[NodeBeat] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Done:
    """Empty reply."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
