"""Helpers of the review's scripts: processes, proxies, an operator, clients.

Only the standard library is used. All addresses are loopback addresses with
free ports, and all processes are ended by close().
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A loopback address of its own, so that two scripts can run side by side.
HOST = '.'.join(['127', *(str(random.randrange(2, 250)) for _ in range(3))])

_ports_in_use: set[int] = set()


def free_port() -> int:
    """Return a free port that no other call has returned.

    It is below the ports that the kernel gives to outgoing connections, so
    that a process can use it again when it starts again.
    """
    while True:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in _ports_in_use:
            _ports_in_use.add(port)
            return port


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start, seconds."""
        line = f'{time.monotonic() - self.started_at:7.3f} {text}'
        self.file.write(line + '\n')
        self.file.flush()
        print(line, flush=True)


class Silent(Record):
    """A record that is not written."""

    def __init__(self) -> None:
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Drop the line."""


class Program:
    """One program of the project, started by a command of the deploy file."""

    def __init__(self, role: str, name: str, folder: pathlib.Path) -> None:
        self.role = role
        self.name = name
        self.settings_path = folder / f'{name}.toml'
        self.log_path = folder / f'{name}.log'
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, settings: str) -> None:
        """Write the settings and start the process."""
        self.settings_path.write_text(settings, encoding='utf-8')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['GODWITSTALL_SETTINGS'] = str(self.settings_path)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', 'platform/run.py', self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signum: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def log(self) -> str:
        """Return what the process has written."""
        return self.log_path.read_text(encoding='utf-8', errors='replace')


class _Pipe:
    """One proxied connection."""

    def __init__(self) -> None:
        self.is_silent = False
        self.writers: list[asyncio.StreamWriter] = []


class Proxy:
    """A TCP proxy whose open connections can go silent without a reset.

    A silent connection stays open and delivers nothing more, in either
    direction. Connections that are opened later work.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.pipes: set[_Pipe] = set()

    @property
    def address(self) -> str:
        """Address of the proxy, 'host:port'."""
        return f'{HOST}:{self.port}'

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self._accept, HOST, self.port, backlog=1024
        )

    def silence_open_connections(self) -> int:
        """Silence all open connections and return their number."""
        count = 0
        for pipe in self.pipes:
            count += not pipe.is_silent
            pipe.is_silent = True
        return count

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        pipe = _Pipe()
        pipe.writers.append(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        pipe.writers.append(target_writer)
        self.pipes.add(pipe)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._copy(pipe, reader, target_writer),
                self._copy(pipe, target_reader, writer),
            )
        if not pipe.is_silent:
            self.pipes.discard(pipe)

    async def _copy(
        self,
        pipe: _Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b''
            if pipe.is_silent:
                if not data:
                    # The other side never learns of the end.
                    return
                continue
            if not data:
                for other in pipe.writers:
                    with contextlib.suppress(OSError, RuntimeError):
                        other.close()
                return
            with contextlib.suppress(OSError):
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        for pipe in self.pipes:
            for writer in pipe.writers:
                writer.transport.abort()


async def http(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a connection of its own; status 0 means no answer."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f'{method} {path} HTTP/1.1']
                headers = {'Host': address, **headers}
                lines += [
                    f'{name}: {value}' for name, value in headers.items()
                ]
                lines.append(f'Content-Length: {len(body)}')
                lines.append('Connection: close')
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
                return await read_response(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b''


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Read one response with a Content-Length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return int(first.split(' ')[1]), headers, body


class Operator:
    """The operator: sends orders to the control processes in turn."""

    def __init__(self, addresses: list[str], record: Record) -> None:
        self.addresses = addresses
        self.record = record
        self.version = 0
        self.acknowledged: bytes = b''

    async def replace(
        self, manifest: dict[str, typing.Any], give_up_after_s: float
    ) -> bool:
        """Send a manifest until it is acknowledged; return whether it was."""
        base = self.version
        manifest = {**manifest, 'version': base + 1, 'baseVersion': base}
        body = json.dumps(manifest).encode()
        end = time.monotonic() + give_up_after_s
        answers: list[str] = []
        while time.monotonic() < end:
            for address in self.addresses:
                status, _, _ = await http(
                    address,
                    'POST',
                    '/-/rpc?call=configuration.replace',
                    {'Content-Type': 'application/json'},
                    body,
                )
                answers.append(str(status))
                if status == 200:
                    self.version = base + 1
                    self.acknowledged = body
                    self.record.write(
                        f'manifest {base + 1} acknowledged, answers '
                        f'{" ".join(answers)}'
                    )
                    return True
                if time.monotonic() >= end:
                    break
            await asyncio.sleep(0.1)
        self.record.write(
            f'manifest {base + 1} not acknowledged in {give_up_after_s} s, '
            f'answers {" ".join(answers)}'
        )
        return False

    async def read(self, address: str) -> tuple[int, bytes]:
        """Read the manifest at one process; return status and body."""
        status, _, body = await http(
            address, 'POST', '/-/rpc?call=configuration.read', {}
        )
        return status, body


def manifest(
    routes: dict[str, typing.Any] | None = None,
    services: list[str] | None = None,
) -> dict[str, typing.Any]:
    """Return a manifest without versions."""
    return {
        'routes': routes
        or {
            'r-1': {
                'host': 'siop.example',
                'pathPrefix': '/orders/',
                'kind': 'idempotent',
                'timeout': '5000ms',
                'targetLatency': '1200ms',
                'priority': 2,
                'service': 'siop',
                'maxAttempts': 2,
                'public': True,
            }
        },
        'services': {
            name: {
                'healthPath': '/healthz',
                'maxConnections': 600,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services or ['siop']
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
    }


@contextlib.contextmanager
def temporary_folder() -> typing.Iterator[pathlib.Path]:
    """Return a folder that is removed at the end."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='godwitstall-review-'))
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run(
    case_file: str,
    case: typing.Callable[
        [Record, pathlib.Path, list[Program], bool],
        typing.Coroutine[typing.Any, typing.Any, int],
    ],
) -> typing.NoReturn:
    """Run a case with a time limit, end its processes, and exit."""
    record = Record(pathlib.Path(case_file).resolve().parent)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    programs: list[Program] = []
    code = 2
    with temporary_folder() as folder:
        try:
            code = asyncio.run(
                asyncio.wait_for(
                    case(record, folder, programs, has_trouble), 115
                )
            )
        except Exception as e:  # noqa: BLE001
            record.write(f'The case could not run: {e!r}')
        finally:
            for program in programs:
                program.kill()
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                shutil.copytree(folder, keep, dirs_exist_ok=True)
    record.write(f'exit {code}')
    sys.stdout.flush()
    # The streams of silent connections have no loop any more.
    os._exit(code)


def control_settings(
    slot: str,
    link_port: int,
    api_port: int,
    seeds: list[str],
    folder: pathlib.Path,
    is_new: bool,
) -> str:
    """Return the settings of deploy/control.toml.in for one machine."""
    seed_list = ', '.join(f'"{seed}"' for seed in seeds)
    return f"""
[fleet]
name = "godwitstall"
is_without_secret = true
seeds = [{seed_list}]
[control]
slot = "{slot}"
zone = "sied-wau"
region = "ceredigion"
admin_address = "{HOST}:{api_port}"
link_address = "{HOST}:{link_port}"
data_folder = "{folder / slot}"
formats_empty_disk = true
is_new_fleet = {str(is_new).lower()}
"""


class Control:
    """A few control processes on loopback, found through seeds."""

    def __init__(
        self, folder: pathlib.Path, programs: list[Program], count: int = 3
    ) -> None:
        self.folder = folder
        self.slots = [f'core-{i + 1}' for i in range(count)]
        self.link_ports = {slot: free_port() for slot in self.slots}
        self.api_ports = {slot: free_port() for slot in self.slots}
        self.seeds = [
            f'{HOST}:{self.link_ports[slot]}' for slot in self.slots[:3]
        ]
        self.programs = {
            slot: Program('control', slot, folder) for slot in self.slots
        }
        programs.extend(self.programs.values())

    def addresses(self) -> list[str]:
        """Return the addresses for the operator."""
        return [f'{HOST}:{self.api_ports[slot]}' for slot in self.slots]

    def start(self, slot: str, is_new: bool = False) -> None:
        """Start one control process."""
        self.programs[slot].start(
            control_settings(
                slot,
                self.link_ports[slot],
                self.api_ports[slot],
                self.seeds,
                self.folder,
                is_new,
            )
        )

    def start_all(self) -> None:
        """Start all control processes of a new system."""
        for slot in self.slots:
            self.start(slot, True)


class Node:
    """A node process, with the settings of deploy/node.toml.in."""

    def __init__(
        self,
        name: str,
        service: str,
        seeds: list[str],
        folder: pathlib.Path,
        programs: list[Program],
    ) -> None:
        self.name = name
        self.service = service
        self.seeds = seeds
        self.program = Program('node', name, folder)
        programs.append(self.program)
        self.link_port = free_port()
        self.outbound = f'{HOST}:{free_port()}'
        self.control_plane = f'{HOST}:{free_port()}'
        self.ready_address = f'{HOST}:{free_port()}'

    def start(self) -> None:
        """Start the process."""
        seed_list = ', '.join(f'"{seed}"' for seed in self.seeds)
        self.program.start(
            f"""
[fleet]
name = "godwitstall"
is_without_secret = true
seeds = [{seed_list}]
[node]
node_id = "{self.name}"
zone = "sied-wau"
region = "ceredigion"
service = "{self.service}"
link_address = "{HOST}:{self.link_port}"
caller_address = "{self.outbound}"
upstream_address = "{self.control_plane}"
admin_address = "{self.ready_address}"
serves_without_lease = true
lease_s = 1.2
heartbeat_s = 0.4
grant_wait_ms = 300
limit_policy = "fixed"
slot_share = 0.94
warmup_s = 0.0
max_body_bytes = 8388608
max_answer_bytes = 8388608
retry_ratio = 0.16
retry_min_per_s = 2.0
announce_timeout_s = 5.0
stop_settle_s = 2.5
stop_grace_s = "6s"
"""
        )

    async def is_ready(self) -> bool:
        """Return whether the node takes clients."""
        status, _, _ = await http(self.ready_address, 'GET', '/-/readyz', {})
        return status == 200


class Run(typing.NamedTuple):
    """A request that a backend began to run."""

    at: float
    attempt_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Backend:
    """A sound backend, by the pages' section on backends."""

    def __init__(
        self, service: str, instance_id: str, node: Node, work_s: float = 0.02
    ) -> None:
        self.service = service
        self.instance_id = instance_id
        self.node = node
        self.work_s = work_s
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.runs: list[Run] = []
        self.misdirected = 0
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and check in every 1.5 s."""
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=1024
        )
        self.beats = asyncio.create_task(self._check_in())

    async def _check_in(self) -> None:
        while True:
            await self.send_beat(self.next_beat())
            await asyncio.sleep(1.5)

    def stop_beats(self) -> None:
        """Send no more check-ins."""
        if self.beats is not None:
            self.beats.cancel()

    def next_beat(self) -> bytes:
        """Return the body of the next check-in."""
        self.sequence += 1
        return json.dumps(
            {
                'service': self.service,
                'address': f'{HOST}:{self.port}',
                'zone': 'sied-wau',
                'version': 'v1',
                'concurrency': 87,
                'state': self.state,
                'coldRemaining': '0ms',
                'sequence': self.sequence,
                'born': self.born,
            }
        ).encode()

    async def send_beat(self, body: bytes) -> int:
        """Send a check-in and return the status of its answer."""
        status, _, _ = await http(
            self.node.control_plane,
            'POST',
            f'/-/rpc?call=instances.heartbeat&of={self.instance_id}',
            {'Content-Type': 'application/json'},
            body,
        )
        return status

    async def deregister(self) -> int:
        """Send the deregistration and return the status of its answer."""
        status, _, _ = await http(
            self.node.control_plane,
            'POST',
            f'/-/rpc?call=instances.deregister&of={self.instance_id}',
            {},
        )
        return status

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_one(reader, writer):
                pass
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        method, path, _ = first.split(' ')
        headers = {}
        for line in lines:
            name, colon, value = line.partition(':')
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        attempt_id = headers.get('attempt-id', '')
        answer: list[str] = []
        if path == '/healthz':
            status = '200 OK' if self.state == 'ready' else '503 Draining'
            answer.append(f'Instance-Id: {self.instance_id}')
        elif not attempt_id:
            status = '400 Bad Request'
            answer.append('Not-Executed: 1')
        elif headers.get('expected-instance', self.instance_id) != (
            self.instance_id
        ):
            self.misdirected += 1
            status = '421 Misdirected Request'
            answer += [f'Attempt-Id: {attempt_id}', 'Not-Executed: 1']
        else:
            self.runs.append(
                Run(time.monotonic(), attempt_id, method, path, headers, body)
            )
            await asyncio.sleep(self.work_s)
            status = '200 OK'
            answer += [
                f'Attempt-Id: {attempt_id}',
                f'Server-Signature: {self.instance_id}.{attempt_id}',
            ]
        content = f'{self.instance_id} {attempt_id}'.encode()
        answer.append(f'Content-Length: {len(content)}')
        writer.write(
            f'HTTP/1.1 {status}\r\n'.encode()
            + '\r\n'.join(answer).encode()
            + b'\r\n\r\n'
            + content
        )
        await writer.drain()
        return True


class Clients:
    """Sound clients of one node: a steady rate of idempotent requests."""

    def __init__(self, node: Node, host: str, path: str, rate: float) -> None:
        self.node = node
        self.host = host
        self.path = path
        self.rate = rate
        self.count = 0
        self.answers: dict[int, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.main: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to send."""
        self.main = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Send no more."""
        if self.main is not None:
            self.main.cancel()

    async def _run(self) -> None:
        while True:
            task = asyncio.create_task(self._send())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / self.rate)

    async def _send(self) -> None:
        self.count += 1
        status, _, _ = await http(
            self.node.outbound,
            'GET',
            f'{self.path}{self.count:x}',
            {
                'Host': self.host,
                'Attempt-Id': f'{self.node.name}-{self.count:08x}',
                'Deadline-Ms': '5000',
            },
            timeout_s=5,
        )
        self.answers[status] = self.answers.get(status, 0) + 1
