"""Tokens between nodes while some or all of them have no ledger."""

import asyncio
import collections.abc
import typing

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.node import forward
from godwitstall.node import stewardship
from godwitstall.rates import allowance as allowances
from godwitstall.rates import local_share
from godwitstall.routing import view as views

_SHOP = messages.WorkspaceName('shop')
_RATE = 10.0
_SIZE = 5

# Enough calls to be over the bucket of a steward, rate or not.
_FLOOD = 60


class _Fleet:
    """Nodes whose questions reach each other without a network."""

    def __init__(self, with_ledger: collections.abc.Container[str]) -> None:
        self.ids = [messages.NodeId(f'n{number}') for number in range(_SIZE)]
        self.unreachable: set[str] = set()
        # Tokens that the ledger gave, by node.
        self.given: dict[str, int] = {}
        self.questions = 0
        self.nodes: dict[str, stewardship.Stewardship] = {}
        for node_id in self.ids:
            self.nodes[node_id] = self._node(node_id, node_id in with_ledger)

    def _node(
        self, node_id: messages.NodeId, has_ledger: bool
    ) -> stewardship.Stewardship:
        view = views.View()
        allowance = allowances.Allowance(1.0, 0.05)
        share = allowance.share = local_share.LocalShare()
        forwarder: typing.Any = self
        node = stewardship.Stewardship(
            node_id,
            view,
            typing.cast(forward.Forwarder, forwarder),
            allowance,
            share,
        )
        view.on_change.append(node.on_view_change)
        view.apply(
            messages.StateUpdate(
                1,
                True,
                True,
                messages.Configuration(
                    number=1,
                    workspaces=[messages.Workspace(_SHOP, _RATE, 5)],
                ),
                members=[
                    messages.Member(node_id=each, address=each)
                    for each in self.ids
                ],
            )
        )
        if has_ledger:

            def give(workspace: str, now: float) -> bool:
                self.given[node_id] = self.given.get(node_id, 0) + 1
                return True

            setattr(allowance, 'try_take', give)
        else:
            allowance.on_lost()
        return node

    async def take(
        self, address: str, question: messages.Take, timeout_s: float
    ) -> messages.TakeReply:
        self.questions += 1
        await asyncio.sleep(0)
        if address in self.unreachable:
            raise errors.RequestError(errors.ErrorKind.UPSTREAM_UNREACHABLE)
        return await self.nodes[address].on_take(question)

    def steward_id(self) -> str:
        return self.nodes['n0'].steward.steward_of(_SHOP)

    def asking(self) -> stewardship.Stewardship:
        """Return a node that is not the steward."""
        other = next(each for each in self.ids if each != self.steward_id())
        return self.nodes[other]


async def _flood(node: stewardship.Stewardship) -> int:
    taken = 0
    for _ in range(_FLOOD):
        try:
            await node.take(_SHOP, clock.now() + 1.0)
        except errors.RequestError as e:
            assert e.kind is errors.ErrorKind.RATE_EXCEEDED
            assert e.retry_after_ms > 0
        else:
            taken += 1
    return taken


def test_nobody_has_the_ledger() -> None:
    """Guards against each node spending the rate for itself."""

    async def scenario() -> None:
        fleet = _Fleet(())
        taken = 0
        for node in fleet.nodes.values():
            taken += await _flood(node)
        # The bucket of the steward, and what came in while the test ran.
        assert 5 <= taken < _FLOOD

    asyncio.run(scenario())


def test_steward_with_the_ledger_takes_from_it() -> None:
    """Guards against a node that is cut off refusing what the rate allows."""

    async def scenario() -> None:
        fleet = _Fleet(())
        fleet = _Fleet({fleet.steward_id()})
        assert await _flood(fleet.asking()) == _FLOOD
        assert fleet.given == {fleet.steward_id(): _FLOOD}

    asyncio.run(scenario())


def test_steward_without_it_goes_to_a_node_that_has_it() -> None:
    """Guards against the rate spent by the ledger and by a steward too."""

    async def scenario() -> None:
        fleet = _Fleet(())
        steward_id = fleet.steward_id()
        fleet = _Fleet({each for each in fleet.ids if each != steward_id})
        steward = fleet.nodes[steward_id]
        own = await _flood(steward)
        assert own <= 8
        assert steward.probing is not None
        await steward.probing
        assert await _flood(steward) == _FLOOD
        assert sum(fleet.given.values()) == _FLOOD

    asyncio.run(scenario())


def test_unreachable_steward_leaves_the_own_part() -> None:
    """Guards against a call that waits for a steward that is gone."""

    async def scenario() -> None:
        fleet = _Fleet(())
        fleet.unreachable.add(fleet.steward_id())
        assert await _flood(fleet.asking()) <= 2

    asyncio.run(scenario())


def test_relayed_question_is_not_relayed_again() -> None:
    """Guards against nodes that ask each other in a circle."""

    async def scenario() -> None:
        fleet = _Fleet(())
        steward = fleet.nodes[fleet.steward_id()]
        other = next(each for each in fleet.ids if each != fleet.steward_id())
        steward.steward.on_ledger_status(other, True, clock.now())
        before = fleet.questions
        await _flood(steward)
        # The relay that found nothing, and one look at another node.
        assert fleet.questions - before <= 3

    asyncio.run(scenario())


@pytest.mark.parametrize('workspace', ['', 'no-such'])
def test_question_of_another_writer_does_no_harm(workspace: str) -> None:
    """Guards against an answer that fails for a name nobody knows."""

    async def scenario() -> None:
        fleet = _Fleet(())
        reply = await fleet.nodes['n0'].on_take(
            messages.Take(7, messages.WorkspaceName(workspace))
        )
        assert reply.call_id == 7

    asyncio.run(scenario())
