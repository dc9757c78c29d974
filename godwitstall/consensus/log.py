"""Log of one replica: entries in memory, grouped writes to the disk.

Entries are added to memory at once and queued for the disk. A single task
writes everything queued in call order, in a thread and with one fdatasync
per group; sync() waits for it. Entries are kept for one snapshot interval
before the newest snapshot, so that a slightly slow follower needs no
snapshot.

Example:
    log.append([entry])
    await log.sync()     # The entry is durable.
"""

import asyncio
import collections.abc

from godwitstall.consensus import storage
from godwitstall import errors
from godwitstall import messages

# Entries per sync; bounds the time until the first entry is durable.
_MAX_GROUP_ENTRIES = 2048

_Operation = (
    list[messages.Entry] | tuple[collections.abc.Callable[[int], None], int]
)


class Log:
    """Log entries from first_index to last_index, both inclusive."""

    def __init__(self, files: storage.LogFiles) -> None:
        self.files = files
        self.entries: list[messages.Entry] = []
        # Index of the first entry in memory.
        self.first_index = 1
        # Index, term and wall time of the newest snapshot.
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.snapshot_time_ms = 0
        # Index up to which all entries are durable.
        self.durable_index = 0
        # Called after durable_index has increased.
        self.on_durable: collections.abc.Callable[[], None] = lambda: None
        # Error of the disk after which nothing is written.
        self.failure: OSError | None = None
        self._queue: list[_Operation] = []
        # Number of calls that queued work since the start, and how many of
        # them are completed. Consecutive appends are merged in the queue.
        self._queued_count = 0
        self._done_count = 0
        # Lowest index truncated since the writer last emptied the queue.
        self._truncated_from: int | None = None
        self._has_work = asyncio.Event()
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    def open(self, snapshot: messages.SnapshotFile) -> None:
        """Read the log files (blocking).

        The snapshot is the newest one, or an empty one if there is none.

        Errors: StorageError.
        """
        self._set_snapshot(snapshot)
        self.entries = self.files.open()
        next_index = snapshot.last_index + 1
        self.first_index = self.files.segments[0].first_index
        if self.first_index > next_index:
            raise errors.StorageError(
                f'{self.files.folder}: entries {next_index} to '
                f'{self.first_index - 1} are missing from the log. '
                f'{storage.REPLACE_DISK_HINT}'
            )
        # After a crash during the installation of a leader's snapshot, log
        # files that end before the snapshot or conflict with it may remain.
        if not self.matches(snapshot.last_index, snapshot.last_term):
            self.entries = []
            self.first_index = next_index
            self.files.reset(next_index)
        self.durable_index = self.last_index

    def _set_snapshot(self, snapshot: messages.SnapshotFile) -> None:
        self.snapshot_index = snapshot.last_index
        self.snapshot_term = snapshot.last_term
        self.snapshot_time_ms = snapshot.time_ms

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if the log is empty."""
        return self.first_index + len(self.entries) - 1

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if the log is empty."""
        return self.term_at(self.last_index) or 0

    @property
    def last_time_ms(self) -> int:
        """Wall time of the last entry, or of the snapshot, milliseconds."""
        return (
            self.entries[-1].time_ms
            if self.entries
            else (self.snapshot_time_ms)
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at index, None if unknown."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def matches(self, index: int, term: int) -> bool:
        """Return whether the log has, or directly follows, this entry."""
        if index == self.first_index - 1 == self.snapshot_index:
            return term == self.snapshot_term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term == term
        return False

    def entries_between(self, first: int, last: int) -> list[messages.Entry]:
        """Return the entries from first to last that are in memory."""
        start = max(0, first - self.first_index)
        return self.entries[start : max(0, last + 1 - self.first_index)]

    def append(self, entries: list[messages.Entry]) -> None:
        """Add entries and queue them for the disk."""
        self.entries += entries
        if self._queue and isinstance(self._queue[-1], list):
            self._queue[-1] += entries
            self._queued_count += 1
            self._has_work.set()
        else:
            self._enqueue(list(entries))

    def truncate(self, from_index: int) -> None:
        """Remove the entries from from_index on."""
        del self.entries[max(0, from_index - self.first_index) :]
        self._mark_truncated(from_index)
        self._enqueue((self.files.truncate, from_index))

    def compact(self, snapshot: messages.SnapshotFile) -> None:
        """Drop the entries that the snapshot before this one covers."""
        keep_from = min(self.snapshot_index, snapshot.last_index) + 1
        self._set_snapshot(snapshot)
        self._enqueue((self.files.roll, self.last_index + 1))
        self._enqueue((self.files.delete_before, keep_from))
        if keep_from > self.first_index:
            del self.entries[: keep_from - self.first_index]
            self.first_index = keep_from

    def reset(self, snapshot: messages.SnapshotFile) -> None:
        """Replace all entries by a snapshot from the leader."""
        self._set_snapshot(snapshot)
        self.entries = []
        self.first_index = snapshot.last_index + 1
        self._mark_truncated(0)
        self._enqueue((self.files.reset, self.first_index))

    def _mark_truncated(self, index: int) -> None:
        self.durable_index = min(self.durable_index, max(0, index - 1))
        if self._truncated_from is None or index < self._truncated_from:
            self._truncated_from = index

    def _enqueue(self, operation: _Operation) -> None:
        self._queue.append(operation)
        self._queued_count += 1
        self._has_work.set()

    async def sync(self) -> None:
        """Wait until all operations queued before the call are durable.

        Errors: DiskError when the disk failed.
        """
        if self.failure is not None:
            raise errors.DiskError(f'The disk failed: {self.failure}.')
        if self._done_count >= self._queued_count:
            return
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((self._queued_count, future))
        await future

    async def run(self) -> None:
        """Execute queued operations until cancelled or failed.

        A failed sync is not retried, because the kernel may have dropped the
        dirty pages.
        """
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            operations, self._queue = self._queue, []
            count = self._queued_count
            last = self.last_index
            self._truncated_from = None
            try:
                await storage.run_blocking(self._execute, operations)
            except OSError as e:
                self.failure = e
                self._resolve_waiters(self._queued_count, e)
                raise errors.DiskError(f'The disk failed: {e}.') from e
            if self._truncated_from is not None:
                last = min(last, max(0, self._truncated_from - 1))
            self.durable_index = last
            self._resolve_waiters(count, None)
            self.on_durable()

    def _resolve_waiters(self, count: int, failure: OSError | None) -> None:
        self._done_count = count
        done = [f for target, f in self._waiters if target <= count]
        self._waiters = [w for w in self._waiters if w[0] > count]
        for future in done:
            if future.done():
                continue
            if failure is None:
                future.set_result(None)
            else:
                future.set_exception(
                    errors.DiskError(f'The disk failed: {failure}.')
                )

    def close(self) -> None:
        """Close the files; whoever still waits for the disk gets an error.

        Nothing is written after run() has been cancelled.
        """
        self.files.close()
        if self.failure is None:
            self.failure = OSError('The log is closed')
            self._resolve_waiters(self._queued_count, self.failure)

    def _execute(self, operations: list[_Operation]) -> None:
        for operation in operations:
            if isinstance(operation, list):
                for start in range(0, len(operation), _MAX_GROUP_ENTRIES):
                    self.files.append(
                        operation[start : start + _MAX_GROUP_ENTRIES]
                    )
            else:
                action, argument = operation
                action(argument)
