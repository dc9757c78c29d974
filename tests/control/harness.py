"""Real control processes and nodes in the process of a test.

Every connection to control goes through a wire of its own, one for each pair
of processes, so a test can cut any of them. A cut wire accepts connections
and passes no byte on, as a switch that drops packets does; what was held is
delivered when the cut ends.
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

# Short settings, with the order of the product's: append interval < leader
# lease < shortest election.
_CONTROL_OPTIONS: dict[str, typing.Any] = {
    'election_min_s': 0.3,
    'election_max_s': 0.6,
    'append_interval_ms': 30,
    'leader_lease_s': 0.2,
    'member_timeout_s': 1.0,
}

# Only the test decides what happens to the upstreams.
_NODE_OPTIONS: dict[str, typing.Any] = {
    'limit_policy': settings.LimitPolicy.FIXED,
    'probe_interval_s': 5.0,
    'announce_timeout_s': 5.0,
}


class Wire:
    """Relay of one client process to one control process."""

    def __init__(self, target: str) -> None:
        self.address = addresses.free_address()
        self.target = target
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
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
            await self._join(reader, writer)
        except asyncio.CancelledError:
            # asyncio.start_server() of Python 3.11 reports a cancelled
            # handler as an error.
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _join(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.is_open.wait()
        host, port = link_module.split_address(self.target)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            return
        self.writers.add(far_writer)
        copies = [
            asyncio.create_task(self._copy(reader, far_writer)),
            asyncio.create_task(self._copy(far_reader, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            self.writers.discard(far_writer)
            far_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
            await self.is_open.wait()

    async def stop(self) -> None:
        """End the wire with all of its connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Process:
    """One control process; it ends by kill() or stop()."""

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
        """Start as the program does."""
        await self.replica.start()
        await self.service.start(address)

    async def stop(self) -> None:
        """Planned stop."""
        await self.service.stop()

    async def kill(self) -> None:
        """End at once: nothing is handed over and nobody is told."""
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
        """Configuration in force here."""
        return self.machine.configuration.configuration


