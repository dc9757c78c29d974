"""Chooses the owner of a call, sends the call to it, and retries if safe.

This is the only module that retries calls. A call is retried only if it was
certainly not run or is idempotent, and only while its attempts, the retry
budget of its service and its deadline allow. It is not retried once an onward
call in its chain has failed for good.
"""

import asyncio
import collections.abc
import dataclasses
import math
import random
import typing

from godwitstall import clock
from godwitstall import decisions
from godwitstall import errors
from godwitstall.limits import retry_budget
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import answers
from godwitstall.node import dispatch
from godwitstall.node.peers import forward
from godwitstall.routing import chain_rooms
from godwitstall.routing import figures
from godwitstall.routing import picker as picker_module
from godwitstall import settings

_RETRIES = metrics.counter('retries_total', 'Retries by service.')
_RETRIES_DENIED = metrics.counter(
    'retries_denied_total', 'Retries that the budget of a service denied.'
)

# Retry time of a call to a service without a ready upstream, milliseconds.
_NO_UPSTREAM_RETRY_AFTER_MS = 1000

# Number of owners that may refuse a call because of the rate limits of their
# upstreams before it fails.
_MAX_RATE_REFUSALS = 6

# Number of tries of a call in pass-through mode, which comparison runs use.
_PASS_THROUGH_TRIES = 3
_FIRST_SERVER_ERROR_STATUS = 500

# Error kinds after which the picker considers the owner down.
_OWNER_DOWN_KINDS = frozenset(
    (
        errors.ErrorKind.UPSTREAM_UNREACHABLE,
        errors.ErrorKind.PEER_LOST,
        errors.ErrorKind.STOPPING,
        errors.ErrorKind.ZONE_EVACUATED,
        errors.ErrorKind.MEMORY_FULL,
    )
)


# Error kinds for which the owner sent nothing to its upstream, so that a retry
# adds no load to the service.
_UNSENT_KINDS = frozenset(
    (
        errors.ErrorKind.UPSTREAM_UNREACHABLE,
        errors.ErrorKind.STOPPING,
        errors.ErrorKind.OVERLOADED,
        errors.ErrorKind.ZONE_EVACUATED,
    )
)


# Error kinds that indicate a fault of the upstream.
_UPSTREAM_FAILURE_KINDS = frozenset(
    (
        errors.ErrorKind.UPSTREAM_SHED,
        errors.ErrorKind.UPSTREAM_LOST,
        errors.ErrorKind.ANSWER_CUT,
    )
)

