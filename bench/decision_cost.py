"""Measures the CPU time of the decisions on the request path.

Uses 900 members in 110 services and 500 routes. Prints microseconds per call.

Run: python -m bench.decision_cost
"""

import collections.abc
import random
import time

from godwitstall.limits import fair_queue
from godwitstall import messages
from godwitstall.rates import allowance
from godwitstall.routing import member_speed
from godwitstall.routing import picker
from godwitstall.routing import table
from godwitstall.routing import view
from godwitstall.routing import zone_balance

_CALL_COUNT = 200_000


def _print_cost(
    name: str, call: collections.abc.Callable[[int], object]
) -> None:
    for i in range(1000):
        call(i)
    start = time.process_time()
    for i in range(_CALL_COUNT):
        call(i)
    cpu_s = time.process_time() - start
    print(f'{name:34} {cpu_s / _CALL_COUNT * 1e6:.2f} us')


def _new_picker(
    speeds: member_speed.MemberSpeeds | None = None,
    zones: zone_balance.ZoneBalance | None = None,
) -> tuple[view.View, picker.Picker]:
    state = view.View()
    member_picker = picker.Picker(state, 'z0', random.Random(1), speeds, zones)
    members = [
        messages.Member(
            messages.NodeId(f'n{i}'),
            service=messages.ServiceName(f's{i % 110}'),
            zone=f'z{i % 7}',
            state=messages.UpstreamState.READY,
            slots=100,
        )
        for i in range(900)
    ]
    state.apply(messages.StateUpdate(index=1, is_full=True, members=members))
    report = messages.LoadReport(3, 1, 100)
    for member in members:
        member_picker.on_dispatch(member.node_id, 100.0)
        member_picker.on_answer(member.node_id, report, False, 100.0)
        member_picker.on_run_time(member.node_id, 'r', 20.0, 25.0, 100.0)
    return state, member_picker


def main() -> None:
    """Measure each decision and print its cost."""
    node_allowance = allowance.Allowance(1e9, 0.3)
    node_allowance.try_take('w', 1.0)
    for _ in range(9):
        node_allowance.try_take('w', 1.0)
    wants = node_allowance.next_wants(1.2)
    grant = messages.Grant(messages.WorkspaceName('w'), 10**9)
    node_allowance.on_reply(1.2, wants, [grant], 1.2)
    _print_cost('try_take', lambda i: node_allowance.try_take('w', 2.0))

    queue = fair_queue.FairQueue(1000, 1e6)
    workspaces = [f'w{i}' for i in range(8)]
    normal = messages.Priority.NORMAL
    for i in range(500):
        queue.push(fair_queue.Item(workspaces[i % 8], normal, 1e9), 1.0)

    def push_pop(i: int) -> None:
        queue.push(fair_queue.Item(workspaces[i % 8], normal, 1e9), 1.0)
        queue.pop(1.0)

    _print_cost('push and pop, 500 waiting', push_pop)

    def push_remove(i: int) -> None:
        item = fair_queue.Item(workspaces[i % 8], normal, 1e9)
        queue.push(item, 1.0)
        queue.remove(item)

    _print_cost('push and remove, 500 waiting', push_remove)

    routes = table.RouteTable(
        messages.Route(f'r{i}', f'/api/s{i % 110}/v{i}') for i in range(500)
    )
    paths = [f'/api/s{i % 110}/v{i}/orders/17' for i in range(500)]
    _print_cost('match', lambda i: routes.match('GET', paths[i % 500]))

    _, member_picker = _new_picker()
    services = [messages.ServiceName(f's{i}') for i in range(110)]
    excluded: set[messages.NodeId] = set()
    _print_cost(
        'pick',
        lambda i: member_picker.pick(services[i % 110], excluded, 100.1),
    )
    speeds = member_speed.MemberSpeeds()
    zones = zone_balance.ZoneBalance('z0', random.Random(1))
    _, speed_picker = _new_picker(speeds, zones)
    _print_cost(
        'pick by speed, with lending',
        lambda i: speed_picker.pick(services[i % 110], excluded, 100.1),
    )
    node_id = messages.NodeId('n1')
    _print_cost(
        'time of an answer',
        lambda i: speed_picker.on_run_time(
            node_id, 'r', 20.0, 25.0, 100.1 + i * 1e-3
        ),
    )
    member = speed_picker.pick(services[0], excluded, 100.1)
    assert member is not None
    _print_cost(
        'snapshot of a choice',
        lambda i: speed_picker.snapshot(member.node_id),
    )


if __name__ == '__main__':
    main()
