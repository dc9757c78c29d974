"""Takes calls from other nodes and answers them through the owner side."""

import asyncio
import functools

from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall.node import dispatch

_LOG = logs.get('peers')


class PeerServer:
    """Listener for links of other nodes."""

    def __init__(
        self, identity: link_module.Identity, owner: dispatch.Owner
    ) -> None:
        self.identity = identity
        self.owner = owner
        self.server: asyncio.Server | None = None
        self.links: set[link_module.Link] = set()

    async def start(self, address: str) -> None:
        """Listen on 'host:port'."""
        host, port = link_module.split_address(address)
        self.server = await asyncio.start_server(
            self._serve, host, port, backlog=1024
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            link = await link_module.accept(reader, writer, self.identity)
        except errors.LinkError as e:
            _LOG.warning('Refused a link: %s', e)
            return
        self.links.add(link)
        calls: dict[int, asyncio.Task[None]] = {}
        try:
            await link.run(functools.partial(self._on_message, link, calls))
        finally:
            self.links.discard(link)
            # The entry node is gone and so are its callers.
            for task in calls.values():
                task.cancel()

    async def _on_message(
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

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.close()


def _forget(
    calls: dict[int, asyncio.Task[None]],
    call_id: int,
    task: asyncio.Task[None],
) -> None:
    # A peer that uses a call id twice must not unhinge the other call.
    if calls.get(call_id) is task:
        del calls[call_id]
