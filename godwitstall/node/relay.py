"""Chooses the owner of a call, sends it there, and retries where safe.

Retries happen here and nowhere else. A call is sent again only when it was
surely not run, or when it is idempotent, and then only while attempts, the
retry budget of its service and its deadline allow, and no deeper layer has
given up already.
"""

import asyncio
import collections.abc
import typing

from godwitstall import clock
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


class Relay:
    """Sends calls to owners, the own node's owner side included."""

    def __init__(
        self,
        options: settings.NodeOptions,
        picker: picker_module.Picker,
        forwarder: forward.Forwarder,
        owner: dispatch.Owner,
    ) -> None:
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
        budget.on_call(clock.now())
        left = attempts
        excluded: set[messages.NodeId] = set()
        answer: messages.Answer | None = None
        while True:
            member = self.picker.pick(call.service, excluded, clock.now())
            if member is None:
                break
            call.attempts = min(max(1, route.dispatch_attempts), left)
            answer = await self._send_once(member, call, deadline)
            left -= min(left, answer.attempts_used)
            excluded.add(member.node_id)
            now = clock.now()
            if not is_retry_safe(answer, call) or left < 1 or now >= deadline:
                break
            if not is_admitted(call):
                break
            if answer.kind not in _UNSENT_KINDS and not (
                budget.try_retry(now)
            ):
                _NO_RETRY.inc(service=call.service)
                break
            _RETRIED.inc(service=call.service)
        if answer is None:
            return _no_upstream()
        answer.attempts_used = attempts - left
        return answer

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
            member = self.picker.pick(route.service, set(), clock.now())
            if member is None or clock.now() >= deadline:
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
                self.options.retry_ratio, self.options.retry_min_per_s
            )
        return budget

    async def _send_once(
        self,
        member: messages.Member,
        call: messages.Call,
        deadline: float,
    ) -> messages.Answer:
        call.deadline_ms = max(1, int((deadline - clock.now()) * 1000))
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
            self.picker.on_answer(member.node_id, None, False, clock.now())
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
            member.node_id, load, answer.kind in _DOWN_KINDS, clock.now()
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the dump."""
        return {
            'picker': self.picker.dump(),
            'links': self.forwarder.dump(),
        }


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
