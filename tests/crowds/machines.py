"""Machines of the platform, each with a program of the system.

One control process, the node where requests begin ('front') and the node
beside the upstream ('back') run as separate processes with the settings that
deploy/ gives them. The upstream is a stand-in in the process of the test.

Example:
    async with Machines(folder) as machines:
        await machines.check_ordinary_request()
        machines.check_processes()
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import re
import sys

from godwitstall import link as link_module
from loadtool import addresses
from loadtool import http_client
from tests import deploy_templates

# Private memory of a machine, bytes, by role. The platform ends a process that
# uses more.
MEMORY_BYTES = {'node': 200_000_000, 'control': 296_000_000}

# Limit on the open descriptors of each process.
DESCRIPTORS = 512

# Largest body that the configuration allows, bytes.
MAX_BODY_BYTES = 67_108_864

# Size of the answer to an ordinary request, bytes.
ORDINARY_BYTES = 900_000

# Time in which a crowd sends before the processes are checked, seconds.
SETTLE_S = 8.0

# Guards against a test that hangs; no check depends on them.
_START_TIMEOUT_S = 30.0
_REQUEST_TIMEOUT_S = 30.0

_DEADLINE_MS = 60_000
_POLL_INTERVAL_S = 0.05
_HEARTBEAT_INTERVAL_S = 0.5

# Time in which all nodes learn of the upstream, seconds.
_SPREAD_S = 1.0

_HOST = 'back.example'
_BLOCK = bytes(range(256)) * 256

_LIMIT_DESCRIPTORS = (
    'import os, resource, sys;'
    f'resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS},) * 2);'
    'os.execv(sys.executable, [sys.executable, *sys.argv[1:]])'
)


def blocks(size: int) -> collections.abc.Iterator[bytes]:
    """Return a body of a size in parts of 64 KiB."""
    whole, rest = divmod(size, len(_BLOCK))
    for _ in range(whole):
        yield _BLOCK
    if rest:
        yield _BLOCK[:rest]


def digest_of(size: int) -> str:
    """Return the SHA-256 of such a body, hex."""
    digest = hashlib.sha256()
    for part in blocks(size):
        digest.update(part)
    return digest.hexdigest()


def head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request to the upstream."""
    pairs = (f'host: {_HOST}', f'deadline-ms: {_DEADLINE_MS}', *lines)
    lines_text = ''.join(f'{pair}\r\n' for pair in pairs)
    return f'{method} {path} HTTP/1.1\r\n{lines_text}\r\n'.encode()


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer whose body has been read."""

    status: int
    # Size of the body, bytes.
    size: int
    # SHA-256 of the body, hex.
    digest: str
    # The first bytes of the body.
    start: bytes


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[bytes, dict[bytes, bytes]]:
    """Return the first line and the headers of a message."""
    lines = (await reader.readuntil(b'\r\n\r\n')).split(b'\r\n')
    pairs = (line.partition(b':') for line in lines[1:] if line)
    return lines[0], {k.lower(): v.strip() for k, _, v in pairs}


async def read_parts(
    reader: asyncio.StreamReader, headers: dict[bytes, bytes]
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the parts of a body with a length."""
    left = int(headers.get(b'content-length', b'0'))
    while left:
        part = await reader.read(min(left, len(_BLOCK)))
        if not part:
            raise ConnectionError('The body ends early.')
        left -= len(part)
        yield part


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer. Errors: OSError or EOFError if it is not whole."""
    line, headers = await read_head(reader)
    digest = hashlib.sha256()
    size = 0
    start = b''
    async for part in read_parts(reader, headers):
        digest.update(part)
        size += len(part)
        start = (start + part)[:200] if len(start) < 200 else start
    return Answer(int(line.split()[1]), size, digest.hexdigest(), start)


class Upstream:
    """Answers with bodies of the size that the path names.

    The answer to an upload is the digest of its body.
    """

    def __init__(self, address: str, node_address: str) -> None:
        self.address = address
        self.node_address = node_address
        # Pause after each 64 KiB of a body that is read, seconds.
        self.read_pause_s = 0.0
        # Whether bodies of answers are sent in chunks.
        self.sends_chunks = False
        # Set by each heartbeat that is acknowledged.
        self.is_acknowledged = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        host, port = link_module.split_address(self.address)
        self.server = await asyncio.start_server(self._serve, host, port)
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        assert self.server is not None and self.heartbeat_task is not None
        self.heartbeat_task.cancel()
        self.server.close()

    async def _send_heartbeats(self) -> None:
        content = {
            'service': 'back',
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'concurrency': 400,
            'state': 'ready',
            'coldRemaining': '0ms',
            'born': 1000,
        }
        for sequence in range(1, 10_000):
            client = http_client.Client(self.node_address, 1)
            with contextlib.suppress(http_client.CallError):
                response = await client.request(
                    'POST',
                    '/-/rpc?call=instances.heartbeat&of=i-1',
                    [],
                    json.dumps(content | {'sequence': sequence}).encode(),
                    1.0,
                )
                if response.status == 200:
                    self.is_acknowledged.set()
            client.close()
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                await self._answer(line, headers, reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        line: bytes,
        headers: dict[bytes, bytes],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        method, path, _ = line.split()
        digest = hashlib.sha256()
        async for part in read_parts(reader, headers):
            digest.update(part)
            if self.read_pause_s:
                await asyncio.sleep(self.read_pause_s)
        lines = [b'HTTP/1.1 200 OK', b'server-signature: s']
        if b'attempt-id' in headers:
            lines.append(b'attempt-id: ' + headers[b'attempt-id'])
        if path == b'/healthz':
            lines += [b'instance-id: i-1', b'content-length: 0']
            writer.write(b'\r\n'.join(lines) + b'\r\n\r\n')
        elif method == b'POST':
            text = digest.hexdigest().encode()
            lines.append(b'content-length: %d' % len(text))
            writer.write(b'\r\n'.join(lines) + b'\r\n\r\n' + text)
        else:
            size = int(path.rpartition(b'/')[2])
            if self.sends_chunks:
                lines.append(b'transfer-encoding: chunked')
            else:
                lines.append(b'content-length: %d' % size)
            writer.write(b'\r\n'.join(lines) + b'\r\n\r\n')
            for part in blocks(size):
                if self.sends_chunks:
                    part = b'%x\r\n%s\r\n' % (len(part), part)
                writer.write(part)
                await writer.drain()
            if self.sends_chunks:
                writer.write(b'0\r\n\r\n')
        await writer.drain()


@dataclasses.dataclass
class Machine:
    """A machine with one process."""

    name: str
    role: str
    ip: str
    service: str = ''
    process: asyncio.subprocess.Process | None = None


class Machines:
    """The machines, and the stand-in upstream of service 'back'."""

    def __init__(
        self, folder: pathlib.Path, edits: dict[str, str] | None = None
    ) -> None:
        self.folder = folder
        # Lines of the settings of nodes that the test replaces, by name.
        self.edits = edits or {}
        host, _ = link_module.split_address(addresses.free_address())
        net = host.rpartition('.')[0]
        self.control = Machine('core-1', 'control', f'{net}.201')
        self.front = Machine('front-1', 'node', f'{net}.202', 'front')
        self.back = Machine('back-1', 'node', f'{net}.203', 'back')
        self.ports = {
            name: link_module.split_address(addresses.free_address())[1]
            for name in ('link', 'outbound', 'ready', 'controlPlane', 'app')
        }
        self.upstream = Upstream(
            self.address(self.back, 'app'),
            self.address(self.back, 'controlPlane'),
        )

    @property
    def all(self) -> list[Machine]:
        return [self.control, self.front, self.back]

    def address(self, machine: Machine, port: str) -> str:
        """Return an address of a machine by the name of its port."""
        if port == 'metrics':
            number = 9465 if machine.role == 'control' else 9464
        else:
            number = self.ports[port]
        return f'{machine.ip}:{number}'

    def place(self, name: str) -> str:
        """Return an address by 'machine.port', for example 'front.ready'."""
        machine, _, port = name.partition('.')
        return self.address(getattr(self, machine), port)

    async def __aenter__(self) -> 'Machines':
        try:
            for machine in self.all:
                await self._start(machine)
            await self.upstream.start()
            async with asyncio.timeout(_START_TIMEOUT_S):
                await self._configure()
                # A node that knows no upstream yet would refuse new requests
                # for seconds after the first one.
                self.upstream.is_acknowledged.clear()
                await self.upstream.is_acknowledged.wait()
                await asyncio.sleep(_SPREAD_S)
                for machine in (self.front, self.back):
                    await self._wait_for_routes(machine)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.upstream.server is not None:
            await self.upstream.stop()
        for machine in self.all:
            if machine.process is None:
                continue
            if machine.process.returncode is None:
                machine.process.kill()
            await machine.process.wait()

    async def _start(self, machine: Machine) -> None:
        data_folder = self.folder / machine.name
        data_folder.mkdir()
        text = deploy_templates.render(
            machine.role,
            {
                'nodeId': machine.name,
                'zone': 'z1',
                'region': 'r1',
                'ip': machine.ip,
                'service': machine.service,
                'dataDir': str(data_folder),
                'bootstrap': True,
                'internalPortRange': [self.ports['link']] * 2,
                'seedNodes': [self.address(self.control, 'controlPlane')],
                'bounds': {
                    'grace': '6s',
                    'coldOverrun': None,
                    'coldTolerance': None,
                },
                'network': {'zones': {'z1': 'r1'}},
                'listenAddrs': {
                    'outbound': self.address(machine, 'outbound'),
                    'readyAddr': self.address(machine, 'ready'),
                    'controlPlane': self.address(machine, 'controlPlane'),
                },
            },
        )
        if machine.role == 'node':
            for name, value in self.edits.items():
                text = re.sub(f'(?m)^{name} = .*\n', '', text)
                text += f'{name} = {value}\n'
        path = self.folder / f'{machine.name}.toml'
        path.write_text(text)
        program = deploy_templates.ROOT / 'platform' / 'run.py'
        with open(self.folder / f'{machine.name}.log', 'ab') as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-c',
                _LIMIT_DESCRIPTORS,
                str(program),
                machine.role,
                env=os.environ | {'GODWITSTALL_SETTINGS': str(path)},
                stdout=log,
                stderr=log,
            )

    async def _configure(self) -> None:
        """Send the configuration until it is accepted."""
        content = {
            'version': 1,
            'baseVersion': 0,
            'routes': {
                name: {
                    'host': _HOST,
                    'pathPrefix': f'/{name}/',
                    'kind': kind,
                    'timeout': f'{_DEADLINE_MS}ms',
                    'targetLatency': '5000ms',
                    'priority': 0,
                    'service': 'back',
                    'maxAttempts': 2,
                    'public': True,
                }
                for name, kind in (('get', 'download'), ('put', 'upload'))
            },
            'services': {
                name: {'healthPath': '/healthz', 'maxConnections': 400}
                for name in ('front', 'back')
            },
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': MAX_BODY_BYTES,
                'headerTimeout': '3000ms',
                'idleTimeout': '15000ms',
            },
        }
        while True:
            client = http_client.Client(self.place('control.controlPlane'), 1)
            with contextlib.suppress(http_client.CallError):
                response = await client.request(
                    'POST',
                    '/-/rpc?call=configuration.replace',
                    [],
                    json.dumps(content).encode(),
                    2.0,
                )
                if response.status == 200:
                    return
            client.close()
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _wait_for_routes(self, machine: Machine) -> None:
        """Wait until a node serves both routes."""
        upload = [head('POST', '/put/x', 'content-length: 1'), b'x']
        while (await self._get(machine, 1)).status != 200:
            await asyncio.sleep(_POLL_INTERVAL_S)
        while (await self.exchange(machine, upload)).status != 200:
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _get(self, machine: Machine, size: int) -> Answer:
        request = head('GET', f'/get/{size}', 'connection: close')
        return await self.exchange(machine, [request])

    async def exchange(
        self, machine: Machine, parts: collections.abc.Iterable[bytes]
    ) -> Answer:
        """Send a request on a new connection and return its answer.

        A connection that ends without an answer is an answer of status 0.
        """
        host, port = link_module.split_address(
            self.address(machine, 'outbound')
        )
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            return Answer(0, 0, '', b'')

        async def send() -> None:
            with contextlib.suppress(OSError):
                for part in parts:
                    writer.write(part)
                    await writer.drain()

        sender = asyncio.create_task(send())
        try:
            return await read_answer(reader)
        except (OSError, EOFError):
            return Answer(0, 0, '', b'')
        finally:
            sender.cancel()
            writer.transport.abort()

    async def check_ordinary_request(self) -> None:
        """Check that a new caller of each node gets its answer.

        A caller that is refused asks again, as the answer says.
        """
        for machine in (self.front, self.back):
            answer = None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                    answer = await self._get(machine, ORDINARY_BYTES)
                    while answer.status == 503:
                        await asyncio.sleep(_POLL_INTERVAL_S)
                        answer = await self._get(machine, ORDINARY_BYTES)
            assert answer is not None, f'{machine.name}: no answer'
            assert answer.status == 200, f'{machine.name}: {answer}'
            assert answer.digest == digest_of(ORDINARY_BYTES)

    def check_processes(self) -> None:
        """Check that all processes live, in the memory of their machines."""
        figures = {}
        for machine in self.all:
            assert machine.process is not None
            assert machine.process.returncode is None, machine.name
            figures[machine.name] = (
                self._peak_bytes(machine),
                len(os.listdir(f'/proc/{machine.process.pid}/fd')),
            )
        print({n: (f'{p / 1e6:.0f} MB', d) for n, (p, d) in figures.items()})
        for machine in self.all:
            peak_bytes, descriptors = figures[machine.name]
            assert peak_bytes <= MEMORY_BYTES[machine.role], machine.name
            assert descriptors < DESCRIPTORS, machine.name

    def _peak_bytes(self, machine: Machine) -> int:
        """Return the peak of the memory that is not mapped from files."""
        assert machine.process is not None
        path = pathlib.Path(f'/proc/{machine.process.pid}/status')
        lines = (line.split() for line in path.read_text().splitlines())
        kib = {line[0]: int(line[1]) for line in lines if line[-1] == 'kB'}
        return (kib['VmHWM:'] - kib['RssFile:'] - kib['RssShmem:']) * 1024
