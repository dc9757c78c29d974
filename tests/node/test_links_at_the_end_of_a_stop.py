"""Links over which a stopping node has sent answers that are on their way."""

import asyncio
import typing

import pytest

from godwitstall import errors
from godwitstall import link as links
from godwitstall import messages
from godwitstall.node.peers import forward
from godwitstall.node.peers import peer_server
from loadtool import addresses

_TIMEOUT_S = 10.0

# More than the socket buffers of both sides hold.
_BODY = b'x' * 12_000_000


class _Owner:
    """Answers each call with a large body."""

    async def handle(self, call: messages.Call) -> messages.Answer:
        return messages.Answer(call_id=call.call_id, status=200, body=_BODY)


def _identity(name: str) -> links.Identity:
    return links.Identity(messages.Role.NODE, name, b'secret')


def test_answer_on_its_way_outlives_the_end_of_a_stop() -> None:
    """Guards against a process that exits with answers in its buffers.

    The entry node reads slowly, and has sent another call.
    """

    async def scenario() -> None:
        owner: typing.Any = _Owner()
        server = peer_server.PeerServer(_identity('owner'), owner)
        address = addresses.free_address()
        await server.listen(address)
        entry = await links.connect(address, _identity('entry'))
        received: list[messages.Message] = []
        async with asyncio.timeout(_TIMEOUT_S):
            entry.send(messages.Call(call_id=1))
            while not server.links:
                await asyncio.sleep(0.01)
            [link] = server.links
            while not link.unsent_bytes:
                await asyncio.sleep(0.01)
            end = asyncio.create_task(server.end_links(_TIMEOUT_S))
            await asyncio.sleep(0)
            entry.send(messages.Call(call_id=2))
            await asyncio.sleep(0.1)
            assert not end.done()
            await entry.run_sync_handler(received.append)
            await end
        assert link.unsent_bytes == 0
        answer, last = received
        assert isinstance(answer, messages.Answer)
        assert (answer.call_id, answer.body) == (1, _BODY)
        # The other call has not been run.
        assert isinstance(last, messages.Answer)
        assert (last.call_id, last.kind) == (0, errors.ErrorKind.STOPPING)

    asyncio.run(scenario())


def test_entry_node_hears_at_once_that_a_link_has_ended() -> None:
    """Guards against calls that wait for an owner that has stopped."""

    async def scenario() -> None:
        owner: typing.Any = _Owner()
        is_called = asyncio.Event()

        async def hold(call: messages.Call) -> messages.Answer:
            is_called.set()
            await asyncio.sleep(_TIMEOUT_S * 2)
            return messages.Answer(call_id=call.call_id)

        owner.handle = hold
        server = peer_server.PeerServer(_identity('owner'), owner)
        address = addresses.free_address()
        await server.listen(address)
        forwarder = forward.Forwarder(_identity('entry'), '127.0.0.1')
        call = asyncio.create_task(
            forwarder.call(address, messages.Call(deadline_ms=60_000))
        )
        async with asyncio.timeout(_TIMEOUT_S):
            await is_called.wait()
            await server.end_links(_TIMEOUT_S)
            assert not server.links
            with pytest.raises(errors.RequestError) as caught:
                await call
        assert caught.value.kind is errors.ErrorKind.PEER_LOST
        forwarder.close()

    asyncio.run(scenario())
