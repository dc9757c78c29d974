"""Chooses the owner of a call, sends it there, and retries where safe.

Retries happen here and nowhere else. A call is sent again only when it was
surely not run, or when it is idempotent, and then only while attempts, the
retry budget of its service and its deadline allow, and no deeper layer has
given up already.
"""

import asyncio
import collections.abc
import dataclasses
import random
import typing

from godwitstall import clock
from godwitstall import decisions
from godwitstall import errors
from godwitstall.limits import retry_budget
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import dispatch
from godwitstall.node import forward
from godwitstall.routing import picker as picker_module
from godwitstall import settings

_RETRIED = metrics.counter('retries_total', 'Retries by service.')
_NO_RETRY = metrics.counter(
    'retries_denied_total', 'Retries that the budget of a service denied.'
)

# A service without a ready upstream is worth another try after this, ms.
_NO_UPSTREAM_RETRY_MS = 1000

# Tries of a call in comparison runs without limits.
_NAIVE_TRIES = 3
_FIRST_ERROR_STATUS = 500

# Owners that answered with one of these are down for now.
_DOWN_KINDS = frozenset(
    (
        errors.ErrorKind.UPSTREAM_UNREACHABLE,
        errors.ErrorKind.PEER_LOST,
        errors.ErrorKind.STOPPING,
    )
)


# Owners that answered with one of these sent nothing to their upstream, so
# that another try adds nothing to the load of the service.
_UNSENT_KINDS = frozenset(
    (
        errors.ErrorKind.UPSTREAM_UNREACHABLE,
        errors.ErrorKind.STOPPING,
        errors.ErrorKind.OVERLOADED,
    )
)


# Answers that tell of a fault of the upstream.
_FAILED_KINDS = frozenset(
    (
        errors.ErrorKind.UPSTREAM_SHED,
        errors.ErrorKind.UPSTREAM_LOST,
        errors.ErrorKind.ANSWER_CUT,
    )
)

