"""Calls that cross the end of the links of a stopping owner."""

import asyncio
import collections.abc
import contextlib
import typing

import pytest

from godwitstall import errors
from godwitstall import link as links
from godwitstall import messages
from godwitstall.node.peers import forward
from godwitstall.node.peers import peer_server
from loadtool import addresses

_TIMEOUT_S = 10.0


class _Owner:
    """Counts the calls, and holds those with the path '/held'."""

    def __init__(self) -> None:
        self.paths: list[str] = []

    async def handle(self, call: messages.Call) -> messages.Answer:
        self.paths.append(call.path)
        if call.path == '/held':
            await asyncio.sleep(_TIMEOUT_S * 2)
        return messages.Answer(call_id=call.call_id, status=200)


def _identity(name: str) -> links.Identity:
    return links.Identity(messages.Role.NODE, name, b'secret')


class _Pair:
    """An entry node with a link to an owner."""

    def __init__(self) -> None:
        self.owner = _Owner()
        handler: typing.Any = self.owner
        self.server = peer_server.PeerServer(_identity('owner'), handler)
        self.address = addresses.free_address()
        self.forwarder = forward.Forwarder(_identity('entry'), '127.0.0.1')

    async def call(self, path: str) -> messages.Answer:
        return await self.forwarder.call(
            self.address, messages.Call(path=path, deadline_ms=60_000)
        )

    async def kind_of(self, call: asyncio.Task[typing.Any]) -> typing.Any:
        with pytest.raises(errors.RequestError) as caught:
            await call
        return caught.value.kind


@contextlib.asynccontextmanager
async def _linked() -> collections.abc.AsyncIterator[_Pair]:
    pair = _Pair()
    await pair.server.listen(pair.address)
    async with asyncio.timeout(_TIMEOUT_S):
        assert (await pair.call('/first')).status == 200
        yield pair
    pair.forwarder.close()
    pair.server.close_links()


def test_call_that_a_stopping_owner_has_not_read_was_not_run() -> None:
    """Guards against a call that a stopping owner drops without a reply.

    The entry node can send it to another owner, and its client may repeat it,
    only if it is known that it was not run.
    """

    async def scenario() -> None:
        async with _linked() as pair:
            # The owner ends its links before it reads this call.
            call = asyncio.create_task(pair.call('/crossing'))
            await asyncio.sleep(0)
            await pair.server.end_links(_TIMEOUT_S)
            kind = await pair.kind_of(call)
            assert errors.ANSWERS[kind].outcome is errors.Outcome.NOT_RUN
            assert kind is errors.ErrorKind.STOPPING
            assert pair.owner.paths == ['/first']

    asyncio.run(scenario())


def test_call_that_a_stopping_owner_has_read_and_not_begun_was_not_run() -> (
    None
):
    """Guards against an unknown outcome of a call without a handler."""

    async def scenario() -> None:
        async with _linked() as pair:
            call = asyncio.create_task(pair.call('/read'))
            while not any(c.tasks for c in pair.server.calls.values()):
                await asyncio.sleep(0)
            is_begun = '/read' in pair.owner.paths
            await pair.server.end_links(_TIMEOUT_S)
            kind = await pair.kind_of(call)
            assert not is_begun
            assert kind is errors.ErrorKind.STOPPING
            assert pair.owner.paths == ['/first']

    asyncio.run(scenario())


def test_call_that_a_stopping_owner_cuts_may_have_been_run() -> None:
    """Guards against a promise for a running call at the end of its owner."""

    async def scenario() -> None:
        async with _linked() as pair:
            held = asyncio.create_task(pair.call('/held'))
            while '/held' not in pair.owner.paths:
                await asyncio.sleep(0.01)
            crossing = asyncio.create_task(pair.call('/crossing'))
            await asyncio.sleep(0)
            await pair.server.end_links(_TIMEOUT_S)
            assert await pair.kind_of(held) is errors.ErrorKind.PEER_LOST
            assert await pair.kind_of(crossing) is errors.ErrorKind.STOPPING
            assert pair.owner.paths == ['/first', '/held']

    asyncio.run(scenario())


def test_next_call_after_the_end_of_a_link_is_not_lost() -> None:
    """Guards against calls on a link that its owner reads no more."""

    async def scenario() -> None:
        async with _linked() as pair:
            held = asyncio.create_task(pair.call('/held'))
            while '/held' not in pair.owner.paths:
                await asyncio.sleep(0.01)
            end = asyncio.create_task(pair.server.end_links(_TIMEOUT_S))
            await pair.kind_of(held)
            call = asyncio.create_task(pair.call('/next'))
            kind = await pair.kind_of(call)
            assert errors.ANSWERS[kind].outcome is errors.Outcome.NOT_RUN
            await end

    asyncio.run(scenario())


@pytest.mark.parametrize('steps', range(30))
def test_call_over_a_link_that_is_being_opened_is_run_or_refused(
    steps: int,
) -> None:
    """Guards against calls behind a handshake that the owner has not ended.

    The owner ends its links after a number of steps of the event loop.
    """

    async def scenario() -> None:
        pair = _Pair()
        await pair.server.listen(pair.address)
        call = asyncio.create_task(pair.call('/first'))
        for _ in range(steps):
            await asyncio.sleep(0)
        async with asyncio.timeout(_TIMEOUT_S):
            await pair.server.end_links(0.0)
            try:
                answer = await call
            except errors.RequestError as e:
                answer = messages.Answer(
                    outcome=errors.ANSWERS[e.kind].outcome
                )
        if answer.status == 200:
            assert pair.owner.paths == ['/first']
        else:
            assert answer.outcome is errors.Outcome.NOT_RUN
            assert not pair.owner.paths
        pair.forwarder.close()
        pair.server.close_links()

    asyncio.run(scenario())
