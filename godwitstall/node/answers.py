"""Answers to calls that failed, and the time after which they may return.

Example: answers.of_error(errors.RequestError(errors.ErrorKind.OVERLOADED))
"""

from godwitstall import errors
from godwitstall import messages
from godwitstall.node.requests import headers
from godwitstall.node.upstreams import upstream_answer

# Refusals of calls that were not run are temporary if they have one of these
# statuses, and carry a retry time (requirement R12). It is this default unless
# a better one is known, milliseconds.
_RETRY_AFTER_STATUSES = frozenset((429, 503, 504))
_DEFAULT_RETRY_AFTER_MS = 1000

# Maximum number of digits in an upstream's Retry-After header. A longer value
# is ignored.
_MAX_RETRY_AFTER_DIGITS = 4


def check_status(answer: messages.Answer) -> None:
    """Check the status of an answer that another node has sent.

    An error gets the status of its kind, since only the kind counts. Errors:
    RequestError of kind ANSWER_CUT for an answer of an upstream whose status
    no caller could read.
    """
    if upstream_answer.is_final_status(answer.status):
        return
    if answer.kind is errors.ErrorKind.NONE:
        raise errors.RequestError(
            errors.ErrorKind.ANSWER_CUT,
            f'The owner returned the invalid status {answer.status}.',
        )
    answer.status = errors.ANSWERS[answer.kind].status


def of_error(error: errors.RequestError) -> messages.Answer:
    """Return the answer to a call that failed with an error.

    The traceback of the error is dropped. Its frames hold the call with its
    body, and often a future that holds the error: such a circle is freed only
    by a late collection, however much memory the bodies take.
    """
    error.__traceback__ = None
    rule = errors.ANSWERS[error.kind]
    retry_after_ms = error.retry_after_ms
    if not retry_after_ms:
        retry_after_ms = default_retry_after_ms(rule)
    return messages.Answer(
        kind=error.kind,
        outcome=rule.outcome,
        status=rule.status,
        detail=error.detail,
        retry_after_ms=retry_after_ms,
    )


def default_retry_after_ms(rule: errors.AnswerRule) -> int:
    """Return the retry time of an answer that names no other, or 0."""
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
