"""Leader side of replication to one other replica.

Each replica opens a link to every other replica and keeps it in every role;
the link carries votes, appends and forwarded requests. At most one request of
the leader is outstanding; entries proposed in the meantime are sent together
in the next request.
"""

import asyncio
import collections.abc
import contextlib

from godwitstall import clock
from godwitstall.consensus import peer as peers
from godwitstall.consensus import state as state_module
from godwitstall.consensus import storage
from godwitstall import errors
from godwitstall import link as links
from godwitstall import logs
from godwitstall import messages

_LOG = logs.get('consensus')

# Limits of one append request; a large request delays heartbeats.
_MAX_APPEND_ENTRIES = 512
_MAX_APPEND_BYTES = 1024 * 1024

_SNAPSHOT_CHUNK_BYTES = 256 * 1024

# Timeout for a follower to write and load a snapshot, seconds.
_INSTALL_TIMEOUT_S = 30.0


async def _discard_message(message: messages.Message) -> None:
    """Drop unsolicited messages; only replies are expected."""


class Replicator:
    """Keeps the link to a peer, and sends it the log of this leader."""

    def __init__(
        self,
        state: state_module.State,
        peer: peers.Peer,
        on_ack: collections.abc.Callable[[], None],
    ) -> None:
        self.state = state
        self.peer = peer
        # Called after each acknowledgement of the peer.
        self.on_ack = on_ack

    async def run(self) -> None:
        """Keep a link open and replicate while this replica leads."""
        retry_interval_s = self.state.options.append_interval_ms / 1000
        while True:
            link = await self._connect()
            if link is not None:
                await self._use(link)
            await asyncio.sleep(retry_interval_s)

    async def _connect(self) -> links.Link | None:
        try:
            link = await links.connect(self.peer.address, self.state.identity)
        except errors.LinkError as e:
            _LOG.debug('Cannot connect to replica %s: %s', self.peer.slot, e)
            return None
        link.closes_when_silent = True
        return link

    async def _use(self, link: links.Link) -> None:
        """Replicate over a link until it is closed."""
        peer = self.peer
        peer.link = link
        reader = asyncio.create_task(link.run(_discard_message))
        reader.add_done_callback(lambda _: peer.wake.set())
        try:
            while not link.is_closed:
                await self._run_once(link)
        except errors.LinkError as e:
            _LOG.debug('Link to replica %s failed: %s', peer.slot, e)
        except errors.ControlError as e:
            # The replica at the other end has failed or was closed. It may
            # have been started again and accept another link.
            _LOG.debug('Replica %s rejected a request: %s', peer.slot, e)
        finally:
            peer.link = None
            peer.linked_at = clock.now()
            peer.is_caught_up = False
            link.close()
            reader.cancel()

    async def _run_once(self, link: links.Link) -> None:
        has_more = False
        timeout_s = None
        self.peer.wake.clear()
        if self.state.is_leader:
            timeout_s = self.state.options.append_interval_ms / 1000
            has_more = await self._replicate(link)
        if not has_more:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self.peer.wake.wait()

    async def _replicate(self, link: links.Link) -> bool:
        """Send one request; return whether to send another immediately."""
        log = self.state.log
        previous = self.peer.next_index - 1
        previous_term = log.term_at(previous)
        if previous + 1 < log.first_index or previous_term is None:
            await self._send_snapshot(link)
            return True
        request = messages.AppendRequest(
            term=self.state.term,
            slot=self.state.slot,
            previous_index=previous,
            previous_term=previous_term,
            entries=self._next_entries(),
            commit_index=self.state.commit_index,
        )
        last_index = log.last_index
        sent_at = clock.now()
        reply = await link.request(request, self.state.options.election_max_s)
        if not isinstance(
            reply, messages.AppendReply
        ) or not self._accept_reply(
            reply.term, request.term, reply.disk_id, sent_at
        ):
            return False
        self._process_reply(request, reply, last_index)
        self.on_ack()
        return self.state.is_leader and (
            not reply.is_success or self.peer.next_index <= log.last_index
        )

    def _process_reply(
        self,
        request: messages.AppendRequest,
        reply: messages.AppendReply,
        last_index: int,
    ) -> None:
        """Update the peer; last_index is that of the log at the request."""
        peer = self.peer
        previous = request.previous_index
        if reply.is_success:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = previous + len(request.entries) + 1
            peer.is_caught_up = peer.next_index > last_index
        else:
            peer.next_index = max(1, min(previous, reply.match_index + 1))

    def _next_entries(self) -> list[messages.Entry]:
        """Return the entries of the next append request."""
        first = self.peer.next_index
        entries = []
        size = 0
        for entry in self.state.log.entries_between(
            first, first + _MAX_APPEND_ENTRIES - 1
        ):
            entries.append(entry)
            size += len(entry.command)
            if size >= _MAX_APPEND_BYTES:
                break
        return entries

    def _accept_reply(
        self,
        reply_term: int,
        term: int,
        disk_id: messages.DiskId,
        sent_at: float,
    ) -> bool:
        """Update the peer; return whether the reply is of the current term."""
        if reply_term > self.state.term:
            self.state.observe_term(reply_term)
        if self.state.term != term or not self.state.is_leader:
            return False
        self.peer.accept_reply(disk_id, sent_at)
        return True

    async def _send_snapshot(self, link: links.Link) -> None:
        header, data = await self._read_snapshot()
        _LOG.info(
            'Sending the snapshot at entry %d (%d bytes) to %s.',
            header.last_index,
            len(data),
            self.peer.slot,
        )
        term = self.state.term
        offset = 0
        while offset < len(data):
            chunk_data = data[offset : offset + _SNAPSHOT_CHUNK_BYTES]
            chunk = messages.SnapshotChunk(
                term=term,
                slot=self.state.slot,
                last_index=header.last_index,
                last_term=header.last_term,
                offset=offset,
                is_last=offset + len(chunk_data) == len(data),
                data=chunk_data,
            )
            next_offset = await self._send_chunk(link, chunk)
            if next_offset is None:
                return
            offset = min(next_offset, len(data))
            self.on_ack()
        self.peer.match_index = max(self.peer.match_index, header.last_index)
        self.peer.next_index = header.last_index + 1
        self.on_ack()

    async def _read_snapshot(self) -> tuple[messages.SnapshotFile, bytes]:
        """Return the header and the whole file of the newest snapshot."""
        data = await asyncio.to_thread(
            storage.read_snapshot, self.state.folder
        )
        if data is None:
            raise errors.LinkError(
                errors.ErrorKind.INTERNAL, 'No snapshot exists.'
            )
        header, _ = await asyncio.to_thread(
            storage.unpack_snapshot, data, 'The newest snapshot'
        )
        return header, data

    async def _send_chunk(
        self, link: links.Link, chunk: messages.SnapshotChunk
    ) -> int | None:
        """Return the offset of the next chunk, None after a change of term.

        Errors: LinkError when the follower rejected the chunk.
        """
        sent_at = clock.now()
        reply = await link.request(
            chunk,
            _INSTALL_TIMEOUT_S
            if chunk.is_last
            else self.state.options.election_max_s,
        )
        if not isinstance(
            reply, messages.SnapshotReply
        ) or not self._accept_reply(
            reply.term, chunk.term, reply.disk_id, sent_at
        ):
            return None
        if reply.next_offset == chunk.offset:
            raise errors.LinkError(
                errors.ErrorKind.INTERNAL,
                'The follower rejected the snapshot.',
            )
        return reply.next_offset
