"""Writes and loads snapshots in slices that leave the event loop free.

The state is gathered and built on the event loop, one slice at a time, and
only file operations run in threads: a thread that builds objects holds the
interpreter lock for as long as the event loop would.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import typing

from godwitstall.consensus import storage
from godwitstall import messages

# Bytes handed to the writing thread at a time.
_WRITE_BYTES = 1024 * 1024


class StateMachine(typing.Protocol):
    """What the log drives; called on the event loop, in log order."""

    def apply(self, index: int, time_ms: int, command: bytes) -> bytes:
        """Apply one command and return its result."""

    def freeze(self) -> collections.abc.Generator[bytes, None, None]:
        """Return the parts of a snapshot of the state at the call.

        Commands are applied between two parts. The generator is closed when
        it is not read to its end.
        """

    def load(
        self, index: int, data: bytes | memoryview
    ) -> collections.abc.Generator[None, None, None]:
        """Replace the whole state by that of a snapshot.

        Yields between slices of the work; the state changes in the step that
        ends the generator.
        """


async def write(
    folder: pathlib.Path,
    header: messages.SnapshotFile,
    parts: collections.abc.Generator[bytes, None, None],
) -> int:
    """Write a frozen state to a durable file and return its size, bytes.

    Errors: OSError; no snapshot is left then, nor when cancelled before the
    last step.
    """
    with contextlib.closing(parts):
        writer = storage.SnapshotWriter(folder, header)
        with contextlib.closing(writer):
            batch: list[bytes] = []
            size = 0
            for part in parts:
                batch.append(part)
                size += len(part)
                if size < _WRITE_BYTES:
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
    """Load the state after index; it is in force at the return.

    No other work runs between the last slice and the return.
    """
    for _ in machine.load(index, state):
        await asyncio.sleep(0)
