"""Sends an admitted call to the node's own upstream, once.

The call holds a slot. What happens to it determines whether its outcome is
not run, run or unknown; the state of the upstream and its limits follow from
the answer.

Example: answer = await dispatcher.dispatch(call, deadline)
"""

import dataclasses

from godwitstall import clock
from godwitstall import decisions
from godwitstall import errors
from godwitstall.limits import chain_throttle
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import answers
from godwitstall.node import dialect as dialect_module
from godwitstall.node import exchange
from godwitstall.node import owner_room as owner_room_module
from godwitstall.node.requests import context
from godwitstall.node.requests import headers
from godwitstall.node.sessions import crashes
from godwitstall.node.upstreams import slots as slots_module
from godwitstall.node.upstreams import upstream as upstream_module
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_client
from godwitstall.node.upstreams import upstream_status

_LOG = logs.get('dispatch')
_DISPATCHES = metrics.counter(
    'dispatched_total', 'Requests sent to the own upstream.'
)
_UPSTREAM_SECONDS = metrics.histogram(
    'upstream_seconds', 'Time of a dispatch by error kind, onward calls in.'
)

# Error kinds that the concurrency limit counts as overload of the upstream.
_OVERLOAD_KINDS = frozenset(
    (
        errors.ErrorKind.UPSTREAM_TIMEOUT,
        errors.ErrorKind.UPSTREAM_SHED,
        errors.ErrorKind.UPSTREAM_LOST,
    )
)

# Error kinds with which the upstream did not take a request.
_REJECTION_KINDS = frozenset(
    (errors.ErrorKind.UPSTREAM_SHED, errors.ErrorKind.UPSTREAM_UNREACHABLE)
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


class Dispatcher:
    """Sends admitted calls to the node's own upstream."""

    def __init__(
        self,
        upstream: upstream_module.Upstream,
        contexts: context.Contexts,
        crash_detector: crashes.CrashDetector,
        slots: slots_module.Slots,
        throttle: chain_throttle.ChainThrottle,
        dialect: dialect_module.Dialect | None,
        room: owner_room_module.OwnerRoom,
    ) -> None:
        self.upstream = upstream
        self.contexts = contexts
        self.crash_detector = crash_detector
        self.slots = slots
        self.throttle = throttle
        # Header names that the upstream uses; None means godwitstall-*.
        self.dialect = dialect
        if dialect is not None:
            upstream.status_names = dialect.status_names
        self.room = room

    def is_throttled(self, call: messages.Call) -> bool:
        """Return whether the chain throttle applies to the call.

        Admission by room replaces it: the throttle also refuses chains that
        fail for other reasons than a lack of room, and refusing those lets no
        other chain end.
        """
        return (
            self.dialect is not None
            and not self.room.is_enabled
            and not call.is_onward
            and call.priority is not messages.Priority.PAYMENT
        )

    async def dispatch(
        self, call: messages.Call, deadline: float
    ) -> messages.Answer:
        """Send the call and return the answer of the upstream.

        Errors: RequestError if the call was not sent.
        """
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
        is_success = (
            not running_request.has_failed_onward_call
            and result.kind is errors.ErrorKind.NONE
        )
        self.room.on_run(result.kind not in _REJECTION_KINDS, ended)
        self.room.on_run_end(running_request, is_success)
        if running_request.onward_time_s and self.is_throttled(call):
            self.throttle.on_end(call.route_name, is_success, ended)
        self._update_limit(result, running_request, ended)
        if result.kind is not errors.ErrorKind.NONE:
            self._log_failed_run(call, running_request, result, ended)
        if result.is_connection_refused:
            self.upstream.mark_down(incarnation)
        if result.kind in _POSSIBLE_CRASH_KINDS:
            self.upstream.on_lost_connection(client, incarnation)
            self.crash_detector.on_lost_connection(call, incarnation, client)
        return self._build_answer(call, running_request, result, ended)

    def _log_failed_run(
        self,
        call: messages.Call,
        running_request: context.RequestContext,
        result: _DispatchResult,
        now: float,
    ) -> None:
        decisions.write(
            'dispatch',
            'run_failed',
            request=call.request_id.decode('latin-1'),
            service=call.service,
            instance=self.upstream.instance_id,
            announced_ago_ms=round((now - self.upstream.announced_at) * 1000),
            kind=result.kind.label,
            detail=result.detail,
            took_ms=round((now - running_request.started_at) * 1000),
            running=self.slots.running,
            queued=len(self.slots.queue),
            onward_failed=running_request.has_failed_onward_call,
        )

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
                self.upstream.cold.check_write,
            )
        except errors.RequestError as e:
            # As in answers.of_error().
            e.__traceback__ = None
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
        status = upstream_status.parse(self.upstream.status_names, answer)
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
        now: float,
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
        if rule.outcome is not errors.Outcome.NOT_RUN:
            answer.own_time_ms = running_request.own_time_s(now) * 1000
        if result.kind is errors.ErrorKind.UPSTREAM_SHED and (
            result.answer is not None
        ):
            answer.retry_after_ms = answers.shed_retry_after_ms(result.answer)
        else:
            answer.retry_after_ms = answers.default_retry_after_ms(rule)
        return answer
