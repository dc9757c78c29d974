"""Chooses the control replica that a node uses.

Replicas in the node's own zone are preferred, so that heartbeats, tokens and
state updates do not cross zones. A failed replica is avoided for a time that
doubles with each failure, because a replica that is partitioned from its
leader still accepts sessions and would be chosen repeatedly.

Example: choice = ReplicaChoice('z1', {'a': '10.0.0.1:7100'}, [], random)
         address = choice.next(now)
"""

import collections.abc
import dataclasses
import random as random_module

from godwitstall import messages

# Minimum and maximum time for which a failed replica is avoided, seconds.
_MIN_AVOID_S = 5.0
_MAX_AVOID_S = 60.0

# Duration of a session that shows that its replica works, so that earlier
# failures no longer count, seconds.
_STABLE_SESSION_S = 10.0


@dataclasses.dataclass(slots=True)
class _FailureRecord:
    """Failed sessions with one replica."""

    # Number of failures since the last stable session.
    failures: int = 0
    # Time of the last failure, seconds.
    failed_at: float = float('-inf')
    # Time until which the replica is avoided, seconds.
    avoided_until: float = float('-inf')


class ReplicaChoice:
    """The control replicas that a node knows, and their recent failures."""

    def __init__(
        self,
        own_zone: str,
        initial_addresses: dict[str, str],
        seeds: list[str],
        random: random_module.Random,
    ) -> None:
        self.own_zone = own_zone
        # Addresses by slot, as control last reported them.
        self.addresses_by_slot: dict[str, str] = dict(initial_addresses)
        # Zones by address; addresses without a known zone are missing.
        self.zones_by_address: dict[str, str] = {}
        self.seeds = seeds
        self.random = random
        self.failure_records: dict[str, _FailureRecord] = {}

    def update(
        self, replicas: collections.abc.Iterable[messages.Voter]
    ) -> None:
        """Replace the known replicas by those that control reports."""
        voters = list(replicas)
        self.addresses_by_slot = {
            voter.slot: voter.address for voter in voters
        }
        self.zones_by_address = {voter.address: voter.zone for voter in voters}
        addresses = set(self._all_addresses())
        for address in [a for a in self.failure_records if a not in addresses]:
            del self.failure_records[address]

    def next(self, now: float) -> str:
        """Return the address to try now.

        If all replicas are avoided, the one with the oldest failure is chosen.
        """
        return min(
            self._all_addresses(),
            key=lambda address: (
                self._recent_failure_time(address, now),
                not self._is_in_own_zone(address),
                self.random.random(),
            ),
        )

    def should_move_to_own_zone(self, address: str, now: float) -> bool:
        """Return whether a replica in the own zone should replace this one."""
        return not self._is_in_own_zone(address) and any(
            self._is_in_own_zone(other)
            and self._recent_failure_time(other, now) == float('-inf')
            for other in self.addresses_by_slot.values()
        )

    def has_replica_in_own_zone(self) -> bool:
        """Return whether a replica in the own zone is known."""
        return any(
            self._is_in_own_zone(other)
            for other in self.addresses_by_slot.values()
        )

    def on_session_failed(
        self, address: str, duration_s: float, now: float
    ) -> None:
        """Record that a session failed after a given duration."""
        record = self.failure_records.setdefault(address, _FailureRecord())
        if duration_s >= _STABLE_SESSION_S:
            record.failures = 0
        record.failures += 1
        record.failed_at = now
        record.avoided_until = now + min(
            _MIN_AVOID_S * 2.0 ** min(record.failures - 1, 10), _MAX_AVOID_S
        )

    def _recent_failure_time(self, address: str, now: float) -> float:
        """Return when an avoided replica failed, or -inf for any other."""
        record = self.failure_records.get(address)
        if record is None or record.avoided_until <= now:
            return float('-inf')
        return record.failed_at

    def _is_in_own_zone(self, address: str) -> bool:
        return bool(self.own_zone) and (
            self.zones_by_address.get(address) == self.own_zone
        )

    def _all_addresses(self) -> list[str]:
        return list(
            dict.fromkeys([*self.addresses_by_slot.values(), *self.seeds])
        )