# Statuses with which an upstream reports its own failure.
_UPSTREAM_FAILURE_STATUSES = frozenset((500, 502, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Rules of a mesh for retries."""

    # Whether each send to an upstream uses an attempt, even if the upstream
    # did not run the request.
    counts_sends: bool = False
    # Whether an idempotent call is retried at another upstream after a failure
    # of the upstream itself, as opposed to one of an onward call.
    retries_upstream_failures: bool = False
    # Share of the retry budget that calls below the highest priority may use.
    # The rest is reserved for calls of the highest priority.
    low_priority_share: float = 1.0
    # Whether the minimum retry rate applies to all nodes together. Each node
    # then gets a fraction of it, and fractional retries are rounded randomly.
    shares_retry_floor: bool = False
    # Number of owners that may refuse a call before it fails; 0 means no
    # limit.
    max_refusals: int = 0


@dataclasses.dataclass(slots=True)
class _Refusals:
    """Refusals of one call by owners that sent nothing to their upstreams.

    Those for the rate limit of an upstream are counted apart: other upstreams
    of the service can have room then. After a refusal for lack of slots that
    is unlikely, since calls are spread by the slots in use.
    """

    # Number of other refusals after which the call fails; 0 means no limit.
    max_others: int
    by_rate_limit: int = 0
    others: int = 0

    def add(self, answer: messages.Answer) -> None:
        """Count a refusal."""
        if (
            answer.kind is errors.ErrorKind.OVERLOADED
            and _rate_limit(answer) is not None
        ):
            self.by_rate_limit += 1
        else:
            self.others += 1

    def is_limit_reached(self) -> bool:
        """Return whether the call fails after these refusals."""
        return (
            self.others == self.max_others > 0
            or self.by_rate_limit == _MAX_RATE_REFUSALS
        )


class Relay:
    """Sends calls to owners, including the owner of this node."""

    def __init__(
        self,
        options: settings.NodeOptions,
        picker: picker_module.Picker,
        forwarder: forward.Forwarder,
        owner: dispatch.Owner,
        policy: RetryPolicy | None = None,
        rooms: chain_rooms.ChainRooms | None = None,
    ) -> None:
        self.policy = policy or RetryPolicy()
        self.options = options
        self.picker = picker
        self.forwarder = forwarder
        self.owner = owner
        self.rooms = rooms or chain_rooms.ChainRooms()
        # Retry budgets by service.
        self.budgets: dict[messages.ServiceName, retry_budget.RetryBudget]
        self.budgets = {}

    async def send(
        self,
        call: messages.Call,
        route: messages.Route,
        attempts: int,
        deadline: float,
        is_still_admitted: collections.abc.Callable[[messages.Call], bool],
    ) -> messages.Answer:
        """Send a call that may be run at most attempts times.

        is_still_admitted is called before each retry. Errors are returned as
        answers; attempts_used of the answer counts the runs of all tries. A
        cancellation cancels the call at its owner.
        """
        if attempts < 1:
            return answers.of_error(
                errors.RequestError(errors.ErrorKind.ATTEMPTS_USED)
            )
        if self.options.is_pass_through:
            return await self._send_pass_through(
                call, route, attempts, deadline
            )
        budget = self._retry_budget(call.service)
        budget.on_call(clock.recent())
        attempts_left = attempts
        refusals = _Refusals(self.policy.max_refusals)
        excluded: set[messages.NodeId] = set()
        answer: messages.Answer | None = None
        while True:
            member = self.picker.pick(
                call.service,
                excluded,
                clock.recent(),
                # Members that are avoided or limited would refuse as well.
                must_be_usable=refusals.by_rate_limit > 0,
            )
            if member is None:
                break
            call.attempts = min(max(1, route.dispatch_attempts), attempts_left)
            previous = answer
            chosen_at = clock.recent()
            snapshot = self.picker.snapshot(member.node_id)
            answer = await self._send_once(member, call, deadline)
            if previous is not None and _keeps_previous(answer, previous):
                answer = previous
                break
            is_sent = answer.kind not in _UNSENT_KINDS
            if answer.kind is errors.ErrorKind.ZONE_EVACUATED:
                # All members of the zone would refuse the call as well.
                excluded |= self._members_beside(member)
            elif not is_sent:
                refusals.add(answer)
            if is_sent and self.policy.counts_sends:
                attempts_left -= 1
            else:
                attempts_left -= min(attempts_left, answer.attempts_used)
            self._log_failed_try(call, member, answer, snapshot, chosen_at)
            excluded.add(member.node_id)
            now = clock.recent()
            if not self._may_retry(answer, call) or attempts_left < 1:
                break
            if now >= deadline or refusals.is_limit_reached():
                break
            if not is_still_admitted(call):
                break
            if self.policy.shares_retry_floor:
                budget.node_count = max(self.picker.node_count(), 1)
            if is_sent and not budget.try_retry(
                now, self._retry_budget_share(call)
            ):
                _RETRIES_DENIED.inc(service=call.service)
                break
            _RETRIES.inc(service=call.service)
        if answer is None:
            self._note_no_room(call)
            if self.owner.view.is_service_evacuated(call.service):
                return _evacuated_answer(call.service)
            return _no_upstream_answer()
        answer.attempts_used = attempts - attempts_left
        return answer

    def _members_beside(self, member: messages.Member) -> set[messages.NodeId]:
        """Return the members of the service in the zone of one of them."""
        return {
            other.node_id
            for other in self.owner.view.members_of(member.service)
            if other.zone == member.zone
        }

    def _note_no_room(self, call: messages.Call) -> None:
        """Note that a service without members has no room for any level."""
        if self.options.admits_by_chain_room:
            self.rooms.on_answer(
                call.route_name,
                call.service,
                [messages.ServiceRoom(call.service, 0.0, 0, 1.0)],
                clock.recent(),
            )

    def _log_failed_try(
        self,
        call: messages.Call,
        member: messages.Member,
        answer: messages.Answer,
        snapshot: figures.Snapshot,
        chosen_at: float,
    ) -> None:
        """Log the try unless it succeeded."""
        if answer.kind is errors.ErrorKind.NONE and (
            answer.status not in _UPSTREAM_FAILURE_STATUSES
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
            owner_rate_limit=_rate_limit(answer),
            deadline_ms=call.deadline_ms,
            **self.picker.describe_choice(member, snapshot, chosen_at),
        )

    def _may_retry(self, answer: messages.Answer, call: messages.Call) -> bool:
        if is_retry_safe(answer, call):
            return True
        return (
            self.policy.retries_upstream_failures
            and call.is_idempotent
            and answer.kind is errors.ErrorKind.NONE
            and answer.status in _UPSTREAM_FAILURE_STATUSES
            and not answer.is_final
        )

    def _retry_budget_share(self, call: messages.Call) -> float:
        if call.priority is messages.Priority.PAYMENT:
            return 1.0
        return self.policy.low_priority_share

    async def _send_pass_through(
        self,
        call: messages.Call,
        route: messages.Route,
        attempts: int,
        deadline: float,
    ) -> messages.Answer:
        """Send a call as a proxy without limits does, for comparison runs.

        Every server error is retried at once, whether or not that is safe.
        """
        answer = _no_upstream_answer()
        for _ in range(_PASS_THROUGH_TRIES):
            member = self.picker.pick(route.service, set(), clock.recent())
            if member is None or clock.recent() >= deadline:
                break
            call.attempts = attempts
            answer = await self._send_once(member, call, deadline)
            if answer.status < _FIRST_SERVER_ERROR_STATUS:
                break
        return answer

    def _retry_budget(
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
        sent_at = clock.recent()
        call.deadline_ms = max(1, int((deadline - sent_at) * 1000))
        self.picker.on_dispatch(member.node_id, sent_at)
        self.picker.notices.add_limit(member.node_id, call)
        answer: messages.Answer | None = None
        try:
            if member.node_id == self.options.node_id:
                answer = await self.owner.handle(call)
            else:
                answer = await self.forwarder.call(member.address, call)
        except errors.RequestError as e:
            answer = answers.of_error(e)
            if answer.outcome is not errors.Outcome.NOT_RUN:
                # It is unknown how many attempts the lost call has used, so
                # all of them count.
                answer.attempts_used = call.attempts
            self._update_picker(member, answer, None)
        except asyncio.CancelledError:
            self.picker.on_answer(member.node_id, None, False, clock.recent())
            raise
        else:
            self._update_picker(member, answer, answer.load)
            if answer.rooms and self.options.admits_by_chain_room:
                self.rooms.on_answer(
                    call.route_name,
                    call.service,
                    answer.rooms,
                    clock.recent(),
                )
            if _shows_speed(answer):
                now = clock.recent()
                self.picker.on_run_time(
                    member.node_id,
                    call.route_name,
                    answer.own_time_ms,
                    (now - sent_at) * 1000,
                    now,
                )
        return answer

    def _update_picker(
        self,
        member: messages.Member,
        answer: messages.Answer,
        load: messages.LoadReport | None,
    ) -> None:
        self.picker.on_answer(
            member.node_id,
            load,
            answer.kind in _OWNER_DOWN_KINDS,
            clock.recent(),
            is_overloaded=answer.kind is errors.ErrorKind.OVERLOADED,
        )
        if reflects_upstream_health(answer):
            self.picker.on_outcome(
                member.node_id,
                answer.kind in _UPSTREAM_FAILURE_KINDS
                or answer.status in _UPSTREAM_FAILURE_STATUSES,
                clock.recent(),
            )

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            'picker': self.picker.dump(),
            'weighs_member_speed': self.picker.speeds is not None,
            'zones': None
            if self.picker.zones is None
            else self.picker.zones.dump(),
            'spread': dict(self.picker.spread.last),
            'links': self.forwarder.dump(),
        }


def reflects_upstream_health(answer: messages.Answer) -> bool:
    """Return whether an answer indicates the health of the owner's upstream.

    Refusals by the owner itself and failures of onward calls do not.
    """
    if answer.is_final:
        return False
    return (
        answer.outcome is not errors.Outcome.NOT_RUN
        or answer.kind is errors.ErrorKind.UPSTREAM_SHED
    )


def _shows_speed(answer: messages.Answer) -> bool:
    """Return whether an answer shows the speed of the owner's upstream.

    An upstream that fails requests can be quick about it, and the answer of an
    operation record was not run now.
    """
    return (
        answer.kind is errors.ErrorKind.NONE
        and answer.status < _FIRST_SERVER_ERROR_STATUS
        and answer.own_time_ms != 0
        and not answer.is_replayed
    )


def _rate_limit(answer: messages.Answer) -> float | None:
    """Return the rate limit of the owner's upstream, None if it has none."""
    rate_limit = answer.load.rate_limit
    if rate_limit is None or math.isinf(rate_limit):
        return None
    return rate_limit


def _keeps_previous(
    answer: messages.Answer, previous: messages.Answer
) -> bool:
    """Return whether the previous answer is returned in place of this one.

    An answer of an upstream is preferred to an error. A refusal must not claim
    that a request was not run if an earlier try may have run it.
    """
    if previous.kind is errors.ErrorKind.NONE:
        return answer.kind is not errors.ErrorKind.NONE
    return (
        answer.outcome is errors.Outcome.NOT_RUN
        and previous.outcome is not errors.Outcome.NOT_RUN
    )


def is_retry_safe(answer: messages.Answer, call: messages.Call) -> bool:
    """Return whether a call may be retried after this answer."""
    rule = errors.ANSWERS[answer.kind]
    if answer.is_final or not rule.is_retryable:
        return False
    return call.is_idempotent or answer.outcome is errors.Outcome.NOT_RUN


def _evacuated_answer(service: messages.ServiceName) -> messages.Answer:
    return answers.of_error(
        errors.RequestError(
            errors.ErrorKind.ZONE_EVACUATED,
            f'All zones with upstreams of {service} are evacuated.',
            _NO_UPSTREAM_RETRY_AFTER_MS,
        )
    )


def _no_upstream_answer() -> messages.Answer:
    return answers.of_error(
        errors.RequestError(
            errors.ErrorKind.NO_UPSTREAM,
            retry_after_ms=_NO_UPSTREAM_RETRY_AFTER_MS,
        )
    )
