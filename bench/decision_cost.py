"""Processor time of the decisions on the request path.

900 members in 110 services and 500 routes; prints microseconds a call.

Run: python -m bench.decision_cost
"""

import collections.abc
import random
import time

from godwitstall.limits import fair_queue
from godwitstall import messages
from godwitstall.rates import allowance
from godwitstall.routing import picker
from godwitstall.routing import table
from godwitstall.routing import view

_CALLS = 200_000


def _measure(name: str, call: collections.abc.Callable[[int], object]) -> None:
    for i in range(1000):
        call(i)
    start = time.process_time()
    for i in range(_CALLS):
        call(i)
    spent = time.process_time() - start
    print(f'{name:34} {spent / _CALLS * 1e6:.2f} us')


def _view() -> tuple[view.View, picker.Picker]:
    state = view.View()
    chooser = picker.Picker(state, 'z0', random.Random(1))
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
        chooser.on_dispatch(member.node_id)
        chooser.on_answer(member.node_id, report, False, 100.0)
    return state, chooser


def main() -> None:
    """Print one line for each decision."""
    tokens = allowance.Allowance(1e9, 0.3)
    tokens.try_take('w', 1.0)
    for _ in range(9):
        tokens.try_take('w', 1.0)
    wants = tokens.next_wants(1.2)
    grant = messages.Grant(messages.WorkspaceName('w'), 10**9)
    tokens.on_reply(1.2, wants, [grant], 1.2)
    _measure('try_take', lambda i: tokens.try_take('w', 2.0))

    queue = fair_queue.FairQueue(1000, 1e6)
    names = [f'w{i}' for i in range(8)]
    normal = messages.Priority.NORMAL
    for i in range(500):
        queue.push(fair_queue.Item(names[i % 8], normal, 1e9), 1.0)

    def push_pop(i: int) -> None:
        queue.push(fair_queue.Item(names[i % 8], normal, 1e9), 1.0)
        queue.pop(1.0)

    _measure('push and pop, 500 waiting', push_pop)

    def push_remove(i: int) -> None:
        item = fair_queue.Item(names[i % 8], normal, 1e9)
        queue.push(item, 1.0)
        queue.remove(item)

    _measure('push and remove, 500 waiting', push_remove)

    routes = table.RouteTable(
        messages.Route(f'r{i}', f'/api/s{i % 110}/v{i}') for i in range(500)
    )
    paths = [f'/api/s{i % 110}/v{i}/orders/17' for i in range(500)]
    _measure('match', lambda i: routes.match('GET', paths[i % 500]))

    _, chooser = _view()
    services = [messages.ServiceName(f's{i}') for i in range(110)]
    none: set[messages.NodeId] = set()
    _measure('pick', lambda i: chooser.pick(services[i % 110], none, 100.1))


if __name__ == '__main__':
    main()
