"""Which control replica a node uses.

One in the own zone is taken before others, so that heartbeats, tokens and
pushed state do not cross zones. A replica that failed comes last for a while,
longer each time, since one that is cut off from its leader accepts sessions
and would get its node back again and again.

Example: choice = ReplicaChoice('z1', {'a': '10.0.0.1:7100'}, [], random)
         address = choice.next(now)
"""

import collections.abc
import dataclasses
import random as random_module

from godwitstall import messages

# First and longest time for which a failed replica comes last, seconds.
_FIRST_AVOID_S = 5.0
_MAX_AVOID_S = 60.0

# A session that lasted this long shows that its replica works, seconds.
_GOOD_SESSION_S = 10.0


@dataclasses.dataclass(slots=True)
class _Record:
    """How sessions with one replica went."""

    # Failed sessions since the last long one.
    failures: int = 0
    # Time of the last failure, seconds.
    failed_at: float = float('-inf')
    # Until when it comes last, seconds.
    avoided_until: float = float('-inf')


class ReplicaChoice:
    """The replicas that a node knows, and how its sessions there went."""

    def __init__(
        self,
        own_zone: str,
        fixed: dict[str, str],
        seeds: list[str],
        random: random_module.Random,
    ) -> None:
        self.own_zone = own_zone
        # Addresses by slot, as last heard.
        self.known: dict[str, str] = dict(fixed)
        # Zones by address, of those that are known.
        self.zones: dict[str, str] = {}
        self.seeds = seeds
        self._random = random
        self._records: dict[str, _Record] = {}

    def learn(
        self, replicas: collections.abc.Iterable[messages.Voter]
    ) -> None:
        """Take over the replicas that control tells."""
        found = list(replicas)
        self.known = {voter.slot: voter.address for voter in found}
        self.zones = {voter.address: voter.zone for voter in found}
        addresses = set(self._addresses())
        for address in [a for a in self._records if a not in addresses]:
            del self._records[address]

    def next(self, now: float) -> str:
        """Return the address to try now.

        When all failed lately it is the one whose failure is the oldest.
        """
        return min(
            self._addresses(),
            key=lambda address: (
                self._failed_at(address, now),
                not self._is_near(address),
                self._random.random(),
            ),
        )

    def knows_nearer(self, address: str, now: float) -> bool:
        """Return whether another replica in the own zone should be used."""
        return not self._is_near(address) and any(
            self._is_near(other)
            and self._failed_at(other, now) == float('-inf')
            for other in self.known.values()
        )

    def knows_near(self) -> bool:
        """Return whether a replica in the own zone is known."""
        return any(self._is_near(other) for other in self.known.values())

    def on_end(self, address: str, lasted_s: float, now: float) -> None:
        """Note that a session failed after a time."""
        record = self._records.setdefault(address, _Record())
        if lasted_s >= _GOOD_SESSION_S:
            record.failures = 0
        record.failures += 1
        record.failed_at = now
        record.avoided_until = now + min(
            _FIRST_AVOID_S * 2.0 ** min(record.failures - 1, 10), _MAX_AVOID_S
        )

    def _failed_at(self, address: str, now: float) -> float:
        """Return when a replica failed, if it is avoided still."""
        record = self._records.get(address)
        if record is None or record.avoided_until <= now:
            return float('-inf')
        return record.failed_at

    def _is_near(self, address: str) -> bool:
        return bool(self.own_zone) and (
            self.zones.get(address) == self.own_zone
        )

    def _addresses(self) -> list[str]:
        return list(dict.fromkeys([*self.known.values(), *self.seeds]))
