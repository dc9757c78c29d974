"""Writes and loads snapshots in slices, without blocking the event loop.

The state is collected and built on the event loop in slices, and only file
operations run in threads: a thread that builds objects would hold the
interpreter lock for as long as the event loop would be blocked.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import typing

from godwitstall.consensus import storage
from godwitstall import messages

# Bytes after which a batch is written in a thread.
_WRITE_BATCH_BYTES = 1024 * 1024


class StateMachine(typing.Protocol):
    """State machine; its methods run on the event loop, in log order."""

    def apply(self, index: int, time_ms: int, command: bytes) -> bytes:
        """Apply one command and return its result."""

    def freeze(self) -> collections.abc.Generator[bytes, None, None]:
        """Return the parts of a snapshot of the state at the call.

        Commands may be applied while the parts are read. The generator is
        closed if it is not exhausted.
        """

    def load(
        self, index: int, data: bytes | memoryview
    ) -> collections.abc.Generator[None, None, None]:
        """Replace the whole state with that of a snapshot.

        Yields between slices of the work. The state is replaced in the last
        step, which exhausts the generator.
        """


async def write(
    folder: pathlib.Path,
    header: messages.SnapshotFile,
    parts: collections.abc.Generator[bytes, None, None],
) -> int:
    """Write a frozen state to a durable file and return its size in bytes.

    No file remains after an error or a cancellation before the commit.

    Errors: OSError.
    """
    with contextlib.closing(parts):
        writer = storage.SnapshotWriter(folder, header)
        with contextlib.closing(writer):
            batch: list[bytes] = []
            size = 0
            for part in parts:
                batch.append(part)
                size += len(part)
                if size < _WRITE_BATCH_BYTES:
                    await asyncio.sleep(0)
                    continue
                await storage.run_blocking(writer.write, batch)
                batch, size = [], 0
            await storage.run_blocking(writer.write, batch)
            await storage.run_blocking(writer.commit)
            return writer.size


async def load(
    machine: StateMachine, index: int, state: bytes | memoryview
) -> None:
    """Load the state of the snapshot at index.

    The event loop runs nothing else between the last slice and the return.
    """
    for _ in machine.load(index, state):
        await asyncio.sleep(0)
