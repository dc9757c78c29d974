"""The log of one replica: entries in memory, writes grouped to the disk.

Entries are added at once in memory and queued for the disk. One task writes
all that is queued with one fdatasync in a thread, in the order of the calls;
sync() waits for it. Entries are kept for one snapshot interval before the
newest snapshot, so that a follower that is slightly late needs no snapshot.

Example:
    log.append([entry])
    await log.sync()     # entry is on the disk now
"""

import asyncio
import collections.abc

from godwitstall.consensus import storage
from godwitstall import errors
from godwitstall import messages

# Entries written with one sync; bounds the time until the first is durable.
_MAX_GROUP = 2048

_Operation = (
    list[messages.Entry] | tuple[collections.abc.Callable[[int], None], int]
)


class Log:
    """Entries first_index to last_index."""

    def __init__(self, files: storage.LogFiles) -> None:
        self.files = files
        self.entries: list[messages.Entry] = []
        # Index of the first entry in memory.
        self.first_index = 1
        # Index, term and wall time of the newest snapshot.
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.snapshot_time_ms = 0
        # Index up to which all entries are on the disk.
        self.durable_index = 0
        # Called after durable_index grew.
        self.on_durable: collections.abc.Callable[[], None] = lambda: None
        # Error that ended all writing.
        self.failure: BaseException | None = None
        self._queue: list[_Operation] = []
        self._queued = 0
        self._done = 0
        # Lowest index cut since the last group was taken from the queue.
        self._cut_index: int | None = None
        self._work = asyncio.Event()
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []

    def open(self, snapshot: messages.SnapshotFile) -> None:
        """Read the files (blocking); snapshot is the newest, or a blank one.

        Errors: StorageError.
        """
        self._set_snapshot(snapshot)
        self.entries = self.files.open()
        after = snapshot.last_index + 1
        self.first_index = self.files.segments[0].first_index
        if self.first_index > after:
            raise errors.StorageError(
                f'{self.files.folder}: entries {after} to '
                f'{self.first_index - 1} are missing from the log. '
                f'{storage.REPLACE_TEXT}'
            )
        # A snapshot from the leader replaces a log that ends before it or
        # differs from it; a crash came before the files were deleted.
        if not self.covers(snapshot.last_index, snapshot.last_term):
            self.entries = []
            self.first_index = after
            self.files.reset(after)
        self.durable_index = self.last_index

    def _set_snapshot(self, snapshot: messages.SnapshotFile) -> None:
        self.snapshot_index = snapshot.last_index
        self.snapshot_term = snapshot.last_term
        self.snapshot_time_ms = snapshot.time_ms

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot when there is none."""
        return self.first_index + len(self.entries) - 1

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot when there is none."""
        return self.term_at(self.last_index) or 0

    @property
    def last_time_ms(self) -> int:
        """Wall time of the last entry or snapshot."""
        return (
            self.entries[-1].time_ms
            if self.entries
            else (self.snapshot_time_ms)
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None when it is not known."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def covers(self, index: int, term: int) -> bool:
        """Return whether the log continues an entry of this term."""
        if index == self.first_index - 1 == self.snapshot_index:
            return term == self.snapshot_term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term == term
        return False

    def between(self, first: int, last: int) -> list[messages.Entry]:
        """Return the entries first to last, as far as they are there."""
        start = max(0, first - self.first_index)
        return self.entries[start : max(0, last + 1 - self.first_index)]

    def append(self, entries: list[messages.Entry]) -> None:
        """Add entries and queue them for the disk."""
        self.entries += entries
        if self._queue and isinstance(self._queue[-1], list):
            self._queue[-1] += entries
            self._queued += 1
            self._work.set()
        else:
            self._put(list(entries))

    def truncate(self, first_cut: int) -> None:
        """Cut the entries from first_cut on."""
        del self.entries[max(0, first_cut - self.first_index) :]
        self._cut(first_cut)
        self._put((self.files.truncate, first_cut))

    def compact(self, snapshot: messages.SnapshotFile) -> None:
        """Drop what the snapshot before this one covers."""
        keep_from = min(self.snapshot_index, snapshot.last_index) + 1
        self._set_snapshot(snapshot)
        self._put((self.files.roll, self.last_index + 1))
        self._put((self.files.drop_before, keep_from))
        if keep_from > self.first_index:
            del self.entries[: keep_from - self.first_index]
            self.first_index = keep_from

    def reset(self, snapshot: messages.SnapshotFile) -> None:
        """Go on after a snapshot from the leader, without any entry."""
        self._set_snapshot(snapshot)
        self.entries = []
        self.first_index = snapshot.last_index + 1
        self._cut(0)
        self._put((self.files.reset, self.first_index))

    def _cut(self, index: int) -> None:
        self.durable_index = min(self.durable_index, max(0, index - 1))
        if self._cut_index is None or index < self._cut_index:
            self._cut_index = index

    def _put(self, operation: _Operation) -> None:
        self._queue.append(operation)
        self._queued += 1
        self._work.set()

    async def sync(self) -> None:
        """Wait until all calls made before are on the disk.

        Errors: StorageError when the disk failed.
        """
        if self.failure is not None:
            raise errors.DiskError(f'The disk failed: {self.failure}.')
        if self._done >= self._queued:
            return
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((self._queued, future))
        await future

    async def run(self) -> None:
        """Write what is queued, group by group, until cancelled or failed.

        After a failed sync the kernel may have dropped the dirty pages, so
        there is no second try.
        """
        while True:
            await self._work.wait()
            self._work.clear()
            operations, self._queue = self._queue, []
            number = self._queued
            last = self.last_index
            self._cut_index = None
            try:
                await storage.run_blocking(self._execute, operations)
            except OSError as e:
                self.failure = e
                self._finish(self._queued, e)
                raise errors.DiskError(f'The disk failed: {e}.') from e
            if self._cut_index is not None:
                last = min(last, max(0, self._cut_index - 1))
            self.durable_index = last
            self._finish(number, None)
            self.on_durable()

    def _finish(self, number: int, failure: OSError | None) -> None:
        self._done = number
        ready = [f for upto, f in self._waiting if upto <= number]
        self._waiting = [w for w in self._waiting if w[0] > number]
        for future in ready:
            if future.done():
                continue
            if failure is None:
                future.set_result(None)
            else:
                future.set_exception(
                    errors.DiskError(f'The disk failed: {failure}.')
                )

    def _execute(self, operations: list[_Operation]) -> None:
        for operation in operations:
            if isinstance(operation, list):
                for start in range(0, len(operation), _MAX_GROUP):
                    self.files.append(operation[start : start + _MAX_GROUP])
            else:
                action, argument = operation
                action(argument)
