"""A system of separate processes, and crowds of clients that misbehave.

The processes run with few descriptors, so that a small crowd exceeds them.
Checks read what doesn't depend on the speed of the machine: whether a process
lives, its peak memory, its open descriptors and the size of its log.

Example:
    async with System(folder) as system:
        async with Crowd(system.node.caller_address, 64, send) as crowd:
            await crowd.settle()
            await system.check_request()
"""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import socket
import sys
import types
import typing

from bench import fleet as fleets
from godwitstall import link as link_module
from loadtool import http_client

# Limit on the open descriptors of each process.
DESCRIPTORS = 256

# Bounds on the growth of a process beside a crowd, bytes. The first is for
# crowds whose bytes that must be kept are 4 MiB or less, the second for those
# that send as much as the limits of each connection allow.
SMALL_GROWTH_BYTES = 32 * 1024 * 1024
LARGE_GROWTH_BYTES = 128 * 1024 * 1024

# Bound on the growth of a log beside a crowd, bytes.
LOG_BYTES = 256 * 1024

# Guards against a test that hangs; no check depends on them.
_SETTLE_TIMEOUT_S = 20.0
_REQUEST_TIMEOUT_S = 30.0

_POLL_INTERVAL_S = 0.05

# Size of an answer of the upstream, bytes.
ANSWER_BYTES = 900_000

_LIMIT_DESCRIPTORS = (
    'import os, resource, sys;'
    'limit = int(sys.argv[1]);'
    'resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit));'
    'os.execv(sys.argv[2], sys.argv[2:])'
)

# Sends what one client of a crowd sends.
Send = collections.abc.Callable[
    [asyncio.StreamWriter], collections.abc.Awaitable[None]
]


class _LimitedFleet(fleets.Fleet):
    """A fleet whose nodes and control processes have few descriptors."""

    async def spawn(self, name: str) -> None:
        command = self.commands[name]
        if not name.startswith('standin') and command[1] != '-c':
            self.commands[name] = [
                sys.executable,
                '-c',
                _LIMIT_DESCRIPTORS,
                str(DESCRIPTORS),
                *command,
            ]
        await super().spawn(name)


