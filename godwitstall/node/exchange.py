"""What the own upstream is sent, and whether its answers can be handed on."""

import collections.abc

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.node import context
from godwitstall.node import dialect as dialect_module
from godwitstall.node import digests
from godwitstall.node import headers
from godwitstall.node import upstream_client

_FIRST_ERROR_STATUS = 400
_MISDIRECTED = 421


def judge(
    names: dialect_module.Dialect, answer: upstream_client.UpstreamAnswer
) -> tuple[errors.ErrorKind, str]:
    """Return whether a whole answer can be handed on, and if not, why."""

    def find(name: bytes) -> bytes | None:
        return upstream_client.find_header(answer.headers, name)

    if find(names.not_run) is not None or answer.status == _MISDIRECTED:
        return errors.ErrorKind.UPSTREAM_SHED, ''
    is_success = answer.status < _FIRST_ERROR_STATUS
    if is_success and find(names.signature) is None:
        return errors.ErrorKind.ANSWER_CUT, 'The answer is not signed.'
    if find(b'content-encoding') is not None:
        return errors.ErrorKind.ANSWER_CUT, 'The answer is encoded.'
    return errors.ErrorKind.NONE, ''


def dialect_block(
    names: dialect_module.Dialect,
    call: messages.Call,
    instance_id: str,
    deadline: float,
) -> bytes:
    """Return the headers for an upstream with names of its own."""
    left_ms = max(1, int((deadline - clock.recent()) * 1000))
    block = call.headers + b'%s: %d\r\n' % (names.deadline_ms, left_ms)
    if instance_id:
        block += b'%s: %s\r\n' % (
            names.expected_instance,
            instance_id.encode(),
        )
    return block


def request_digest(call: messages.Call) -> bytes:
    """Return what tells two requests under one operation id apart."""
    return digests.of_parts(
        call.method.encode(), call.path.encode(), call.body
    )


def request_block(
    call: messages.Call, entry: context.RequestContext, deadline: float
) -> bytes:
    """Return the headers that the upstream gets; never a key."""
    left_ms = max(1, int((deadline - clock.recent()) * 1000))
    own: collections.abc.Iterable[tuple[bytes, str]] = (
        (headers.CONTEXT, entry.token),
        (headers.DEADLINE_MS, str(left_ms)),
        (headers.ATTEMPTS, str(entry.budget.remaining)),
        (headers.WORKSPACE, call.workspace),
        (headers.OPERATION, call.operation_id),
    )
    lines = [
        b'%s: %s\r\n' % (name, value.encode()) for name, value in own if value
    ]
    return call.headers + b''.join(lines)
