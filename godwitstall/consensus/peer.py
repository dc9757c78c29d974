"""Leader side of replication to one other replica.

Each replica opens a link to every other replica and keeps it in every role;
the link carries votes, appends and forwarded requests. At most one request of
the leader is outstanding; entries proposed in the meantime are sent together
in the next request.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from godwitstall import clock
from godwitstall.consensus import storage
from godwitstall import errors
from godwitstall import link as links
from godwitstall import logs
from godwitstall import messages

if typing.TYPE_CHECKING:
    from godwitstall.consensus import replica as replicas

_LOG = logs.get('consensus')

# Limits of one append request; a large request delays heartbeats.
_MAX_APPEND_ENTRIES = 512
_MAX_APPEND_BYTES = 1024 * 1024

_SNAPSHOT_CHUNK_BYTES = 256 * 1024

# Timeout for a follower to write and load a snapshot, seconds.
_INSTALL_TIMEOUT_S = 30.0


async def _discard_message(message: messages.Message) -> None:
    """Drop unsolicited messages; only replies are expected."""


class Peer:
    """Link to one other replica, and its replication state."""

    def __init__(
        self, replica: replicas.Replica, slot: messages.SlotId, address: str
    ) -> None:
        self.replica = replica
        self.slot = slot
        self.address = address
        # Task that runs run(); None before the replica starts.
        self.task: asyncio.Task[None] | None = None
        # Time at which a link was last known to be open, seconds.
        self.linked_at = clock.now()
        # Open link, None while disconnected.
        self.link: links.Link | None = None
        # Disk id in the last reply.
        self.disk_id = messages.DiskId('')
        # Next entry to send, and highest entry known to be durable there.
        self.next_index = 1
        self.match_index = 0
        # At the last successful append, the log of the peer had all entries
        # that this replica had when it sent the request.
        self.is_caught_up = False
        # Send time of the last acknowledged request of the term, seconds.
        self.acked_at = -1.0
        # Set when there is something to send.
        self.wake = asyncio.Event()

    def reset(self, next_index: int) -> None:
        """Reset the replication state for a new term as leader."""
        self.next_index = next_index
        self.match_index = 0
        self.is_caught_up = False
        self.acked_at = -1.0
        self.wake.set()

    async def run(self) -> None:
        """Keep a link open and replicate while this replica leads."""
        retry_interval_s = self.replica.options.append_interval_ms / 1000
        while True:
            try:
                link = await links.connect(self.address, self.replica.identity)
            except errors.LinkError as e:
                _LOG.debug('Cannot connect to replica %s: %s', self.slot, e)
                await asyncio.sleep(retry_interval_s)
                continue
            link.closes_when_silent = True
            self.link = link
            reader = asyncio.create_task(link.run(_discard_message))
            reader.add_done_callback(lambda _: self.wake.set())
            try:
                while not link.is_closed:
                    await self._run_once(link)
            except errors.LinkError as e:
                _LOG.debug('Link to replica %s failed: %s', self.slot, e)
            except errors.ControlError as e:
                # The replica at the other end has failed or was closed. It
                # may have been started again and accept another link.
                _LOG.debug('Replica %s rejected a request: %s', self.slot, e)
            finally:
                self.link = None
                self.is_caught_up = False
                link.close()
                reader.cancel()
            await asyncio.sleep(retry_interval_s)

    async def _run_once(self, link: links.Link) -> None:
        has_more = False
        timeout_s = None
        self.wake.clear()
        if self.replica.is_leader:
            timeout_s = self.replica.options.append_interval_ms / 1000
            has_more = await self._replicate(link)
        if not has_more:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self.wake.wait()

    async def _replicate(self, link: links.Link) -> bool:
        """Send one request; return whether to send another immediately."""
        log = self.replica.log
        previous = self.next_index - 1
        previous_term = log.term_at(previous)
        if previous + 1 < log.first_index or previous_term is None:
            await self._send_snapshot(link)
            return True
        entries = []
        size = 0
        for entry in log.entries_between(
            previous + 1, previous + _MAX_APPEND_ENTRIES
        ):
            entries.append(entry)
            size += len(entry.command)
            if size >= _MAX_APPEND_BYTES:
                break
        last_index = log.last_index
        term = self.replica.term
        sent_at = clock.now()
        reply = await link.request(
            messages.AppendRequest(
                term=term,
                slot=self.replica.slot,
                previous_index=previous,
                previous_term=previous_term,
                entries=entries,
                commit_index=self.replica.commit_index,
            ),
            self.replica.options.election_max_s,
        )
        if not isinstance(
            reply, messages.AppendReply
        ) or not self._accept_reply(reply.term, term, reply.disk_id, sent_at):
            return False
        if reply.is_success:
            self.match_index = max(self.match_index, reply.match_index)
            self.next_index = previous + len(entries) + 1
            self.is_caught_up = self.next_index > last_index
        else:
            self.next_index = max(1, min(previous, reply.match_index + 1))
        self.replica.on_ack()
        return self.replica.is_leader and (
            not reply.is_success or self.next_index <= log.last_index
        )

    def _accept_reply(
        self,
        reply_term: int,
        term: int,
        disk_id: messages.DiskId,
        sent_at: float,
    ) -> bool:
        """Update the peer; return whether the reply is of the current term."""
        if reply_term > self.replica.term:
            self.replica.observe_term(reply_term)
        if self.replica.term != term or not self.replica.is_leader:
            return False
        if disk_id != self.disk_id:
            # The replication state of the previous disk does not apply.
            self.match_index = 0
            self.is_caught_up = False
            self.disk_id = disk_id
        self.acked_at = max(self.acked_at, sent_at)
        return True

    async def _send_snapshot(self, link: links.Link) -> None:
        folder = self.replica.folder
        data = await asyncio.to_thread(storage.read_snapshot, folder)
        if data is None:
            raise errors.LinkError(
                errors.ErrorKind.INTERNAL, 'No snapshot exists.'
            )
        header, _ = await asyncio.to_thread(
            storage.unpack_snapshot, data, 'The newest snapshot'
        )
        _LOG.info(
            'Sending the snapshot at entry %d (%d bytes) to %s.',
            header.last_index,
            len(data),
            self.slot,
        )
        term = self.replica.term
        offset = 0
        while offset < len(data):
            sent_at = clock.now()
            chunk = data[offset : offset + _SNAPSHOT_CHUNK_BYTES]
            is_last = offset + len(chunk) == len(data)
            reply = await link.request(
                messages.SnapshotChunk(
                    term=term,
                    slot=self.replica.slot,
                    last_index=header.last_index,
                    last_term=header.last_term,
                    offset=offset,
                    is_last=is_last,
                    data=chunk,
                ),
                _INSTALL_TIMEOUT_S
                if is_last
                else self.replica.options.election_max_s,
            )
            if not isinstance(
                reply, messages.SnapshotReply
            ) or not self._accept_reply(
                reply.term, term, reply.disk_id, sent_at
            ):
                return
            if reply.next_offset == offset:
                raise errors.LinkError(
                    errors.ErrorKind.INTERNAL,
                    'The follower rejected the snapshot.',
                )
            offset = min(reply.next_offset, len(data))
            self.replica.on_ack()
        self.match_index = max(self.match_index, header.last_index)
        self.next_index = header.last_index + 1
        self.replica.on_ack()
