"""Real control processes and nodes that run in the process of a test.

Connections to control go through proxies, one for each pair of processes, so
that a test can partition the network. A blocked proxy accepts connections
but forwards no bytes, like a switch that drops packets. Buffered bytes are
delivered when it is unblocked.
"""

import asyncio
import collections.abc
import contextlib
import itertools
import pathlib
import shutil
import typing

from godwitstall import codec
from godwitstall.configuration import note as notes
from godwitstall.consensus import replica as replicas
from godwitstall.control import machine as machine_module
from godwitstall.control import service as service_module
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import messages
from godwitstall import settings
from loadtool import addresses
from tests import fakes

SLOTS = ('c1', 'c2', 'c3')

_READ_BYTES = 64 * 1024

# Shorter times than the defaults, but in the same order: append interval <
# leader lease < minimum election timeout.
_CONTROL_OPTIONS: dict[str, typing.Any] = {
    'election_min_s': 0.3,
    'election_max_s': 0.6,
    'append_interval_ms': 30,
    'leader_lease_s': 0.2,
    'member_timeout_s': 1.0,
}

# A fixed limit, rare probes and a long announce timeout, so that only the test
# changes the state of upstreams.
_NODE_OPTIONS: dict[str, typing.Any] = {
    'limit_policy': settings.LimitPolicy.FIXED,
    'probe_interval_s': 5.0,
    'announce_timeout_s': 5.0,
}


