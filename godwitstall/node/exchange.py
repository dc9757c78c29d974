"""Builds the headers of upstream requests and classifies the answers."""

import collections.abc

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.node import dialect as dialect_module
from godwitstall.node.requests import context
from godwitstall.node.requests import digests
from godwitstall.node.requests import headers
from godwitstall.node.upstreams import upstream_answer

_FIRST_ERROR_STATUS = 400
_MISDIRECTED_REQUEST_STATUS = 421


def classify_answer(
    dialect: dialect_module.Dialect, answer: upstream_answer.UpstreamAnswer
) -> tuple[errors.ErrorKind, str]:
    """Return the error kind of a complete answer and a description.

    The kind is NONE if the answer can be returned to the caller.
    """

    def find(name: bytes) -> bytes | None:
        return upstream_answer.find_header(answer.headers, name)

    if find(dialect.not_run) is not None or is_misdirected(answer):
        return errors.ErrorKind.UPSTREAM_SHED, ''
    if answer.status in dialect.not_run_statuses:
        # A caller would conclude what the upstream has not said.
        return (
            errors.ErrorKind.ANSWER_CUT,
            f'Status {answer.status} lacks {dialect.not_run.decode()}.',
        )
    is_success = answer.status < _FIRST_ERROR_STATUS
    if is_success and find(dialect.signature) is None:
        return errors.ErrorKind.ANSWER_CUT, 'The answer is not signed.'
    if find(b'content-encoding') is not None:
        return errors.ErrorKind.ANSWER_CUT, 'The answer is encoded.'
    return errors.ErrorKind.NONE, ''


def is_misdirected(answer: upstream_answer.UpstreamAnswer) -> bool:
    """Return whether the request was meant for another process."""
    return answer.status == _MISDIRECTED_REQUEST_STATUS


def build_dialect_headers(
    dialect: dialect_module.Dialect,
    call: messages.Call,
    instance_id: str,
    deadline: float,
) -> bytes:
    """Return the headers for an upstream whose mesh has its own names."""
    remaining_ms = max(1, int((deadline - clock.recent()) * 1000))
    block = call.headers + b'%s: %d\r\n' % (dialect.deadline_ms, remaining_ms)
    if instance_id:
        block += b'%s: %s\r\n' % (
            dialect.expected_instance,
            instance_id.encode(),
        )
    return block


def request_digest(call: messages.Call) -> bytes:
    """Return a digest that distinguishes requests with one operation id."""
    return digests.of_parts(
        call.method.encode(), call.path.encode(), call.body
    )


def build_headers(
    call: messages.Call,
    running_request: context.RequestContext,
    deadline: float,
) -> bytes:
    """Return the headers for the upstream, which never include a key."""
    remaining_ms = max(1, int((deadline - clock.recent()) * 1000))
    added: collections.abc.Iterable[tuple[bytes, str]] = (
        (headers.CONTEXT, running_request.token),
        (headers.DEADLINE_MS, str(remaining_ms)),
        (headers.ATTEMPTS, str(running_request.budget.remaining)),
        (headers.WORKSPACE, call.workspace),
        (headers.OPERATION, call.operation_id),
    )
    lines = [
        b'%s: %s\r\n' % (name, value.encode())
        for name, value in added
        if value
    ]
    return call.headers + b''.join(lines)
