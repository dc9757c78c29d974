"""Admits new chains by the room of the services that they need.

The first node of a chain decides before it sends anything, by what earlier
answers have reported. A refused request has not been run, and its
Retry-After is the time at which room is expected.

Example: call.admitted_share = chain_admission.admit(call, now)
"""

import dataclasses
import random
import typing

from godwitstall import clock
from godwitstall import errors
from godwitstall.limits import service_room
from godwitstall.limits import workspace_shares
from godwitstall import messages
from godwitstall import metrics
from godwitstall.routing import chain_rooms

_REFUSED = metrics.counter(
    'chain_room_refused_total',
    'New chains refused for lack of room, by service and level.',
)
_ADMITTED = metrics.counter(
    'chain_room_admitted_total', 'New chains admitted by their room.'
)
_SHARE = metrics.gauge(
    'chain_room_share', 'Last admitted share by service and level.'
)
_IS_ENABLED = metrics.gauge(
    'chain_room_enabled', 'Whether chains are admitted by room, 0 or 1.'
)

# Shortest mean time after which a refused caller comes back, seconds. Marks
# need about as long to follow a change of the load.
_MIN_RETURN_S = 1.0

# Longest mean time, seconds. A caller that comes back later than its deadline
# has given up.
_MAX_RETURN_S = 8.0

# Return times are spread by this share to both sides of the mean, so that the
# refused callers of one moment do not come back together.
_RETURN_SPREAD = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refused chain, for its log line."""

    decision: chain_rooms.Decision
    level: int
    workspace_share: float

    def fields(self) -> dict[str, typing.Any]:
        """Return the fields that name the decision and its inputs."""
        return {
            'decided_by': 'chain_room',
            'room_service': self.decision.service,
            'room_level': round(self.decision.level, 2),
            'room_age_ms': self.decision.age_ms,
            'room_version': self.decision.version,
            'fan_out': round(self.decision.fan_out, 2),
            'request_level': self.level,
            'level_share': round(self.decision.share, 3),
            'workspace_share': round(self.workspace_share, 3),
        }


class ChainRefusedError(errors.RequestError):
    """The chain is not begun because a service that it needs has no room."""

    def __init__(self, refusal: Refusal, retry_after_ms: int) -> None:
        super().__init__(
            errors.ErrorKind.CHAIN_OVERLOADED,
            f'The service {refusal.decision.service} has no room for new '
            'requests of this rank.',
            retry_after_ms,
        )
        self.refusal = refusal


class ChainAdmission:
    """Decides which new chains a node begins; created by from_config()."""

    def __init__(
        self, rooms: chain_rooms.ChainRooms, is_enabled: bool
    ) -> None:
        self.rooms = rooms
        self.is_enabled = is_enabled
        self.shares = workspace_shares.WorkspaceShares()
        self.random = random.Random()

    @classmethod
    def from_config(
        cls, rooms: chain_rooms.ChainRooms, is_enabled: bool
    ) -> 'ChainAdmission':
        """Return the admission of a node, and show its switch as a metric."""
        _IS_ENABLED.set(int(is_enabled))
        return cls(rooms, is_enabled)

    def admit(self, call: messages.Call, now: float) -> float:
        """Return the share of such chains that is admitted.

        Errors: ChainRefusedError if this one is not.
        """
        if not self.is_enabled:
            return 1.0
        level = service_room.level_of(call.order, call.priority)
        self.shares.on_request(call.workspace, level, now)
        decision = self.rooms.decide(call.route_name, call.service, level, now)
        if not decision.service:
            return 1.0
        share = self.shares.share_of(call.workspace, level, decision.share)
        service = decision.service
        _SHARE.set(decision.share, service=service, level=str(level))
        if self.random.random() < share:
            _ADMITTED.inc(service=service, level=str(level))
            return share
        _REFUSED.inc(service=service, level=str(level))
        raise ChainRefusedError(
            Refusal(decision, level, share),
            self.retry_after_ms(share, self.random.random()),
        )

    def retry_after_ms(self, share: float, draw: float) -> int:
        """Return when a refused caller comes back, milliseconds.

        With a share admitted, a caller needs 1 / share tries on average, so
        the time grows with it. draw is a uniform number from 0 up to 1.
        """
        mean_s = min(max(_MIN_RETURN_S / share, _MIN_RETURN_S), _MAX_RETURN_S)
        spread = 1 + _RETURN_SPREAD * (2 * draw - 1)
        return int(mean_s * spread * 1000)

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            'is_enabled': self.is_enabled,
            **self.rooms.dump(clock.recent()),
        }
