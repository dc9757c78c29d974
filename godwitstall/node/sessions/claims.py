"""Claims operations before their dispatch and records their outcomes.

A claim is a command in the replicated log. An operation is dispatched only
after control has granted the claim to this attempt, so it is dispatched at
most once during the lifetime of its record, through whichever node.
"""

import asyncio
import collections.abc

from godwitstall import clock
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node.sessions import control_session

_LOG = logs.get('claims')
_CLAIMS = metrics.counter('claims_total', 'Claims by verdict.')
_UNRECORDED = metrics.counter(
    'outcomes_unrecorded_total', 'Outcomes that control did not take.'
)

# The body of a larger answer is not recorded.
MAX_RECORDED_BODY_BYTES = 8 * 1024

# Time during which recording an outcome at control is retried, seconds.
RECORD_TIMEOUT_S = 60.0

# Longest time that an answer is delayed until its outcome is recorded,
# seconds. A caller that has the answer does not need the record, so a slow
# record must not delay the answer further.
RECORD_WAIT_S = 1.0

# Longest time for a claim, seconds, and as a share of the time left until the
# deadline. A waiting claim holds a slot, and a refusal close to the deadline
# leaves the caller no time to resend. The limit allows for one attempt and one
# retry over another session.
MAX_CLAIM_WAIT_S = 2.0
_CLAIM_DEADLINE_SHARE = 0.5

_RETRY_AFTER_MS = 1000


class Claimer:
    """Claims operations at control and records their outcomes."""

    def __init__(
        self,
        node_id: messages.NodeId,
        session: control_session.ControlSession,
    ) -> None:
        self.node_id = node_id
        self.session = session
        # Tasks that record outcomes.
        self.tasks: set[asyncio.Task[None]] = set()

    async def claim(
        self,
        call: messages.Call,
        attempt_id: messages.AttemptId,
        digest: bytes,
        deadline: float,
    ) -> messages.Answer | None:
        """Claim the operation of a call for one attempt.

        Returns None if the claim is granted, else the recorded answer for
        the caller. Errors: RequestError of kind CONTROL_LOST if the claim
        is not confirmed in time, of another kind if the claim is refused;
        the call must not be dispatched then.
        """
        command = messages.Claim(
            call.operation_id,
            call.workspace,
            digest,
            attempt_id,
            self.node_id,
            self.session.incarnation,
            self.node_id,
            call.route_name,
        )
        remaining_s = max(0.0, deadline - clock.now())
        try:
            result = await self.session.propose(
                command,
                min(MAX_CLAIM_WAIT_S, remaining_s * _CLAIM_DEADLINE_SHARE),
            )
        except errors.GodwitstallError as e:
            # The claim may be in the log although no reply arrived.
            self.release(call, attempt_id)
            raise errors.RequestError(
                errors.ErrorKind.CONTROL_LOST,
                f'The operation could not be claimed: {e.detail}',
                retry_after_ms=_RETRY_AFTER_MS,
            ) from e
        except asyncio.CancelledError:
            self.release(call, attempt_id)
            raise
        if not isinstance(result, messages.ClaimResult):
            raise errors.RequestError(errors.ErrorKind.OPERATION_INVALID)
        _CLAIMS.inc(verdict=result.verdict.name.lower())
        return _to_answer(result)

    async def complete(
        self,
        call: messages.Call,
        attempt_id: messages.AttemptId,
        answer: messages.Answer,
    ) -> None:
        """Record a complete answer and wait up to RECORD_WAIT_S for it."""
        is_truncated = len(answer.body) > MAX_RECORDED_BODY_BYTES
        command = messages.Complete(
            call.operation_id,
            attempt_id,
            errors.Outcome.RUN,
            answer.status,
            answer.headers,
            b'' if is_truncated else answer.body,
            is_truncated,
            call.workspace,
        )
        task = self._spawn(self._record(command))
        await asyncio.wait({task}, timeout=RECORD_WAIT_S)

    def complete_unknown(
        self, call: messages.Call, attempt_id: messages.AttemptId
    ) -> None:
        """Record a dispatch whose outcome is unknown."""
        command = messages.Complete(
            operation_id=call.operation_id,
            attempt_id=attempt_id,
            outcome=errors.Outcome.UNKNOWN,
            workspace=call.workspace,
        )
        self._spawn(self._record(command))

    def release(
        self, call: messages.Call, attempt_id: messages.AttemptId
    ) -> asyncio.Task[None]:
        """Record that the attempt certainly was not run."""
        command = messages.Release(
            call.operation_id, attempt_id, call.workspace
        )
        return self._spawn(self._record(command))

    async def release_and_wait(
        self, call: messages.Call, attempt_id: messages.AttemptId
    ) -> None:
        """Release the claim and wait up to RECORD_WAIT_S for the record.

        Otherwise a retry at another owner could claim the operation before
        the release and get the answer that the operation is running.
        """
        task = self.release(call, attempt_id)
        await asyncio.wait({task}, timeout=RECORD_WAIT_S)

    def _spawn(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _record(
        self, command: messages.Complete | messages.Release
    ) -> None:
        try:
            await self.session.propose(command, RECORD_TIMEOUT_S)
        except errors.GodwitstallError as e:
            _UNRECORDED.inc()
            _LOG.warning(
                'Outcome of operation %s was not recorded: %s',
                command.operation_id,
                e,
            )

    async def drain(self, timeout_s: float) -> None:
        """Wait up to timeout_s until all outcomes are recorded."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)


_ERROR_KINDS = {
    messages.ClaimVerdict.RUNNING: errors.ErrorKind.OPERATION_RUNNING,
    messages.ClaimVerdict.UNKNOWN: errors.ErrorKind.OPERATION_UNKNOWN,
    messages.ClaimVerdict.MISMATCH: errors.ErrorKind.OPERATION_MISMATCH,
    messages.ClaimVerdict.EXPIRED: errors.ErrorKind.OPERATION_EXPIRED,
    messages.ClaimVerdict.INVALID: errors.ErrorKind.OPERATION_INVALID,
}


def _to_answer(result: messages.ClaimResult) -> messages.Answer | None:
    """Return the recorded answer of an operation, None for a granted claim.

    Errors: RequestError if the claim is refused and no answer is recorded.
    """
    record = result.record
    if result.verdict is messages.ClaimVerdict.GRANTED:
        return None
    if result.verdict is messages.ClaimVerdict.DONE:
        if not record.is_truncated:
            return messages.Answer(
                outcome=errors.Outcome.RUN,
                status=record.status,
                headers=record.headers,
                body=record.body,
                is_replayed=True,
            )
        kind = errors.ErrorKind.OPERATION_RUN
    else:
        kind = _ERROR_KINDS[result.verdict]
    is_running = kind is errors.ErrorKind.OPERATION_RUNNING
    raise errors.RequestError(
        kind, retry_after_ms=_RETRY_AFTER_MS if is_running else 0
    )