class Proxy:
    """TCP proxy from one client process to one control process."""

    def __init__(self, target: str) -> None:
        self.address = addresses.free_address()
        self.target = target
        self.unblocked = asyncio.Event()
        self.unblocked.set()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        host, port = link_module.split_address(self.address)
        self.server = await asyncio.start_server(self._accept, host, port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            await self._forward(reader, writer)
        except asyncio.CancelledError:
            # asyncio.start_server() of Python 3.11 logs a cancelled handler
            # as an error.
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.unblocked.wait()
        host, port = link_module.split_address(self.target)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            return
        self.writers.add(target_writer)
        copies = [
            asyncio.create_task(self._copy(reader, target_writer)),
            asyncio.create_task(self._copy(target_reader, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            self.writers.discard(target_writer)
            target_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await self.unblocked.wait()
                writer.write(data)
                await writer.drain()
            await self.unblocked.wait()

    async def stop(self) -> None:
        """Close the proxy and all of its connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Process:
    """One control process, which ends with kill() or stop()."""

    def __init__(
        self, options: settings.ControlOptions, fleet: settings.FleetOptions
    ) -> None:
        self.slot = options.slot
        self.fleet = fleet
        identity = link_module.Identity(
            messages.Role.CONTROL, options.slot, fakes.SECRET
        )
        self.machine = machine_module.Machine.from_config(options)
        self.replica = replicas.Replica.from_config(
            options, fleet, identity, self.machine
        )
        self.service = service_module.Service(
            options, identity, self.machine, self.replica
        )

    async def start(self, address: str) -> None:
        """Start in the same way as the program."""
        await self.replica.start()
        await self.service.start(address)

    async def stop(self) -> None:
        """Perform a planned stop."""
        await self.service.stop()

    async def kill(self) -> None:
        """Stop at once, without a leadership transfer or notification."""
        service = self.service
        if service.server is not None:
            service.server.close()
        for link in list(service.links):
            link.writer.transport.abort()
            link.close()
        await self.replica.close()
        for task in list(service.tasks):
            task.cancel()
        await asyncio.gather(*service.tasks, return_exceptions=True)

    @property
    def configuration(self) -> messages.Configuration:
        """Configuration in force at this replica."""
        return self.machine.configuration.configuration


class Fleet:
    """Fleet of three control processes and any number of nodes."""

    def __init__(self, root: pathlib.Path, **options: typing.Any) -> None:
        self.root = root
        self.options = _CONTROL_OPTIONS | options
        self.addresses = {slot: addresses.free_address() for slot in SLOTS}
        # Proxies by client and slot. A client is a slot, a node id or the
        # name of an operator.
        self.proxies: dict[tuple[str, str], Proxy] = {}
        # Running control processes by slot.
        self.control: dict[str, Process] = {}
        # Running nodes by node id.
        self.nodes: dict[str, fakes.NodeHarness] = {}
        self.operators: list[Operator] = []
        self.secret_file = root / 'secret'
        self.secret_file.write_bytes(fakes.SECRET)

    async def addresses_for(self, client: str) -> dict[str, str]:
        """Return the control addresses for a client, by slot."""
        for slot, address in self.addresses.items():
            if slot != client and (client, slot) not in self.proxies:
                proxy = self.proxies[client, slot] = Proxy(address)
                await proxy.start()
        return {
            slot: self.proxies[client, slot].address
            if slot != client
            else address
            for slot, address in self.addresses.items()
        }

    def data_folder(self, slot: str) -> pathlib.Path:
        """Return the data folder of a slot."""
        return self.root / slot

    def format(self, slot: str, is_initial: bool) -> None:
        """Replace the disk of a slot by an empty formatted one."""
        shutil.rmtree(self.data_folder(slot), ignore_errors=True)
        replicas.format_disk(
            self.data_folder(slot), 'tests', messages.SlotId(slot), is_initial
        )

    async def start(self, *slots: str) -> None:
        """Start control processes, by default all, on their disks."""
        for slot in slots or SLOTS:
            options = settings.ControlOptions(
                slot=messages.SlotId(slot),
                zone='z1',
                region='r1',
                admin_address='127.0.0.1:1',
                data_folder=str(self.data_folder(slot)),
                **self.options,
            )
            process = Process(
                options,
                settings.FleetOptions(
                    'tests',
                    str(self.secret_file),
                    await self.addresses_for(slot),
                ),
            )
            await process.start(self.addresses[slot])
            self.control[slot] = process

    async def kill(self, slot: str) -> None:
        """Kill a control process."""
        await self.control.pop(slot).kill()

    async def stop(self, slot: str) -> None:
        """Perform a planned stop of a control process."""
        await self.control[slot].stop()
        del self.control[slot]

    def leader_slot(self) -> str:
        """Return the slot of the leader that can grant tokens, or ''."""
        for slot, process in self.control.items():
            leadership = process.service.leadership
            if leadership.is_started and process.replica.holds_lease():
                return slot
        return ''

    async def leader(self) -> str:
        """Wait for a leader and return its slot."""
        await fakes.until(self.leader_slot, 'a leader')
        return self.leader_slot()

    async def follower(self) -> str:
        """Wait for a leader and return the slot of a follower."""
        leader = await self.leader()
        return next(slot for slot in sorted(self.control) if slot != leader)

    async def elect_immediately(self) -> None:
        """Elect the first replica of a new fleet without a timeout."""
        fleet_replicas = [process.replica for process in self.control.values()]
        await fakes.until(
            lambda: all(
                peer.link is not None
                for replica in fleet_replicas
                for peer in replica.state.peers.values()
            ),
            'all replicas are linked',
        )
        for replica in fleet_replicas:
            replica.election.leader_contact_at = 0.0
        fleet_replicas[0].election.deadline = 0.0

    def disable_elections(self) -> None:
        """Disable election timeouts.

        Leadership then changes only when a leader transfers it.
        """
        times = {'election_min_s': 100.0, 'election_max_s': 200.0}
        self.options |= times
        for process in self.control.values():
            for name, value in times.items():
                setattr(process.replica.state.options, name, value)
            process.replica.election.reset_deadline()

    def partition(
        self, *group: str, others: collections.abc.Iterable[str]
    ) -> None:
        """Block connections between group and others, in both directions."""
        self._set_unblocked(group, others, is_unblocked=False)

    def heal(self, *group: str, others: collections.abc.Iterable[str]) -> None:
        """Undo a partition, and deliver the bytes buffered since."""
        self._set_unblocked(group, others, is_unblocked=True)

    def _set_unblocked(
        self,
        group: collections.abc.Iterable[str],
        others: collections.abc.Iterable[str],
        is_unblocked: bool,
    ) -> None:
        for first, second in itertools.product(group, list(others)):
            for pair in ((first, second), (second, first)):
                proxy = self.proxies.get(pair)
                if proxy is None:
                    continue
                if is_unblocked:
                    proxy.unblocked.set()
                else:
                    proxy.unblocked.clear()

    def other_slots(self, *slots: str) -> list[str]:
        """Return the other slots."""
        return [slot for slot in SLOTS if slot not in slots]

    async def add_node(
        self, node_id: str, service: str = 'siop', **options: typing.Any
    ) -> fakes.NodeHarness:
        """Start a node with its upstream, and wait until it serves."""
        node = await self.create_node(node_id, service, **options)
        await node.start()
        return node

    async def create_node(
        self, node_id: str, service: str = 'siop', **options: typing.Any
    ) -> fakes.NodeHarness:
        """Return a node without starting it."""
        node = fakes.NodeHarness(
            self.root,
            await self.addresses_for(node_id),
            node_id,
            service,
            **(_NODE_OPTIONS | options),
        )
        self.nodes[node_id] = node
        return node

    async def remove_node(self, node_id: str) -> None:
        """Kill a node and its upstream."""
        await self.nodes.pop(node_id).stop()

    async def wait_all_ready(self, *node_ids: str) -> None:
        """Wait until each of these nodes sees exactly them as ready."""

        def are_ready() -> bool:
            return all(
                {
                    member.node_id
                    for member in self.nodes[name].node.view.members.values()
                    if member.state is messages.UpstreamState.READY
                }
                == set(node_ids)
                for name in node_ids
            )

        await fakes.until(are_ready, f'all nodes see as ready only {node_ids}')

    async def operator(self, slot: str, name: str = 'ann') -> 'Operator':
        """Return an operator that connects to one control process."""
        control_addresses = await self.addresses_for(name)
        operator = Operator(control_addresses[slot], name)
        self.operators.append(operator)
        return operator

    async def apply_note(self, text: str) -> messages.NoteResult:
        """Apply a release note at the leader and check that it succeeds."""
        operator = await self.operator(await self.leader())
        result = await operator.apply_note(text)
        assert result.verdict in (
            messages.NoteVerdict.ACCEPTED,
            messages.NoteVerdict.ALREADY_IN_FORCE,
        ), result.detail
        return result

    async def wait_in_force(self, number: int, *node_ids: str) -> None:
        """Wait until a release note is in force on nodes, by default all."""
        names = node_ids or tuple(self.nodes)
        await fakes.until(
            lambda: all(
                self.nodes[name].node.view.number == number for name in names
            ),
            f'note {number} is in force on {names}',
        )

    async def close(self) -> None:
        """Stop all nodes, control processes and proxies."""
        for operator in self.operators:
            operator.close()
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))
        for slot in list(self.control):
            await self.kill(slot)
        for proxy in self.proxies.values():
            await proxy.stop()


class Operator:
    """Operator client of one control process."""

    def __init__(self, address: str, name: str) -> None:
        self.address = address
        self.name = name
        self.link: link_module.Link | None = None
        self.reader: asyncio.Task[None] | None = None

    async def connect(self) -> link_module.Link:
        """Return the open link, and connect first if there is none."""
        if self.link is None or self.link.is_closed:
            self.link = await link_module.connect(
                self.address,
                link_module.Identity(
                    messages.Role.OPERATOR, self.name, fakes.SECRET
                ),
            )
            self.reader = asyncio.create_task(self.link.run(_ignore_message))
        return self.link

    async def propose(self, command: messages.Message) -> messages.Message:
        """Apply a command, and resend it until there is a reply."""
        data = codec.encode(command)
        async with asyncio.timeout(fakes.WAIT_S):
            while True:
                with contextlib.suppress(errors.GodwitstallError):
                    link = await self.connect()
                    reply = await link.request(
                        messages.Propose(command=data), 2.0
                    )
                    assert isinstance(reply, messages.ProposeReply)
                    return codec.decode(reply.result)
                await asyncio.sleep(0.02)

    async def apply_note(self, text: str) -> messages.NoteResult:
        """Apply a release note and return the verdict."""
        result = await self.propose(apply_note(text, self.name))
        assert isinstance(result, messages.NoteResult)
        return result

    def close(self) -> None:
        """Close the link."""
        if self.link is not None:
            self.link.close()


async def _ignore_message(message: messages.Message) -> None:
    """Discard unsolicited messages from control."""


def apply_note(text: str, operator: str = 'ann') -> messages.ApplyNote:
    """Return the command that applies a release note."""
    return messages.ApplyNote(
        notes.parse(text).number,
        notes.digest_of(text),
        operator,
        text.encode(),
    )


def rate_note(number: int, rate: float, burst: int) -> str:
    """Return a note that changes the rate and burst of workspace 'w'."""
    return (
        f'number = {number}\n[[changed.workspaces]]\nname = "w"\n'
        f'rate = {rate}\nburst = {burst}\n'
    )


def withdrawal_note(number: int, key_id: str = 'w-1') -> str:
    """Return a note that withdraws a key."""
    return f'number = {number}\n[withdrawn]\nkeys = ["{key_id}"]\n'


# Workspace 'w' has more tokens than any test needs, so that no call is
# rejected while a new ledger refills.
FIRST_NOTE = fakes.note(
    1,
    {'w': (20_000.0, 40_000)},
    [
        {
            'name': 'siop',
            'path_prefix': '/siop',
            'methods': ['GET'],
            'service': 'siop',
            'idempotent': True,
            'attempts': 3,
        },
        {
            'name': 'once',
            'path_prefix': '/once',
            'methods': ['GET'],
            'service': 'siop',
            'attempts': 1,
        },
        {
            'name': 'open',
            'path_prefix': '/open',
            'methods': ['GET'],
            'service': 'siop',
            'idempotent': True,
            'open': True,
            'attempts': 3,
        },
    ],
)


@contextlib.asynccontextmanager
async def running(
    root: pathlib.Path,
    *node_ids: str,
    text: str = FIRST_NOTE,
    node_options: dict[str, typing.Any] | None = None,
    **options: typing.Any,
) -> collections.abc.AsyncGenerator[Fleet, None]:
    """Run a new fleet with a release note in force and ready nodes."""
    fleet = Fleet(root, **options)
    try:
        for slot in SLOTS:
            fleet.format(slot, True)
        await fleet.start()
        await fleet.elect_immediately()
        await fleet.apply_note(text)
        await asyncio.gather(
            *(
                fleet.add_node(node_id, **(node_options or {}))
                for node_id in node_ids
            )
        )
        if node_ids:
            await fleet.wait_all_ready(*node_ids)
            await fleet.wait_in_force(1)
        yield fleet
    finally:
        await fleet.close()
