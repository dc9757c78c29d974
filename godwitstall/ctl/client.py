"""Client for an operator's requests to control.

Every replica accepts every request. A command whose reply is lost is resent
to another replica, which is safe because commands are idempotent by content.
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
_ATTEMPT_TIMEOUT_S = 3.0
_RETRY_DELAY_S = 0.1


class ControlClient:
    """Client of the control replicas of one fleet."""

    def __init__(
        self, options: settings.CtlOptions, fleet: settings.FleetOptions
    ) -> None:
        self.options = options
        self.fleet = fleet
        self.identity = link_module.Identity(
            messages.Role.OPERATOR, options.operator, fleet.secret()
        )

    @contextlib.asynccontextmanager
    async def _open_link(
        self, address: str
    ) -> collections.abc.AsyncGenerator[link_module.Link, None]:
        link = await link_module.connect(
            address, self.identity, _CONNECT_TIMEOUT_S
        )
        reader = asyncio.create_task(link.run(_ignore_message))
        try:
            yield link
        finally:
            link.close()
            await reader

    async def request_from(
        self, slot: str, request: typing.Any
    ) -> messages.Message:
        """Send a request to one replica and return the reply."""
        async with self._open_link(self.fleet.control[slot]) as link:
            return await link.request(request, _ATTEMPT_TIMEOUT_S)

    async def request(self, request: typing.Any) -> messages.Message:
        """Send a request to the replicas in turn; return the first reply.

        Errors: ControlError of kind CONTROL_LOST when no replica replies
        within timeout_s of the options. A command may have taken effect then.
        """
        slots = list(self.fleet.control)
        random.shuffle(slots)
        deadline = clock.now() + self.options.timeout_s
        failures: dict[str, str] = {}
        while clock.now() < deadline:
            for slot in slots:
                try:
                    return await self.request_from(slot, request)
                except errors.GodwitstallError as e:
                    failures[slot] = e.detail
            await asyncio.sleep(_RETRY_DELAY_S)
        detail = ' '.join(f'{slot}: {text}' for slot, text in failures.items())
        raise errors.ControlError(errors.ErrorKind.CONTROL_LOST, detail)

    async def propose(self, command: messages.Message) -> messages.Message:
        """Commit and apply a command, and return its result."""
        reply = await self.request(
            messages.Propose(command=codec.encode(command))
        )
        if not isinstance(reply, messages.ProposeReply):
            raise errors.ControlError(errors.ErrorKind.BAD_MESSAGE)
        return codec.decode(reply.result)

    async def query(
        self, kind: messages.QueryKind, text: str = ''
    ) -> dict[str, typing.Any]:
        """Return the result of a linearizable read."""
        reply = await self.request(messages.Query(kind=kind, text=text))
        return _decode_body(reply)

    async def query_status(self, slot: str) -> dict[str, typing.Any]:
        """Return the status of one replica and of its node sessions."""
        reply = await self.request_from(
            slot, messages.Query(kind=messages.QueryKind.STATUS)
        )
        return _decode_body(reply)


def _decode_body(reply: messages.Message) -> dict[str, typing.Any]:
    if not isinstance(reply, messages.QueryReply):
        raise errors.ControlError(errors.ErrorKind.BAD_MESSAGE)
    body: dict[str, typing.Any] = json.loads(reply.body)
    return body


async def _ignore_message(message: messages.Message) -> None:
    del message
