"""Tokens that a node may spend, by workspace (requirement R4).

The control session asks next_wants() each grant interval, and at once when
needs_grant_now(), sends the request to the ledger, and reports on_reply() or
on_lost(). One request is open at a time: what a request says it holds must
be all that can be spent, together with its own reply.

Example: if not allowance.try_take('shop-3', now):
             await allowance.take('shop-3', deadline)
"""

import asyncio
import collections
import collections.abc
import dataclasses
import math

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.rates import local_share

# Time for which tokens are asked ahead of demand, seconds: one grant interval
# of 200 ms and half of one for the way to the leader and jitter.
_HORIZON_S = 0.3

# Time constant of the moving average of demand, seconds, and shortest time
# over which demand is measured.
_AVERAGE_S = 1.0
_MIN_MEASURE_S = 0.1

# Part of their lifetime at which unspent tokens are given back. Expired ones
# would be lost to the workspace.
_RETURN_SHARE = 0.45

# Longest time for which calls are refused on the ledger's last word without
# asking again, seconds. It bounds the requests of 900 nodes whose workspace
# is over its rate: 20 a second from each instead of one a round trip.
_MAX_PAUSE_S = 0.05

# Longest time to come back that a node without a ledger tells, seconds.
_MAX_SHARE_WAIT_S = 2.0

# A ledger that gave no reply is worth another try after this, milliseconds.
_NO_REPLY_RETRY_MS = 1000


