"""Roles, priorities, states and verdicts.

Example: Priority.PAYMENT
"""

import enum


class Role(enum.Enum):
    """Role of a process, exchanged in the handshake."""

    NODE = 0
    CONTROL = 1
    OPERATOR = 2


class Priority(enum.Enum):
    """Priority of a request; the highest number is shed first."""

    PAYMENT = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class UpstreamState(enum.Enum):
    """Whether an upstream may receive new requests."""

    DOWN = 0
    READY = 1
    DRAINING = 2


class OperationState(enum.Enum):
    """State of an operation record."""

    CLAIMED = 0
    RUN = 1
    UNKNOWN = 2
    RELEASED = 3


class ClaimVerdict(enum.Enum):
    """Result of a claim."""

    GRANTED = 0
    RUNNING = 1
    DONE = 2
    UNKNOWN = 3
    MISMATCH = 4
    EXPIRED = 5
    INVALID = 6


class NoteVerdict(enum.Enum):
    """Result of a release note."""

    ACCEPTED = 0
    ALREADY_IN_FORCE = 1
    NUMBER_TAKEN = 2
    NUMBER_GAP = 3
    INVALID = 4
    # The base of the new configuration is no longer in force.
    BASE_CHANGED = 5


class EvacuationVerdict(enum.Enum):
    """Result of an order to evacuate a zone or to end that."""

    ACCEPTED = 0
    # The zone does not exist.
    INVALID = 1
    # The opposite order was applied after this one had been received.
    SUPERSEDED = 2


class QueryKind(enum.Enum):
    """Kinds of reads that an operator can request."""

    STATUS = 0
    CONFIGURATION = 1
    MEMBERS = 2
    OPERATION = 3
    QUARANTINE = 4
    NOTES = 5
    # Validates the release note in the field text and returns its problems.
    NOTE_CHECK = 6
    # Returns the last complete configuration, as sent by the operator.
    DOCUMENT = 7
    EVACUATIONS = 8
