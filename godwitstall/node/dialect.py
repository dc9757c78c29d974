"""Header names of a mesh that has conventions of its own.

The gateway and the owner side of a node use these names towards callers and
upstreams in place of the godwitstall-* headers. All names are in lower case.
"""

import dataclasses

from godwitstall import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Names and statuses of one mesh."""

    # Id of one attempt of a caller; upstreams give it back in the answer.
    attempt_id: bytes
    # Time left, milliseconds; from the caller and to the upstream.
    deadline_ms: bytes
    # Key of a workspace; never passed on.
    key: bytes
    # Workspace of the request, to the upstream.
    workspace: bytes
    # Service beside which the request began, to the upstream.
    caller_service: bytes
    # Upstream process that alone may run the request.
    expected_instance: bytes
    # In an answer: the upstream did not run the request.
    not_run: bytes
    # In an answer: mark of a whole answer of an upstream.
    signature: bytes
    # When to come back, seconds.
    retry_after: bytes
    # Statuses that differ from those of errors.ANSWERS.
    statuses: dict[errors.ErrorKind, int]

    def status_of(self, kind: errors.ErrorKind) -> int:
        """Return the HTTP status for an error kind."""
        return self.statuses.get(kind, errors.ANSWERS[kind].status)
