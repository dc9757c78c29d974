"""Requests of an operator to control.

Any replica answers. A command whose reply is lost is sent again to another
replica; commands are idempotent by content, so this is safe.
"""

import asyncio
import collections.abc
import contextlib
import json
import random
import typing

from godwitstall import clock
from godwitstall import codec
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import messages
from godwitstall import settings

_CONNECT_TIMEOUT_S = 1.0
_TRY_S = 3.0
_PAUSE_S = 0.1


class ControlClient:
    """Client of all replicas of one fleet."""

    def __init__(
        self, options: settings.CtlOptions, fleet: settings.FleetOptions
    ) -> None:
        self.options = options
        self.fleet = fleet
        self.identity = link_module.Identity(
            messages.Role.OPERATOR, options.operator, fleet.secret()
        )

    @contextlib.asynccontextmanager
    async def _link(
        self, address: str
    ) -> collections.abc.AsyncGenerator[link_module.Link, None]:
        link = await link_module.connect(
            address, self.identity, _CONNECT_TIMEOUT_S
        )
        reader = asyncio.create_task(link.run(_ignore))
        try:
            yield link
        finally:
            link.close()
            await reader

    async def request_from(
        self, slot: str, request: typing.Any
    ) -> messages.Message:
        """Return the reply of one replica to one request."""
        async with self._link(self.fleet.control[slot]) as link:
            return await link.request(request, _TRY_S)

    async def request(self, request: typing.Any) -> messages.Message:
        """Return the reply of the first replica that has one.

        Errors: ControlError of kind CONTROL_LOST when none has within the
        timeout of the options; a command may have taken effect then.
        """
        slots = list(self.fleet.control)
        random.shuffle(slots)
        end = clock.now() + self.options.timeout_s
        problems: dict[str, str] = {}
        while clock.now() < end:
            for slot in slots:
                try:
                    return await self.request_from(slot, request)
                except errors.GodwitstallError as e:
                    problems[slot] = e.detail
            await asyncio.sleep(_PAUSE_S)
        detail = ' '.join(f'{slot}: {text}' for slot, text in problems.items())
        raise errors.ControlError(errors.ErrorKind.CONTROL_LOST, detail)

    async def propose(self, command: messages.Message) -> messages.Message:
        """Have a command logged and applied; returns its result."""
        reply = await self.request(
            messages.Propose(command=codec.encode(command))
        )
        if not isinstance(reply, messages.ProposeReply):
            raise errors.ControlError(errors.ErrorKind.BAD_MESSAGE)
        return codec.decode(reply.result)

    async def query(
        self, kind: messages.QueryKind, text: str = ''
    ) -> dict[str, typing.Any]:
        """Return a linearizable read."""
        reply = await self.request(messages.Query(kind=kind, text=text))
        return _body(reply)

    async def status_of(self, slot: str) -> dict[str, typing.Any]:
        """Return what one replica says of itself and its nodes."""
        reply = await self.request_from(
            slot, messages.Query(kind=messages.QueryKind.STATUS)
        )
        return _body(reply)


def _body(reply: messages.Message) -> dict[str, typing.Any]:
    if not isinstance(reply, messages.QueryReply):
        raise errors.ControlError(errors.ErrorKind.BAD_MESSAGE)
    body: dict[str, typing.Any] = json.loads(reply.body)
    return body


async def _ignore(message: messages.Message) -> None:
    del message
