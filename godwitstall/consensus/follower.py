"""Follower side of replication: appends and snapshots from the leader."""

import asyncio
import dataclasses

from godwitstall.consensus import applier as appliers
from godwitstall.consensus import election as elections
from godwitstall.consensus import snapshot_manager
from godwitstall.consensus import state as state_module
from godwitstall.consensus import storage
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages

_LOG = logs.get('consensus')


@dataclasses.dataclass(slots=True)
class _PartialSnapshot:
    """A snapshot of which some chunks have been received."""

    # Term of the leader, and last index and term of the snapshot.
    key: tuple[int, int, int] = (0, 0, 0)
    # Bytes received so far.
    data: bytearray = dataclasses.field(default_factory=bytearray)


class Follower:
    """Handles the requests of a leader."""

    def __init__(
        self,
        state: state_module.State,
        election: elections.Election,
        applier: appliers.Applier,
        snapshots: snapshot_manager.SnapshotManager,
    ) -> None:
        self.state = state
        self.election = election
        self.applier = applier
        self.snapshots = snapshots
        self._partial_snapshot = _PartialSnapshot()
        # Serializes requests that arrive on an old and on a new link.
        self._lock = asyncio.Lock()

    async def _accept_leader(self, term: int, slot: messages.SlotId) -> bool:
        """Return whether the sender leads the current term."""
        state = self.state
        if term < state.term:
            return False
        state.observe_term(term)
        self.election.on_leader_contact(slot)
        await self.election.store_vote()
        return state.term == term

    async def on_append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Store entries; the reply is sent after they are synced."""
        state = self.state
        reply = messages.AppendReply(
            request.seq, state.term, disk_id=state.disk.disk_id
        )
        async with self._lock:
            if await self._accept_leader(request.term, request.slot):
                retry_index = self._find_conflict(request)
                if retry_index is not None:
                    reply.match_index = retry_index
                else:
                    self._store_entries(request.entries)
                    await state.log.sync()
                    reply.is_success = True
                    reply.match_index = request.previous_index + len(
                        request.entries
                    )
                    self.applier.advance_commit(
                        min(request.commit_index, reply.match_index)
                    )
        reply.term = state.term
        return reply

    def _find_conflict(self, request: messages.AppendRequest) -> int | None:
        """Return the previous index for a retry, None if the logs match."""
        log = self.state.log
        previous = request.previous_index
        if previous <= self.state.commit_index:
            return None
        if previous > log.last_index:
            return log.last_index
        term = log.term_at(previous)
        if term == request.previous_term:
            return None
        # Skip the whole conflicting term, to save requests.
        while previous > self.state.commit_index and (
            log.term_at(previous) == term
        ):
            previous -= 1
        return previous

    def _store_entries(self, entries: list[messages.Entry]) -> None:
        state = self.state
        for position, entry in enumerate(entries):
            if entry.index <= state.commit_index:
                continue
            if entry.index <= state.log.last_index:
                if state.log.term_at(entry.index) == entry.term:
                    continue
                _LOG.info('Truncated the log from entry %d.', entry.index)
                state.log.truncate(entry.index)
                state.voters.truncate(entry.index)
            new_entries = entries[position:]
            state.log.append(new_entries)
            for new_entry in new_entries:
                state.voters.append(new_entry)
            return

    async def on_snapshot_chunk(
        self, chunk: messages.SnapshotChunk
    ) -> messages.SnapshotReply:
        """Add a chunk of a snapshot; the last chunk installs the snapshot."""
        state = self.state
        reply = messages.SnapshotReply(
            chunk.seq, state.term, chunk.offset, state.disk.disk_id
        )
        async with self._lock:
            if await self._accept_leader(chunk.term, chunk.slot):
                reply.next_offset = await self._add_chunk(chunk)
        reply.term = state.term
        return reply

    async def _add_chunk(self, chunk: messages.SnapshotChunk) -> int:
        end = chunk.offset + len(chunk.data)
        if chunk.last_index <= self.state.commit_index:
            return end
        if self.state.log.matches(chunk.last_index, chunk.last_term):
            # The log has all that the snapshot covers, and may have later
            # entries that the leader counts as durable here.
            await self.state.log.sync()
            self.applier.advance_commit(chunk.last_index)
            return end
        key = (chunk.term, chunk.last_index, chunk.last_term)
        if self._partial_snapshot.key != key or chunk.offset == 0:
            self._partial_snapshot = _PartialSnapshot(key)
        data = self._partial_snapshot.data
        if chunk.offset != len(data):
            return len(data)
        data += chunk.data
        if chunk.is_last:
            self._partial_snapshot = _PartialSnapshot()
            try:
                header, content = await asyncio.to_thread(
                    storage.unpack_snapshot, data, 'The snapshot'
                )
            except errors.StorageError as e:
                _LOG.warning('Rejected a snapshot from %s: %s', chunk.slot, e)
                return 0
            await self.snapshots.install(header, content, data)
        return end
