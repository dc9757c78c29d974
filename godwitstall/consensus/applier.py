"""Applies committed entries to the state machine.

The entries are applied in batches, between which the event loop runs. The
result of an entry goes to the proposal that waits for it.
"""

import asyncio
import collections.abc

from godwitstall import codec
from godwitstall.consensus import snapshots
from godwitstall.consensus import state as state_module
from godwitstall.consensus import tasks as tasks_module
from godwitstall.consensus import voters
from godwitstall import errors
from godwitstall import messages

# Entries, and bytes of their commands, applied in one iteration of the event
# loop.
_APPLY_BATCH_ENTRIES = 256
_APPLY_BATCH_BYTES = 256 * 1024

_Waiter = tuple[int, asyncio.Future[None]]
_Proposal = asyncio.Future[tuple[int, bytes]]


class Applier:
    """Commits and applies the entries of one replica."""

    def __init__(
        self,
        state: state_module.State,
        machine: snapshots.StateMachine,
        tasks: tasks_module.Tasks,
    ) -> None:
        self.state = state
        self.machine = machine
        self.tasks = tasks
        # Size of the commands applied after the newest snapshot, bytes.
        self.applied_bytes = 0
        # Called after a batch has been applied.
        self.on_applied: collections.abc.Callable[[], None] = lambda: None
        self._is_scheduled = False
        # Pending proposals by index.
        self._proposals: dict[int, _Proposal] = {}
        self._waiters: list[_Waiter] = []

    def advance_commit(self, index: int) -> None:
        """Commit the entries up to index and apply them."""
        self.state.commit_index = max(self.state.commit_index, index)
        if not self._is_scheduled:
            self._apply_batch()

    def _apply_batch(self) -> None:
        self._is_scheduled = False
        try:
            self._apply_entries()
        except Exception as e:
            # The entry may have been applied partially.
            self.tasks.fail(e)
            return
        self._wake_waiters()
        if (
            self.state.applied_index < self.state.commit_index
            and self.tasks.failure is None
        ):
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_batch)
        self.on_applied()

    def _apply_entries(self) -> None:
        state = self.state
        first = state.applied_index + 1
        last = min(
            state.commit_index, state.applied_index + _APPLY_BATCH_ENTRIES
        )
        batch_bytes = 0
        for entry in state.log.entries_between(first, last):
            if batch_bytes > _APPLY_BATCH_BYTES:
                break
            batch_bytes += len(entry.command)
            result = self._apply(entry)
            state.applied_index = entry.index
            self.applied_bytes += len(entry.command)
            future = self._proposals.pop(entry.index, None)
            if future is not None and not future.done():
                future.set_result((entry.index, result))

    def _apply(self, entry: messages.Entry) -> bytes:
        if not entry.command:
            return b''
        if voters.parse_change(entry.command) is not None:
            return codec.encode(messages.CommandResult(True))
        return self.machine.apply(entry.index, entry.time_ms, entry.command)

    def reset(self, index: int) -> None:
        """Continue after a snapshot at index that has been loaded."""
        self.applied_bytes = 0
        self.state.commit_index = self.state.applied_index = index
        self._wake_waiters()

    async def wait_result(
        self, index: int, timeout_s: float
    ) -> tuple[int, bytes]:
        """Return index and result of the proposed entry once applied.

        Errors: ControlError of kind CONTROL_LOST after timeout_s, or when
        leadership was lost.
        """
        future: _Proposal = asyncio.get_running_loop().create_future()
        self._proposals[index] = future
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                'The command was not committed in time.',
            ) from e
        finally:
            if self._proposals.get(index) is future:
                del self._proposals[index]

    def fail_proposals(self) -> None:
        """Fail all pending proposals, because leadership was lost."""
        proposals, self._proposals = self._proposals, {}
        for future in proposals.values():
            if not future.done():
                future.set_exception(
                    errors.ControlError(
                        errors.ErrorKind.CONTROL_LOST,
                        'Leadership was lost before the command was applied.',
                    )
                )

    async def wait_applied(self, index: int, timeout_s: float) -> None:
        """Wait until the entry at index has been applied.

        Errors: ControlError of kind CONTROL_LOST after timeout_s.
        """
        if self.state.applied_index >= index:
            return
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((index, future))
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                f'Entry {index} was not applied in time.',
            ) from e
        finally:
            future.cancel()

    def _wake_waiters(self) -> None:
        for index, future in self._waiters:
            if index <= self.state.applied_index and not future.done():
                future.set_result(None)
        self._waiters = [
            waiter for waiter in self._waiters if not waiter[1].done()
        ]
