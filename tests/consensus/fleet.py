"""A fleet of replicas in one process, which tests can partition."""

import asyncio
import collections.abc
import contextlib
import pathlib
import shutil
import socket
import typing

from godwitstall.consensus import replica as replicas
from godwitstall import errors
from godwitstall import link
from godwitstall import messages
from godwitstall import settings

_SECRET = b'0123456789abcdef'
TIMEOUT_S = 30.0


class Machine:
    """State machine that records the applied commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, time_ms: int, command: bytes) -> bytes:
        self.commands.append(command)
        return b'did ' + command

    def freeze(self) -> collections.abc.Generator[bytes, None, None]:
        commands = list(self.commands)
        return (
            (b'\n' if position else b'') + command
            for position, command in enumerate(commands)
        )

    def load(
        self, index: int, data: bytes | memoryview
    ) -> collections.abc.Generator[None, None, None]:
        yield
        text = bytes(data)
        self.commands = text.split(b'\n') if text else []


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(('127.0.0.1', 0))
        return [f'127.0.0.1:{sock.getsockname()[1]}' for sock in sockets]


class Member:
    """One replica with its listener, as in the control service."""

    def __init__(self, fleet: 'Fleet', slot: messages.SlotId) -> None:
        self.fleet = fleet
        self.slot = slot
        self.machine = Machine()
        self.roles: list[bool] = []
        self.links: set[link.Link] = set()
        self.server: asyncio.Server | None = None
        self.identity = link.Identity(messages.Role.CONTROL, slot, _SECRET)
        self.replica = replicas.Replica.from_config(
            settings.ControlOptions(
                slot=slot,
                zone='z',
                region='r',
                admin_address='127.0.0.1:1',
                data_folder=str(fleet.folder(slot)),
                **fleet.options,
            ),
            fleet.settings,
            self.identity,
            self.machine,
        )
        self.replica.on_role_change = self.roles.append

    async def start(self) -> None:
        await self.replica.start()
        host, port = link.split_address(self.fleet.settings.control[self.slot])
        self.server = await asyncio.start_server(self.serve, host, port)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(errors.LinkError):
            accepted = await link.accept(reader, writer, self.identity)
            self.links.add(accepted)

            async def handle(message: messages.Message) -> None:
                pair = frozenset((accepted.peer_id, self.slot))
                if (
                    pair not in self.fleet.blocked_pairs
                    and accepted not in self.fleet.silent_links
                ):
                    await self.replica.handle(message, accepted)

            await accepted.run(handle)

    async def stop(self, is_planned: bool) -> None:
        if is_planned:
            await self.replica.stop()
        else:
            await self.replica.close()
        if self.server is not None:
            self.server.close()
        for accepted in self.links:
            accepted.close()


class Fleet:
    """Replicas by slot; members holds the running replicas."""

    def __init__(
        self, root: pathlib.Path, size: int, **options: typing.Any
    ) -> None:
        self.root = root
        self.options = {
            'election_min_s': 0.15,
            'election_max_s': 0.3,
            'append_interval_ms': 20,
            'leader_lease_s': 0.1,
        } | options
        self.slots = [messages.SlotId(f'c{i + 1}') for i in range(size)]
        addresses = free_addresses(size)
        self.settings = settings.FleetOptions(
            'test', '', dict(zip(self.slots, addresses, strict=True))
        )
        # Pairs of slots between which messages are dropped.
        self.blocked_pairs: set[frozenset[str]] = set()
        # Links whose messages are dropped, while they stay open.
        self.silent_links: set[link.Link] = set()
        self.members: dict[messages.SlotId, Member] = {}
        for slot in self.slots:
            self.format(slot, True)

    def folder(self, slot: messages.SlotId) -> pathlib.Path:
        return self.root / slot

    def format(self, slot: messages.SlotId, is_initial: bool) -> None:
        """Replace the disk of a slot with an empty disk."""
        shutil.rmtree(self.folder(slot), ignore_errors=True)
        replicas.format_disk(self.folder(slot), 'test', slot, is_initial)

    async def start(self, *slots: messages.SlotId) -> None:
        for slot in slots or self.slots:
            self.members[slot] = Member(self, slot)
            await self.members[slot].start()

    async def stop(
        self, slot: messages.SlotId, is_planned: bool = False
    ) -> None:
        await self.members.pop(slot).stop(is_planned)

    async def close(self) -> None:
        for slot in list(self.members):
            await self.stop(slot)

    def isolate(self, slot: messages.SlotId) -> None:
        """Drop all messages between this replica and the others."""
        self.blocked_pairs |= {
            frozenset((slot, s)) for s in self.slots if s != slot
        }

    def silence_open_links(self) -> None:
        """Drop all messages on the links that are open now."""
        for member in self.members.values():
            self.silent_links |= member.links

    def others(self, *slots: messages.SlotId) -> list[messages.SlotId]:
        return [slot for slot in self.slots if slot not in slots]

    async def leader(self, *among: messages.SlotId) -> Member:
        """Wait until one of these replicas leads and has all earlier state."""

        def find() -> Member | None:
            for slot, member in self.members.items():
                if among and slot not in among:
                    continue
                if member.roles[-1:] == [True]:
                    return member
            return None

        await wait_until(lambda: find() is not None)
        found = find()
        assert found is not None
        return found

    async def propose(
        self, *commands: bytes, among: tuple[messages.SlotId, ...] = ()
    ) -> None:
        """Propose each command to the leader until it is applied."""
        for command in commands:
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    leader = await self.leader(*among)
                    if command in leader.machine.commands:
                        break
                    with contextlib.suppress(errors.ControlError):
                        result = await leader.replica.propose(command, 1.0)
                        assert result[1] == b'did ' + command
                        break

    async def wait_until_applied(self, *commands: bytes) -> None:
        """Wait until each running replica has applied exactly these."""
        expected = list(commands)
        await wait_until(
            lambda: all(
                member.machine.commands == expected
                for member in self.members.values()
            )
        )


async def wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    """Wait until the condition is true, at most TIMEOUT_S."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def run(
    scenario: collections.abc.Callable[
        [Fleet], collections.abc.Coroutine[None, None, None]
    ],
    fleet: Fleet,
) -> None:
    """Run a scenario and close all replicas afterwards."""

    async def run_scenario() -> None:
        try:
            await scenario(fleet)
        finally:
            await fleet.close()

    asyncio.run(run_scenario())
