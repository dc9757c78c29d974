"""Admits, queues and dispatches calls for the node's own upstream.

A call passes the quarantine check, the queue, the concurrency limit and, for
a non-idempotent operation, the claim. It is then dispatched once. The step at
which a call fails determines whether its outcome is not run, run or unknown.
"""

import asyncio
import dataclasses
import random
import secrets
import typing

from godwitstall import clock
from godwitstall import decisions
from godwitstall import errors
from godwitstall.limits import chain_throttle
from godwitstall.limits import fair_queue
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import dialect as dialect_module
from godwitstall.node import exchange
from godwitstall.node import planned_stop
from godwitstall.node.requests import context
from godwitstall.node.requests import headers
from godwitstall.node.sessions import claims
from godwitstall.node.sessions import crashes
from godwitstall.node.upstreams import slots
from godwitstall.node.upstreams import upstream as upstream_module
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_client
from godwitstall.node.upstreams import upstream_status
from godwitstall.routing import view as view_module
from godwitstall import settings

_LOG = logs.get('dispatch')
_DISPATCHES = metrics.counter(
    'dispatched_total', 'Requests sent to the own upstream.'
)
_UPSTREAM_SECONDS = metrics.histogram(
    'upstream_seconds', 'Time of a dispatch by error kind, onward calls in.'
)
_ANSWERS = metrics.counter(
    'owner_answers_total', 'Answers of the owner side by error kind.'
)

# Refusals of calls that were not run are temporary if they have one of these
# statuses, and carry a retry time (requirement R12). It is this default unless
# a better one is known, milliseconds.
_RETRY_AFTER_STATUSES = frozenset((429, 503, 504))
_DEFAULT_RETRY_AFTER_MS = 1000

# Mean retry time of a call that the chain throttle rejects, milliseconds. It
# is jittered by half, so that rejected callers do not retry together.
_CHAIN_RETRY_AFTER_MS = 1000

# Longest time from the token for a call to its dispatch, seconds.
_MAX_TOKEN_AGE_S = 0.25

# Maximum number of digits in an upstream's Retry-After header. A longer value
# is ignored.
_MAX_RETRY_AFTER_DIGITS = 4

# Error kinds that the concurrency limit counts as overload of the upstream.
_OVERLOAD_KINDS = frozenset(
    (
        errors.ErrorKind.UPSTREAM_TIMEOUT,
        errors.ErrorKind.UPSTREAM_SHED,
        errors.ErrorKind.UPSTREAM_LOST,
    )
)

# Error kinds after which the upstream process may have crashed.
_POSSIBLE_CRASH_KINDS = frozenset(
    (errors.ErrorKind.UPSTREAM_LOST, errors.ErrorKind.ANSWER_CUT)
)


