"""Admits, queues and dispatches calls for the node's own upstream.

A call passes the quarantine check, the queue, the concurrency limit and, for
a non-idempotent operation, the claim. It is then dispatched once. The step at
which a call fails determines whether its outcome is not run, run or unknown.
"""

import asyncio
import math
import random
import secrets
import typing

from godwitstall import clock
from godwitstall import errors
from godwitstall.limits import chain_throttle
from godwitstall.limits import fair_queue
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import answers
from godwitstall.node import dialect as dialect_module
from godwitstall.node import dispatcher as dispatcher_module
from godwitstall.node import exchange
from godwitstall.node import owner_room as owner_room_module
from godwitstall.node import planned_stop
from godwitstall.node.requests import context
from godwitstall.node.sessions import claims
from godwitstall.node.sessions import crashes
from godwitstall.node.upstreams import slots
from godwitstall.node.upstreams import upstream as upstream_module
from godwitstall.routing import chain_rooms
from godwitstall.routing import view as view_module
from godwitstall import settings

_LOG = logs.get('dispatch')
_ANSWERS = metrics.counter(
    'owner_answers_total', 'Answers of the owner side by error kind.'
)

# Mean retry time of a call that the chain throttle rejects, milliseconds. It
# is jittered by half, so that rejected callers do not retry together.
_CHAIN_RETRY_AFTER_MS = 1000

# Longest time from the token for a call to its dispatch, seconds.
_MAX_TOKEN_AGE_S = 0.25


