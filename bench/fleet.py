"""Runs a fleet of separate processes on loopback for demo and benchmarks.

Writes the settings of control processes, nodes and stand-ins into a folder,
starts the processes, applies release notes and stops all of the processes.

Example:
    async with Fleet(folder, [ServiceSpec('siop', 2)]) as fleet:
        await fleet.apply_note(note_text(1, workspaces, routes))
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import signal
import sys
import types
import typing

import httpx

from godwitstall import clock
from godwitstall import codec
from godwitstall.configuration import note as notes
from godwitstall import errors
from godwitstall.http import listener as http_listener
from godwitstall.http import messages as http_messages
from godwitstall import link as link_module
from godwitstall import messages
from loadtool import addresses

# Timeout for a fleet to become ready.
READY_TIMEOUT_S = 30.0

_POLL_INTERVAL_S = 0.05
_ANNOUNCE_INTERVAL_S = 1.0
_STOP_TIMEOUT_S = 20.0
_ZONES = ('sied-wau', 'sied-nyddu', 'swyddfa')


@dataclasses.dataclass
class ServiceSpec:
    """One service of a fleet."""

    # Name of the service.
    name: str
    # Number of upstreams; each has its own node.
    count: int = 1
    # Additional lines of the stand-in settings, for example 'slots = 8'.
    standin_lines: list[str] = dataclasses.field(default_factory=list)
    # Paths of the onward calls that each run makes.
    onward_paths: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Workspace:
    """A workspace with one key."""

    name: str
    rate: float
    burst: int

    @property
    def key(self) -> str:
        """Example key of the workspace, for benchmarks only."""
        return f'example-key-of-{self.name}'


@dataclasses.dataclass
class RouteSpec:
    """A route of a release note."""

    name: str
    service: str
    is_idempotent: bool = True
    priority: str = 'normal'
    attempts: int = 2
    dispatch_attempts: int = 1
    timeout_ms: int = 2000
    is_open: bool = False

    @property
    def path(self) -> str:
        """Path prefix of the route."""
        return f'/{self.name}'


@dataclasses.dataclass
class Node:
    """Addresses of one node and its stand-in."""

    node_id: str
    service: str
    caller_address: str
    admin_address: str
    link_address: str
    upstream_address: str
    standin_address: str


class Fleet:
    """All processes of one fleet."""

    def __init__(
        self,
        folder: pathlib.Path,
        services: list[ServiceSpec],
        control_count: int = 3,
        node_lines: list[str] | None = None,
        control_lines: list[str] | None = None,
        log_level: str = 'INFO',
        has_standins: bool = True,
    ) -> None:
        self.folder = folder
        # Without stand-ins, one task announces the upstreams of all nodes,
        # which halves the number of processes of a large fleet.
        self.has_standins = has_standins
        self.announcer: asyncio.Task[None] | None = None
        # Without stand-ins, this server answers the probes of all nodes.
        self.health_address = addresses.free_address()
        self.health_server = http_listener.Listener(
            {self.health_address: _answer_probe}
        )
        self.services = services
        self.node_lines = node_lines or []
        self.control_lines = control_lines or []
        self.log_level = log_level
        # Processes by name, for example 'control-1' or 'node-siop-1'.
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        # Command lines by process name, also used to restart a process.
        self.commands: dict[str, list[str]] = {}
        self.control_addresses = {
            f'control-{i + 1}': addresses.free_address()
            for i in range(control_count)
        }
        self.control_admin_addresses = {
            slot: addresses.free_address() for slot in self.control_addresses
        }
        self.nodes = [
            Node(
                f'{spec.name}-{i + 1}',
                spec.name,
                *(addresses.free_address() for _ in range(5)),
            )
            for spec in services
            for i in range(spec.count)
        ]
        self.secret = b'loopback-fleet-secret-of-a-measurement'

    async def __aenter__(self) -> 'Fleet':
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.stop()

    # Settings files.

    def _fleet_table(self) -> str:
        lines = [
            '[fleet]',
            "name = 'measurement'",
            f"secret_file = '{self.folder / 'secret'}'",
            '[fleet.control]',
        ]
        lines += [
            f"{slot} = '{address}'"
            for slot, address in self.control_addresses.items()
        ]
        lines += ['[logs]', f"level = '{self.log_level}'"]
        return '\n'.join(lines) + '\n'

    def _write_file(self, name: str, text: str) -> str:
        path = self.folder / f'{name}.toml'
        path.write_text(text)
        return str(path)

    def write_settings(self) -> None:
        """Write all settings files."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / 'secret').write_bytes(self.secret)
        for index, slot in enumerate(self.control_addresses):
            lines = [
                '[control]',
                f"slot = '{slot}'",
                f"zone = '{_ZONES[index % len(_ZONES)]}'",
                "region = 'teifi'",
                f"admin_address = '{self.control_admin_addresses[slot]}'",
                f"data_folder = '{self.folder / slot}'",
                *self.control_lines,
            ]
            path = self._write_file(
                slot, self._fleet_table() + '\n'.join(lines) + '\n'
            )
            self.commands[slot] = _program_command('control', path)
        specs = {spec.name: spec for spec in self.services}
        for index, node in enumerate(self.nodes):
            self._write_node(node, _ZONES[index % len(_ZONES)])
            self._write_standin(node, specs[node.service])

    def _write_node(self, node: Node, zone: str) -> None:
        lines = [
            '[node]',
            f"node_id = '{node.node_id}'",
            f"zone = '{zone}'",
            "region = 'teifi'",
            f"service = '{node.service}'",
            f"link_address = '{node.link_address}'",
            f"caller_address = '{node.caller_address}'",
            f"upstream_address = '{node.upstream_address}'",
            f"admin_address = '{node.admin_address}'",
            *self.node_lines,
        ]
        name = f'node-{node.node_id}'
        path = self._write_file(
            name, self._fleet_table() + '\n'.join(lines) + '\n'
        )
        self.commands[name] = _program_command('node', path)

    def _write_standin(self, node: Node, spec: ServiceSpec) -> None:
        lines = [
            '[standin]',
            f"service = '{node.service}'",
            f"address = '{node.standin_address}'",
            f"node_address = '{node.upstream_address}'",
            *spec.standin_lines,
        ]
        for path in spec.onward_paths:
            lines += ['[[standin.onward]]', f"path = '{path}'"]
        name = f'standin-{node.node_id}'
        path = self._write_file(name, '\n'.join(lines) + '\n')
        self.commands[name] = [
            sys.executable,
            '-m',
            'standin',
            '--settings',
            path,
        ]

    # Processes.

    async def start(self) -> None:
        """Format the disks, start all processes and wait for readiness."""
        self.write_settings()
        for slot in self.control_addresses:
            await self._format_disk(slot, is_initial=True)
            await self.spawn(slot)
        for node in self.nodes:
            await self.spawn(f'node-{node.node_id}')
            if self.has_standins:
                await self.spawn(f'standin-{node.node_id}')
        if not self.has_standins:
            await self.health_server.start()
            self.announcer = asyncio.create_task(self._announce_upstreams())
        await self.wait_for_members(len(self.nodes))

    async def _format_disk(self, slot: str, is_initial: bool) -> None:
        command = [*self.commands[slot], '--format']
        if is_initial:
            command.append('--initial')
        process = await asyncio.create_subprocess_exec(*command)
        try:
            if await process.wait():
                raise RuntimeError(f'Formatting {slot} failed.')
        finally:
            # A cancelled start must not leave this process running.
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def spawn(self, name: str) -> None:
        """Start one process, with its output appended to a log file."""
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *self.commands[name], stdout=log, stderr=log
            )

    async def _announce_upstreams(self) -> None:
        async with httpx.AsyncClient() as client:
            while True:
                await asyncio.gather(
                    *(self._announce(client, node) for node in self.nodes)
                )
                await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    async def _announce(self, client: httpx.AsyncClient, node: Node) -> None:
        _, port = link_module.split_address(self.health_address)
        body = {
            'service': node.service,
            'incarnation': 1,
            'port': port,
            'slots': 64,
            'connections': 500,
        }
        with contextlib.suppress(httpx.HTTPError):
            await client.post(
                f'http://{node.upstream_address}/announce', json=body
            )

    async def stop(self) -> None:
        """Kill all processes of this fleet and wait for their exit."""
        if self.announcer is not None:
            self.announcer.cancel()
        await self.health_server.close()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes.values():
            await process.wait()

    async def terminate(self, name: str) -> None:
        """Send SIGTERM to one process and wait for its exit."""
        process = self.processes[name]
        process.terminate()
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            await process.wait()

    async def kill(self, name: str) -> None:
        """Send SIGKILL to one process and wait for its exit."""
        process = self.processes[name]
        process.kill()
        await process.wait()

    def set_suspended(self, name: str, is_suspended: bool) -> None:
        """Suspend one process, or resume it."""
        signal_number = signal.SIGSTOP if is_suspended else signal.SIGCONT
        self.processes[name].send_signal(signal_number)

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a process in megabytes."""
        pid = self.processes[name].pid
        pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
        return int(pages) * os.sysconf('SC_PAGE_SIZE') / 1e6

    def cpu_s(self, name: str) -> float:
        """Return the CPU time that a process has used in seconds."""
        pid = self.processes[name].pid
        text = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = text.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    # Requests to control processes and nodes.

    async def request_control(self, request: typing.Any) -> messages.Message:
        """Send a request to the control processes until one replies."""
        identity = link_module.Identity(
            messages.Role.OPERATOR, 'measurement', self.secret
        )
        deadline = clock.now() + READY_TIMEOUT_S
        last_error = ''
        while clock.now() < deadline:
            for address in self.control_addresses.values():
                try:
                    link = await link_module.connect(address, identity, 0.5)
                except errors.GodwitstallError as e:
                    last_error = str(e)
                    continue
                reader = asyncio.create_task(link.run(_ignore_message))
                try:
                    return await link.request(request, 2.0)
                except errors.GodwitstallError as e:
                    last_error = str(e)
                finally:
                    link.close()
                    await reader
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise RuntimeError(f'No reply from control: {last_error}')

    async def propose(self, command: messages.Message) -> messages.Message:
        """Propose a command and return its result."""
        reply = await self.request_control(
            messages.Propose(command=codec.encode(command))
        )
        assert isinstance(reply, messages.ProposeReply)
        return codec.decode(reply.result)

    async def query(
        self, kind: messages.QueryKind, text: str = ''
    ) -> dict[str, typing.Any]:
        """Return the reply to an operator's query."""
        reply = await self.request_control(
            messages.Query(kind=kind, text=text)
        )
        assert isinstance(reply, messages.QueryReply)
        result: dict[str, typing.Any] = json.loads(reply.body)
        return result

    async def apply_note(self, text: str) -> messages.NoteResult:
        """Apply a release note."""
        number = notes.parse(text).number
        result = await self.propose(
            messages.ApplyNote(
                number,
                notes.digest_of(text),
                'measurement',
                text.encode(),
            )
        )
        assert isinstance(result, messages.NoteResult)
        return result

    async def fetch_state(self, admin_address: str) -> dict[str, typing.Any]:
        """Return the state dump of a process."""
        async with httpx.AsyncClient() as client:
            response = await client.get(f'http://{admin_address}/state')
            state: dict[str, typing.Any] = response.json()
            return state

    async def wait_for_members(self, count: int) -> None:
        """Wait until every node knows count ready members."""
        await self._wait_for_nodes(
            lambda state: (
                sum(m['state'] == 'ready' for m in state['members'].values())
                == count
            ),
            f'{count} ready members',
        )

    async def wait_for_note(self, number: int) -> None:
        """Wait until a release note is in force on every node."""
        await self._wait_for_nodes(
            lambda state: state['session']['number'] >= number,
            f'release note {number}',
        )

    async def _wait_for_nodes(
        self,
        is_met: typing.Callable[[dict[str, typing.Any]], bool],
        condition: str,
    ) -> None:
        deadline = clock.now() + READY_TIMEOUT_S + 0.2 * len(self.nodes)
        waiting = list(self.nodes)
        while waiting:
            if clock.now() > deadline:
                raise RuntimeError(
                    f'{waiting[0].node_id} timed out waiting for {condition}.'
                )
            with contextlib.suppress(httpx.HTTPError):
                if is_met(await self.fetch_state(waiting[0].admin_address)):
                    waiting.pop(0)
                    continue
            await asyncio.sleep(_POLL_INTERVAL_S)

    @property
    def caller_addresses(self) -> list[str]:
        """Addresses of the caller listeners of all nodes."""
        return [node.caller_address for node in self.nodes]


