"""Records of the replicated state that a snapshot contains.

Example: SnapshotFile(last_index=12)
"""

import dataclasses

from godwitstall.schema import commands
from godwitstall.schema import consensus
from godwitstall.schema import ids
from godwitstall.schema import liveness
from godwitstall.schema import views


@dataclasses.dataclass(slots=True)
class AcceptedNote:
    """An accepted release note."""

    # Number of the release note.
    number: int = 0
    # SHA-256 digest, hexadecimal.
    digest: str = ''
    # Name of the operator.
    operator: str = ''
    # Wall-clock time, milliseconds; never decreases along the log.
    time_ms: int = 0


@dataclasses.dataclass(slots=True)
class ConfigurationSnapshot:
    """Replicated state of the configuration."""

    # Configuration in force.
    configuration: views.Configuration = dataclasses.field(
        default_factory=views.Configuration
    )
    # Accepted notes, oldest first.
    notes: list[AcceptedNote] = dataclasses.field(default_factory=list)
    # Last complete configuration as sent; empty after a release note.
    document: bytes = b''


@dataclasses.dataclass(slots=True)
class MembersSnapshot:
    """Replicated state of the members."""

    # All members.
    members: list[views.Member] = dataclasses.field(default_factory=list)
    # Ids of the nodes that operators have drained.
    drained: list[str] = dataclasses.field(default_factory=list)
    # Removed nodes, with the lowest incarnation that may join again.
    gone: list[liveness.NodeBeat] = dataclasses.field(default_factory=list)
    # Incarnation of the last upstream that drained, by node.
    departed: list[liveness.NodeBeat] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class OperationsSnapshot:
    """Replicated state of the operations."""

    # All operation records.
    records: list[commands.OperationRecord] = dataclasses.field(
        default_factory=list
    )
    # Wall-clock time, milliseconds; never decreases along the log.
    time_ms: int = 0


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """Crashes that requests with one fingerprint caused."""

    # SHA-256 of workspace, method, path and body.
    fingerprint: bytes = b''
    # Workspace of the request; empty on open routes.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
    # Name of the matched route.
    route_name: str = ''
    # Distinct upstream processes that crashed.
    incarnations: list[str] = dataclasses.field(default_factory=list)
    # Wall-clock time of the first crash, milliseconds.
    first_time_ms: int = 0
    # Wall-clock time of the last crash, milliseconds.
    last_time_ms: int = 0


@dataclasses.dataclass(slots=True)
class QuarantineSnapshot:
    """Replicated state of the crash reports."""

    # All crash records.
    records: list[CrashRecord] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class MachineSnapshot:
    """Complete replicated state."""

    # Snapshot of the configuration.
    configuration: ConfigurationSnapshot = dataclasses.field(
        default_factory=ConfigurationSnapshot
    )
    # Snapshot of the members.
    members: MembersSnapshot = dataclasses.field(
        default_factory=MembersSnapshot
    )
    # Snapshot of the operations.
    operations: OperationsSnapshot = dataclasses.field(
        default_factory=OperationsSnapshot
    )
    # Snapshot of the crash records.
    quarantine: QuarantineSnapshot = dataclasses.field(
        default_factory=QuarantineSnapshot
    )
    # Zones that are or were evacuated.
    evacuations: list[views.Evacuation] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class SnapshotFile:
    """Header of a snapshot file."""

    # Index of the last entry that the snapshot covers.
    last_index: int = 0
    # Term of that entry.
    last_term: int = 0
    # Wall-clock time, milliseconds; never decreases along the log.
    time_ms: int = 0
    # Current voters.
    voters: list[consensus.Voter] = dataclasses.field(default_factory=list)
    # Empty in files, where the state follows the header.
    state: bytes = b''
    # Log index of the entry that set the voters.
    voters_index: int = 0
