"""The follower's side of replication: appends and snapshots of a leader."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from godwitstall.consensus import storage
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages

if typing.TYPE_CHECKING:
    from godwitstall.consensus import replica as replicas

_LOG = logs.get('consensus')


@dataclasses.dataclass(slots=True)
class _Incoming:
    """A snapshot that is being received."""

    # Leader's term, and index and term of the snapshot.
    key: tuple[int, int, int] = (0, 0, 0)
    # Bytes so far.
    data: bytearray = dataclasses.field(default_factory=bytearray)


class Follower:
    """Answers the requests of a leader."""

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self._incoming = _Incoming()
        # Requests of an old and a new link must not mix.
        self._lock = asyncio.Lock()

    async def _accept_leader(self, term: int, slot: messages.SlotId) -> bool:
        """Return whether the sender leads the current term."""
        replica = self.replica
        if term < replica.term:
            return False
        replica.observe_term(term)
        replica.follow(slot)
        await replica.election.store()
        return replica.term == term

    async def append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Store entries; the reply goes out after they are synced."""
        replica = self.replica
        reply = messages.AppendReply(
            request.seq, replica.term, disk_id=replica.disk.disk_id
        )
        async with self._lock:
            if await self._accept_leader(request.term, request.slot):
                hint = self._mismatch(request)
                if hint is not None:
                    reply.match_index = hint
                else:
                    self._store(request.entries)
                    await replica.log.sync()
                    reply.is_success = True
                    reply.match_index = request.previous_index + len(
                        request.entries
                    )
                    replica.advance_commit(
                        min(request.commit_index, reply.match_index)
                    )
        reply.term = replica.term
        return reply

    def _mismatch(self, request: messages.AppendRequest) -> int | None:
        """Return the index to go back to when the logs differ."""
        log = self.replica.log
        previous = request.previous_index
        if previous <= self.replica.commit_index:
            return None
        if previous > log.last_index:
            return log.last_index
        term = log.term_at(previous)
        if term == request.previous_term:
            return None
        # Skips the whole conflicting term with one request.
        while previous > self.replica.commit_index and (
            log.term_at(previous) == term
        ):
            previous -= 1
        return previous

    def _store(self, entries: list[messages.Entry]) -> None:
        replica = self.replica
        for position, entry in enumerate(entries):
            if entry.index <= replica.commit_index:
                continue
            if entry.index <= replica.log.last_index:
                if replica.log.term_at(entry.index) == entry.term:
                    continue
                _LOG.info('Cut entries from %d on.', entry.index)
                replica.log.truncate(entry.index)
                replica.voters.truncate(entry.index)
            fresh = entries[position:]
            replica.log.append(fresh)
            for new in fresh:
                replica.voters.append(new)
            return

    async def install(
        self, chunk: messages.SnapshotChunk
    ) -> messages.SnapshotReply:
        """Take one part of a snapshot; the last one puts it in force."""
        replica = self.replica
        reply = messages.SnapshotReply(
            chunk.seq, replica.term, chunk.offset, replica.disk.disk_id
        )
        async with self._lock:
            if await self._accept_leader(chunk.term, chunk.slot):
                reply.next_offset = await self._take(chunk)
        reply.term = replica.term
        return reply

    async def _take(self, chunk: messages.SnapshotChunk) -> int:
        end = chunk.offset + len(chunk.data)
        if chunk.last_index <= self.replica.commit_index:
            return end
        key = (chunk.term, chunk.last_index, chunk.last_term)
        if self._incoming.key != key or chunk.offset == 0:
            self._incoming = _Incoming(key)
        have = self._incoming.data
        if chunk.offset != len(have):
            return len(have)
        have += chunk.data
        if chunk.is_last:
            self._incoming = _Incoming()
            try:
                header, state = await asyncio.to_thread(
                    storage.unpack_snapshot, have, 'The snapshot'
                )
            except errors.StorageError as e:
                _LOG.warning('Refused a snapshot from %s: %s', chunk.slot, e)
                return 0
            await self.replica.install(header, state, have)
        return end
