"""R2 and R12: payments are shed last, and calls are refused at once.

The fake upstream does not answer until a test releases it, so that an earlier
answer did not wait for the upstream.
"""

import asyncio
import json
import pathlib
import typing

import pytest

from godwitstall import messages
from godwitstall.node.upstreams import slots
from loadtool import http_client
from tests import fakes

_ROUTES: list[dict[str, typing.Any]] = [
    {
        'name': f'{service}-{priority}',
        'path_prefix': f'/{service}/{priority}',
        'service': service,
        'priority': priority,
        'attempts': 4,
        'dispatch_attempts': 2,
    }
    for service in ('siop', 'gwydd')
    for priority in ('payment', 'high', 'normal', 'low')
]
_NOTE = fakes.note(1, {'dyffryn': (100_000, 50_000)}, _ROUTES)
_KEY = 'key-dyffryn'
_SERVICES = {'siop-1': 'siop', 'gwydd-1': 'gwydd'}

Task = asyncio.Task[http_client.Response]


class _BusyOwner:
    """An entry node and an owner whose only slot is occupied."""

    def __init__(
        self, entry: fakes.NodeHarness, owner: fakes.NodeHarness
    ) -> None:
        self.entry = entry
        self.owner = owner
        self.queue = owner.node.owner.slots.queue
        self.is_released = asyncio.Event()
        self.running: Task | None = None

    @property
    def later_paths(self) -> list[str]:
        """Paths without the service of all runs but the first, in order."""
        prefix = f'/{self.owner.options.service}/'
        runs = self.owner.upstream.runs
        return [run.path.removeprefix(prefix) for run in runs[1:]]

    async def start(self) -> None:
        async def hold(
            request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await self.is_released.wait()
            await fakes.echo(request, writer)

        self.owner.upstream.respond = hold
        self.owner.slots = 1
        await self.owner.announce()
        self.running = self.call('high/first')
        await fakes.until(lambda: self.owner.upstream.runs, 'slot taken')

    def call(
        self, path: str, deadline_ms: int = 15_000, priority: str = ''
    ) -> Task:
        headers = {'godwitstall-deadline-ms': str(deadline_ms)}
        if priority:
            headers['godwitstall-priority'] = priority
        return asyncio.create_task(
            self.entry.call(
                f'/{self.owner.options.service}/{path}', _KEY, headers=headers
            )
        )

    async def start_queued(self, path: str, priority: str = '') -> Task:
        """Start a call and wait until it is queued."""
        count = len(self.queue)
        task = self.call(path, priority=priority)
        await fakes.until(lambda: len(self.queue) == count + 1, 'queued')
        return task

    async def finish(self, *tasks: Task) -> None:
        """Release the upstream and check that no call or slot is left."""
        self.is_released.set()
        assert self.running is not None
        for task in (self.running, *tasks):
            assert (await task).status == 200
        owner = self.owner.node.owner
        await fakes.until(lambda: not owner.active, 'all ended')
        assert not owner.slots.running and not len(self.queue)
        assert not self.owner.node.contexts.running


async def _check_shed(task: Task, kind: str = 'overloaded') -> None:
    answer = await task
    assert json.loads(answer.body)['error'] == kind
    assert answer.headers['godwitstall-outcome'] == 'not-run'
    assert int(answer.headers['retry-after']) >= 1
    assert int(answer.headers['godwitstall-retry-after-ms']) >= 1


def _run_at_both_owners(
    folder: pathlib.Path,
    scenario: typing.Callable[[_BusyOwner], typing.Awaitable[None]],
    places: tuple[str, ...] = ('near', 'far'),
) -> None:
    """Run a scenario with the owner on the entry node and on another one."""

    async def run(place: str) -> None:
        async with fakes.running(
            folder, _NOTE, _SERVICES, max_queue=3, max_queue_wait_ms=15_000
        ) as (_, [near, far]):
            busy = _BusyOwner(near, near if place == 'near' else far)
            await busy.start()
            await scenario(busy)

    for place in places:
        asyncio.run(run(place))


def test_payment_meets_a_full_queue(tmp_path: pathlib.Path) -> None:
    """Guards against shedding a payment while lower priorities are queued."""

    async def scenario(busy: _BusyOwner) -> None:
        low = [
            await busy.start_queued('low/1'),
            await busy.start_queued('normal/2'),
            await busy.start_queued('low/3'),
        ]
        payments = []
        # Each payment replaces the newest call of the lowest priority.
        for number, victim in enumerate((low[2], low[0], low[1])):
            payments.append(busy.call(f'payment/{number}'))
            await _check_shed(victim)
        assert len(busy.queue) == 3
        # Queued payments are not shed for any other call.
        for path in ('low/4', 'high/5', 'payment/6'):
            await _check_shed(busy.call(path))
        await busy.finish(*payments)
        assert busy.later_paths == ['payment/0', 'payment/1', 'payment/2']

    _run_at_both_owners(tmp_path, scenario)


def test_order_of_priorities(tmp_path: pathlib.Path) -> None:
    """Guards against a caller that raises the priority of its call."""

    async def scenario(busy: _BusyOwner) -> None:
        tasks = [
            await busy.start_queued('low/raised', priority='payment'),
            await busy.start_queued('payment/lowered', priority='low'),
            await busy.start_queued('normal/plain'),
        ]
        await busy.finish(*tasks)
        assert busy.later_paths == [
            'normal/plain',
            'low/raised',
            'payment/lowered',
        ]

    _run_at_both_owners(tmp_path, scenario)


def test_onward_call_has_the_priority_of_its_chain(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an upstream that raises the priority of its chain."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, _SERVICES, max_queue=3, max_queue_wait_ms=15_000
        ) as (_, [near, far]):
            busy = _BusyOwner(near, far)
            await busy.start()

            async def respond(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                path = request.path.rpartition('/')[2].replace('-', '/')
                await near.call_onward(
                    request,
                    f'/gwydd/{path}',
                    headers={'godwitstall-priority': 'payment'},
                )
                await fakes.echo(request, writer)

            near.upstream.respond = respond
            tasks = []
            for count, path in enumerate(
                ('low/payment-1', 'payment/low-2', 'normal/high-3'), 1
            ):
                tasks.append(
                    asyncio.create_task(near.call(f'/siop/{path}', _KEY))
                )
                await fakes.until_equal(lambda: len(busy.queue), count)
            await busy.finish(*tasks)
            assert busy.later_paths == ['low/2', 'high/3', 'payment/1']

    asyncio.run(run())


def test_refusals_come_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against a refusal that is delayed by upstream or deadline."""

    async def scenario(busy: _BusyOwner) -> None:
        waiting = [await busy.start_queued(f'normal/{n}') for n in range(3)]
        for number in range(5):
            await _check_shed(busy.call(f'normal/refused-{number}'))
        assert not [task for task in waiting if task.done()]
        assert busy.running is not None and not busy.running.done()
        await busy.finish(*waiting)
        assert len(busy.later_paths) == 3

    _run_at_both_owners(tmp_path, scenario)


def test_deadline_passes_in_the_queue(tmp_path: pathlib.Path) -> None:
    """Guards against runs of calls whose deadline has passed."""

    async def scenario(busy: _BusyOwner) -> None:
        kept = await busy.start_queued('low/kept')
        expiring = [
            busy.call(f'payment/{n}', deadline_ms=40) for n in range(2)
        ]
        for task in expiring:
            await _check_shed(task, 'deadline_passed')
        await busy.finish(kept)
        assert busy.later_paths == ['low/kept']

    _run_at_both_owners(tmp_path, scenario)


def test_caller_hangs_up_in_the_queue(tmp_path: pathlib.Path) -> None:
    """Guards against a run for a caller that has disconnected."""

    async def scenario(busy: _BusyOwner) -> None:
        cancelled = [await busy.start_queued(f'payment/{n}') for n in range(2)]
        kept = await busy.start_queued('low/kept')
        for task in cancelled:
            task.cancel()
        await fakes.until(lambda: len(busy.queue) == 1, 'left the queue')
        await busy.finish(kept)
        assert busy.later_paths == ['low/kept']
        for load in busy.entry.node.relay.picker.dump().values():
            assert load['outstanding'] == 0

    _run_at_both_owners(tmp_path, scenario)


def test_caller_hangs_up_while_running(tmp_path: pathlib.Path) -> None:
    """Guards against a run that continues after its caller disconnects."""

    async def scenario(busy: _BusyOwner) -> None:
        waiting = await busy.start_queued('low/next')
        assert busy.running is not None
        busy.running.cancel()
        [received] = busy.owner.upstream.runs
        await asyncio.wait_for(received.closed.wait(), fakes.WAIT_S)
        # The slot is granted to the queued call.
        await fakes.until(
            lambda: busy.later_paths == ['low/next'], 'next runs'
        )
        busy.running = waiting
        await busy.finish()

    _run_at_both_owners(tmp_path, scenario)


@pytest.mark.parametrize('moment', ['granted', 'shed'])
def test_cancellation_during_grant_or_shedding(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, moment: str
) -> None:
    """Guards against losing a slot if its call is cancelled when granted."""

    async def scenario(busy: _BusyOwner) -> None:
        owner = busy.owner.node.owner
        call = messages.Call(
            service=messages.ServiceName('siop'),
            method='GET',
            path='/siop/low/cancelled',
            priority=messages.Priority.LOW,
            deadline_ms=15_000,
            attempts=1,
        )
        task = asyncio.create_task(owner.handle(call))
        await fakes.until(lambda: len(busy.queue) == 1, 'queued')
        if moment == 'granted':
            grant_free_slots = owner.slots.grant_free_slots

            def grant_and_cancel() -> None:
                grant_free_slots()
                if not len(busy.queue):
                    task.cancel()

            monkeypatch.setattr(
                owner.slots, 'grant_free_slots', grant_and_cancel
            )
            busy.is_released.set()
        else:
            reject = owner.slots._reject

            def reject_and_cancel(*arguments: typing.Any) -> None:
                reject(*arguments)
                task.cancel()

            monkeypatch.setattr(owner.slots, '_reject', reject_and_cancel)
            for number in range(3):
                busy.call(f'payment/{number}')
        await asyncio.wait({task})
        assert task.cancelled()
        assert not [p for p in busy.later_paths if p == 'low/cancelled']
        await busy.finish()
        assert busy.queue.pop(0.0) is None

    _run_at_both_owners(tmp_path, scenario, ('near',))


def test_grant_is_not_taken_for_a_refusal() -> None:
    """Guards against a wrong count of occupied slots after a cancellation."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        granted, refused, cancelled, pending = (
            loop.create_future() for _ in range(4)
        )
        granted.set_result(None)
        refused.set_exception(ValueError())
        cancelled.cancel()
        results = [
            slots.is_granted(future)
            for future in (granted, refused, cancelled, pending)
        ]
        assert results == [True, False, False, False]

    asyncio.run(run())
