"""Another replica, as this replica knows it."""

import asyncio

from godwitstall import clock
from godwitstall import link as links
from godwitstall import messages


class Peer:
    """Link to one other replica, and its replication state."""

    def __init__(self, slot: messages.SlotId, address: str) -> None:
        self.slot = slot
        self.address = address
        # Task that keeps the link; None before the replica starts.
        self.task: asyncio.Task[None] | None = None
        # Time at which the last link ended or, before the first one, at which
        # the peer became known, seconds.
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

    def accept_reply(self, disk_id: messages.DiskId, sent_at: float) -> None:
        """Process a reply, of the current term, to a request sent at sent_at.

        The replication state of the previous disk does not apply to another.
        """
        if disk_id != self.disk_id:
            self.match_index = 0
            self.is_caught_up = False
            self.disk_id = disk_id
        self.acked_at = max(self.acked_at, sent_at)
