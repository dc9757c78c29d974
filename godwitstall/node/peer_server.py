"""Takes calls from other nodes and answers them through the owner side."""

import asyncio
import collections.abc
import contextlib
import functools

from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall.node import dispatch

_LOG = logs.get('peers')

TakeHandler = collections.abc.Callable[
    [messages.Take], collections.abc.Awaitable[messages.TakeReply]
]


class PeerServer(link_module.LinkServer):
    """Listener for links of other nodes."""

    def __init__(
        self, identity: link_module.Identity, owner: dispatch.Owner
    ) -> None:
        super().__init__(identity)
        self.owner = owner
        # Gives tokens to nodes without the ledger; None where none may ask.
        self.on_take: TakeHandler | None = None

    async def serve(self, link: link_module.Link) -> None:
        """Answer the calls that come over one link."""
        calls: dict[int, asyncio.Task[None]] = {}
        try:
            await link.run_sync_handler(
                functools.partial(self._on_message, link, calls)
            )
        finally:
            # The entry node is gone and so are its callers.
            for task in calls.values():
                task.cancel()

    def _on_message(
        self,
        link: link_module.Link,
        calls: dict[int, asyncio.Task[None]],
        message: messages.Message,
    ) -> None:
        match message:
            case messages.Call():
                task = asyncio.create_task(self._answer(link, message))
                calls[message.call_id] = task
                task.add_done_callback(
                    functools.partial(_forget, calls, message.call_id)
                )
            case messages.Take() if self.on_take is not None:
                task = asyncio.create_task(
                    _answer_take(link, message, self.on_take)
                )
                calls[message.call_id] = task
                task.add_done_callback(
                    functools.partial(_forget, calls, message.call_id)
                )
            case messages.Cancel(call_id=0):
                # The peer asks whether this side still hears it.
                load = self.owner.load()
                with contextlib.suppress(errors.LinkError):
                    link.send(messages.Answer(call_id=0, load=load))
            case messages.Cancel():
                running = calls.get(message.call_id)
                if running is not None:
                    running.cancel()
            case _:
                _LOG.warning('Unexpected %s.', type(message).__name__)

    async def _answer(
        self, link: link_module.Link, call: messages.Call
    ) -> None:
        answer = await self.owner.handle(call)
        try:
            link.send(answer)
        except errors.LinkError as e:
            _LOG.debug('An answer found no link: %s', e)


async def _answer_take(
    link: link_module.Link, message: messages.Take, handler: TakeHandler
) -> None:
    reply = await handler(message)
    with contextlib.suppress(errors.LinkError):
        link.send(reply)


def _forget(
    calls: dict[int, asyncio.Task[None]],
    call_id: int,
    task: asyncio.Task[None],
) -> None:
    # A peer that uses a call id twice must not unhinge the other call.
    if calls.get(call_id) is task:
        del calls[call_id]