# Takes a token of a workspace until a deadline, or raises a refusal.
TakeElsewhere = collections.abc.Callable[
    [str, float], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """One call that waits for a token."""

    # Ends when there is a token or a refusal.
    future: asyncio.Future[None]
    # The open request asks for its token.
    is_asked: bool = False


@dataclasses.dataclass(slots=True)
class _Purse:
    """Tokens and demand of one workspace."""

    # [time at which the tokens end, tokens], oldest first.
    batches: collections.deque[list[float]] = dataclasses.field(
        default_factory=collections.deque
    )
    # Calls that wait, in order of arrival.
    waiters: collections.deque[_Waiter] = dataclasses.field(
        default_factory=collections.deque
    )
    # Tokens that the ledger takes for unspent.
    reported: int = 0
    # Calls since measured_at.
    calls: int = 0
    # Start of the present measurement, seconds.
    measured_at: float = 0.0
    # Moving average and last measurement of demand, calls per second.
    average: float = 0.0
    last: float = 0.0
    # Until when calls are refused without asking, seconds.
    refused_until: float = 0.0


class Allowance:
    """All workspaces of one node."""

    def __init__(self, lifetime_s: float, wait_s: float) -> None:
        # Time a token may be spent after it was asked for, seconds.
        self.lifetime_s = lifetime_s
        # Longest wait of a call for a token, seconds.
        self.wait_s = wait_s
        # Called when a call starts to wait.
        self.on_need: list[collections.abc.Callable[[], None]] = []
        # What is spent without a ledger; None means nothing.
        self.share: local_share.LocalShare | None = None
        # Takes a token without a ledger; None means from the share.
        self.take_elsewhere: TakeElsewhere | None = None
        self._purses: dict[str, _Purse] = {}
        # Number of the last request.
        self._number = 0
        self._is_open = False

    def try_take(self, workspace: str, now: float) -> bool:
        """Take a token that is here; False when the call must wait."""
        purse = self._purse(workspace, now)
        if purse.waiters or not self._spend(purse, now):
            return False
        purse.calls += 1
        return True

    async def take(self, workspace: str, deadline: float) -> None:
        """Take a token, waiting for the ledger if need be.

        Errors: RequestError with RATE_EXCEEDED when the ledger has none,
        CONTROL_LOST when no reply came within wait_s, DEADLINE_PASSED when
        the deadline came first.
        """
        now = clock.now()
        if self.try_take(workspace, now):
            return
        purse = self._purse(workspace, now)
        purse.calls += 1
        share = self.share
        if share is not None and not share.should_try_ledger(now):
            await self._take_without_ledger(share, workspace, deadline)
            return
        try:
            await self._wait(purse, workspace, deadline)
        except errors.RequestError as e:
            if share is None or e.kind is not errors.ErrorKind.CONTROL_LOST:
                raise
            await self._take_without_ledger(share, workspace, deadline)

    async def take_from_ledger(self, workspace: str, deadline: float) -> None:
        """Take a token for another node, from the ledger only.

        Errors: as of take().
        """
        now = clock.now()
        if self.try_take(workspace, now):
            return
        purse = self._purse(workspace, now)
        purse.calls += 1
        await self._wait(purse, workspace, deadline)

    async def _wait(
        self, purse: _Purse, workspace: str, deadline: float
    ) -> None:
        """Wait for a token of the ledger."""
        now = clock.now()
        if now < purse.refused_until:
            raise refusal(workspace, purse.refused_until - now)
        loop = asyncio.get_running_loop()
        waiter = _Waiter(loop.create_future())
        purse.waiters.append(waiter)
        for callback in self.on_need:
            callback()
        left_s = max(deadline - now, 0.0)
        kind = errors.ErrorKind.CONTROL_LOST
        if left_s < self.wait_s:
            kind = errors.ErrorKind.DEADLINE_PASSED
        timer = loop.call_later(
            min(left_s, self.wait_s),
            _fail,
            waiter.future,
            errors.RequestError(
                kind, f'no token for {workspace} in time', _NO_REPLY_RETRY_MS
            ),
        )
        try:
            await waiter.future
        finally:
            timer.cancel()
            if waiter in purse.waiters:
                purse.waiters.remove(waiter)

    async def _take_without_ledger(
        self, share: local_share.LocalShare, workspace: str, deadline: float
    ) -> None:
        if self.take_elsewhere is not None:
            await self.take_elsewhere(workspace, deadline)
            return
        now = clock.now()
        if share.try_take(workspace, now):
            return
        rate = max(share.rate_of(workspace, now), 1 / _MAX_SHARE_WAIT_S)
        raise refusal(workspace, 1 / rate)

    def needs_grant_now(self) -> bool:
        """Return whether a call waits and no request is open."""
        return not self._is_open and any(
            purse.waiters for purse in self._purses.values()
        )

    def next_wants(self, now: float) -> list[messages.Want]:
        """Return what to ask for now; empty when nothing is needed.

        A list that is not empty opens a request: send it, then call
        on_reply() or on_lost().
        """
        if self._is_open:
            return []
        wants = []
        for workspace, purse in list(self._purses.items()):
            self._measure(purse, now)
            target = _target(max(purse.average, purse.last))
            returned = self._give_back(purse, target, now)
            held = self._held(purse, now)
            for waiter in purse.waiters:
                waiter.is_asked = True
            waiting = len(purse.waiters)
            wanted = waiting + max(target - held, 0)
            # Spent tokens are told even when none are wanted: until then
            # the ledger keeps others from having as many.
            if wanted or returned or held < purse.reported:
                purse.reported = held
                wants.append(
                    messages.Want(
                        messages.WorkspaceName(workspace),
                        held,
                        wanted,
                        self._number + 1,
                        returned,
                        waiting,
                    )
                )
            elif not (held or target or purse.calls):
                del self._purses[workspace]
        if wants:
            self._number += 1
            self._is_open = True
        return wants

    def on_reply(
        self,
        sent_at: float,
        wants: list[messages.Want],
        grants: list[messages.Grant],
        now: float,
    ) -> None:
        """Take over the reply to the open request; others are ignored."""
        if not self._is_open or not wants or wants[0].number != self._number:
            return
        self._is_open = False
        if self.share is not None:
            self.share.end(now)
        for grant in grants:
            purse = self._purse(grant.workspace, now)
            purse.reported += grant.tokens
            if grant.tokens:
                purse.batches.append([sent_at + self.lifetime_s, grant.tokens])
            self._serve(purse, now)
            if not grant.retry_after_ms:
                continue
            pause_s = min(grant.retry_after_ms / 1000, _MAX_PAUSE_S)
            purse.refused_until = now + pause_s
            refusal_s = grant.retry_after_ms / 1000
            while purse.waiters and purse.waiters[0].is_asked:
                waiter = purse.waiters.popleft()
                _fail(waiter.future, refusal(grant.workspace, refusal_s))
        self._forget_asked()

    def on_lost(self) -> None:
        """Note that the open request gets no reply.

        Tokens of a reply that comes later are not used.
        """
        self._is_open = False
        if self.share is not None:
            self.share.begin(clock.now())
        self._forget_asked()

    def dump(self, now: float) -> dict[str, dict[str, float]]:
        """Return the state of each workspace, for /state."""
        return {
            workspace: {
                'held': self._held(purse, now),
                'waiting': len(purse.waiters),
                'demand_per_s': purse.average,
            }
            for workspace, purse in self._purses.items()
        }

    def _purse(self, workspace: str, now: float) -> _Purse:
        purse = self._purses.get(workspace)
        if purse is None:
            purse = self._purses[workspace] = _Purse(measured_at=now)
        return purse

    def _spend(self, purse: _Purse, now: float) -> bool:
        batches = purse.batches
        while batches:
            batch = batches[0]
            if batch[0] <= now or not batch[1]:
                batches.popleft()
                continue
            batch[1] -= 1
            return True
        return False

    def _held(self, purse: _Purse, now: float) -> int:
        return sum(int(b[1]) for b in purse.batches if b[0] > now)

    def _serve(self, purse: _Purse, now: float) -> None:
        while purse.waiters:
            future = purse.waiters[0].future
            if not future.done():
                if not self._spend(purse, now):
                    return
                future.set_result(None)
            purse.waiters.popleft()

    def _forget_asked(self) -> None:
        for purse in self._purses.values():
            for waiter in purse.waiters:
                waiter.is_asked = False

    def _measure(self, purse: _Purse, now: float) -> None:
        span = now - purse.measured_at
        if span < _MIN_MEASURE_S:
            return
        purse.last = purse.calls / span
        weight = 1 - math.exp(-span / _AVERAGE_S)
        purse.average += (purse.last - purse.average) * weight
        purse.calls = 0
        purse.measured_at = now

    def _give_back(self, purse: _Purse, target: int, now: float) -> int:
        """Drop tokens that end soon or are not needed; return how many."""
        returned = 0
        surplus = self._held(purse, now) - 2 * target
        ends_before = now + self.lifetime_s * _RETURN_SHARE
        while purse.batches:
            batch = purse.batches[0]
            if batch[0] > now:
                count = int(batch[1])
                if batch[0] > ends_before:
                    count = min(count, max(surplus - returned, 0))
                returned += count
                if count < batch[1]:
                    batch[1] -= count
                    break
            purse.batches.popleft()
        return returned


def _target(demand: float) -> int:
    """Return the tokens to hold for a demand in calls per second.

    Two standard deviations of Poisson arrivals come on top, so that nearly
    all calls find a token. Less than one expected call is not worth a token
    that other nodes may need.
    """
    expected = demand * _HORIZON_S
    if expected < 1:
        return 0
    return math.ceil(expected + 2 * math.sqrt(expected))


def refusal(workspace: str, wait_s: float) -> errors.RequestError:
    """Return the error for a call beyond its rate; wait_s is told."""
    return errors.RequestError(
        errors.ErrorKind.RATE_EXCEEDED,
        f'workspace {workspace} has used its rate and burst',
        max(math.ceil(wait_s * 1000), 1),
    )


def _fail(future: asyncio.Future[None], error: errors.RequestError) -> None:
    if not future.done():
        future.set_exception(error)
