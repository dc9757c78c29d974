"""Helpers of the review's scripts: processes, proxies, an operator, clients.

Only the standard library is used. All addresses are loopback addresses with
free ports, and all processes are ended by close().
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'

_ports_in_use: set[int] = set()


def free_port() -> int:
    """Return a free port that no other call has returned."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = int(probe.getsockname()[1])
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
