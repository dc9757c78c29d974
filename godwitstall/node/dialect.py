"""Header names and statuses of a mesh with its own conventions.

The gateway and the owner of a node use them for callers and upstreams instead
of the godwitstall-* headers. All header names are in lower case.
"""

import dataclasses

from godwitstall import errors
from godwitstall.node.upstreams import upstream_status


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names and statuses of one mesh."""

    # Id of one attempt of a caller, which upstreams return in the answer.
    attempt_id: bytes
    # Remaining time, milliseconds; sent by the caller and to the upstream.
    deadline_ms: bytes
    # Key of a workspace, which is never relayed.
    key: bytes
    # Workspace of the request, sent to the upstream.
    workspace: bytes
    # Service of the entry node of the request, sent to the upstream.
    caller_service: bytes
    # Id of the only upstream process that may run the request.
    expected_instance: bytes
    # Set in an answer if the upstream did not run the request.
    not_run: bytes
    # Present in each successful answer that an upstream completed.
    signature: bytes
    # Time after which a caller may retry, seconds.
    retry_after: bytes
    # Statuses that differ from those of errors.ANSWERS.
    statuses: dict[errors.ErrorKind, int]
    # Statuses which mean that the request was not run.
    not_run_statuses: frozenset[int] = frozenset((408, 421, 429, 503))
    # Headers with which an upstream describes itself.
    status_names: upstream_status.Names = upstream_status.DEFAULT_NAMES

    def status_of(self, kind: errors.ErrorKind) -> int:
        """Return the HTTP status for an error kind."""
        return self.statuses.get(kind, errors.ANSWERS[kind].status)
