"""Tasks that last as long as their process.

An unexpected error ends one turn of such a task and not the process: what
else the process does would be cut off by it. Without a new start the process
would go on and do a part of its work only.

Example: asyncio.create_task(supervision.keep_running(session.run))
"""

import asyncio
import collections.abc
import typing

from godwitstall import logs
from godwitstall import metrics

_LOG = logs.get('tasks')
_FAILED = metrics.counter(
    'tasks_failed_total', 'Lasting tasks that ended with an error by task.'
)

# Makes the coroutine of a task that must not end by itself.
Work = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]

# Pause before a task that failed starts again, seconds.
_RESTART_S = 0.25


async def keep_running(work: Work) -> None:
    """Run a task again whenever it ends, until cancelled."""
    while True:
        try:
            await work()
        except Exception:
            _FAILED.inc(task=work.__qualname__)
            _LOG.exception('Task %s failed; starts again.', work.__qualname__)
        await asyncio.sleep(_RESTART_S)
