"""Restarts tasks that run as long as their process.

An unexpected error in such a task must not end the process and with it the
work of all other tasks. Without a restart, the process would continue without
the task.

Example: asyncio.create_task(supervision.keep_running(session.run))
"""

import asyncio
import collections.abc
import typing

from godwitstall import logs
from godwitstall import metrics

_LOG = logs.get('tasks')
_FAILED_TASKS = metrics.counter(
    'tasks_failed_total', 'Lasting tasks that ended with an error by task.'
)

# Returns the coroutine of a task that should run until it is cancelled.
TaskFactory = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]

_RESTART_DELAY_S = 0.25


async def keep_running(factory: TaskFactory) -> None:
    """Run a task, and restart it whenever it ends, until cancelled."""
    while True:
        try:
            await factory()
        except Exception:
            _FAILED_TASKS.inc(task=factory.__qualname__)
            _LOG.exception(
                'Task %s failed and will be restarted.', factory.__qualname__
            )
        await asyncio.sleep(_RESTART_DELAY_S)
