"""The owner side of a node: everything that happens before its own upstream.

A call passes the quarantine check, the queue, the concurrency limit and, for
a non-idempotent operation, the claim; then it is dispatched once. The place
where it fails decides whether the answer says not run, run or unknown.
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
from godwitstall.node import claims
from godwitstall.node import context
from godwitstall.node import crashes
from godwitstall.node import dialect as dialect_module
from godwitstall.node import exchange
from godwitstall.node import headers
from godwitstall.node import slots
from godwitstall.node import upstream as upstream_module
from godwitstall.node import upstream_client
from godwitstall.routing import view as view_module
from godwitstall import settings

_LOG = logs.get('dispatch')
_DISPATCHED = metrics.counter(
    'dispatched_total', 'Requests sent to the own upstream.'
)
_UPSTREAM_SECONDS = metrics.histogram(
    'upstream_seconds', 'Time of a dispatch by error kind, onward calls in.'
)
_ANSWERED = metrics.counter(
    'owner_answers_total', 'Answers of the owner side by error kind.'
)

# Refusals with these statuses pass with time, so they carry a time to come
# back (requirement R12); this one when nothing better is known, milliseconds.
_COME_BACK_STATUSES = frozenset((429, 503, 504))
_RETRY_AFTER_MS = 1000

# A chain that is held back is worth another try after about this, ms. Half
# of it up and down keeps those that were held back together apart.
_CHAIN_RETRY_MS = 1000

# Longest Retry-After of an upstream that is taken over, digits.
_SECONDS_DIGITS = 4

# Outcomes that say the upstream is overloaded or lost, for the limit.
_DROP_KINDS = frozenset(
    (
        errors.ErrorKind.UPSTREAM_TIMEOUT,
        errors.ErrorKind.UPSTREAM_SHED,
        errors.ErrorKind.UPSTREAM_LOST,
    )
)

# Outcomes of a request whose upstream may have died while it ran.
_LOST_KINDS = frozenset(
    (errors.ErrorKind.UPSTREAM_LOST, errors.ErrorKind.ANSWER_CUT)
)


@dataclasses.dataclass(slots=True)
class _Dispatched:
    """Outcome of one dispatch."""

    # Error kind; NONE for a whole answer.
    kind: errors.ErrorKind
    # The answer, when there is one.
    answer: upstream_client.UpstreamAnswer | None
    # One sentence for people.
    detail: str
    # No process listens where the upstream did.
    is_refused: bool = False


class Owner:
    """Admits, queues and dispatches calls for the own upstream."""

    def __init__(
        self,
        options: settings.NodeOptions,
        view: view_module.View,
        upstream: upstream_module.Upstream,
        contexts: context.Contexts,
        claimer: claims.Claimer,
        crash_watch: crashes.CrashDetector,
        names: dialect_module.Dialect | None = None,
    ) -> None:
        # Header names towards the upstream; None means godwitstall-*.
        self.names = names
        self.options = options
        self.view = view
        self.upstream = upstream
        self.contexts = contexts
        self.claimer = claimer
        self.crash_watch = crash_watch
        self.slots = slots.Slots(
            fair_queue.FairQueue(
                options.max_queue, options.max_queue_wait_ms / 1000
            ),
            upstream,
        )
        # Calls inside handle(), queued ones included.
        self.active = 0
        self.throttle = chain_throttle.ChainThrottle()
        self.random = random.Random()
        # One suspect at a time, so that a crash tells which one it was.
        self.suspect_lock = asyncio.Lock()

    def load(self) -> messages.LoadReport:
        """Return the load that answers carry to entry nodes."""
        is_usable = self.upstream.is_ready() and not self.upstream.is_stalled
        limit = self.upstream.capacity(clock.recent()) if is_usable else 0
        return messages.LoadReport(
            self.slots.running,
            len(self.slots.queue),
            limit,
            self.upstream.state,
        )

    async def handle(self, call: messages.Call) -> messages.Answer:
        """Run one call and return what became of it; raises nothing.

        A cancellation of the task means that the caller gave up: queued
        work is dropped and running work is cancelled.
        """
        deadline = clock.recent() + call.deadline_ms / 1000
        self.active += 1
        try:
            answer = await self._admit(call, deadline)
        except errors.RequestError as e:
            answer = refusal(e)
        except Exception:
            _LOG.exception('Unexpected error while handling a call.')
            answer = refusal(errors.RequestError(errors.ErrorKind.INTERNAL))
            answer.attempts_used = call.attempts
        finally:
            self.active -= 1
        answer.call_id = call.call_id
        answer.load = self.load()
        _ANSWERED.inc(kind=answer.kind.label)
        return answer

    async def _admit(
        self, call: messages.Call, deadline: float
    ) -> messages.Answer:
        self._check_ready()
        if call.service != self.options.service:
            # The address belonged to a node of that service before.
            raise errors.RequestError(
                errors.ErrorKind.UPSTREAM_UNREACHABLE,
                f'This node serves {self.options.service}, not '
                f'{call.service}.',
            )
        if self.options.is_pass_through:
            return await self._dispatch(call, deadline)
        if self.view.is_quarantined(call.fingerprint):
            raise errors.RequestError(errors.ErrorKind.QUARANTINED)
        self._check_chain(call)
        if not self.view.is_suspect(call.fingerprint):
            return await self._run_in_slot(call, deadline)
        await self._take_suspect_turn(deadline)
        try:
            if self.view.is_quarantined(call.fingerprint):
                raise errors.RequestError(errors.ErrorKind.QUARANTINED)
            return await self._run_in_slot(call, deadline)
        finally:
            self.suspect_lock.release()

    def _check_chain(self, call: messages.Call) -> None:
        """Refuse a new chain that would probably fail further down."""
        if self._is_bound_chain(call) and not self.throttle.admits(
            call.route_name, self.random.random(), clock.recent()
        ):
            raise errors.RequestError(
                errors.ErrorKind.CHAIN_OVERLOADED,
                retry_after_ms=int(
                    _CHAIN_RETRY_MS * self.random.uniform(0.5, 1.5)
                ),
            )

    def _is_bound_chain(self, call: messages.Call) -> bool:
        return (
            self.names is not None
            and not call.is_onward
            and call.priority is not messages.Priority.PAYMENT
        )

    async def _take_suspect_turn(self, deadline: float) -> None:
        """Wait for the suspect before, as long as the queue may take."""
        left_s = deadline - clock.recent()
        max_wait_s = self.options.max_queue_wait_ms / 1000
        try:
            async with asyncio.timeout(min(left_s, max_wait_s)):
                await self.suspect_lock.acquire()
        except TimeoutError as e:
            kind = errors.ErrorKind.OVERLOADED
            if left_s <= max_wait_s:
                kind = errors.ErrorKind.DEADLINE_PASSED
            raise errors.RequestError(kind) from e

    def _check_ready(self) -> None:
        """Refuse work without a lease or without a ready upstream."""
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
        await self.slots.take(call, deadline)
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
        found = await self.claimer.claim(
            call, attempt_id, exchange.request_digest(call), deadline
        )
        if found is not None:
            return found
        try:
            # The claim has just been in contact with control, so the view
            # cannot be behind the entry node's.
            if call.key_id and self.view.key_by_id(call.key_id) is None:
                raise errors.RequestError(errors.ErrorKind.KEY_UNKNOWN)
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

    async def _dispatch(
        self, call: messages.Call, deadline: float
    ) -> messages.Answer:
        # Queue and claim take time, so what _admit() saw may have changed.
        self._check_ready()
        now = clock.recent()
        if now >= deadline:
            raise errors.RequestError(errors.ErrorKind.DEADLINE_PASSED)
        if call.attempts < 1:
            raise errors.RequestError(errors.ErrorKind.ATTEMPTS_USED)
        client = self.upstream.client
        assert client is not None
        incarnation = self.upstream.incarnation
        entry = self.contexts.open(call, deadline, now)
        _DISPATCHED.inc(service=call.service)
        try:
            outcome = await self._send(client, call, entry, deadline)
        finally:
            self.contexts.close(entry)
        ended = clock.recent()
        _UPSTREAM_SECONDS.observe(ended - now, kind=outcome.kind.label)
        if entry.onward_time_s and self._is_bound_chain(call):
            is_well = not entry.has_failed_onward_call and outcome.kind is (
                errors.ErrorKind.NONE
            )
            self.throttle.on_end(call.route_name, is_well, ended)
        self._learn(outcome, entry, ended)
        if outcome.kind is not errors.ErrorKind.NONE:
            decisions.write(
                'dispatch',
                'run_failed',
                request=call.request_id.decode('latin-1'),
                service=call.service,
                instance=self.upstream.instance_id,
                announced_ago_ms=round(
                    (ended - self.upstream.announced_at) * 1000
                ),
                kind=outcome.kind.label,
                detail=outcome.detail,
                took_ms=round((ended - now) * 1000),
                running=self.slots.running,
                queued=len(self.slots.queue),
                onward_failed=entry.has_failed_onward_call,
            )
        if outcome.is_refused:
            self.upstream.mark_dead(incarnation)
        if outcome.kind in _LOST_KINDS:
            self.crash_watch.on_lost_connection(call, incarnation, client)
        return self._to_answer(call, entry, outcome)

    async def _send(
        self,
        client: upstream_client.UpstreamClient,
        call: messages.Call,
        entry: context.RequestContext,
        deadline: float,
    ) -> _Dispatched:
        if self.names is None:
            block = exchange.request_block(call, entry, deadline)
        else:
            block = exchange.dialect_block(
                self.names, call, self.upstream.instance_id, deadline
            )
        try:
            answer = await client.send(
                call.method,
                call.path,
                block,
                call.body,
                deadline,
                call.host,
                call.request_id,
            )
        except errors.RequestError as e:
            is_refused = isinstance(e.__cause__, ConnectionRefusedError)
            return _Dispatched(e.kind, None, e.detail, is_refused)
        if self.names is not None:
            kind, detail = exchange.judge(self.names, answer)
            return _Dispatched(kind, answer, detail)
        echo = upstream_client.find_header(answer.headers, headers.CONTEXT)
        if echo is not None and echo != entry.token.encode():
            _LOG.warning('Upstream gave the answer of another request.')
            return _Dispatched(
                errors.ErrorKind.ANSWER_CUT,
                None,
                'The upstream gave the answer of another request.',
            )
        if upstream_client.is_shed(answer):
            return _Dispatched(errors.ErrorKind.UPSTREAM_SHED, answer, '')
        return _Dispatched(errors.ErrorKind.NONE, answer, '')

    def _learn(
        self, outcome: _Dispatched, entry: context.RequestContext, now: float
    ) -> None:
        if outcome.answer is not None:
            self.upstream.on_answer(now)
        self.upstream.limit.on_sample(
            entry.own_time_s(now),
            self.slots.running,
            # A timeout during an onward call is not the upstream's own.
            outcome.kind in _DROP_KINDS and not entry.onward_calls,
            now,
        )

    def _to_answer(
        self,
        call: messages.Call,
        entry: context.RequestContext,
        outcome: _Dispatched,
    ) -> messages.Answer:
        rule = errors.ANSWERS[outcome.kind]
        used = call.attempts - entry.budget.remaining
        if rule.outcome is errors.Outcome.NOT_RUN:
            # Nothing ran, so the dispatch itself costs nothing either.
            used -= 1
        answer = messages.Answer(
            kind=outcome.kind,
            outcome=rule.outcome,
            status=rule.status,
            detail=outcome.detail or rule.text,
            attempts_used=max(0, used),
            is_final=entry.has_failed_onward_call,
        )
        if outcome.answer is not None:
            answer.status = outcome.answer.status
            answer.headers = headers.to_block(outcome.answer.headers)
            answer.body = outcome.answer.body
        if outcome.kind is errors.ErrorKind.UPSTREAM_SHED and (
            outcome.answer is not None
        ):
            answer.retry_after_ms = shed_retry_after_ms(outcome.answer)
        else:
            answer.retry_after_ms = _come_back_ms(rule)
        return answer

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the dump."""
        return {
            **self.slots.dump(),
            'active': self.active,
            'contexts': len(self.contexts.running),
        }


def refusal(error: errors.RequestError) -> messages.Answer:
    """Return the answer for a call that failed with error."""
    rule = errors.ANSWERS[error.kind]
    retry_after_ms = error.retry_after_ms
    if not retry_after_ms:
        retry_after_ms = _come_back_ms(rule)
    return messages.Answer(
        kind=error.kind,
        outcome=rule.outcome,
        status=rule.status,
        detail=error.detail,
        retry_after_ms=retry_after_ms,
    )


def _come_back_ms(rule: errors.AnswerRule) -> int:
    is_passing = rule.status in _COME_BACK_STATUSES
    is_not_run = rule.outcome is errors.Outcome.NOT_RUN
    return _RETRY_AFTER_MS if is_passing and is_not_run else 0


def shed_retry_after_ms(answer: upstream_client.UpstreamAnswer) -> int:
    """Return when an upstream that shed wants to be asked again, ms.

    Only whole seconds are read; a date would need the upstream's clock.
    """
    value = upstream_client.find_header(answer.headers, headers.RETRY_AFTER)
    if value is None or not value.isdigit() or len(value) > _SECONDS_DIGITS:
        return _RETRY_AFTER_MS
    return max(1, int(value)) * 1000