class System:
    """One control process, one node and its upstream."""

    def __init__(
        self, folder: pathlib.Path, node_lines: list[str] | None = None
    ) -> None:
        self.fleet = _LimitedFleet(
            folder,
            [
                fleets.ServiceSpec(
                    'siop',
                    standin_lines=[
                        f'answer_bytes = {ANSWER_BYTES}',
                        'service_ms = 0.0',
                    ],
                )
            ],
            control_count=1,
            node_lines=node_lines,
        )
        self.node = self.fleet.nodes[0]
        # Memory, bytes, and size of the log, bytes, before the crowd.
        self.memory_before: dict[str, int] = {}
        self.log_before: dict[str, int] = {}

    @property
    def names(self) -> tuple[str, str]:
        """The processes that are checked."""
        return f'node-{self.node.node_id}', 'control-1'

    def address(self, place: str) -> str:
        """Return an address of the node, or of control, by its name."""
        match place:
            case 'control_admin':
                return self.fleet.control_admin_addresses['control-1']
            case 'control_link':
                return self.fleet.control_addresses['control-1']
            case _:
                found: str = getattr(self.node, f'{place}_address')
                return found

    async def __aenter__(self) -> 'System':
        await self.fleet.__aenter__()
        await self.fleet.apply_note(
            fleets.note_text(
                1, [], [fleets.RouteSpec('siop', 'siop', is_open=True)]
            )
        )
        await self._wait_for_route()
        for name in self.names:
            self.memory_before[name] = self._memory(name, 'VmHWM')
            self.log_before[name] = self._log_bytes(name)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.fleet.__aexit__(exc_type, exc, traceback)

    async def check_request(self) -> None:
        """Check that one ordinary request of a new connection is answered.

        While the upstream runs requests of the crowd, the caller sends it
        again, as the answer says.
        """
        response = await self._get_when_not_overloaded()
        assert response.status == 200, response
        assert len(response.body) == ANSWER_BYTES

    async def _get_when_not_overloaded(self) -> http_client.Response:
        async with asyncio.timeout(_REQUEST_TIMEOUT_S):
            while True:
                response = await self._get(self.node.caller_address, '/siop/1')
                if response.headers.get('godwitstall-error') != 'overloaded':
                    return response
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def check_health(self, address: str) -> None:
        """Check that a new connection to an admin address is answered."""
        response = await self._get(address, '/healthz')
        assert response.status == 200, response

    async def _wait_for_route(self) -> None:
        """Wait until the node has the route and the upstream."""
        async with asyncio.timeout(_REQUEST_TIMEOUT_S):
            while True:
                response = await self._get(self.node.caller_address, '/siop/1')
                if response.status == 200:
                    return
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def _get(self, address: str, path: str) -> http_client.Response:
        client = http_client.Client(address, 1)
        try:
            return await client.request(
                'GET', path, [], b'', _REQUEST_TIMEOUT_S
            )
        finally:
            client.close()

    async def check(self, growth_bytes: int) -> None:
        """Check the processes beside a crowd, after one ordinary request."""
        await self.check_request()
        await self.check_health(self.node.admin_address)
        await self.check_health(self.address('control_admin'))
        for name in self.names:
            assert self.fleet.processes[name].returncode is None
            memory = self._memory(name, 'VmHWM') - self.memory_before[name]
            log = self._log_bytes(name) - self.log_before[name]
            descriptors = self._descriptors(name)
            print(
                f'{name}: peak memory +{memory / 1e6:.0f} MB, log +{log} '
                f'bytes, {descriptors} descriptors'
            )
            assert memory <= growth_bytes
            assert log <= LOG_BYTES
            assert descriptors < DESCRIPTORS

    def _memory(self, name: str, field: str) -> int:
        pid = self.fleet.processes[name].pid
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
        (line,) = (x for x in text.splitlines() if x.startswith(f'{field}:'))
        return int(line.split()[1]) * 1024

    def _log_bytes(self, name: str) -> int:
        return (self.fleet.folder / f'{name}.log').stat().st_size

    def _descriptors(self, name: str) -> int:
        return len(os.listdir(f'/proc/{self.fleet.processes[name].pid}/fd'))


class Crowd:
    """Clients that all send the same and keep their connections open."""

    def __init__(
        self,
        address: str,
        count: int,
        send: Send,
        reads: bool = False,
    ) -> None:
        self.address = address
        self.count = count
        self.send = send
        # Whether answers are read.
        self.reads = reads
        # Bytes that are read at once, and the pause after them, seconds.
        self.read_bytes = 1024
        self.read_pause_s = 0.0
        # Receive buffer of the kernel, bytes; 0 selects its default.
        self.receive_buffer_bytes = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> 'Crowd':
        self.tasks = [
            asyncio.create_task(self._run()) for _ in range(self.count)
        ]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()

    async def settle(self, timeout_s: float = _SETTLE_TIMEOUT_S) -> None:
        """Wait until all has been sent, or the clients get no further."""
        await asyncio.wait(self.tasks, timeout=timeout_s)

    async def _run(self) -> None:
        host, port = link_module.split_address(self.address)
        # The process may refuse or close the connection at any time.
        with contextlib.suppress(OSError):
            # Answers stay in the buffers of the kernel and the process.
            client_socket = socket.socket()
            client_socket.setblocking(False)
            if self.receive_buffer_bytes:
                client_socket.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self.receive_buffer_bytes,
                )
            await asyncio.get_running_loop().sock_connect(
                client_socket, (host, port)
            )
            reader, writer = await asyncio.open_connection(
                limit=1024, sock=client_socket
            )
            self.writers.append(writer)
            if not self.reads:
                transport = typing.cast(asyncio.Transport, writer.transport)
                transport.pause_reading()
            await self.send(writer)
            while self.reads and await reader.read(self.read_bytes):
                if self.read_pause_s:
                    await asyncio.sleep(self.read_pause_s)
