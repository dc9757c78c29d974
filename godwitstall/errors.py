"""Error kinds, the HTTP response to each of them, and exceptions.

Every error that a caller, an operator or another process can receive has a
kind in ErrorKind. For each kind, ANSWERS defines the HTTP status, whether the
request was run, and whether an entry node may retry it at another owner node.
"""

import dataclasses
import enum
import functools


class Outcome(enum.Enum):
    """Whether the upstream ran a request."""

    NOT_RUN = 0
    RUN = 1
    UNKNOWN = 2

    @property
    def label(self) -> str:
        """Name used in headers and JSON, for example 'not-run'."""
        return self.name.lower().replace('_', '-')


class ErrorKind(enum.Enum):
    """Reasons for which a request can fail.

    The numbers are part of the wire format. The missing ones belonged to kinds
    that have been removed, and must not be reused.
    """

    NONE = 0
    BAD_REQUEST = 1
    HEADERS_TOO_LARGE = 2
    BODY_TOO_LARGE = 3
    NO_ROUTE = 4
    KEY_MISSING = 5
    KEY_UNKNOWN = 6
    CONTEXT_INVALID = 7
    RATE_EXCEEDED = 8
    OVERLOADED = 9
    NO_UPSTREAM = 10
    DEADLINE_PASSED = 11
    ATTEMPTS_USED = 12
    CONTROL_LOST = 13
    QUARANTINED = 14
    UPSTREAM_UNREACHABLE = 15
    UPSTREAM_SHED = 16
    UPSTREAM_LOST = 17
    ANSWER_CUT = 18
    ANSWER_TOO_LARGE = 19
    UPSTREAM_TIMEOUT = 20
    PEER_LOST = 21
    OPERATION_INVALID = 23
    OPERATION_EXPIRED = 24
    OPERATION_RUNNING = 25
    OPERATION_UNKNOWN = 26
    OPERATION_MISMATCH = 27
    OPERATION_RUN = 28
    STOPPING = 29
    INTERNAL = 30
    NOT_LEADER = 31
    NOT_ADMITTED = 32
    BAD_MESSAGE = 33
    CHAIN_OVERLOADED = 34
    CUT_BY_STOP = 35
    HEADERS_LATE = 36
    BODY_LATE = 37
    MEMORY_FULL = 38
    ZONE_EVACUATED = 39

    # Enum.__hash__ is a Python function, which is slow for the table lookups
    # of each response.
    __hash__ = object.__hash__

    @functools.cached_property
    def label(self) -> str:
        """Name used in headers, JSON and metrics, for example 'no_route'."""
        return self.name.lower()


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRule:
    """Response to the caller for one error kind."""

    # HTTP status.
    status: int
    # Whether the request was run.
    outcome: Outcome
    # Whether an entry node may retry the request at another owner node.
    is_retryable: bool
    # Human-readable explanation in one sentence.
    text: str


_NOT_RUN = Outcome.NOT_RUN
_RUN = Outcome.RUN
_UNKNOWN = Outcome.UNKNOWN