class Fleet:
    """Three control processes by slot, and nodes by id."""

    def __init__(self, root: pathlib.Path, **options: typing.Any) -> None:
        self.root = root
        self.options = _CONTROL_OPTIONS | options
        self.addresses = {slot: addresses.free_address() for slot in SLOTS}
        # Wires by client, a slot, node id or operator, and slot.
        self.wires: dict[tuple[str, str], Wire] = {}
        # Running control processes.
        self.control: dict[str, Process] = {}
        self.nodes: dict[str, fakes.NodeHarness] = {}
        self.operators: list[Operator] = []
        self.secret_file = root / 'secret'
        self.secret_file.write_bytes(fakes.SECRET)

    async def wires_of(self, client: str) -> dict[str, str]:
        """Return the addresses at which a client finds control."""
        for slot, address in self.addresses.items():
            if slot != client and (client, slot) not in self.wires:
                wire = self.wires[client, slot] = Wire(address)
                await wire.start()
        return {
            slot: self.wires[client, slot].address
            if slot != client
            else address
            for slot, address in self.addresses.items()
        }

    def folder(self, slot: str) -> pathlib.Path:
        """Return the data folder of a slot."""
        return self.root / slot

    def format(self, slot: str, is_initial: bool) -> None:
        """Replace the disk of a slot by an empty one."""
        shutil.rmtree(self.folder(slot), ignore_errors=True)
        replicas.format_disk(
            self.folder(slot), 'tests', messages.SlotId(slot), is_initial
        )

    async def start(self, *slots: str) -> None:
        """Start control processes on the disks that they have."""
        for slot in slots or SLOTS:
            options = settings.ControlOptions(
                slot=messages.SlotId(slot),
                zone='z1',
                region='r1',
                admin_address='127.0.0.1:1',
                data_folder=str(self.folder(slot)),
                **self.options,
            )
            process = Process(
                options,
                settings.FleetOptions(
                    'tests', str(self.secret_file), await self.wires_of(slot)
                ),
            )
            await process.start(self.addresses[slot])
            self.control[slot] = process

    async def kill(self, slot: str) -> None:
        """Kill a control process."""
        await self.control.pop(slot).kill()

    async def stop(self, slot: str) -> None:
        """Stop a control process as planned."""
        await self.control[slot].stop()
        del self.control[slot]

    def leader_slot(self) -> str:
        """Return the slot whose process leads and may grant, or ''."""
        for slot, process in self.control.items():
            duties = process.service.leadership
            if duties.is_started and process.replica.holds_lease():
                return slot
        return ''

    async def leader(self) -> str:
        """Wait until some process leads and return its slot."""
        await fakes.until(self.leader_slot, 'a leader')
        return self.leader_slot()

    async def follower(self) -> str:
        """Return the slot of some process that does not lead."""
        leader = await self.leader()
        return next(slot for slot in sorted(self.control) if slot != leader)

    async def elect_at_once(self) -> None:
        """Let the first replica of a new fleet stand without a wait."""
        found = [process.replica for process in self.control.values()]
        await fakes.until(
            lambda: all(
                peer.link is not None
                for replica in found
                for peer in replica.peers.values()
            ),
            'all replicas are linked',
        )
        for replica in found:
            replica.election.leader_contact_at = 0.0
        found[0].election.deadline = 0.0

    def forbid_elections(self) -> None:
        """Let no replica stand by itself from now on.

        Leadership moves only when a leader hands it over.
        """
        times = {'election_min_s': 100.0, 'election_max_s': 200.0}
        self.options |= times
        for process in self.control.values():
            for name, value in times.items():
                setattr(process.replica.options, name, value)
            process.replica.election.reset_deadline()

    def cut(self, *ends: str, others: collections.abc.Iterable[str]) -> None:
        """Cut the wires between ends and others, in both directions."""
        self._switch(ends, others, is_open=False)

    def join(self, *ends: str, others: collections.abc.Iterable[str]) -> None:
        """End such a cut; bytes held meanwhile are delivered."""
        self._switch(ends, others, is_open=True)

    def _switch(
        self,
        ends: collections.abc.Iterable[str],
        others: collections.abc.Iterable[str],
        is_open: bool,
    ) -> None:
        for one, two in itertools.product(ends, list(others)):
            for pair in ((one, two), (two, one)):
                wire = self.wires.get(pair)
                if wire is None:
                    continue
                if is_open:
                    wire.is_open.set()
                else:
                    wire.is_open.clear()

    def others(self, *slots: str) -> list[str]:
        """Return the other slots."""
        return [slot for slot in SLOTS if slot not in slots]

    async def add_node(
        self, node_id: str, service: str = 'siop', **options: typing.Any
    ) -> fakes.NodeHarness:
        """Start a node with its upstream; returns when it serves."""
        node = await self.make_node(node_id, service, **options)
        await node.start()
        return node

    async def make_node(
        self, node_id: str, service: str = 'siop', **options: typing.Any
    ) -> fakes.NodeHarness:
        """Return a node that is not started."""
        node = fakes.NodeHarness(
            self.root,
            await self.wires_of(node_id),
            node_id,
            service,
            **(_NODE_OPTIONS | options),
        )
        self.nodes[node_id] = node
        return node

    async def remove_node(self, node_id: str) -> None:
        """Kill a node and its upstream."""
        await self.nodes.pop(node_id).stop()

    async def all_know(self, *node_ids: str) -> None:
        """Wait until just these nodes are ready members at all of them."""

        def is_known() -> bool:
            return all(
                {
                    member.node_id
                    for member in self.nodes[name].node.view.members.values()
                    if member.state is messages.UpstreamState.READY
                }
                == set(node_ids)
                for name in node_ids
            )

        await fakes.until(is_known, f'all know {node_ids}')

    async def operator(self, slot: str, name: str = 'ann') -> 'Operator':
        """Return an operator who uses one control process."""
        found = await self.wires_of(name)
        operator = Operator(found[slot], name)
        self.operators.append(operator)
        return operator

    async def apply_note(self, text: str) -> messages.NoteResult:
        """Have a release note accepted, through whichever process."""
        operator = await self.operator(await self.leader())
        result = await operator.apply_note(text)
        assert result.verdict in (
            messages.NoteVerdict.ACCEPTED,
            messages.NoteVerdict.ALREADY_IN_FORCE,
        ), result.detail
        return result

    async def in_force(self, number: int, *node_ids: str) -> None:
        """Wait until nodes decide by a release note."""
        names = node_ids or tuple(self.nodes)
        await fakes.until(
            lambda: all(
                self.nodes[name].node.view.number == number for name in names
            ),
            f'note {number} is in force on {names}',
        )

    async def close(self) -> None:
        """End everything."""
        for operator in self.operators:
            operator.close()
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))
        for slot in list(self.control):
            await self.kill(slot)
        for wire in self.wires.values():
            await wire.stop()