async def _answer_probe(
    request: http_messages.Request,
) -> http_messages.Response:
    del request
    return http_messages.Response(200)


async def _ignore_message(message: messages.Message) -> None:
    del message


def _program_command(program: str, settings_path: str) -> list[str]:
    return [
        sys.executable,
        '-m',
        f'godwitstall.{program}.program',
        '--settings',
        settings_path,
    ]


def note_text(
    number: int, workspaces: list[Workspace], routes: list[RouteSpec]
) -> str:
    """Return a release note that adds workspaces with keys, and routes."""
    lines = [f'number = {number}']
    for workspace in workspaces:
        digest = hashlib.sha256(workspace.key.encode()).hexdigest()
        lines += [
            '[[added.workspaces]]',
            f"name = '{workspace.name}'",
            f'rate = {workspace.rate}',
            f'burst = {workspace.burst}',
            '[[added.keys]]',
            f"id = 'key-{workspace.name}'",
            f"workspace = '{workspace.name}'",
            f"digest = '{digest}'",
        ]
    for route in routes:
        lines += [
            '[[added.routes]]',
            f"name = '{route.name}'",
            f"path_prefix = '{route.path}'",
            f"service = '{route.service}'",
            f"priority = '{route.priority}'",
            f'idempotent = {str(route.is_idempotent).lower()}',
            f'open = {str(route.is_open).lower()}',
            f'attempts = {route.attempts}',
            f'dispatch_attempts = {route.dispatch_attempts}',
            f'timeout_ms = {route.timeout_ms}',
        ]
    return '\n'.join(lines) + '\n'
