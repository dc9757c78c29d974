"""Takes the snapshots of one replica and installs those of a leader."""

import asyncio

from godwitstall import clock
from godwitstall.consensus import applier as appliers
from godwitstall.consensus import snapshots
from godwitstall.consensus import state as state_module
from godwitstall.consensus import storage
from godwitstall.consensus import tasks as tasks_module
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages

_LOG = logs.get('consensus')

# A snapshot is also due after commands of this size. A replica keeps those of
# two intervals in memory and on disk, and reads them when it starts.
_SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024

# A snapshot is due when its size is at most this multiple of the size of the
# commands applied after it. This limits the bytes written for snapshots to
# about eight times those of commands, and the log in memory to a fraction of
# the state.
_SNAPSHOT_TO_LOG_RATIO = 8


class SnapshotManager:
    """Replaces applied entries by snapshots, one at a time."""

    def __init__(
        self,
        state: state_module.State,
        applier: appliers.Applier,
        tasks: tasks_module.Tasks,
    ) -> None:
        self.state = state
        self.applier = applier
        self.tasks = tasks
        # Held while a snapshot is written or installed.
        self.lock = asyncio.Lock()
        # Size of the newest snapshot, bytes.
        self._size = 0

    async def load(
        self, header: messages.SnapshotFile, data: bytes | memoryview
    ) -> None:
        """Load the state of the snapshot found on the disk, if there is one.

        A header without a last index stands for no snapshot.
        """
        if header.last_index:
            await snapshots.load(self.applier.machine, header.last_index, data)
            self._size = len(data)
        self.state.voters.reset(header.voters_index, header.voters)
        self.applier.reset(header.last_index)

    def create(self, voters: list[messages.Voter]) -> None:
        """Store the first voters of a new fleet as a snapshot at entry 1.

        Followers receive a snapshot as a whole, whereas separate changes
        could leave a follower with only some of the voters.
        """
        machine = self.applier.machine
        data = b''.join(machine.freeze())
        header = messages.SnapshotFile(
            last_index=1,
            last_term=self.state.term,
            time_ms=clock.wall_ms(),
            voters=voters,
            voters_index=1,
        )
        # Written on the event loop, so that no vote can be granted in the
        # meantime. The file is small and written once per fleet.
        storage.write_snapshot(
            self.state.folder, 1, storage.pack_snapshot(header, data)
        )
        for _ in machine.load(header.last_index, data):
            pass
        self._continue_from(header, len(data))

    async def install(
        self,
        header: messages.SnapshotFile,
        data: memoryview,
        file_data: bytearray,
    ) -> None:
        """Store and load a snapshot from the leader.

        Errors: DiskError when the disk failed or the replica is closed.
        """
        async with self.lock:
            if self.tasks.is_closed:
                raise errors.DiskError('The replica is closed.')
            await storage.run_blocking(
                storage.write_snapshot,
                self.state.folder,
                header.last_index,
                file_data,
            )
            _LOG.info(
                'Installing the snapshot at entry %d.', header.last_index
            )
            await snapshots.load(self.applier.machine, header.last_index, data)
            self._continue_from(header, len(data))
            await self.state.log.sync()

    def _continue_from(self, header: messages.SnapshotFile, size: int) -> None:
        """Continue from a durable, loaded snapshot of size bytes."""
        self._size = size
        self.state.log.reset(header)
        self.state.voters.reset(header.voters_index, header.voters)
        self.applier.reset(header.last_index)

    def start_if_due(self) -> None:
        """Start to take a snapshot if one is due and none is in progress."""
        if self._is_due() and not self.lock.locked() and self.tasks.running:
            self.tasks.spawn(self._take())

    def _is_due(self) -> bool:
        applied_bytes = self.applier.applied_bytes
        entry_count = self.state.applied_index - self.state.log.snapshot_index
        return (
            entry_count >= self.state.options.snapshot_entries
            or applied_bytes >= _SNAPSHOT_LOG_BYTES
        ) and applied_bytes * _SNAPSHOT_TO_LOG_RATIO >= self._size

    async def _take(self) -> None:
        async with self.lock:
            if not self._is_due():
                return
            header = self._header_at(self.state.applied_index)
            covered_bytes = self.applier.applied_bytes
            size = await snapshots.write(
                self.state.folder, header, self.applier.machine.freeze()
            )
            self.state.log.compact(header)
            self._size = size
            self.applier.applied_bytes -= covered_bytes
            _LOG.info(
                'Took a snapshot of %d bytes at entry %d.',
                size,
                header.last_index,
            )
        # The log may have grown enough for another snapshot, and the next
        # command may be far off.
        self.start_if_due()

    def _header_at(self, index: int) -> messages.SnapshotFile:
        log = self.state.log
        voters_index, current = self.state.voters.at(index)
        return messages.SnapshotFile(
            last_index=index,
            last_term=log.term_at(index) or 0,
            time_ms=log.entries_between(index, index)[0].time_ms,
            voters=list(current.values()),
            voters_index=voters_index,
        )
