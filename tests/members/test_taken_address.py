"""Nodes at an address that belonged to a node of another service."""

import asyncio

from godwitstall import errors
from godwitstall.members import registry
from godwitstall import messages
from tests import gateways


def _member(node_id: str, service: str, address: str) -> messages.Member:
    return messages.Member(
        node_id=messages.NodeId(node_id),
        incarnation=1,
        service=messages.ServiceName(service),
        address=address,
    )


def test_join_removes_the_former_member_at_its_address() -> None:
    """Guards against calls for a dead node that reach its successor."""
    node_registry = registry.Registry()
    node_registry.apply(messages.Join(_member('old', 'siop', '10.0.0.1:7')))
    node_registry.apply(messages.Join(_member('other', 'siop', '10.0.0.2:7')))
    _, changed = node_registry.apply(
        messages.Join(_member('new', 'gwydd', '10.0.0.1:7'))
    )
    assert set(node_registry.members) == {'new', 'other'}
    assert set(changed) == {'new', 'old'}


def test_removed_member_may_join_at_another_address() -> None:
    """Guards against a removed member that can never join again."""
    node_registry = registry.Registry()
    node_registry.apply(messages.Join(_member('old', 'siop', '10.0.0.1:7')))
    node_registry.apply(messages.Join(_member('new', 'gwydd', '10.0.0.1:7')))
    late_result, _ = node_registry.apply(
        messages.Join(_member('old', 'siop', '10.0.0.1:7'))
    )
    assert not late_result.is_accepted
    moved = _member('old', 'siop', '10.0.0.3:7')
    moved.incarnation = 2
    result, _ = node_registry.apply(messages.Join(moved))
    assert result.is_accepted


def test_owner_refuses_calls_for_another_service() -> None:
    """Guards against a request that runs at a service it was not sent to.

    For some seconds a sender may still know the former node at an address.
    """

    async def send_call() -> messages.Answer:
        node = gateways.make_node('gwydd')
        node.view.apply(messages.StateUpdate(1, True))
        node.upstream.state = messages.UpstreamState.READY
        node.upstream.client = object()  # type: ignore[assignment]
        return await node.owner.handle(
            messages.Call(service=messages.ServiceName('siop'), attempts=1)
        )

    answer = asyncio.run(send_call())
    assert answer.kind is errors.ErrorKind.UPSTREAM_UNREACHABLE
    assert answer.outcome is errors.Outcome.NOT_RUN
