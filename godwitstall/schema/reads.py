"""Commands and reads that a process sends to a control replica.

Example: Query(kind=states.QueryKind.MEMBERS)
"""

import dataclasses

from godwitstall.schema import states


@dataclasses.dataclass(slots=True)
class Propose:
    """Requests that a command be logged and applied."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Encoded command.
    command: bytes = b''


@dataclasses.dataclass(slots=True)
class ProposeReply:
    """Result of an applied command."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Encoded result.
    result: bytes = b''
    # Log index of the command.
    index: int = 0


@dataclasses.dataclass(slots=True)
class Query:
    """Requests a linearizable read."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # What is read.
    kind: states.QueryKind = states.QueryKind.STATUS
    # Argument of the query.
    text: str = ''


@dataclasses.dataclass(slots=True)
class QueryReply:
    """Result of a Query."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # JSON document.
    body: bytes = b''
