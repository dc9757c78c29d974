"""Calls that are refused do not keep their bodies."""

import asyncio
import gc
import weakref

from godwitstall import errors
from godwitstall.node import answers


class _Body:
    """Stands for a body, as bytes have no weak references."""


def test_error_of_a_future_does_not_keep_the_call() -> None:
    """Guards against a circle of error, traceback and frame with the call.

    Only a late collection frees it, so refused calls of 512 KiB each made a
    node grow by hundreds of megabytes.
    """

    async def handle(body: _Body, future: asyncio.Future[None]) -> None:
        await future

    async def run() -> None:
        body = _Body()
        reference = weakref.ref(body)
        future = asyncio.get_running_loop().create_future()
        future.set_exception(errors.RequestError(errors.ErrorKind.OVERLOADED))
        try:
            await handle(body, future)
        except errors.RequestError as e:
            answers.of_error(e)
        del body, future
        assert reference() is None

    gc.disable()
    try:
        asyncio.run(run())
    finally:
        gc.enable()
