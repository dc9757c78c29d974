"""Rate tokens while some or all nodes cannot reach the ledger."""

import asyncio
import collections.abc
import typing

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.node.peers import forward
from godwitstall.node.peers import stewardship
from godwitstall.rates import allowance as allowances
from godwitstall.rates import local_share
from godwitstall.routing import view as views

_SHOP = messages.WorkspaceName('shop')
_RATE_PER_S = 10.0
_NODE_COUNT = 5

# Number of calls per node. It exceeds the bucket of a steward, including the
# refill during a test.
_CALL_COUNT = 60


class _Fleet:
    """Nodes that send token requests to each other without a network."""

    def __init__(
        self, ledger_node_ids: collections.abc.Container[str]
    ) -> None:
        self.ids = [
            messages.NodeId(f'n{number}') for number in range(_NODE_COUNT)
        ]
        self.unreachable: set[str] = set()
        # Tokens taken from the ledger, by node id.
        self.tokens_by_node: dict[str, int] = {}
        self.request_count = 0
        self.nodes: dict[str, stewardship.Stewardship] = {}
        for node_id in self.ids:
            self.nodes[node_id] = self._create_node(
                node_id, node_id in ledger_node_ids
            )

    def _create_node(
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
                    workspaces=[messages.Workspace(_SHOP, _RATE_PER_S, 5)],
                ),
                members=[
                    messages.Member(node_id=each, address=each)
                    for each in self.ids
                ],
            )
        )
        if has_ledger:

            def take(workspace: str, now: float) -> bool:
                self.tokens_by_node[node_id] = (
                    self.tokens_by_node.get(node_id, 0) + 1
                )
                return True

            setattr(allowance, 'try_take', take)
        else:
            allowance.on_lost()
        return node

    async def take(
        self, address: str, request: messages.Take, timeout_s: float
    ) -> messages.TakeReply:
        self.request_count += 1
        await asyncio.sleep(0)
        if address in self.unreachable:
            raise errors.RequestError(errors.ErrorKind.UPSTREAM_UNREACHABLE)
        return await self.nodes[address].on_take(request)

    def steward_id(self) -> str:
        return self.nodes['n0'].steward.steward_of(_SHOP)

    def requesting_node(self) -> stewardship.Stewardship:
        """Return a node that is not the steward."""
        other = next(each for each in self.ids if each != self.steward_id())
        return self.nodes[other]


async def _take_many(node: stewardship.Stewardship) -> int:
    taken = 0
    for _ in range(_CALL_COUNT):
        try:
            await node.take(_SHOP, clock.now() + 1.0)
        except errors.RequestError as e:
            assert e.kind is errors.ErrorKind.RATE_EXCEEDED
            assert e.retry_after_ms > 0
        else:
            taken += 1
    return taken


def test_nobody_has_the_ledger() -> None:
    """Guards against nodes that each use the full rate."""

    async def run() -> None:
        fleet = _Fleet(())
        taken = 0
        for node in fleet.nodes.values():
            taken += await _take_many(node)
        # The bucket of the steward, and its refill during the test.
        assert 5 <= taken < _CALL_COUNT

    asyncio.run(run())


def test_steward_with_the_ledger_takes_from_it() -> None:
    """Guards against a cut-off node that refuses calls within the rate."""

    async def run() -> None:
        fleet = _Fleet(())
        fleet = _Fleet({fleet.steward_id()})
        assert await _take_many(fleet.requesting_node()) == _CALL_COUNT
        assert fleet.tokens_by_node == {fleet.steward_id(): _CALL_COUNT}

    asyncio.run(run())


def test_steward_without_ledger_asks_a_node_with_ledger() -> None:
    """Guards against a rate spent twice, by the ledger and by a steward."""

    async def run() -> None:
        fleet = _Fleet(())
        steward_id = fleet.steward_id()
        fleet = _Fleet({each for each in fleet.ids if each != steward_id})
        steward = fleet.nodes[steward_id]
        taken_by_steward = await _take_many(steward)
        assert taken_by_steward <= 8
        assert steward.probe_task is not None
        await steward.probe_task
        assert await _take_many(steward) == _CALL_COUNT
        assert sum(fleet.tokens_by_node.values()) == _CALL_COUNT

    asyncio.run(run())


def test_unreachable_steward_leaves_the_local_share() -> None:
    """Guards against a call that waits for an unreachable steward."""

    async def run() -> None:
        fleet = _Fleet(())
        fleet.unreachable.add(fleet.steward_id())
        assert await _take_many(fleet.requesting_node()) <= 2

    asyncio.run(run())


def test_relayed_request_is_not_relayed_again() -> None:
    """Guards against nodes that relay a request in a cycle."""

    async def run() -> None:
        fleet = _Fleet(())
        steward = fleet.nodes[fleet.steward_id()]
        other = next(each for each in fleet.ids if each != fleet.steward_id())
        steward.steward.on_ledger_status(other, True, clock.now())
        requests_before = fleet.request_count
        await _take_many(steward)
        # The relayed request without a ledger, and one probe of another node.
        assert fleet.request_count - requests_before <= 3

    asyncio.run(run())


@pytest.mark.parametrize('workspace', ['', 'no-such'])
def test_unknown_workspace_gets_a_reply(workspace: str) -> None:
    """Guards against a handler that fails for an unknown workspace."""

    async def run() -> None:
        fleet = _Fleet(())
        reply = await fleet.nodes['n0'].on_take(
            messages.Take(7, messages.WorkspaceName(workspace))
        )
        assert reply.call_id == 7

    asyncio.run(run())
