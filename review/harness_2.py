"""Starts a small deployment on loopback addresses, with stand-ins.

The programs run as separate processes with the commands of the deploy file.
Settings are rendered from the templates of the deploy file. Backends and
clients are stand-ins in the process of the test.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Ports, the same on all machines of a run.
INTERNAL, INBOUND, READY, OUTBOUND, CONTROL_PLANE, APP = range(6)


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt and prints the same lines."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / 'record.txt').open('w')
        self.start = time.monotonic()

    def line(self, text: str) -> None:
        text = f'{time.monotonic() - self.start:8.3f} {text}'
        print(text, flush=True)
        self.file.write(text + '\n')
        self.file.flush()


# Rendering of the templates


def _find(scopes: list[typing.Any], name: str) -> typing.Any:
    for scope in reversed(scopes):
        value = scope
        for part in name.split('.'):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)


def render(text: str, scopes: list[typing.Any]) -> str:
    """Fill in a template as DEPLOY.md describes it."""

    def section(match: re.Match[str]) -> str:
        value = _find(scopes, match[1])
        if not value:
            return ''
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            entries = [('', value)]
        parts = []
        for position, (key, entry) in enumerate(entries):
            part = match[2].replace('{{.}}', str(entry))
            part = part.replace('{{@}}', str(key))
            comma = ',' if position < len(entries) - 1 else ''
            parts.append(render(part.replace('{{,}}', comma), scopes))
        return ''.join(parts)

    def value(match: re.Match[str]) -> str:
        found = _find(scopes, match[1])
        if found is None:
            return ''
        if isinstance(found, bool):
            return str(found).lower()
        return str(found)

    return re.sub(r'\{\{([\w.]+)\}\}', value, _SECTION.sub(section, text))


# Machines


@dataclasses.dataclass
class Machine:
    """A machine with one program of the system."""

    name: str
    role: str
    ip: str
    zone: str
    service: str = ''
    process: asyncio.subprocess.Process | None = None
    settings_path: pathlib.Path | None = None
    is_first_start: bool = True
    log: typing.Any = None


class Site:
    """Three control processes, and a node beside each backend."""

    def __init__(
        self, record: Record, services: list[str], controls: int = 3
    ) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.ports: list[int] = []
        subnet = random.randrange(20, 250)
        net = f'127.{subnet}.{random.randrange(1, 250)}'
        self.controls = [
            Machine(f'core-{i}', 'control', f'{net}.{10 + i}', f'z{i % 3}')
            for i in range(controls)
        ]
        self.nodes = [
            Machine(f'sidecar-{i}', 'node', f'{net}.{30 + i}', f'z{i % 3}', s)
            for i, s in enumerate(services)
        ]
        self.net = net
        self.version = 0

    def address(self, machine: Machine, port: int) -> str:
        return f'{machine.ip}:{self.ports[port]}'

    def pick_ports(self) -> None:
        machines = self.controls + self.nodes
        for _ in range(100):
            ports = random.sample(range(20000, 32000), 6)
            if all(
                _is_free(m.ip, port)
                for m in machines
                for port in (*ports, 9464, 9465)
            ):
                self.ports = ports
                return
        raise CannotRunError('no free ports')

    def _fields(self, machine: Machine) -> dict[str, typing.Any]:
        seeds = [self.address(c, CONTROL_PLANE) for c in self.controls[:3]]
        own = {
            'nodeId': machine.name,
            'role': machine.role,
            'ip': machine.ip,
            'zone': machine.zone,
            'region': 'r',
            'bootstrap': machine.is_first_start,
            'service': machine.service,
            'dataDir': str(self.folder / machine.name / 'data'),
            'appAddr': self.address(machine, APP),
        }
        network = {
            'internalPortRange': [self.ports[INTERNAL]] * 2,
            'seedNodes': seeds,
            'listenAddrs': {
                'inbound': self.address(machine, INBOUND),
                'outbound': self.address(machine, OUTBOUND),
                'readyAddr': self.address(machine, READY),
                'controlPlane': self.address(machine, CONTROL_PLANE),
            },
            'zones': {'z0': 'r', 'z1': 'r', 'z2': 'r'},
        }
        bounds = {'grace': '6s', 'drain': '2000ms'}
        return {**own, **network, 'bounds': bounds, 'network': network}

    async def start(self, machine: Machine) -> None:
        """Start the program of a machine, or start it again."""
        role = self.deploy['roles'][machine.role]
        folder = self.folder / machine.name
        folder.mkdir(exist_ok=True)
        if machine.role == 'control':
            (folder / 'data').mkdir(exist_ok=True)
        template = (ROOT / role['template']).read_text()
        machine.settings_path = folder / 'boot.toml'
        machine.settings_path.write_text(
            render(template, [self._fields(machine)])
        )
        machine.is_first_start = False
        if machine.log is None:
            machine.log = (folder / 'log').open('ab')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['GODWITSTALL_SETTINGS'] = str(machine.settings_path)
        machine.process = await asyncio.create_subprocess_exec(
            *role['run'].split(' '),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=machine.log,
            stderr=machine.log,
        )

    async def start_all(self) -> None:
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRunError('the build of the deploy file is missing')
        self.pick_ports()
        for machine in self.controls + self.nodes:
            await self.start(machine)

    def kill(self, machine: Machine, number: int = signal.SIGKILL) -> None:
        assert machine.process is not None
        with contextlib.suppress(ProcessLookupError):
            machine.process.send_signal(number)

    async def close(self) -> None:
        for machine in self.controls + self.nodes:
            if machine.process is None:
                continue
            if machine.process.returncode is None:
                self.kill(machine, signal.SIGCONT)
                self.kill(machine)
            await machine.process.wait()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator

    async def operator_call(
        self, call: str, body: bytes, control: Machine | None = None
    ) -> tuple[int, bytes]:
        """Send one call to a control process; status 0 without an answer."""
        control = control or random.choice(self.controls)
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(
                    control.ip, self.ports[CONTROL_PLANE]
                )
                writer.write(
                    f'POST /-/rpc?call={call} HTTP/1.1\r\n'
                    f'Host: {control.ip}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n'
                    'Connection: close\r\n\r\n'.encode()
                    + body
                )
                answer = await read_answer(reader)
                writer.close()
                return answer.status, answer.body
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            return 0, b''

    async def put_manifest(
        self, manifest: dict[str, typing.Any], timeout_s: float = 30.0
    ) -> None:
        """Send a manifest until it is acknowledged."""
        manifest = dict(manifest)
        manifest['baseVersion'] = self.version
        manifest['version'] = self.version + 1
        body = json.dumps(manifest).encode()
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            status, text = await self.operator_call(
                'configuration.replace', body
            )
            if status == 200:
                self.version += 1
                self.record.line(f'operator: version {self.version}: 200')
                return
            if status in (400, 409, 412, 413, 422):
                raise CannotRunError(f'manifest refused: {status} {text!r}')
            await asyncio.sleep(0.2)
        raise CannotRunError('no ack of the manifest')

    async def wait_ready(
        self, machines: list[Machine] | None = None, timeout_s: float = 30.0
    ) -> None:
        """Wait until nodes answer 200 to the platform's question."""
        end = time.monotonic() + timeout_s
        for machine in machines or self.nodes:
            while not await self.is_ready(machine):
                if time.monotonic() > end:
                    raise CannotRunError(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)

    async def is_ready(self, machine: Machine) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    machine.ip, self.ports[READY]
                )
                writer.write(
                    b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                answer = await read_answer(reader)
                writer.close()
                return answer.status == 200
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            return False


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def private_mb(pid: int) -> float:
    """Return the private resident memory of a process, MB of 10**6 bytes."""
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0.0
    match = re.search(r'^RssAnon:\s+(\d+) kB', status, re.MULTILINE)
    return int(match[1]) * 1024 / 1e6 if match else 0.0


# HTTP


@dataclasses.dataclass
class Message:
    """An HTTP request or answer."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes = b''

    def header(self, name: str) -> str | None:
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    @property
    def status(self) -> int:
        return int(self.first_line.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers; IncompleteReadError at the end."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.split('\r\n')
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_body(
    reader: asyncio.StreamReader,
    message: Message,
    piece: int = 65536,
    pause_s: float = 0.0,
) -> bytes:
    """Read the body that a head announces, slowly if there is a pause."""
    if 'chunked' in (message.header('transfer-encoding') or ''):
        parts = []
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    left = int(message.header('content-length') or 0)
    parts = []
    while left:
        part = await reader.read(min(piece, left))
        if not part:
            raise asyncio.IncompleteReadError(b''.join(parts), left)
        parts.append(part)
        left -= len(part)
        if pause_s:
            await asyncio.sleep(pause_s)
    return b''.join(parts)


async def read_answer(reader: asyncio.StreamReader) -> Message:
    """Read an answer with its whole body."""
    message = await read_head(reader)
    message.body = await read_body(reader, message)
    return message


def request_bytes(
    method: str,
    path: str,
    attempt_id: str,
    deadline_ms: int,
    body: bytes = b'',
    host: str = 'shop.example',
    extra: str = '',
) -> bytes:
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Attempt-Id: {attempt_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
        f'{extra}{length}\r\n'
    ).encode() + body


def new_id() -> str:
    return f'{random.getrandbits(64):016x}'


# Backends


class Backend:
    """A backend that follows PROTOCOL.md; serve_request can be replaced."""

    def __init__(
        self, site: Site, machine: Machine, concurrency: int = 50
    ) -> None:
        self.site = site
        self.machine = machine
        self.concurrency = concurrency
        self.instance_id = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        # Attempt ids of the requests that were run, in order.
        self.runs: list[str] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve,
            self.machine.ip,
            self.site.ports[APP],
            limit=1 << 16,
        )
        self.beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def call(self, query: str, body: bytes) -> int:
        """Call the node of this machine; 0 without an answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.machine.ip, self.site.ports[CONTROL_PLANE]
                )
                writer.write(
                    f'POST /-/rpc?{query} HTTP/1.1\r\n'
                    f'Host: {self.machine.ip}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n'
                    'Connection: close\r\n\r\n'.encode()
                    + body
                )
                answer = await read_answer(reader)
                writer.close()
                return answer.status
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            return 0

    def beat_body(self) -> bytes:
        self.sequence += 1
        return json.dumps(
            {
                'service': self.machine.service,
                'address': self.site.address(self.machine, APP),
                'zone': self.machine.zone,
                'version': 'v1',
                'concurrency': self.concurrency,
                'state': self.state,
                'coldRemaining': '0ms',
                'sequence': self.sequence,
                'born': self.born,
            }
        ).encode()

    async def beat(self) -> int:
        return await self.call(
            f'call=instances.heartbeat&of={self.instance_id}', self.beat_body()
        )

    async def _beat(self) -> None:
        while True:
            status = await self.beat()
            await asyncio.sleep(1.5 if status == 200 else 0.3)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                path = head.first_line.split(' ')[1]
                if path == '/healthz':
                    self.answer(
                        writer,
                        200,
                        b'',
                        None,
                        [('Instance-Id', self.instance_id)],
                    )
                    continue
                expected = head.header('expected-instance')
                if expected not in (None, self.instance_id):
                    await read_body(reader, head)
                    self.answer(
                        writer,
                        421,
                        b'',
                        None,
                        [('Instance-Id', self.instance_id)],
                    )
                    continue
                await self.serve_request(head, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_request(
        self,
        head: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read a request, run it and answer."""
        await read_body(reader, head)
        attempt_id = head.header('attempt-id') or ''
        self.runs.append(attempt_id)
        self.answer(writer, 200, b'ok', attempt_id)

    def answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        attempt_id: str | None,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        pairs = list(headers or [])
        if attempt_id is not None:
            pairs.append(('Attempt-Id', attempt_id))
            pairs.append(('Server-Signature', f'{attempt_id}.{len(body)}'))
        lines = ''.join(f'{name}: {value}\r\n' for name, value in pairs)
        writer.write(
            f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n'
            f'{lines}\r\n'.encode()
            + body
        )


def manifest(
    routes: dict[str, tuple[str, str, str]],
    timeout_ms: int = 30000,
    tenants: dict[str, typing.Any] | None = None,
) -> dict[str, typing.Any]:
    """Return a manifest; routes by name are (prefix, kind, service)."""
    content: dict[str, typing.Any] = {
        'routes': {
            name: {
                'host': 'shop.example',
                'pathPrefix': prefix,
                'kind': kind,
                'timeout': f'{timeout_ms}ms',
                'targetLatency': f'{min(timeout_ms, 5000)}ms',
                'priority': 0,
                'service': service,
                'maxAttempts': 2,
                'public': tenants is None,
            }
            for name, (prefix, kind, service) in routes.items()
        },
        'services': {
            service: {
                'healthPath': '/healthz',
                'maxConnections': 560,
                'protocol': 'h1',
                'tls': False,
            }
            for _, _, service in routes.values()
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
    }
    if tenants is not None:
        content['tenants'] = tenants
    return content


def main(
    folder: pathlib.Path,
    run: typing.Callable[[Record, bool], typing.Awaitable[int]],
    limit_s: float = 110.0,
) -> typing.NoReturn:
    """Run a case; TROUBLE=0 leaves its disruption out."""
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await run(record, has_trouble)

    try:
        result = asyncio.run(bounded())
    except (CannotRunError, TimeoutError, OSError) as e:
        record.line(f'could not run: {type(e).__name__} {e}')
        result = NOT_RUN
    names = {HELD: 'rule held', BROKEN: 'rule broken', NOT_RUN: 'not run'}
    record.line(f'result: {names[result]}')
    sys.exit(result)
