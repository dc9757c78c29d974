"""How a node spaces its calls to members whose upstreams are cold."""

import random

from godwitstall import messages
from godwitstall.routing import picker as picker_module
from godwitstall.routing import view as view_module

_NOW = 1000.0
_COLD_RATE = 0.5


def _make_picker(count: int = 2) -> picker_module.Picker:
    """Return a picker for the members n0, n1 and so on."""
    view = view_module.View()
    picker = picker_module.Picker(view, 'z1', random.Random(7))
    members = [
        messages.Member(
            messages.NodeId(f'n{number}'),
            1,
            messages.ServiceName('siop'),
            'z1',
            'r1',
            f'127.0.0.1:{number + 1}',
            messages.UpstreamState.READY,
            slots=100,
        )
        for number in range(count)
    ]
    view.apply(messages.StateUpdate(1, True, members=members))
    return picker


def _report_cold(
    picker: picker_module.Picker, node: str, cold_ms: int, now: float = _NOW
) -> None:
    """Send a call to a member whose answer says that it is cold."""
    node_id = messages.NodeId(node)
    for _ in range(2):
        picker.on_dispatch(node_id, now)
        load = messages.LoadReport(
            0,
            0,
            100,
            messages.UpstreamState.READY,
            5,
            _COLD_RATE if cold_ms else None,
            cold_ms,
        )
        picker.on_answer(node_id, load, False, now)


def _picked(picker: picker_module.Picker, now: float) -> set[str]:
    members = [picker.pick('siop', set(), now) for _ in range(50)]
    return {member.node_id for member in members if member is not None}


def test_warm_members_are_preferred() -> None:
    """Guards against calls that a cold upstream would refuse."""
    picker = _make_picker()
    _report_cold(picker, 'n0', 1000)
    assert _picked(picker, _NOW + 0.5) == {'n1'}


def test_interval_ends_with_the_cold_time() -> None:
    """Guards against a member that is avoided although it is warm."""
    picker = _make_picker()
    _report_cold(picker, 'n0', 1000)
    assert _picked(picker, _NOW + 1.01) == {'n0', 'n1'}


def test_interval_ends_with_a_warm_report() -> None:
    """Guards against a cold time that outlives the process that named it."""
    picker = _make_picker()
    _report_cold(picker, 'n0', 60_000)
    _report_cold(picker, 'n0', 0, _NOW + 0.1)
    assert _picked(picker, _NOW + 0.2) == {'n0', 'n1'}


def test_cold_members_are_picked_if_there_is_no_other() -> None:
    """Guards against a service that gets nothing while all of it is cold."""
    picker = _make_picker()
    for node in 'n0', 'n1':
        _report_cold(picker, node, 60_000)
    assert _picked(picker, _NOW + 0.1)


def test_members_that_warm_up_together_share_the_calls() -> None:
    """Guards against nodes that all send to the first of the cold members."""
    picker = _make_picker(3)
    for number, node in enumerate(('n0', 'n1', 'n2')):
        _report_cold(picker, node, 1000 + number)
    assert _picked(picker, _NOW + 0.1) == {'n0', 'n1', 'n2'}


def test_rate_of_a_cold_upstream_is_not_sent_as_its_own_limit() -> None:
    """Guards against a restarted owner that adopts the rate of a cold time."""
    picker = _make_picker()
    _report_cold(picker, 'n0', 1000)
    call = messages.Call()
    picker.notices.add_limit(messages.NodeId('n0'), call)
    assert call.limited_incarnation == 0
