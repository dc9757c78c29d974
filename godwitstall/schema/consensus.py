"""Messages between control replicas: votes, log and snapshots.

Example: AppendRequest(term=3)
"""

import dataclasses

import msgspec

from godwitstall.schema import ids


@dataclasses.dataclass(slots=True)
class Entry:
    """One log entry."""

    # Log index.
    index: int = 0
    # Election term.
    term: int = 0
    # Wall-clock time, milliseconds; never decreases along the log.
    time_ms: int = 0
    # Encoded command.
    command: bytes = b''


@dataclasses.dataclass(slots=True)
class Voter:
    """A replica that votes."""

    # Replica slot from the settings.
    slot: ids.SlotId = ids.SlotId('')
    # Id of the data folder, assigned when it was formatted.
    disk_id: ids.DiskId = ids.DiskId('')
    # Address for links, 'host:port'.
    address: str = ''
    # Availability zone; empty when unknown.
    zone: str = ''


@dataclasses.dataclass(slots=True)
class VoteRequest:
    """Request of a candidate for a vote."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Replica slot of the candidate.
    slot: ids.SlotId = ids.SlotId('')
    # Id of the data folder, assigned when it was formatted.
    disk_id: ids.DiskId = ids.DiskId('')
    # Index of the last log entry of the candidate.
    last_index: int = 0
    # Term of that entry.
    last_term: int = 0
    # Whether this is a pre-vote, which does not increase the term.
    is_pre_vote: bool = False
    # Whether the leader requested this election.
    is_transfer: bool = False


@dataclasses.dataclass(slots=True)
class VoteReply:
    """Reply to VoteRequest."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Whether the vote is granted.
    is_granted: bool = False
    # Id of the data folder, assigned when it was formatted.
    disk_id: ids.DiskId = ids.DiskId('')


@dataclasses.dataclass(slots=True)
class AppendRequest:
    """Replicates log entries of the leader, and serves as its heartbeat."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Replica slot of the leader.
    slot: ids.SlotId = ids.SlotId('')
    # Index of the entry before entries.
    previous_index: int = 0
    # Term of that entry.
    previous_term: int = 0
    # Log entries in order; empty for a heartbeat.
    entries: list[Entry] = dataclasses.field(default_factory=list)
    # Commit index of the leader.
    commit_index: int = 0


@dataclasses.dataclass(slots=True)
class AppendReply:
    """Reply to AppendRequest."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Whether the entries are stored and synced.
    is_success: bool = False
    # Highest index known to match; on failure, a hint where to continue.
    match_index: int = 0
    # Id of the data folder, assigned when it was formatted.
    disk_id: ids.DiskId = ids.DiskId('')


@dataclasses.dataclass(slots=True)
class SnapshotChunk:
    """Part of a snapshot that the leader sends to a follower."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Replica slot of the leader.
    slot: ids.SlotId = ids.SlotId('')
    # Index of the last entry that the snapshot covers.
    last_index: int = 0
    # Term of that entry.
    last_term: int = 0
    # Offset of the chunk in the snapshot, bytes.
    offset: int = 0
    # Whether this is the last chunk.
    is_last: bool = False
    # Bytes of the snapshot.
    data: bytes = b''


@dataclasses.dataclass(slots=True)
class SnapshotReply:
    """Reply to SnapshotChunk."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0
    # Offset of the next chunk to send, bytes.
    next_offset: int = 0
    # Id of the data folder, assigned when it was formatted.
    disk_id: ids.DiskId = ids.DiskId('')


@dataclasses.dataclass(slots=True)
class TransferLeadership:
    """Request of the leader that a follower start an election now."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Election term.
    term: int = 0


class BarrierRequest(msgspec.Struct, array_like=True, tag=10):
    """Requests a confirmed commit index from the leader."""

    # Sequence number that matches a reply to its request.
    seq: ids.Count = 0


class BarrierReply(msgspec.Struct, array_like=True, tag=11):
    """Reply to BarrierRequest."""

    # Sequence number that matches a reply to its request.
    seq: ids.Count = 0
    # Confirmed commit index.
    index: ids.Count = 0
