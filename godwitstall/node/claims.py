"""Claims an operation before its dispatch and records its outcome.

The claim is a command in the replicated log. A dispatch happens only after
control has granted the claim to this attempt, so an operation is dispatched
once in its record's lifetime, whichever node it is sent through.
"""

import asyncio
import collections.abc

from godwitstall import clock
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import control_session

_LOG = logs.get('claims')
_CLAIMS = metrics.counter('claims_total', 'Claims by verdict.')
_UNRECORDED = metrics.counter(
    'outcomes_unrecorded_total', 'Outcomes that control did not take.'
)

# Larger answers are recorded without their body.
MAX_RECORDED_BYTES = 8 * 1024

# Time to hand an outcome to control, seconds; tried over and over until then.
RECORD_TIMEOUT_S = 60.0

# An answer waits this long for its record, seconds. A caller that has the
# answer needs no record, so a slow record does not hold the answer up more.
ANSWER_WAIT_S = 1.0

# A claim waits this long at most, seconds, and half of the time left: it holds
# a slot meanwhile, and a refusal near the deadline leaves no time to resend.
# One try and its repetition over another session fit into it.
CLAIM_WAIT_S = 2.0
_CLAIM_SHARE = 0.5

_RETRY_AFTER_MS = 1000


class Claimer:
    """Speaks to control about operations."""

    def __init__(
        self,
        node_id: messages.NodeId,
        session: control_session.ControlSession,
    ) -> None:
        self.node_id = node_id
        self.session = session
        # Outcomes on their way to control.
        self.tasks: set[asyncio.Task[None]] = set()

    async def claim(
        self,
        call: messages.Call,
        attempt_id: messages.AttemptId,
        digest: bytes,
        deadline: float,
    ) -> messages.Answer | None:
        """Claim the operation of a call for one attempt.

        Returns None when the claim is granted, else the answer for the
        caller. Errors: RequestError of kind CONTROL_LOST when no claim
        could be confirmed in time; nothing is dispatched then.
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
        left_s = max(0.0, deadline - clock.now())
        try:
            result = await self.session.propose(
                command, min(CLAIM_WAIT_S, left_s * _CLAIM_SHARE)
            )
        except errors.GodwitstallError as e:
            # The claim may have been logged all the same.
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
        return _answer_of(result)

    async def complete(
        self,
        call: messages.Call,
        attempt_id: messages.AttemptId,
        answer: messages.Answer,
    ) -> None:
        """Record a whole answer; waits a short while for the record."""
        is_truncated = len(answer.body) > MAX_RECORDED_BYTES
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
        await asyncio.wait({task}, timeout=ANSWER_WAIT_S)

    def complete_unknown(
        self, call: messages.Call, attempt_id: messages.AttemptId
    ) -> None:
        """Record that the dispatch was made and its outcome is unknown."""
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
        """Record that the attempt was provably not run."""
        command = messages.Release(
            call.operation_id, attempt_id, call.workspace
        )
        return self._spawn(self._record(command))

    async def release_now(
        self, call: messages.Call, attempt_id: messages.AttemptId
    ) -> None:
        """Release and wait a short while for it.

        Otherwise a retry at another owner could claim before the release
        and be told that the operation is running.
        """
        task = self.release(call, attempt_id)
        await asyncio.wait({task}, timeout=ANSWER_WAIT_S)

    def _spawn(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
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
        """Wait until outcomes on their way are recorded."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)


_KINDS = {
    messages.ClaimVerdict.RUNNING: errors.ErrorKind.OPERATION_RUNNING,
    messages.ClaimVerdict.UNKNOWN: errors.ErrorKind.OPERATION_UNKNOWN,
    messages.ClaimVerdict.MISMATCH: errors.ErrorKind.OPERATION_MISMATCH,
    messages.ClaimVerdict.EXPIRED: errors.ErrorKind.OPERATION_EXPIRED,
    messages.ClaimVerdict.INVALID: errors.ErrorKind.OPERATION_INVALID,
}


def _answer_of(result: messages.ClaimResult) -> messages.Answer | None:
    """Return the answer for a claim that was not granted."""
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
        kind = _KINDS[result.verdict]
    is_running = kind is errors.ErrorKind.OPERATION_RUNNING
    raise errors.RequestError(
        kind, retry_after_ms=_RETRY_AFTER_MS if is_running else 0
    )
