"""Fake control replicas in the test process that use the link protocol.

All replicas share one state machine and apply commands immediately, without
consensus. Tests can make them drop replies and reject requests.

Example:
    async with FakeControl(tmp_path) as control:
        client = control.client()
"""

import asyncio
import functools
import json
import pathlib
import types
import typing

from godwitstall import codec
from godwitstall.control import machine as machines
from godwitstall.ctl import client as clients
from godwitstall import errors
from godwitstall import link as links
from godwitstall import messages
from godwitstall import settings

SECRET = b'secret of the test fleet'


class FakeControl:
    """Control replicas that share one state machine."""

    def __init__(
        self, folder: pathlib.Path, slots: tuple[str, ...] = ('c1', 'c2', 'c3')
    ) -> None:
        options = settings.ControlOptions(
            messages.SlotId('c1'), 'z', 'r', '127.0.0.1:1', 'unused'
        )
        self.machine = machines.Machine.from_config(options)
        self.secret_file = folder / 'secret'
        self.secret_file.write_bytes(SECRET)
        self.slots = slots
        # Addresses by slot, also of stopped replicas.
        self.addresses: dict[str, str] = {}
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()
        # Number of next replies to drop after the command took effect.
        self.replies_to_drop = 0
        # Number of next requests to reject with NOT_LEADER.
        self.rejections = 0
        # All received requests, also rejected ones and those without a reply.
        self.requests: list[messages.Message] = []
        # Wall time of the last log entry, milliseconds.
        self.time_ms = 1_764_806_400_000
        # Node sessions in the status of the first replica.
        self.sessions: list[dict[str, object]] = []

    async def __aenter__(self) -> 'FakeControl':
        for slot in self.slots:
            identity = links.Identity(messages.Role.CONTROL, slot, SECRET)
            server = await asyncio.start_server(
                functools.partial(self._serve, identity), '127.0.0.1', 0
            )
            self.servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self.addresses[slot] = f'127.0.0.1:{port}'
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def stop(self, slot: str) -> None:
        """Stop one replica, so that its port refuses connections."""
        server = self.servers[self.slots.index(slot)]
        server.close()
        await server.wait_closed()

    def client(
        self, timeout_s: float = 30.0, secret: bytes = SECRET
    ) -> clients.ControlClient:
        """Return an operator client for all replicas."""
        self.secret_file.write_bytes(secret)
        return clients.ControlClient(
            settings.CtlOptions('mair', timeout_s),
            settings.FleetOptions(
                'teifi', str(self.secret_file), dict(self.addresses)
            ),
        )

    def apply(self, command: messages.Message) -> messages.Message:
        """Apply a command as the next log entry."""
        self.time_ms += 1
        result = self.machine.apply(
            self.machine.applied_index + 1,
            self.time_ms,
            codec.encode(command),
        )
        return codec.decode(result)

    async def _serve(
        self,
        identity: links.Identity,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = typing.cast('asyncio.Task[None]', asyncio.current_task())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            link = await links.accept(reader, writer, identity)
        except errors.LinkError:
            return

        async def handle(message: messages.Message) -> None:
            self._reply(identity.sender_id, link, message)

        await link.run(handle)

    def _reply(
        self, slot: str, link: links.Link, message: messages.Message
    ) -> None:
        self.requests.append(message)
        if self.rejections and isinstance(
            message, messages.Propose | messages.Query
        ):
            self.rejections -= 1
            link.send(messages.Error(message.seq, errors.ErrorKind.NOT_LEADER))
            return
        reply: messages.Message
        match message:
            case messages.Propose():
                result = self.apply(codec.decode(message.command))
                reply = messages.ProposeReply(
                    seq=message.seq, result=codec.encode(result)
                )
            case messages.Query(kind=messages.QueryKind.STATUS):
                reply = messages.QueryReply(message.seq, self._status(slot))
            case messages.Query():
                answer = self.machine.query(message.kind, message.text)
                reply = messages.QueryReply(
                    message.seq, json.dumps(answer).encode()
                )
            case _:
                raise AssertionError(f'unexpected {message}')
        if self.replies_to_drop:
            self.replies_to_drop -= 1
            link.close()
            return
        link.send(reply)

    def _status(self, slot: str) -> bytes:
        return json.dumps(
            {
                'slot': slot,
                'is_leader': slot == self.slots[0],
                'applied_index': self.machine.applied_index,
                'sessions': self.sessions if slot == self.slots[0] else [],
            }
        ).encode()
