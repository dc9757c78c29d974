"""Clients of a fleet that pipeline, leave or cling to a stopping node.

Each connection keeps what was sent and what was received, byte for byte, so
that an oracle can judge it afterwards.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import enum
import random
import re

from tests.listener import connections
from tests.soak import fleet

_RESPONSE = re.compile(
    rb'HTTP/1\.1 (?P<status>\d+) [^\r]*\r\n(?:[^\r]+\r\n)*?'
    rb'content-length: (?P<length>\d+)\r\n(?:[^\r]+\r\n)*\r\n'
)

# Times of requests at their upstreams, milliseconds.
_DELAYS_MS = (0, 1, 5, 20, 20, 100, 400, 2000)

# Time between two attempts to connect, seconds.
_RECONNECT_S = 0.05


class Habit(enum.Enum):
    """What a client does with its connections."""

    # Sends the next requests while the ones before are running.
    PIPELINES = 'pipelines'
    # Closes or resets a connection while its requests are running.
    LEAVES = 'leaves'
    # Opens a connection for each request, always to the same node.
    CLINGS = 'clings'


@dataclasses.dataclass(frozen=True)
class Response:
    """One response as it was received."""

    status: int
    body: bytes
    closes_connection: bool
    has_retry_after: bool


@dataclasses.dataclass
class Wire:
    """What was sent and received on one connection."""

    # Ids of the requests, in the order in which they were sent.
    sent: list[str] = dataclasses.field(default_factory=list)
    received: bytes = b''
    has_left: bool = False

    def responses(self) -> list[Response]:
        """Return the complete responses; raise if other bytes follow."""
        found = []
        rest = self.received
        while match := _RESPONSE.match(rest):
            end = match.end() + int(match['length'])
            if len(rest) < end:
                break
            head = rest[: match.end()].lower()
            found.append(
                Response(
                    int(match['status']),
                    rest[match.end() : end],
                    b'connection: close' in head,
                    b'retry-after: ' in head,
                )
            )
            rest = rest[end:]
        if rest and not self.has_left:
            raise AssertionError(f'Bytes that are no response: {rest!r}.')
        return found


class Client:
    """Sends requests to one node until it is cancelled."""

    def __init__(self, name: str, address: str, seed: str) -> None:
        self.name = name
        self.address = address
        self.random = random.Random(seed)
        self.habit = self.random.choice(list(Habit))
        self.wires: list[Wire] = []
        self.request_count = 0
        # Set when the client ends its connection and opens no other one.
        self.is_ending = asyncio.Event()

    async def run(self) -> None:
        """Open one connection after the other."""
        while not self.is_ending.is_set():
            try:
                reader, writer = await connections.connect(self.address)
            except OSError:
                # The process is gone, and the next one has not started yet.
                await asyncio.sleep(_RECONNECT_S)
                continue
            wire = Wire()
            self.wires.append(wire)
            with contextlib.suppress(ConnectionError):
                await self._use(wire, reader, writer)
            writer.close()

    async def _use(
        self,
        wire: Wire,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        match self.habit:
            case Habit.PIPELINES:
                await self._pipeline(wire, reader, writer)
            case Habit.LEAVES:
                await self._leave(wire, reader, writer)
            case Habit.CLINGS:
                writer.write(self._next_requests(wire, 1))
                await self._read_responses(wire, reader, 1)

    async def _pipeline(
        self,
        wire: Wire,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        sending = asyncio.create_task(self._keep_sending(wire, writer))
        try:
            while chunk := await reader.read(65536):
                wire.received += chunk
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def _keep_sending(
        self, wire: Wire, writer: asyncio.StreamWriter
    ) -> None:
        while not self.is_ending.is_set():
            data = self._next_requests(wire, self.random.choice((1, 2, 5)))
            cut = self.random.randrange(len(data))
            writer.write(data[:cut])
            await asyncio.sleep(self.random.choice((0.0, 0.02)))
            writer.write(data[cut:])
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            await asyncio.sleep(self.random.uniform(0.0, 0.1))
        writer.write(self._next_request(wire, 'connection: close\r\n'))

    async def _leave(
        self,
        wire: Wire,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        count = self.random.choice((1, 3))
        writer.write(self._next_requests(wire, count))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.random.uniform(0.0, 0.2)):
                await self._read_responses(wire, reader, count)
        wire.has_left = True
        if self.random.random() < 0.5:
            connections.reset(writer)

    async def _read_responses(
        self, wire: Wire, reader: asyncio.StreamReader, count: int
    ) -> None:
        while len(wire.responses()) < count:
            chunk = await reader.read(65536)
            if not chunk:
                return
            wire.received += chunk

    def _next_requests(self, wire: Wire, count: int) -> bytes:
        return b''.join(self._next_request(wire) for _ in range(count))

    def _next_request(self, wire: Wire, headers: str = '') -> bytes:
        request_id = f'{self.name}-{self.request_count}'
        self.request_count += 1
        wire.sent.append(request_id)
        delay_ms = self.random.choice(_DELAYS_MS)
        body = b'b' * self.random.choice((0, 0, 10, 5000))
        return (
            f'POST /a/{delay_ms}/{request_id} HTTP/1.1\r\n'
            f'host: {fleet.HOST}\r\nx-id: {request_id}\r\n'
            f'{headers}content-length: {len(body)}\r\n\r\n'
        ).encode() + body


async def run_until_ended(
    clients: collections.abc.Sequence[Client],
    until: collections.abc.Awaitable[None],
) -> None:
    """Run clients until something else has ended and they are done."""
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await until
    for client in clients:
        client.is_ending.set()
    await asyncio.gather(*tasks)
