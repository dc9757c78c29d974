"""Time of the last heartbeat of each member, kept by the leader.

The table is not replicated. A new leader starts a new one and gives every
member the full timeout, because it does not know which heartbeats the
previous leader received.
"""

from godwitstall.members import registry
from godwitstall import messages
from godwitstall import settings


class LivenessTable:
    """Last heartbeat of each node process.

    Times are seconds of clock.now(). Example: record_heartbeat('n1', 3, 0.2,
    now) means that some replica received a heartbeat of incarnation 3 of node
    n1 0.2 s ago.
    """

    def __init__(self, timeout_s: float) -> None:
        # A member is removed after this long without a heartbeat, seconds.
        self.timeout_s = timeout_s
        # Registry whose members are monitored; None before a term starts.
        self.node_registry: registry.Registry | None = None
        # Time of the last heartbeat by node id and incarnation.
        self.last_heartbeats: dict[tuple[messages.NodeId, int], float] = {}

    @classmethod
    def from_config(cls, options: settings.ControlOptions) -> 'LivenessTable':
        """Create an empty table with the timeout of the settings."""
        return cls(options.member_timeout_s)

    def start_term(self, node_registry: registry.Registry, now: float) -> None:
        """Monitor all members, as if each had sent a heartbeat now."""
        self.node_registry = node_registry
        self.last_heartbeats = {
            (member.node_id, member.incarnation): now
            for member in node_registry.members.values()
        }

    def record_heartbeat(
        self,
        node_id: messages.NodeId,
        incarnation: int,
        age_s: float,
        now: float,
    ) -> None:
        """Record a heartbeat that some replica received age_s ago."""
        key = (node_id, incarnation)
        # The liveness reports of followers may arrive out of order.
        self.last_heartbeats[key] = max(
            now - age_s, self.last_heartbeats.get(key, now - age_s)
        )

    def remove(self, node_id: messages.NodeId, incarnation: int) -> None:
        """Remove an expired process, which may join again."""
        self.last_heartbeats.pop((node_id, incarnation), None)

    def timed_out_members(self, now: float) -> list[messages.NodeBeat]:
        """Return the members whose timeout has elapsed.

        The timeout of a member without any heartbeat starts at the first call
        that includes it, so a node that dies just after its Join expires too.
        """
        if self.node_registry is None:
            return []
        beats = []
        member_keys = set()
        for member in self.node_registry.members.values():
            key = (member.node_id, member.incarnation)
            member_keys.add(key)
            age_s = now - self.last_heartbeats.setdefault(key, now)
            if age_s > self.timeout_s:
                beats.append(
                    messages.NodeBeat(
                        node_id=member.node_id,
                        incarnation=member.incarnation,
                        # The field has 32 bits, unsigned.
                        age_ms=min(int(age_s * 1000), 2**32 - 1),
                    )
                )
        self.last_heartbeats = {
            key: time
            for key, time in self.last_heartbeats.items()
            if key in member_keys or now - time <= self.timeout_s
        }
        return beats