@dataclasses.dataclass(slots=True)
class _DispatchResult:
    """Result of one dispatch."""

    # Error kind; NONE for a complete answer.
    kind: errors.ErrorKind
    # Answer of the upstream; None if there is none.
    answer: upstream_answer.UpstreamAnswer | None
    # Human-readable description of the error.
    detail: str
    # Whether the upstream refused the connection, so no process listens.
    is_connection_refused: bool = False


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
    ) -> None:
        # Header names that the upstream uses; None means godwitstall-*.
        self.dialect = dialect
        self.options = options
        self.view = view
        self.upstream = upstream
        self.contexts = contexts
        self.claimer = claimer
        self.crash_detector = crash_detector
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
        # Serializes suspect requests, so that a crash can be attributed to
        # one of them.
        self.suspect_lock = asyncio.Lock()

    def load(self) -> messages.LoadReport:
        """Return the load report that answers carry to entry nodes."""
        is_usable = self.upstream.is_ready() and not self.upstream.is_stalled
        limit = self.upstream.capacity(clock.recent()) if is_usable else 0
        rate = self.upstream.rate
        rate_concurrency = rate.concurrency()
        if rate_concurrency is not None:
            limit = min(limit, rate_concurrency)
        return messages.LoadReport(
            self.slots.running,
            len(self.slots.queue),
            limit,
            self.upstream.state,
            self.upstream.incarnation,
            rate.limit if rate.is_known() else None,
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
            answer = error_answer(e)
        except Exception:
            _LOG.exception('Unexpected error while handling a call.')
            answer = error_answer(
                errors.RequestError(errors.ErrorKind.INTERNAL)
            )
            answer.attempts_used = call.attempts
        finally:
            self.active -= 1
        answer.call_id = call.call_id
        answer.load = self.load()
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
        if self._is_subject_to_throttle(call) and not self.throttle.admits(
            call.route_name, self.random.random(), clock.recent()
        ):
            raise errors.RequestError(
                errors.ErrorKind.CHAIN_OVERLOADED,
                retry_after_ms=int(
                    _CHAIN_RETRY_AFTER_MS * self.random.uniform(0.5, 1.5)
                ),
            )

    def _is_subject_to_throttle(self, call: messages.Call) -> bool:
        return (
            self.dialect is not None
            and not call.is_onward
            and call.priority is not messages.Priority.PAYMENT
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
        """Reject the call without a lease or a ready upstream."""
        if not self.claimer.session.may_serve(clock.now()):
            raise errors.RequestError(errors.ErrorKind.CONTROL_LOST)
        if not self.upstream.is_ready():
            raise errors.RequestError(
                errors.ErrorKind.UPSTREAM_UNREACHABLE,
                'The upstream is not ready.',
            )

    async def _run_in_slot(
        self, call: messages.Call, deadline: float
    ) -> messages.Answer:
        await self.slots.acquire(call, deadline)
        started = clock.recent()
        try:
            if not call.operation_id or call.is_idempotent:
                return await self._dispatch(call, deadline)
            return await self._run_operation(call, deadline)
        finally:
            self.slots.release(call.is_onward, clock.recent() - started)

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
        if not self.upstream.rate.may_send(now):
            raise errors.RequestError(errors.ErrorKind.OVERLOADED)
        self.upstream.rate.take(now)

    async def _dispatch(
        self, call: messages.Call, deadline: float
    ) -> messages.Answer:
        # The lease or the upstream may have been lost since _admit(), because
        # the queue and the claim take time.
        self._check_ready()
        now = clock.recent()
        if now >= deadline:
            raise errors.RequestError(errors.ErrorKind.DEADLINE_PASSED)
        if call.attempts < 1:
            raise errors.RequestError(errors.ErrorKind.ATTEMPTS_USED)
        client = self.upstream.client
        assert client is not None
        incarnation = self.upstream.incarnation
        running_request = self.contexts.open(call, deadline, now)
        _DISPATCHES.inc(service=call.service)
        self.upstream.on_send(now)
        try:
            result = await self._send(client, call, running_request, deadline)
        finally:
            self.contexts.close(running_request)
        ended = clock.recent()
        self._update_status(result, incarnation)
        _UPSTREAM_SECONDS.observe(ended - now, kind=result.kind.label)
        if running_request.onward_time_s and self._is_subject_to_throttle(
            call
        ):
            is_success = (
                not running_request.has_failed_onward_call
                and result.kind is (errors.ErrorKind.NONE)
            )
            self.throttle.on_end(call.route_name, is_success, ended)
        self._update_limit(result, running_request, ended)
        if result.kind is not errors.ErrorKind.NONE:
            decisions.write(
                'dispatch',
                'run_failed',
                request=call.request_id.decode('latin-1'),
                service=call.service,
                instance=self.upstream.instance_id,
                announced_ago_ms=round(
                    (ended - self.upstream.announced_at) * 1000
                ),
                kind=result.kind.label,
                detail=result.detail,
                took_ms=round((ended - now) * 1000),
                running=self.slots.running,
                queued=len(self.slots.queue),
                onward_failed=running_request.has_failed_onward_call,
            )
        if result.is_connection_refused:
            self.upstream.mark_down(incarnation)
        if result.kind in _POSSIBLE_CRASH_KINDS:
            self.crash_detector.on_lost_connection(call, incarnation, client)
        return self._build_answer(call, running_request, result)

    async def _send(
        self,
        client: upstream_client.UpstreamClient,
        call: messages.Call,
        running_request: context.RequestContext,
        deadline: float,
    ) -> _DispatchResult:
        if self.dialect is None:
            header_block = exchange.build_headers(
                call, running_request, deadline
            )
        else:
            header_block = exchange.build_dialect_headers(
                self.dialect, call, self.upstream.instance_id, deadline
            )
        try:
            answer = await client.send(
                call.method,
                call.path,
                header_block,
                call.body,
                deadline,
                call.host,
                call.request_id,
            )
        except errors.RequestError as e:
            is_connection_refused = isinstance(
                e.__cause__, ConnectionRefusedError
            )
            return _DispatchResult(
                e.kind, None, e.detail, is_connection_refused
            )
        if self.dialect is not None:
            kind, detail = exchange.classify_answer(self.dialect, answer)
            return _DispatchResult(kind, answer, detail)
        returned_context = upstream_answer.find_header(
            answer.headers, headers.CONTEXT
        )
        if (
            returned_context is not None
            and returned_context != running_request.token.encode()
        ):
            _LOG.warning('Upstream returned the answer to another request.')
            return _DispatchResult(
                errors.ErrorKind.ANSWER_CUT,
                None,
                'The upstream returned the answer to another request.',
            )
        if upstream_answer.is_shed(answer):
            return _DispatchResult(errors.ErrorKind.UPSTREAM_SHED, answer, '')
        return _DispatchResult(errors.ErrorKind.NONE, answer, '')

    def _update_status(
        self, result: _DispatchResult, incarnation: int
    ) -> None:
        """Process what a complete answer says about the upstream."""
        answer = result.answer
        if answer is None or result.kind is errors.ErrorKind.ANSWER_CUT:
            return
        if exchange.is_misdirected(answer):
            # Another process answers a misdirected request.
            return
        names = upstream_status.DEFAULT_NAMES
        if self.dialect is not None:
            names = self.dialect.status_names
        status = upstream_status.parse(names, answer)
        self.upstream.on_status(status, incarnation, answer.headers_at)

    def _update_limit(
        self,
        result: _DispatchResult,
        running_request: context.RequestContext,
        now: float,
    ) -> None:
        if result.answer is not None:
            self.upstream.on_answer(now)
        self.upstream.limit.on_sample(
            running_request.own_time_s(now),
            self.slots.running,
            # A timeout during an onward call does not indicate overload of
            # this upstream.
            result.kind in _OVERLOAD_KINDS
            and not running_request.onward_calls,
            now,
        )

    def _build_answer(
        self,
        call: messages.Call,
        running_request: context.RequestContext,
        result: _DispatchResult,
    ) -> messages.Answer:
        rule = errors.ANSWERS[result.kind]
        attempts_used = call.attempts - running_request.budget.remaining
        if rule.outcome is errors.Outcome.NOT_RUN:
            # The upstream did not run the request, so the dispatch itself
            # does not count as an attempt.
            attempts_used -= 1
        answer = messages.Answer(
            kind=result.kind,
            outcome=rule.outcome,
            status=rule.status,
            detail=result.detail or rule.text,
            attempts_used=max(0, attempts_used),
            is_final=running_request.has_failed_onward_call,
        )
        if result.answer is not None:
            answer.status = result.answer.status
            answer.headers = headers.to_block(result.answer.headers)
            answer.body = result.answer.body
        if result.kind is errors.ErrorKind.UPSTREAM_SHED and (
            result.answer is not None
        ):
            answer.retry_after_ms = shed_retry_after_ms(result.answer)
        else:
            answer.retry_after_ms = _default_retry_after_ms(rule)
        return answer

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            **self.slots.dump(),
            'active': self.active,
            'contexts': len(self.contexts.running),
        }


def error_answer(error: errors.RequestError) -> messages.Answer:
    """Return the answer to a call that failed with an error."""
    rule = errors.ANSWERS[error.kind]
    retry_after_ms = error.retry_after_ms
    if not retry_after_ms:
        retry_after_ms = _default_retry_after_ms(rule)
    return messages.Answer(
        kind=error.kind,
        outcome=rule.outcome,
        status=rule.status,
        detail=error.detail,
        retry_after_ms=retry_after_ms,
    )


def _default_retry_after_ms(rule: errors.AnswerRule) -> int:
    is_temporary = rule.status in _RETRY_AFTER_STATUSES
    is_not_run = rule.outcome is errors.Outcome.NOT_RUN
    return _DEFAULT_RETRY_AFTER_MS if is_temporary and is_not_run else 0


def shed_retry_after_ms(answer: upstream_answer.UpstreamAnswer) -> int:
    """Return the retry time of an answer that shed a request, milliseconds.

    Only whole seconds are parsed; a date would depend on the upstream's
    clock.
    """
    value = upstream_answer.find_header(answer.headers, headers.RETRY_AFTER)
    if (
        value is None
        or not value.isdigit()
        or len(value) > _MAX_RETRY_AFTER_DIGITS
    ):
        return _DEFAULT_RETRY_AFTER_MS
    return max(1, int(value)) * 1000
