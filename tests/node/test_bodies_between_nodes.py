"""Large bodies of calls and answers on the links between nodes."""

import asyncio
import collections.abc
import contextlib
import typing

import pytest

from godwitstall import byte_budget
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import link_bodies
from godwitstall import messages
from godwitstall.node.peers import forward
from godwitstall.node.peers import peer_server
from loadtool import addresses

_TIMEOUT_S = 20.0
_SIZE = 20_000_000
_BODY = bytes(range(256)) * (_SIZE // 256)
_LIMIT_BYTES = 96_000_000


def _identity(sender: str, takes_parts: bool = True) -> link_module.Identity:
    return link_module.Identity(
        messages.Role.NODE, sender, b'secret', takes_parts
    )


class _Owner:
    """Answers each call with its own body."""

    def __init__(self) -> None:
        self.calls: list[messages.Call] = []

    def load(self) -> messages.LoadReport:
        return messages.LoadReport(state=messages.UpstreamState.READY)

    async def handle(self, call: messages.Call) -> messages.Answer:
        self.calls.append(call)
        return messages.Answer(
            call_id=call.call_id,
            status=200,
            outcome=errors.Outcome.RUN,
            body=call.body,
        )


class _Nodes:
    """An entry node and an owner node, without what uses their links."""

    def __init__(self, takes_parts: bool = True) -> None:
        self.entry_budget = byte_budget.ByteBudget('entry', _LIMIT_BYTES)
        self.owner_budget = byte_budget.ByteBudget('owner', _LIMIT_BYTES)
        self.owner = _Owner()
        owner: typing.Any = self.owner
        self.server = peer_server.PeerServer(
            _identity('owner', takes_parts), owner, 0, self.owner_budget
        )
        self.forwarder = forward.Forwarder(
            _identity('entry'), '127.0.0.1', self.entry_budget
        )
        self.address = addresses.free_address()

    async def call(self, body: bytes, deadline_ms: int) -> messages.Answer:
        return await self.forwarder.call(
            self.address, messages.Call(body=body, deadline_ms=deadline_ms)
        )

    def held_bytes(self) -> int:
        return self.entry_budget.held_bytes() + self.owner_budget.held_bytes()


@contextlib.asynccontextmanager
async def _running(
    takes_parts: bool = True,
) -> collections.abc.AsyncIterator[_Nodes]:
    nodes = _Nodes(takes_parts)
    await nodes.server.listen(nodes.address)
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            yield nodes
    finally:
        nodes.forwarder.close()
        nodes.server.close_links()


def test_large_bodies_arrive_whole() -> None:
    """Guards against a body that is cut, and room that is never freed."""

    async def run() -> None:
        async with _running() as nodes:
            answers = await asyncio.gather(
                *(nodes.call(_BODY, 20_000) for _ in range(3))
            )
            assert all(answer.body == _BODY for answer in answers)
            assert all(call.body == _BODY for call in nodes.owner.calls)
            await asyncio.sleep(0.05)
            assert nodes.held_bytes() == 0

    asyncio.run(run())


def test_bodies_take_turns_on_a_link() -> None:
    """Guards against a send buffer with a part of each body.

    Such a link would be closed when the process is short of memory.
    """

    async def run() -> None:
        async with _running() as nodes:
            await nodes.call(b'', 20_000)
            (peer,) = nodes.forwarder.peers.values()
            assert peer.link is not None
            peaks = []
            sends = peer.link.send

            def send(message: messages.Message) -> None:
                sends(message)
                assert peer.link is not None
                peaks.append(peer.link.unsent_bytes)

            link: typing.Any = peer.link
            link.send = send
            await asyncio.gather(
                *(nodes.call(_BODY[:1_000_000], 20_000) for _ in range(64))
            )
            assert max(peaks) < 1024 * 1024

    asyncio.run(run())


def test_call_without_room_at_the_owner_is_refused_at_once() -> None:
    """Guards against calls that wait for memory, and refusals that ran."""

    async def run() -> None:
        async with _running() as nodes:
            taken = nodes.owner_budget.reserve(_LIMIT_BYTES, 0.0, _ignore)
            answer = await nodes.call(_BODY, 20_000)
            assert answer.kind is errors.ErrorKind.MEMORY_FULL
            # The entry node still knows the owner as ready.
            assert answer.load.state is messages.UpstreamState.READY
            assert not nodes.owner.calls
            taken.release()
            assert (await nodes.call(_BODY, 20_000)).body == _BODY

    asyncio.run(run())


def test_answer_without_room_at_the_entry_waits() -> None:
    """Guards against an answer that is lost although it could be sent."""

    async def run() -> None:
        async with _running() as nodes:
            taken = nodes.entry_budget.reserve(
                nodes.entry_budget.total_bytes, 0.0, _ignore
            )
            call = asyncio.create_task(nodes.call(_BODY, 20_000))
            while not nodes.entry_budget.waiting:
                await asyncio.sleep(0.01)
            taken.release()
            assert (await call).body == _BODY

    asyncio.run(run())


def test_call_that_ends_half_way_frees_its_room() -> None:
    """Guards against bodies of calls whose callers have left."""

    async def run() -> None:
        async with _running() as nodes:
            taken = nodes.entry_budget.reserve(
                nodes.entry_budget.total_bytes, 0.0, _ignore
            )
            with pytest.raises(errors.RequestError) as caught:
                await nodes.call(_BODY, 300)
            assert caught.value.kind is errors.ErrorKind.UPSTREAM_TIMEOUT
            taken.release()
            while nodes.held_bytes() or nodes.server.sending_count:
                await asyncio.sleep(0.01)

    asyncio.run(run())


def test_call_whose_body_is_not_sent_in_time_has_not_run() -> None:
    """Guards against an unknown outcome of a call that nobody ran."""

    async def run() -> None:
        async with _running() as nodes:
            # The owner knows the link and reads nothing.
            await nodes.call(b'', 20_000)
            (link,) = nodes.server.links
            typing.cast(
                asyncio.Transport, link.writer.transport
            ).pause_reading()
            with pytest.raises(errors.RequestError) as caught:
                await nodes.call(_BODY, 300)
            assert caught.value.kind is errors.ErrorKind.DEADLINE_PASSED
            assert len(nodes.owner.calls) == 1

    asyncio.run(run())


def test_peer_of_an_earlier_version_gets_whole_bodies() -> None:
    """Guards against parts that a peer takes for garbage."""

    async def run() -> None:
        body = _BODY[:8_000_000]
        async with _running(takes_parts=False) as nodes:
            assert (await nodes.call(body, 20_000)).body == body
            with pytest.raises(errors.RequestError) as caught:
                await nodes.call(_BODY, 20_000)
            assert caught.value.kind is (errors.ErrorKind.UPSTREAM_UNREACHABLE)

    asyncio.run(run())


def test_body_beyond_its_offer_closes_the_link() -> None:
    """Guards against peers that send more than was granted."""

    async def run() -> None:
        budget = byte_budget.ByteBudget('test', _LIMIT_BYTES)
        link: typing.Any = _RecordingLink()
        bodies = link_bodies.LinkBodies(link, budget)
        assert bodies.on_offer_at_once(messages.BodyOffer(1, 4), 0.0)
        bodies.on_part(messages.BodyPart(1, b'four'))
        with pytest.raises(errors.LinkError) as caught:
            bodies.on_part(messages.BodyPart(1, b'!'))
        assert caught.value.kind is errors.ErrorKind.BAD_MESSAGE
        # A second offer of a call takes the place of the first.
        assert bodies.on_offer_at_once(messages.BodyOffer(1, 4), 0.0)
        assert budget.held_bytes() == 4
        bodies.close()
        assert budget.held_bytes() == 0

    asyncio.run(run())


class _RecordingLink:
    """Keeps what is sent."""

    is_closed = False
    is_ended = False

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def send(self, message: messages.Message) -> None:
        self.sent.append(message)


def _ignore() -> None:
    """Called when a reservation is granted."""
