"""Tasks of one replica, which end together at the first error."""

import asyncio
import collections.abc
import typing

from godwitstall import logs

_LOG = logs.get('consensus')


class Tasks:
    """Running tasks, and the error that ended them."""

    def __init__(self, on_failure: collections.abc.Callable[[], None]) -> None:
        # Called once, before the tasks are cancelled.
        self.on_failure = on_failure
        self.running: set[asyncio.Task[None]] = set()
        # Error that ended the replica; the process should exit.
        self.failure: BaseException | None = None
        # Whether nothing may be written to the disk any more.
        self.is_closed = False
        self._failed = asyncio.Event()

    def spawn(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Start a task; an error in it ends all tasks."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.fail(typing.cast(BaseException, task.exception()))

    def fail(self, failure: BaseException) -> None:
        """End after an error; memory and disk may be inconsistent."""
        if self.failure is None and not self.is_closed:
            _LOG.error('The replica failed: %s', failure, exc_info=failure)
            self.failure = failure
            self._failed.set()
            self.on_failure()
            for task in self.running:
                task.cancel()

    async def wait_failed(self) -> BaseException:
        """Wait until the replica fails, and return the error."""
        await self._failed.wait()
        return typing.cast(BaseException, self.failure)

    async def close(self) -> None:
        """End all tasks; errors are ignored from now on."""
        self.is_closed = True
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
