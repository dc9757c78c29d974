"""A restarted node learns from control that its upstream has drained."""

import typing

from godwitstall import messages
from godwitstall.node.sessions import membership
from godwitstall.node.upstreams import announcements
from tests import gateways

_READY = messages.UpstreamState.READY
_DRAINING = messages.UpstreamState.DRAINING


def _recorded_member(upstream_incarnation: int) -> messages.Member:
    return messages.Member(
        messages.NodeId('n1'),
        1,
        messages.ServiceName('siop'),
        'z1',
        'r1',
        '127.0.0.1:1',
        _DRAINING,
        False,
        5,
        upstream_incarnation,
    )


def _next_state_and_command(
    upstream_incarnation: int, recorded_incarnation: int
) -> typing.Any:
    """Return the upstream state of a restarted node and its next command."""
    node = gateways.make_node('siop')
    node.session.incarnation = 2
    node.view.apply(
        messages.StateUpdate(
            1, True, members=[_recorded_member(recorded_incarnation)]
        )
    )
    node.upstream.on_announcement(
        announcements.Announcement('siop', upstream_incarnation, 9, 5, 9), 0.0
    )
    node_membership: membership.Membership = node.membership
    command = node_membership._next_command()
    return node.upstream.state, command


def test_drain_before_the_restart_is_adopted() -> None:
    """Guards against calls to an upstream that drained before the restart."""
    state, command = _next_state_and_command(500, 500)
    assert state is _DRAINING
    assert isinstance(command, messages.Join)
    assert command.member.state is _DRAINING


def test_next_upstream_process_joins_as_ready() -> None:
    """Guards against a drain that also applies to the next process."""
    state, command = _next_state_and_command(501, 500)
    assert state is _READY
    assert command.member.state is _READY
