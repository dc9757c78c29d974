"""Rate tokens that a node may spend, by workspace (requirement R4).

The control session calls next_wants() at each grant interval, and immediately
when needs_grant_now() is true, sends the request to the ledger, and calls
on_reply() or on_lost(). Only one request is open at a time: the tokens that a
request reports as held, together with the tokens of its reply, must be all
that the node can spend.

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

# Duration of the expected demand that tokens are requested for, seconds: one
# grant interval of 200 ms, and half an interval for the round trip to the
# leader and jitter.
_PREFETCH_S = 0.3

# Time constant of the moving average of demand, seconds, and shortest interval
# over which demand is measured.
_AVERAGING_TIME_S = 1.0
_MIN_MEASUREMENT_S = 0.1

# Share of the lifetime that remains when unspent tokens are returned. Tokens
# that expire at a node are lost to the workspace.
_RETURN_LIFETIME_SHARE = 0.45

# Longest time for which calls are rejected without a new request after the
# ledger rejected one, seconds. It limits each of 900 nodes whose workspace
# exceeds its rate to 20 requests per second instead of one per round trip.
_MAX_REJECTION_S = 0.05

# Longest retry delay sent by a node without a ledger, seconds.
_MAX_LOCAL_RETRY_AFTER_S = 2.0

# Retry delay when the ledger does not reply, milliseconds.
_NO_REPLY_RETRY_AFTER_MS = 1000


# Takes a token of a workspace until a deadline, or raises RequestError.
TakeFallback = collections.abc.Callable[
    [str, float], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """Call that waits for a token."""

    # Completes with a token or a RequestError.
    future: asyncio.Future[None]
    # Whether the open request includes this call.
    is_requested: bool = False


@dataclasses.dataclass(slots=True)
class _WorkspaceState:
    """Tokens and demand of one workspace."""

    # [expiry time, number of tokens], oldest first.
    batches: collections.deque[list[float]] = dataclasses.field(
        default_factory=collections.deque
    )
    # Waiting calls in order of arrival.
    waiters: collections.deque[_Waiter] = dataclasses.field(
        default_factory=collections.deque
    )
    # Tokens that the ledger counts as unspent at this node.
    reported_held: int = 0
    # Calls since measurement_started_at.
    calls: int = 0
    # Start of the current measurement, seconds.
    measurement_started_at: float = 0.0
    # Moving average and last measurement of demand, calls per second.
    average_demand: float = 0.0
    last_demand: float = 0.0
    # Time until which calls are rejected without a request, seconds.
    rejected_until: float = 0.0


class Allowance:
    """Tokens of all workspaces at one node."""

    def __init__(self, lifetime_s: float, wait_s: float) -> None:
        # Time for which a token may be spent after its request, seconds.
        self.lifetime_s = lifetime_s
        # Longest wait of a call for a token, seconds.
        self.wait_s = wait_s
        # Callbacks invoked when a call starts to wait.
        self.on_wait: list[collections.abc.Callable[[], None]] = []
        # Share spent while the ledger is unreachable; None disables it.
        self.share: local_share.LocalShare | None = None
        # Takes a token while the ledger is unreachable; None uses the share.
        self.take_fallback: TakeFallback | None = None
        self._states: dict[str, _WorkspaceState] = {}
        # Number of the last request.
        self._request_number = 0
        self._is_request_open = False

    def try_take(self, workspace: str, now: float) -> bool:
        """Take an available token; return False when the call must wait."""
        state = self._state_of(workspace, now)
        if state.waiters or not self._spend(state, now):
            return False
        state.calls += 1
        return True

    async def take(self, workspace: str, deadline: float) -> None:
        """Take a token, waiting for the ledger if necessary.

        Errors: RequestError of kind RATE_EXCEEDED when no token is left,
        CONTROL_LOST when no reply arrived within wait_s and there is no local
        share, DEADLINE_PASSED when the deadline passed first.
        """
        now = clock.now()
        if self.try_take(workspace, now):
            return
        state = self._state_of(workspace, now)
        state.calls += 1
        share = self.share
        if share is not None and not share.should_try_ledger(now):
            await self._take_without_ledger(share, workspace, deadline)
            return
        try:
            await self._wait_for_token(state, workspace, deadline)
        except errors.RequestError as e:
            if share is None or e.kind is not errors.ErrorKind.CONTROL_LOST:
                raise
            await self._take_without_ledger(share, workspace, deadline)

    async def take_from_ledger(self, workspace: str, deadline: float) -> None:
        """Take a token for another node, only from the ledger.

        Errors: those of take(), with CONTROL_LOST whenever no reply arrived
        within wait_s.
        """
        now = clock.now()
        if self.try_take(workspace, now):
            return
        state = self._state_of(workspace, now)
        state.calls += 1
        await self._wait_for_token(state, workspace, deadline)

    async def _wait_for_token(
        self, state: _WorkspaceState, workspace: str, deadline: float
    ) -> None:
        """Wait for a token from the ledger."""
        now = clock.now()
        if now < state.rejected_until:
            raise refusal(workspace, state.rejected_until - now)
        loop = asyncio.get_running_loop()
        waiter = _Waiter(loop.create_future())
        state.waiters.append(waiter)
        for callback in self.on_wait:
            callback()
        remaining_s = max(deadline - now, 0.0)
        kind = errors.ErrorKind.CONTROL_LOST
        if remaining_s < self.wait_s:
            kind = errors.ErrorKind.DEADLINE_PASSED
        timer = loop.call_later(
            min(remaining_s, self.wait_s),
            _fail,
            waiter.future,
            errors.RequestError(
                kind,
                f'no token for workspace {workspace} in time',
                _NO_REPLY_RETRY_AFTER_MS,
            ),
        )
        try:
            await waiter.future
        finally:
            timer.cancel()
            if waiter in state.waiters:
                state.waiters.remove(waiter)

    async def _take_without_ledger(
        self, share: local_share.LocalShare, workspace: str, deadline: float
    ) -> None:
        if self.take_fallback is not None:
            await self.take_fallback(workspace, deadline)
            return
        now = clock.now()
        if share.try_take(workspace, now):
            return
        rate = max(
            share.local_rate(workspace, now), 1 / _MAX_LOCAL_RETRY_AFTER_S
        )
        raise refusal(workspace, 1 / rate)

    def needs_grant_now(self) -> bool:
        """Return whether a call is waiting and no request is open."""
        return not self._is_request_open and any(
            state.waiters for state in self._states.values()
        )

    def next_wants(self, now: float) -> list[messages.Want]:
        """Return the wants of the next request; empty when none is needed.

        A non-empty list opens a request: the caller sends it and then calls
        on_reply() or on_lost().
        """
        if self._is_request_open:
            return []
        wants = []
        for workspace, state in list(self._states.items()):
            self._measure_demand(state, now)
            target = _target_tokens(
                max(state.average_demand, state.last_demand)
            )
            returned = self._return_tokens(state, target, now)
            held = self._held(state, now)
            for waiter in state.waiters:
                waiter.is_requested = True
            waiting = len(state.waiters)
            wanted = waiting + max(target - held, 0)
            # Spent tokens are reported even when no tokens are wanted, because
            # until then the ledger counts them as outstanding and grants fewer
            # tokens to others.
            if wanted or returned or held < state.reported_held:
                state.reported_held = held
                wants.append(
                    messages.Want(
                        messages.WorkspaceName(workspace),
                        held,
                        wanted,
                        self._request_number + 1,
                        returned,
                        waiting,
                    )
                )
            elif not (held or target or state.calls):
                del self._states[workspace]
        if wants:
            self._request_number += 1
            self._is_request_open = True
        return wants

    def on_reply(
        self,
        sent_at: float,
        wants: list[messages.Want],
        grants: list[messages.Grant],
        now: float,
    ) -> None:
        """Apply the reply to the open request; ignore any other reply."""
        if (
            not self._is_request_open
            or not wants
            or wants[0].number != self._request_number
        ):
            return
        self._is_request_open = False
        if self.share is not None:
            self.share.on_ledger_reply(now)
        for grant in grants:
            state = self._state_of(grant.workspace, now)
            state.reported_held += grant.tokens
            if grant.tokens:
                state.batches.append([sent_at + self.lifetime_s, grant.tokens])
            self._serve_waiters(state, now)
            if not grant.retry_after_ms:
                continue
            rejection_s = min(grant.retry_after_ms / 1000, _MAX_REJECTION_S)
            state.rejected_until = now + rejection_s
            retry_after_s = grant.retry_after_ms / 1000
            while state.waiters and state.waiters[0].is_requested:
                waiter = state.waiters.popleft()
                _fail(waiter.future, refusal(grant.workspace, retry_after_s))
        self._clear_requested()

    def on_lost(self) -> None:
        """Close the open request because no reply will arrive.

        Tokens of a reply that arrives later are not used.
        """
        self._is_request_open = False
        if self.share is not None:
            self.share.on_ledger_lost(clock.now())
        self._clear_requested()

    def dump(self, now: float) -> dict[str, dict[str, float]]:
        """Return the state of each workspace, for /state."""
        return {
            workspace: {
                'held': self._held(state, now),
                'waiting': len(state.waiters),
                'demand_per_s': state.average_demand,
            }
            for workspace, state in self._states.items()
        }

    def _state_of(self, workspace: str, now: float) -> _WorkspaceState:
        state = self._states.get(workspace)
        if state is None:
            state = self._states[workspace] = _WorkspaceState(
                measurement_started_at=now
            )
        return state

    def _spend(self, state: _WorkspaceState, now: float) -> bool:
        batches = state.batches
        while batches:
            batch = batches[0]
            if batch[0] <= now or not batch[1]:
                batches.popleft()
                continue
            batch[1] -= 1
            return True
        return False

    def _held(self, state: _WorkspaceState, now: float) -> int:
        return sum(int(b[1]) for b in state.batches if b[0] > now)

    def _serve_waiters(self, state: _WorkspaceState, now: float) -> None:
        while state.waiters:
            future = state.waiters[0].future
            if not future.done():
                if not self._spend(state, now):
                    return
                future.set_result(None)
            state.waiters.popleft()

    def _clear_requested(self) -> None:
        for state in self._states.values():
            for waiter in state.waiters:
                waiter.is_requested = False

    def _measure_demand(self, state: _WorkspaceState, now: float) -> None:
        elapsed_s = now - state.measurement_started_at
        if elapsed_s < _MIN_MEASUREMENT_S:
            return
        state.last_demand = state.calls / elapsed_s
        weight = 1 - math.exp(-elapsed_s / _AVERAGING_TIME_S)
        state.average_demand += (
            state.last_demand - state.average_demand
        ) * weight
        state.calls = 0
        state.measurement_started_at = now

    def _return_tokens(
        self, state: _WorkspaceState, target: int, now: float
    ) -> int:
        """Remove tokens that expire soon or are surplus; return how many."""
        returned = 0
        surplus = self._held(state, now) - 2 * target
        return_before = now + self.lifetime_s * _RETURN_LIFETIME_SHARE
        while state.batches:
            batch = state.batches[0]
            if batch[0] > now:
                count = int(batch[1])
                if batch[0] > return_before:
                    count = min(count, max(surplus - returned, 0))
                returned += count
                if count < batch[1]:
                    batch[1] -= count
                    break
            state.batches.popleft()
        return returned


def _target_tokens(demand: float) -> int:
    """Return the number of tokens to hold for a demand in calls per second.

    Two standard deviations of Poisson arrivals are added, so that nearly every
    call finds a token. For less than one expected call no token is held,
    because other nodes may need it.
    """
    expected = demand * _PREFETCH_S
    if expected < 1:
        return 0
    return math.ceil(expected + 2 * math.sqrt(expected))


def refusal(workspace: str, retry_after_s: float) -> errors.RequestError:
    """Return the error for a call beyond its rate, with its retry delay."""
    return errors.RequestError(
        errors.ErrorKind.RATE_EXCEEDED,
        f'workspace {workspace} has used its rate and burst',
        max(math.ceil(retry_after_s * 1000), 1),
    )


def _fail(future: asyncio.Future[None], error: errors.RequestError) -> None:
    if not future.done():
        future.set_exception(error)