class Operator:
    """A client of one control process."""

    def __init__(self, address: str, name: str) -> None:
        self.address = address
        self.name = name
        self.link: link_module.Link | None = None
        self.reader: asyncio.Task[None] | None = None

    async def connected(self) -> link_module.Link:
        """Return the open link, made at the first use."""
        if self.link is None or self.link.is_closed:
            self.link = await link_module.connect(
                self.address,
                link_module.Identity(
                    messages.Role.OPERATOR, self.name, fakes.SECRET
                ),
            )
            self.reader = asyncio.create_task(self.link.run(_ignore))
        return self.link

    async def propose(self, command: messages.Message) -> messages.Message:
        """Have a command applied; sends it again while there is no reply."""
        data = codec.encode(command)
        async with asyncio.timeout(fakes.WAIT_S):
            while True:
                with contextlib.suppress(errors.GodwitstallError):
                    link = await self.connected()
                    reply = await link.request(
                        messages.Propose(command=data), 2.0
                    )
                    assert isinstance(reply, messages.ProposeReply)
                    return codec.decode(reply.result)
                await asyncio.sleep(0.02)

    async def apply_note(self, text: str) -> messages.NoteResult:
        """Send a release note."""
        result = await self.propose(apply_note(text, self.name))
        assert isinstance(result, messages.NoteResult)
        return result

    def close(self) -> None:
        """Close the link."""
        if self.link is not None:
            self.link.close()


async def _ignore(message: messages.Message) -> None:
    """Drop what control sends on its own."""


def apply_note(text: str, operator: str = 'ann') -> messages.ApplyNote:
    """Return the command for a release note."""
    return messages.ApplyNote(
        notes.parse(text).number,
        notes.digest_of(text),
        operator,
        text.encode(),
    )


def rate_note(number: int, rate: float, burst: int) -> str:
    """Return a note that changes rate and burst of workspace 'w'."""
    return (
        f'number = {number}\n[[changed.workspaces]]\nname = "w"\n'
        f'rate = {rate}\nburst = {burst}\n'
    )


def withdrawal(number: int, key_id: str = 'w-1') -> str:
    """Return a note that withdraws a key."""
    return f'number = {number}\n[withdrawn]\nkeys = ["{key_id}"]\n'


# Workspace 'w' has more tokens than any test needs, so that no call is
# refused for the slow start of a new ledger.
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
    """Run a new fleet with a release note and nodes that know each other."""
    fleet = Fleet(root, **options)
    try:
        for slot in SLOTS:
            fleet.format(slot, True)
        await fleet.start()
        await fleet.elect_at_once()
        await fleet.apply_note(text)
        await asyncio.gather(
            *(
                fleet.add_node(node_id, **(node_options or {}))
                for node_id in node_ids
            )
        )
        if node_ids:
            await fleet.all_know(*node_ids)
            await fleet.in_force(1)
        yield fleet
    finally:
        await fleet.close()
