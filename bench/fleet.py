"""A small fleet of separate processes on loopback, for demo and measurement.

Writes the settings of control processes, nodes and stand-ins into a folder,
starts them, applies release notes, and stops every process that it started.

Example:
    async with Fleet(folder, [ServiceSpec('siop', 2)]) as fleet:
        await fleet.apply_note(fleet.note(1, workspaces, routes))
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
from godwitstall import http_server
from godwitstall import link as link_module
from godwitstall import messages
from loadtool import addresses

# Longest time for a fleet to get ready, seconds.
READY_TIMEOUT_S = 30.0

_POLL_S = 0.05
_ANNOUNCE_S = 1.0
_STOP_TIMEOUT_S = 20.0
_ZONES = ('sied-wau', 'sied-nyddu', 'swyddfa')


@dataclasses.dataclass
class ServiceSpec:
    """One service of a fleet."""

    # Name of the service.
    name: str
    # Upstreams, each with its node.
    count: int = 1
    # Further lines of the stand-in's settings, for example 'slots = 8'.
    standin: list[str] = dataclasses.field(default_factory=list)
    # Paths that each run calls onward.
    onward: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Workspace:
    """A workspace with one key."""

    name: str
    rate: float
    burst: int

    @property
    def key(self) -> str:
        """Key of the workspace, for measurement only."""
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
    caller: str
    admin: str
    link: str
    upstream: str
    standin: str


class Fleet:
    """All processes of one small fleet."""

    def __init__(
        self,
        folder: pathlib.Path,
        services: list[ServiceSpec],
        controls: int = 3,
        node_lines: list[str] | None = None,
        control_lines: list[str] | None = None,
        log_level: str = 'INFO',
        has_standins: bool = True,
    ) -> None:
        self.folder = folder
        # Without stand-ins, one task announces an upstream for every node,
        # so that a large fleet takes half the processes.
        self.has_standins = has_standins
        self.announcer: asyncio.Task[None] | None = None
        # Answers the probes of all nodes then.
        self.health_address = addresses.free_address()
        self.health = http_server.HttpServer(
            {self.health_address: _answer_probe}
        )
        self.services = services
        self.node_lines = node_lines or []
        self.control_lines = control_lines or []
        self.log_level = log_level
        # Processes by name, for example 'control-1' or 'node-siop-1'.
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        # Command lines by name, to start a process again.
        self.commands: dict[str, list[str]] = {}
        self.control = {
            f'control-{i + 1}': addresses.free_address()
            for i in range(controls)
        }
        self.control_admin = {
            slot: addresses.free_address() for slot in self.control
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
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
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
        lines += [f"{slot} = '{at}'" for slot, at in self.control.items()]
        lines += ['[logs]', f"level = '{self.log_level}'"]
        return '\n'.join(lines) + '\n'

    def _write(self, name: str, text: str) -> str:
        path = self.folder / f'{name}.toml'
        path.write_text(text)
        return str(path)

    def write_settings(self) -> None:
        """Write all settings files."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / 'secret').write_bytes(self.secret)
        for number, slot in enumerate(self.control):
            lines = [
                '[control]',
                f"slot = '{slot}'",
                f"zone = '{_ZONES[number % len(_ZONES)]}'",
                "region = 'teifi'",
                f"admin_address = '{self.control_admin[slot]}'",
                f"data_folder = '{self.folder / slot}'",
                *self.control_lines,
            ]
            path = self._write(
                slot, self._fleet_table() + '\n'.join(lines) + '\n'
            )
            self.commands[slot] = _program('control', path)
        specs = {spec.name: spec for spec in self.services}
        for number, node in enumerate(self.nodes):
            self._write_node(node, _ZONES[number % len(_ZONES)])
            self._write_standin(node, specs[node.service])

    def _write_node(self, node: Node, zone: str) -> None:
        lines = [
            '[node]',
            f"node_id = '{node.node_id}'",
            f"zone = '{zone}'",
            "region = 'teifi'",
            f"service = '{node.service}'",
            f"link_address = '{node.link}'",
            f"caller_address = '{node.caller}'",
            f"upstream_address = '{node.upstream}'",
            f"admin_address = '{node.admin}'",
            *self.node_lines,
        ]
        name = f'node-{node.node_id}'
        path = self._write(name, self._fleet_table() + '\n'.join(lines) + '\n')
        self.commands[name] = _program('node', path)

    def _write_standin(self, node: Node, spec: ServiceSpec) -> None:
        lines = [
            '[standin]',
            f"service = '{node.service}'",
            f"address = '{node.standin}'",
            f"node_address = '{node.upstream}'",
            *spec.standin,
        ]
        for path in spec.onward:
            lines += ['[[standin.onward]]', f"path = '{path}'"]
        name = f'standin-{node.node_id}'
        path = self._write(name, '\n'.join(lines) + '\n')
        self.commands[name] = [
            sys.executable,
            '-m',
            'standin',
            '--settings',
            path,
        ]

    # Processes.

    async def start(self) -> None:
        """Format the disks, start everything, wait until it is ready."""
        self.write_settings()
        for slot in self.control:
            await self._format(slot, is_initial=True)
            await self.spawn(slot)
        for node in self.nodes:
            await self.spawn(f'node-{node.node_id}')
            if self.has_standins:
                await self.spawn(f'standin-{node.node_id}')
        if not self.has_standins:
            await self.health.start()
            self.announcer = asyncio.create_task(self._announce_all())
        await self.wait_members(len(self.nodes))

    async def _format(self, slot: str, is_initial: bool) -> None:
        command = [*self.commands[slot], '--format']
        if is_initial:
            command.append('--initial')
        process = await asyncio.create_subprocess_exec(*command)
        try:
            if await process.wait():
                raise RuntimeError(f'Formatting {slot} failed.')
        finally:
            # A cancelled start leaves no process behind.
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def spawn(self, name: str) -> None:
        """Start one process; its output goes to a file in the folder."""
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *self.commands[name], stdout=log, stderr=log
            )

    async def _announce_all(self) -> None:
        async with httpx.AsyncClient() as client:
            while True:
                await asyncio.gather(
                    *(self._announce(client, node) for node in self.nodes)
                )
                await asyncio.sleep(_ANNOUNCE_S)

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
            await client.post(f'http://{node.upstream}/announce', json=body)

    async def stop(self) -> None:
        """Stop every process that this fleet started."""
        if self.announcer is not None:
            self.announcer.cancel()
        await self.health.stop(0.0)
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes.values():
            await process.wait()

    async def terminate(self, name: str) -> None:
        """Planned stop of one process; waits for its end."""
        process = self.processes[name]
        process.terminate()
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            await process.wait()

    async def kill(self, name: str) -> None:
        """Kill one process at once."""
        process = self.processes[name]
        process.kill()
        await process.wait()

    def freeze(self, name: str, is_frozen: bool) -> None:
        """Stop one process from running, or let it go on."""
        number = signal.SIGSTOP if is_frozen else signal.SIGCONT
        self.processes[name].send_signal(number)

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a process."""
        pid = self.processes[name].pid
        pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
        return int(pages) * os.sysconf('SC_PAGE_SIZE') / 1e6

    def cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used."""
        pid = self.processes[name].pid
        text = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = text.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    # Control.

    async def ask_control(self, request: typing.Any) -> messages.Message:
        """Send one request to any replica that answers it."""
        identity = link_module.Identity(
            messages.Role.OPERATOR, 'measurement', self.secret
        )
        end = clock.now() + READY_TIMEOUT_S
        problem = ''
        while clock.now() < end:
            for address in self.control.values():
                try:
                    link = await link_module.connect(address, identity, 0.5)
                except errors.GodwitstallError as e:
                    problem = str(e)
                    continue
                reader = asyncio.create_task(link.run(_ignore))
                try:
                    return await link.request(request, 2.0)
                except errors.GodwitstallError as e:
                    problem = str(e)
                finally:
                    link.close()
                    await reader
            await asyncio.sleep(_POLL_S)
        raise RuntimeError(f'No answer from control: {problem}')

    async def propose(self, command: messages.Message) -> messages.Message:
        """Have a command applied and return its result."""
        reply = await self.ask_control(
            messages.Propose(command=codec.encode(command))
        )
        assert isinstance(reply, messages.ProposeReply)
        return codec.decode(reply.result)

    async def query(
        self, kind: messages.QueryKind, text: str = ''
    ) -> dict[str, typing.Any]:
        """Return the answer to an operator's query."""
        reply = await self.ask_control(messages.Query(kind=kind, text=text))
        assert isinstance(reply, messages.QueryReply)
        found: dict[str, typing.Any] = json.loads(reply.body)
        return found

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

    async def state(self, admin_address: str) -> dict[str, typing.Any]:
        """Return the state dump of a process."""
        async with httpx.AsyncClient() as client:
            answer = await client.get(f'http://{admin_address}/state')
            found: dict[str, typing.Any] = answer.json()
            return found

    async def wait_members(self, count: int) -> None:
        """Wait until every node sees count ready members."""
        await self._wait_nodes(
            lambda state: (
                sum(m['state'] == 'ready' for m in state['members'].values())
                == count
            ),
            f'{count} ready members',
        )

    async def wait_number(self, number: int) -> None:
        """Wait until a release note is in force on every node."""
        await self._wait_nodes(
            lambda state: state['session']['number'] >= number,
            f'release note {number}',
        )

    async def _wait_nodes(
        self,
        is_met: typing.Callable[[dict[str, typing.Any]], bool],
        what: str,
    ) -> None:
        end = clock.now() + READY_TIMEOUT_S + 0.2 * len(self.nodes)
        waiting = list(self.nodes)
        while waiting:
            if clock.now() > end:
                raise RuntimeError(f'{waiting[0].node_id} misses {what}.')
            with contextlib.suppress(httpx.HTTPError):
                if is_met(await self.state(waiting[0].admin)):
                    waiting.pop(0)
                    continue
            await asyncio.sleep(_POLL_S)

    @property
    def callers(self) -> list[str]:
        """Caller listeners of all nodes."""
        return [node.caller for node in self.nodes]


async def _answer_probe(
    scope: typing.Any, receive: typing.Any, send: typing.Any
) -> None:
    del scope, receive
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b''})


async def _ignore(message: messages.Message) -> None:
    del message


def _program(part: str, settings_path: str) -> list[str]:
    return [
        sys.executable,
        '-m',
        f'godwitstall.{part}.program',
        '--settings',
        settings_path,
    ]


def note(
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