# Statuses with which an upstream says that it failed itself.
_FAILED_STATUSES = frozenset((500, 502, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """What a mesh lets be sent again."""

    # Each send to an upstream uses an attempt, also one that was not run.
    counts_sends: bool = False
    # An idempotent call goes to another upstream when one failed it, and not
    # a service further down.
    retries_failures: bool = False
    # Part of the retry budget that calls below the highest priority may use.
    # The rest is for those that matter most.
    low_share: float = 1.0
    # The retry floor is that of all nodes together, and parts of a retry are
    # rounded by a draw.
    shares_retry_floor: bool = False
    # Owners that may refuse a call before it is given up; 0 means all.
    max_refusals: int = 0


class Relay:
    """Sends calls to owners, the own node's owner side included."""

    def __init__(
        self,
        options: settings.NodeOptions,
        picker: picker_module.Picker,
        forwarder: forward.Forwarder,
        owner: dispatch.Owner,
        policy: RetryPolicy | None = None,
    ) -> None:
        self.policy = policy or RetryPolicy()
        self.options = options
        self.picker = picker
        self.forwarder = forwarder
        self.owner = owner
        # Retry budgets by service.
        self.budgets: dict[messages.ServiceName, retry_budget.RetryBudget]
        self.budgets = {}

    async def send(
        self,
        call: messages.Call,
        route: messages.Route,
        attempts: int,
        deadline: float,
        is_admitted: collections.abc.Callable[[messages.Call], bool],
    ) -> messages.Answer:
        """Return the answer to a call that may cause attempts runs.

        is_admitted is asked before each retry.

        attempts_used of the answer counts the runs of all tries; a refusal
        is an answer too. A cancellation cancels the call at its owner.
        """
        if attempts < 1:
            return dispatch.refusal(
                errors.RequestError(errors.ErrorKind.ATTEMPTS_USED)
            )
        if self.options.is_pass_through:
            return await self._send_naively(call, route, attempts, deadline)
        budget = self._budget(call.service)
        budget.on_call(clock.recent())
        left = attempts
        refusals = 0
        excluded: set[messages.NodeId] = set()
        answer: messages.Answer | None = None
        while True:
            member = self.picker.pick(call.service, excluded, clock.recent())
            if member is None:
                break
            call.attempts = min(max(1, route.dispatch_attempts), left)
            former = answer
            answer = await self._send_once(member, call, deadline)
            if former is not None and _is_worse(answer, former):
                answer = former
                break
            is_sent = answer.kind not in _UNSENT_KINDS
            refusals += not is_sent
            if is_sent and self.policy.counts_sends:
                left -= 1
            else:
                left -= min(left, answer.attempts_used)
            self._tell_try(call, member, answer)
            excluded.add(member.node_id)
            now = clock.recent()
            if not self._may_retry(answer, call) or left < 1:
                break
            if now >= deadline or refusals == self.policy.max_refusals > 0:
                break
            if not is_admitted(call):
                break
            if self.policy.shares_retry_floor:
                budget.node_count = max(self.picker.node_count(), 1)
            if is_sent and not budget.try_retry(now, self._budget_part(call)):
                _NO_RETRY.inc(service=call.service)
                break
            _RETRIED.inc(service=call.service)
        if answer is None:
            return _no_upstream()
        answer.attempts_used = attempts - left
        return answer

    def _tell_try(
        self,
        call: messages.Call,
        member: messages.Member,
        answer: messages.Answer,
    ) -> None:
        """Log a try that did not end as it should."""
        if answer.kind is errors.ErrorKind.NONE and (
            answer.status not in _FAILED_STATUSES
        ):
            return
        decisions.write(
            'relay',
            'try_failed',
            request=call.request_id.decode('latin-1'),
            service=call.service,
            owner=member.node_id,
            kind=answer.kind.label,
            detail=answer.detail,
            status=answer.status,
            outcome=answer.outcome.label,
            is_final=answer.is_final,
            owner_queued=answer.load.queued,
            owner_running=answer.load.in_flight,
            owner_limit=answer.load.limit,
            deadline_ms=call.deadline_ms,
        )

    def _may_retry(self, answer: messages.Answer, call: messages.Call) -> bool:
        if is_retry_safe(answer, call):
            return True
        return (
            self.policy.retries_failures
            and call.is_idempotent
            and answer.kind is errors.ErrorKind.NONE
            and answer.status in _FAILED_STATUSES
            and not answer.is_final
        )

    def _budget_part(self, call: messages.Call) -> float:
        if call.priority is messages.Priority.PAYMENT:
            return 1.0
        return self.policy.low_share

    async def _send_naively(
        self,
        call: messages.Call,
        route: messages.Route,
        attempts: int,
        deadline: float,
    ) -> messages.Answer:
        """Send as a proxy without limits does, for comparison runs.

        Every failure is tried again at once, whatever it says.
        """
        answer = _no_upstream()
        for _ in range(_NAIVE_TRIES):
            member = self.picker.pick(route.service, set(), clock.recent())
            if member is None or clock.recent() >= deadline:
                break
            call.attempts = attempts
            answer = await self._send_once(member, call, deadline)
            if answer.status < _FIRST_ERROR_STATUS:
                break
        return answer

    def _budget(
        self, service: messages.ServiceName
    ) -> retry_budget.RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = retry_budget.RetryBudget(
                self.options.retry_ratio,
                self.options.retry_min_per_s,
                random.Random() if self.policy.shares_retry_floor else None,
            )
        return budget

    async def _send_once(
        self,
        member: messages.Member,
        call: messages.Call,
        deadline: float,
    ) -> messages.Answer:
        call.deadline_ms = max(1, int((deadline - clock.recent()) * 1000))
        self.picker.on_dispatch(member.node_id)
        answer: messages.Answer | None = None
        try:
            if member.node_id == self.options.node_id:
                answer = await self.owner.handle(call)
            else:
                answer = await self.forwarder.call(member.address, call)
        except errors.RequestError as e:
            answer = dispatch.refusal(e)
            if answer.outcome is not errors.Outcome.NOT_RUN:
                # What the lost call has used is not known.
                answer.attempts_used = call.attempts
            self._settle(member, answer, None)
        except asyncio.CancelledError:
            self.picker.on_answer(member.node_id, None, False, clock.recent())
            raise
        else:
            self._settle(member, answer, answer.load)
        return answer

    def _settle(
        self,
        member: messages.Member,
        answer: messages.Answer,
        load: messages.LoadReport | None,
    ) -> None:
        self.picker.on_answer(
            member.node_id, load, answer.kind in _DOWN_KINDS, clock.recent()
        )
        if tells_of_upstream(answer):
            self.picker.on_outcome(
                member.node_id,
                answer.kind in _FAILED_KINDS
                or answer.status in _FAILED_STATUSES,
                clock.recent(),
            )

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the dump."""
        return {
            'picker': self.picker.dump(),
            'links': self.forwarder.dump(),
        }


def tells_of_upstream(answer: messages.Answer) -> bool:
    """Return whether an answer says how well the owner's upstream works.

    What the owner refused itself does not, nor does an answer that failed
    further down.
    """
    if answer.is_final:
        return False
    return (
        answer.outcome is not errors.Outcome.NOT_RUN
        or answer.kind is errors.ErrorKind.UPSTREAM_SHED
    )


def _is_worse(answer: messages.Answer, former: messages.Answer) -> bool:
    """Return whether the answer of the try before must not give way to this.

    What an upstream said is better than an error. A refusal must not say that
    a request has not run when an earlier try of it may have.
    """
    if former.kind is errors.ErrorKind.NONE:
        return answer.kind is not errors.ErrorKind.NONE
    return (
        answer.outcome is errors.Outcome.NOT_RUN
        and former.outcome is not errors.Outcome.NOT_RUN
    )


def is_retry_safe(answer: messages.Answer, call: messages.Call) -> bool:
    """Return whether a call may be sent again after this answer."""
    rule = errors.ANSWERS[answer.kind]
    if answer.is_final or not rule.is_retryable:
        return False
    return call.is_idempotent or answer.outcome is errors.Outcome.NOT_RUN


def _no_upstream() -> messages.Answer:
    return dispatch.refusal(
        errors.RequestError(
            errors.ErrorKind.NO_UPSTREAM,
            retry_after_ms=_NO_UPSTREAM_RETRY_MS,
        )
    )
