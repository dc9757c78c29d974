"""Soft table of the leader: when each member was last heard.

The table is not replicated. A new leader starts it afresh and gives every
member the whole timeout, because it does not know what its predecessor heard.
"""

from godwitstall.members import registry
from godwitstall import messages
from godwitstall import settings


class Liveness:
    """Last heartbeat of each process of a node.

    Times are seconds of clock.now(). Example: heard('n1', 3, 0.2, now) says
    that incarnation 3 of n1 was heard 0.2 s ago by some replica.
    """

    def __init__(self, timeout_s: float) -> None:
        # Silence after which a member is removed, seconds.
        self.timeout_s = timeout_s
        # Registry whose members are watched; None before a term starts.
        self.members: registry.Registry | None = None
        # Time of the last heartbeat by node id and incarnation.
        self.last: dict[tuple[messages.NodeId, int], float] = {}

    @classmethod
    def from_config(cls, options: settings.ControlOptions) -> 'Liveness':
        """Return an empty table."""
        return cls(options.member_timeout_s)

    def start_term(self, members: registry.Registry, now: float) -> None:
        """Watch members and count silence from now on."""
        self.members = members
        self.last = {
            (member.node_id, member.incarnation): now
            for member in members.members.values()
        }

    def heard(
        self,
        node_id: messages.NodeId,
        incarnation: int,
        age_s: float,
        now: float,
    ) -> None:
        """Record a heartbeat that arrived age_s ago at some replica."""
        key = (node_id, incarnation)
        # Reports of followers may arrive out of order.
        self.last[key] = max(now - age_s, self.last.get(key, now - age_s))

    def forget(self, node_id: messages.NodeId, incarnation: int) -> None:
        """Forget a process that was expired; it may join again."""
        self.last.pop((node_id, incarnation), None)

    def silent(self, now: float) -> list[messages.NodeBeat]:
        """Return the members to expire.

        A member that was never heard counts from the first call that sees
        it, so a node that dies just after its Join expires too.
        """
        if self.members is None:
            return []
        found = []
        watched = set()
        for member in self.members.members.values():
            key = (member.node_id, member.incarnation)
            watched.add(key)
            age_s = now - self.last.setdefault(key, now)
            if age_s > self.timeout_s:
                found.append(
                    messages.NodeBeat(
                        node_id=member.node_id,
                        incarnation=member.incarnation,
                        # The field has 32 bits.
                        age_ms=min(int(age_s * 1000), 2**32 - 1),
                    )
                )
        self.last = {
            key: time
            for key, time in self.last.items()
            if key in watched or now - time <= self.timeout_s
        }
        return found
