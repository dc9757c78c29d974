"""Answers of an upstream, and how they are framed and identified.

Example:
    answer = UpstreamAnswer(200, [(b'content-type', b'text/plain')], b'own')
    length = find_header(answer.headers, b'content-length')
"""

import dataclasses

from godwitstall.node.requests import headers

# Statuses of interim and final answers, and those of final answers (RFC 9110,
# section 15).
_STATUSES = range(100, 600)
_FINAL_STATUSES = range(200, 600)


@dataclasses.dataclass(frozen=True, slots=True)
class Framing:
    """How the upstreams frame and identify their answers."""

    # Header in which all answers return the id of the request; empty if there
    # is none.
    request_id_header: bytes = b''
    # Whether an answer without a length is complete when its connection is
    # closed cleanly.
    allows_close_delimited: bool = False


@dataclasses.dataclass(slots=True)
class UpstreamAnswer:
    """A complete answer."""

    # HTTP status.
    status: int
    # Headers with lower-case names.
    headers: list[tuple[bytes, bytes]]
    # Complete body.
    body: bytes
    # Time at which the headers were complete, seconds of clock.recent().
    headers_at: float = 0.0


def find_header(pairs: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header with a lower-case name, or None."""
    for key, value in pairs:
        if key == name:
            return value
    return None


def is_status(status: int) -> bool:
    """Return whether HTTP has such a status, of any class."""
    return status in _STATUSES


def is_final_status(status: int) -> bool:
    """Return whether an answer with this status ends a request."""
    return status in _FINAL_STATUSES


def is_shed(answer: UpstreamAnswer) -> bool:
    """Return whether the upstream refused the request without running it."""
    return (
        answer.status in (503, 504)
        and find_header(answer.headers, headers.OUTCOME) == b'not-run'
    )