class Owner:
    """Admits, queues and dispatches calls for the node's own upstream."""

    def __init__(
        self,
        options: settings.NodeOptions,
        view: view_module.View,
        upstream: upstream_module.Upstream,
        contexts: context.Contexts,
        claimer: claims.Claimer,
        crash_detector: crashes.CrashDetector,
        dialect: dialect_module.Dialect | None = None,
        rooms: chain_rooms.ChainRooms | None = None,
    ) -> None:
        self.options = options
        self.view = view
        self.upstream = upstream
        self.contexts = contexts
        self.claimer = claimer
        self.slots = slots.Slots(
            fair_queue.FairQueue(
                options.max_queue, options.max_queue_wait_ms / 1000
            ),
            upstream,
        )
        # Number of calls in handle(), including queued calls.
        self.active = 0
        self.planned_stop = planned_stop.PlannedStop()
        self.throttle = chain_throttle.ChainThrottle()
        self.random = random.Random()
        self.room = owner_room_module.OwnerRoom(
            rooms or chain_rooms.ChainRooms(), options.admits_by_chain_room
        )
        self.dispatcher = dispatcher_module.Dispatcher(
            upstream,
            contexts,
            crash_detector,
            self.slots,
            self.throttle,
            dialect,
            self.room,
        )
        # Serializes suspect requests, so that a crash can be attributed to
        # one of them.
        self.suspect_lock = asyncio.Lock()
        view.on_change.append(self._on_view_change)

    def _on_view_change(self) -> None:
        if self.view.is_evacuated(self.options.zone):
            self.slots.reject_queued(errors.ErrorKind.ZONE_EVACUATED)

    def load(self) -> messages.LoadReport:
        """Return the load report that answers carry to entry nodes."""
        now = clock.recent()
        return messages.LoadReport(
            self.slots.running,
            len(self.slots.queue),
            self.upstream.load_limit(now),
            self.upstream.state,
            self.upstream.incarnation,
            self.upstream.accepted_rate(now),
            math.ceil(self.upstream.cold.rate.remaining_s(now) * 1000),
        )

    async def handle(self, call: messages.Call) -> messages.Answer:
        """Run one call and return its answer; errors are answers too.

        The task is cancelled when the caller gives up. A queued call is then
        removed from the queue, and a running call is cancelled.
        """
        deadline = clock.recent() + call.deadline_ms / 1000
        self.active += 1
        self.upstream.adopt_rate_limit(
            call.rate_limit, call.limited_incarnation
        )
        try:
            answer = await self._admit(call, deadline)
        except errors.RequestError as e:
            answer = answers.of_error(e)
        except Exception:
            _LOG.exception('Unexpected error while handling a call.')
            answer = answers.of_error(
                errors.RequestError(errors.ErrorKind.INTERNAL)
            )
            answer.attempts_used = call.attempts
        finally:
            self.active -= 1
        answer.call_id = call.call_id
        answer.load = self.load()
        answer.rooms = self.room.rooms_of_answer(
            call,
            # Other owners run what a cold upstream refuses.
            0 if answer.load.cold_ms else answer.load.limit,
            clock.recent(),
        )
        _ANSWERS.inc(kind=answer.kind.label)
        return answer

    async def _admit(
        self, call: messages.Call, deadline: float
    ) -> messages.Answer:
        self.planned_stop.check(deadline)
        self._check_ready()
        if call.service != self.options.service:
            # A node of the other service had this address before.
            raise errors.RequestError(
                errors.ErrorKind.UPSTREAM_UNREACHABLE,
                f'This node serves {self.options.service}, not '
                f'{call.service}.',
            )
        if self.options.is_pass_through:
            return await self._dispatch(call, deadline)
        if self.view.is_quarantined(call.fingerprint):
            raise errors.RequestError(errors.ErrorKind.QUARANTINED)
        self._check_chain_throttle(call)
        if not self.view.is_suspect(call.fingerprint):
            return await self._run_in_slot(call, deadline)
        await self._acquire_suspect_lock(deadline)
        try:
            if self.view.is_quarantined(call.fingerprint):
                raise errors.RequestError(errors.ErrorKind.QUARANTINED)
            return await self._run_in_slot(call, deadline)
        finally:
            self.suspect_lock.release()

    def _check_chain_throttle(self, call: messages.Call) -> None:
        """Reject a new chain that would probably fail in an onward call."""
        if self.dispatcher.is_throttled(call) and not self.throttle.admits(
            call.route_name, self.random.random(), clock.recent()
        ):
            raise errors.RequestError(
                errors.ErrorKind.CHAIN_OVERLOADED,
                retry_after_ms=int(
                    _CHAIN_RETRY_AFTER_MS * self.random.uniform(0.5, 1.5)
                ),
            )

    async def _acquire_suspect_lock(self, deadline: float) -> None:
        """Wait for the previous suspect as long as a call may be queued."""
        remaining_s = deadline - clock.recent()
        max_queue_wait_s = self.options.max_queue_wait_ms / 1000
        try:
            async with asyncio.timeout(min(remaining_s, max_queue_wait_s)):
                await self.suspect_lock.acquire()
        except TimeoutError as e:
            kind = errors.ErrorKind.OVERLOADED
            if remaining_s <= max_queue_wait_s:
                kind = errors.ErrorKind.DEADLINE_PASSED
            raise errors.RequestError(kind) from e

    def _check_ready(self) -> None:
        """Reject the call without a lease or a ready upstream.

        Also in an evacuated zone: nodes that do not know of the evacuation yet
        send calls here.
        """
        if not self.claimer.session.may_serve(clock.now()):
            raise errors.RequestError(errors.ErrorKind.CONTROL_LOST)
        if not self.upstream.is_ready():
            raise errors.RequestError(
                errors.ErrorKind.UPSTREAM_UNREACHABLE,
                'The upstream is not ready.',
            )
        if self.view.is_evacuated(self.options.zone):
            raise errors.RequestError(
                errors.ErrorKind.ZONE_EVACUATED,
                f'Zone {self.options.zone} is evacuated.',
            )

    async def _run_in_slot(
        self, call: messages.Call, deadline: float
    ) -> messages.Answer:
        self.room.on_arrival(call, clock.recent())
        try:
            await self.slots.acquire(call, deadline)
        except errors.RequestError:
            self.room.on_refused(call)
            raise
        started = clock.recent()
        try:
            if not call.operation_id or call.is_idempotent:
                return await self._dispatch(call, deadline)
            return await self._run_operation(call, deadline)
        finally:
            held_s = clock.recent() - started
            self.room.on_end(call, held_s)
            self.slots.release(call.is_onward, held_s)

    async def _run_operation(
        self, call: messages.Call, deadline: float
    ) -> messages.Answer:
        attempt_id = messages.AttemptId(secrets.token_hex(16))
        granted_at = clock.recent()
        earlier_answer = await self.claimer.claim(
            call, attempt_id, exchange.request_digest(call), deadline
        )
        if earlier_answer is not None:
            return earlier_answer
        try:
            # The key is checked again because control has just confirmed the
            # claim, so this view is at least as new as the entry node's.
            if call.key_id and self.view.key_by_id(call.key_id) is None:
                raise errors.RequestError(errors.ErrorKind.KEY_UNKNOWN)
            self._renew_token(granted_at)
            answer = await self._dispatch(call, deadline)
        except errors.RequestError as e:
            if errors.ANSWERS[e.kind].outcome is errors.Outcome.NOT_RUN:
                await self.claimer.release_and_wait(call, attempt_id)
            else:
                self.claimer.complete_unknown(call, attempt_id)
            raise
        except BaseException:
            self.claimer.complete_unknown(call, attempt_id)
            raise
        if answer.kind is errors.ErrorKind.NONE:
            await self.claimer.complete(call, attempt_id, answer)
        elif answer.outcome is errors.Outcome.NOT_RUN:
            await self.claimer.release_and_wait(call, attempt_id)
        else:
            self.claimer.complete_unknown(call, attempt_id)
        return answer

    def _renew_token(self, granted_at: float) -> None:
        """Take another token of the upstream's rate after a slow claim.

        Otherwise calls whose claims were delayed together would reach the
        upstream together.
        """
        now = clock.recent()
        if now - granted_at < _MAX_TOKEN_AGE_S:
            return
        if not self.upstream.has_token(now):
            raise errors.RequestError(errors.ErrorKind.OVERLOADED)
        self.upstream.take_token(now)

    async def _dispatch(
        self, call: messages.Call, deadline: float
    ) -> messages.Answer:
        # The lease or the upstream may have been lost since _admit(), because
        # the queue and the claim take time.
        self._check_ready()
        return await self.dispatcher.dispatch(call, deadline)

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            **self.slots.dump(),
            'active': self.active,
            'contexts': len(self.contexts.running),
            'room': self.room.dump(),
        }