ANSWERS: dict[ErrorKind, AnswerRule] = {
    ErrorKind.NONE: AnswerRule(200, _RUN, False, 'The request was run.'),
    ErrorKind.BAD_REQUEST: AnswerRule(
        400, _NOT_RUN, False, 'The request is malformed.'
    ),
    ErrorKind.HEADERS_TOO_LARGE: AnswerRule(
        431, _NOT_RUN, False, 'The request headers are too large.'
    ),
    ErrorKind.HEADERS_LATE: AnswerRule(
        408, _NOT_RUN, False, 'The request headers were not sent in time.'
    ),
    ErrorKind.BODY_LATE: AnswerRule(
        408, _NOT_RUN, False, 'The request body was not sent in time.'
    ),
    ErrorKind.BODY_TOO_LARGE: AnswerRule(
        413, _NOT_RUN, False, 'The request body is too large.'
    ),
    ErrorKind.NO_ROUTE: AnswerRule(
        404, _NOT_RUN, False, 'No route matches the path and method.'
    ),
    ErrorKind.KEY_MISSING: AnswerRule(
        401, _NOT_RUN, False, 'The route requires a key.'
    ),
    ErrorKind.KEY_UNKNOWN: AnswerRule(
        403, _NOT_RUN, False, 'The key is unknown or withdrawn.'
    ),
    ErrorKind.CONTEXT_INVALID: AnswerRule(
        403,
        _NOT_RUN,
        False,
        'The context refers to no request running on this node.',
    ),
    ErrorKind.RATE_EXCEEDED: AnswerRule(
        429, _NOT_RUN, False, 'The workspace has exceeded its rate and burst.'
    ),
    ErrorKind.OVERLOADED: AnswerRule(
        503, _NOT_RUN, True, 'The upstream has no free slot.'
    ),
    ErrorKind.MEMORY_FULL: AnswerRule(
        503,
        _NOT_RUN,
        True,
        'The process holds too many bytes of unfinished requests.',
    ),
    ErrorKind.CHAIN_OVERLOADED: AnswerRule(
        503,
        _NOT_RUN,
        False,
        'A service further down the call chain is overloaded.',
    ),
    ErrorKind.NO_UPSTREAM: AnswerRule(
        503, _NOT_RUN, False, 'No upstream of the service is ready.'
    ),
    ErrorKind.ZONE_EVACUATED: AnswerRule(
        503, _NOT_RUN, True, 'The zone of the upstream is evacuated.'
    ),
    ErrorKind.DEADLINE_PASSED: AnswerRule(
        504, _NOT_RUN, False, 'The deadline passed before the request ran.'
    ),
    ErrorKind.ATTEMPTS_USED: AnswerRule(
        503, _NOT_RUN, False, 'The call chain has used all its attempts.'
    ),
    ErrorKind.CONTROL_LOST: AnswerRule(
        503, _NOT_RUN, False, 'The node has lost contact with control.'
    ),
    ErrorKind.QUARANTINED: AnswerRule(
        422, _NOT_RUN, False, 'This request crashed several upstreams.'
    ),
    ErrorKind.UPSTREAM_UNREACHABLE: AnswerRule(
        503, _NOT_RUN, True, 'The upstream does not accept connections.'
    ),
    ErrorKind.UPSTREAM_SHED: AnswerRule(
        503,
        _NOT_RUN,
        True,
        'The upstream rejected the request without running it.',
    ),
    ErrorKind.UPSTREAM_LOST: AnswerRule(
        502,
        _UNKNOWN,
        True,
        'The upstream closed the connection before it responded.',
    ),
    ErrorKind.ANSWER_CUT: AnswerRule(
        502, _UNKNOWN, True, 'The response was truncated.'
    ),
    ErrorKind.ANSWER_TOO_LARGE: AnswerRule(
        502, _RUN, False, 'The response exceeds the size limit.'
    ),
    ErrorKind.UPSTREAM_TIMEOUT: AnswerRule(
        504, _UNKNOWN, False, 'The upstream did not respond in time.'
    ),
    ErrorKind.PEER_LOST: AnswerRule(
        502, _UNKNOWN, True, 'The link to the owner node was lost.'
    ),
    ErrorKind.OPERATION_INVALID: AnswerRule(
        400, _NOT_RUN, False, 'The operation id is not a valid UUIDv7.'
    ),
    ErrorKind.OPERATION_EXPIRED: AnswerRule(
        409,
        _NOT_RUN,
        False,
        'The operation id is older than the lifetime of its record.',
    ),
    ErrorKind.OPERATION_RUNNING: AnswerRule(
        409,
        _UNKNOWN,
        False,
        'An earlier request of the operation is still running.',
    ),
    ErrorKind.OPERATION_UNKNOWN: AnswerRule(
        409,
        _UNKNOWN,
        False,
        'An earlier request was dispatched and its outcome is unknown.',
    ),
    ErrorKind.OPERATION_MISMATCH: AnswerRule(
        422,
        _NOT_RUN,
        False,
        'The operation id was used for another request.',
    ),
    ErrorKind.OPERATION_RUN: AnswerRule(
        409,
        _RUN,
        False,
        'The operation was run; its response was too large to store.',
    ),
    ErrorKind.STOPPING: AnswerRule(
        503, _NOT_RUN, True, 'The process is stopping.'
    ),
    ErrorKind.CUT_BY_STOP: AnswerRule(
        504, _UNKNOWN, False, 'The node stopped before the request had ended.'
    ),
    ErrorKind.INTERNAL: AnswerRule(
        500, _UNKNOWN, False, 'An unexpected error occurred.'
    ),
    ErrorKind.NOT_LEADER: AnswerRule(
        503, _NOT_RUN, True, 'The replica is not the leader.'
    ),
    ErrorKind.NOT_ADMITTED: AnswerRule(
        403, _NOT_RUN, False, 'The peer does not know the fleet secret.'
    ),
    ErrorKind.BAD_MESSAGE: AnswerRule(
        400, _NOT_RUN, False, 'The peer sent an invalid message.'
    ),
}


class GodwitstallError(Exception):
    """Base of the exceptions that have an error kind.

    Example: raise RequestError(ErrorKind.RATE_EXCEEDED, 'shop-3', 250)
    """

    def __init__(
        self, kind: ErrorKind, detail: str = '', retry_after_ms: int = 0
    ) -> None:
        super().__init__(detail or ANSWERS[kind].text)
        self.kind = kind
        # Human-readable explanation; by default that of the kind.
        self.detail = detail or ANSWERS[kind].text
        # Recommended delay before a retry, milliseconds; 0 when unknown.
        self.retry_after_ms = retry_after_ms


class RequestError(GodwitstallError):
    """A request of a caller was rejected or failed."""


class LinkError(GodwitstallError):
    """A link failed, or its peer sent an invalid message."""


class ControlError(GodwitstallError):
    """Control could not process a command or a read."""


class SettingsError(Exception):
    """Settings are invalid; each problem is one line for the operator."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__('\n'.join(problems))
        # Lines of the form 'file: key: problem'.
        self.problems = problems


class StorageError(Exception):
    """A file on disk is corrupt; the message says how to recover."""


class DiskError(StorageError):
    """A disk operation failed; the stored data is still intact."""
