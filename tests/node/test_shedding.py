"""R2 and R12: payments are shed last, and refusals come at once.

The fake upstream never answers before a test lets it, so an answer that
comes meanwhile did not wait for it.
"""

import asyncio
import json
import pathlib
import typing

import pytest

from godwitstall import messages
from godwitstall.node import slots
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
_PAIR = {'siop-1': 'siop', 'gwydd-1': 'gwydd'}

Task = asyncio.Task[http_client.Response]


class _Stage:
    """A node as entry, and an owner with one slot that is taken."""

    def __init__(
        self, entry: fakes.NodeHarness, owner: fakes.NodeHarness
    ) -> None:
        self.entry = entry
        self.owner = owner
        self.queue = owner.node.owner.slots.queue
        self.is_free = asyncio.Event()
        self.running: Task | None = None

    @property
    def paths(self) -> list[str]:
        """What ran, without the service, the first one left out."""
        prefix = f'/{self.owner.options.service}/'
        runs = self.owner.upstream.runs
        return [run.path.removeprefix(prefix) for run in runs[1:]]

    async def start(self) -> None:
        async def hold(
            request: fakes.Received, writer: asyncio.StreamWriter
        ) -> None:
            await self.is_free.wait()
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

    async def queued(self, path: str, priority: str = '') -> Task:
        """Start a call and wait until it stands in the queue."""
        count = len(self.queue)
        task = self.call(path, priority=priority)
        await fakes.until(lambda: len(self.queue) == count + 1, 'queued')
        return task

    async def finish(self, *tasks: Task) -> None:
        """Let everything run, and check that nothing is left behind."""
        self.is_free.set()
        assert self.running is not None
        for task in (self.running, *tasks):
            assert (await task).status == 200
        owner = self.owner.node.owner
        await fakes.until(lambda: not owner.active, 'all ended')
        assert not owner.slots.running and not len(self.queue)
        assert not self.owner.node.contexts.running


async def _shed(task: Task, kind: str = 'overloaded') -> None:
    answer = await task
    assert json.loads(answer.body)['error'] == kind
    assert answer.headers['godwitstall-outcome'] == 'not-run'
    assert int(answer.headers['retry-after']) >= 1
    assert int(answer.headers['godwitstall-retry-after-ms']) >= 1


def _play(
    folder: pathlib.Path,
    act: typing.Callable[[_Stage], typing.Awaitable[None]],
    places: tuple[str, ...] = ('near', 'far'),
) -> None:
    """Play an act with the owner at the entry node and at another one."""

    async def run(place: str) -> None:
        async with fakes.running(
            folder, _NOTE, _PAIR, max_queue=3, max_queue_wait_ms=15_000
        ) as (_, [near, far]):
            stage = _Stage(near, near if place == 'near' else far)
            await stage.start()
            await act(stage)

    for place in places:
        asyncio.run(run(place))


def test_payment_meets_a_full_queue(tmp_path: pathlib.Path) -> None:
    """Guards against a payment that is shed while lower work waits."""

    async def act(stage: _Stage) -> None:
        low = [
            await stage.queued('low/1'),
            await stage.queued('normal/2'),
            await stage.queued('low/3'),
        ]
        payments = []
        # Each payment takes the place of the lowest work, newest first.
        for number, victim in enumerate((low[2], low[0], low[1])):
            payments.append(stage.call(f'payment/{number}'))
            await _shed(victim)
        assert len(stage.queue) == 3
        # A queue of payments gives way to none but itself.
        for path in ('low/4', 'high/5', 'payment/6'):
            await _shed(stage.call(path))
        await stage.finish(*payments)
        assert stage.paths == ['payment/0', 'payment/1', 'payment/2']

    _play(tmp_path, act)


def test_order_of_priorities(tmp_path: pathlib.Path) -> None:
    """Guards against a priority that a caller or an upstream raises."""

    async def act(stage: _Stage) -> None:
        tasks = [
            await stage.queued('low/raised', priority='payment'),
            await stage.queued('payment/lowered', priority='low'),
            await stage.queued('normal/plain'),
        ]
        await stage.finish(*tasks)
        assert stage.paths == ['normal/plain', 'low/raised', 'payment/lowered']

    _play(tmp_path, act)


def test_onward_call_has_the_priority_of_its_chain(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against low work that becomes a payment on its way."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, _PAIR, max_queue=3, max_queue_wait_ms=15_000
        ) as (_, [near, far]):
            stage = _Stage(near, far)
            await stage.start()

            async def respond(
                request: fakes.Received, writer: asyncio.StreamWriter
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
                await fakes.until_equal(lambda: len(stage.queue), count)
            await stage.finish(*tasks)
            assert stage.paths == ['low/2', 'high/3', 'payment/1']

    asyncio.run(run())


def test_refusals_come_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against a refusal that waits for the upstream or a deadline."""

    async def act(stage: _Stage) -> None:
        waiting = [await stage.queued(f'normal/{n}') for n in range(3)]
        for number in range(5):
            await _shed(stage.call(f'normal/refused-{number}'))
        assert not [task for task in waiting if task.done()]
        assert stage.running is not None and not stage.running.done()
        await stage.finish(*waiting)
        assert len(stage.paths) == 3

    _play(tmp_path, act)


def test_deadline_passes_in_the_queue(tmp_path: pathlib.Path) -> None:
    """Guards against work at the upstream that nobody waits for any more."""

    async def act(stage: _Stage) -> None:
        kept = await stage.queued('low/kept')
        late = [stage.call(f'payment/{n}', deadline_ms=40) for n in range(2)]
        for task in late:
            await _shed(task, 'deadline_passed')
        await stage.finish(kept)
        assert stage.paths == ['low/kept']

    _play(tmp_path, act)


def test_caller_hangs_up_in_the_queue(tmp_path: pathlib.Path) -> None:
    """Guards against a run for a caller that has gone."""

    async def act(stage: _Stage) -> None:
        gone = [await stage.queued(f'payment/{n}') for n in range(2)]
        kept = await stage.queued('low/kept')
        for task in gone:
            task.cancel()
        await fakes.until(lambda: len(stage.queue) == 1, 'left the queue')
        await stage.finish(kept)
        assert stage.paths == ['low/kept']
        for load in stage.entry.node.relay.picker.dump().values():
            assert load['outstanding'] == 0

    _play(tmp_path, act)


def test_caller_hangs_up_while_running(tmp_path: pathlib.Path) -> None:
    """Guards against an upstream that goes on to work for nobody."""

    async def act(stage: _Stage) -> None:
        waiting = await stage.queued('low/next')
        assert stage.running is not None
        stage.running.cancel()
        [received] = stage.owner.upstream.runs
        await asyncio.wait_for(received.closed.wait(), fakes.WAIT_S)
        # The slot goes to the next one.
        await fakes.until(lambda: stage.paths == ['low/next'], 'next runs')
        stage.running = waiting
        await stage.finish()

    _play(tmp_path, act)


@pytest.mark.parametrize('moment', ['granted', 'shed'])
def test_hang_up_in_the_moment_of_the_grant(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, moment: str
) -> None:
    """Guards against a slot that is lost between its grant and its use."""

    async def act(stage: _Stage) -> None:
        owner = stage.owner.node.owner
        call = messages.Call(
            service=messages.ServiceName('siop'),
            method='GET',
            path='/siop/low/cancelled',
            priority=messages.Priority.LOW,
            deadline_ms=15_000,
            attempts=1,
        )
        task = asyncio.create_task(owner.handle(call))
        await fakes.until(lambda: len(stage.queue) == 1, 'queued')
        if moment == 'granted':
            start_waiting = owner.slots.start_waiting

            def start_and_cancel() -> None:
                start_waiting()
                if not len(stage.queue):
                    task.cancel()

            monkeypatch.setattr(owner.slots, 'start_waiting', start_and_cancel)
            stage.is_free.set()
        else:
            refuse = owner.slots._refuse

            def refuse_and_cancel(*arguments: typing.Any) -> None:
                refuse(*arguments)
                task.cancel()

            monkeypatch.setattr(owner.slots, '_refuse', refuse_and_cancel)
            for number in range(3):
                stage.call(f'payment/{number}')
        await asyncio.wait({task})
        assert task.cancelled()
        assert not [p for p in stage.paths if p == 'low/cancelled']
        await stage.finish()
        assert stage.queue.pop(0.0) is None

    _play(tmp_path, act, ('near',))


def test_grant_is_not_taken_for_a_refusal() -> None:
    """Guards against a wrong count of slots after a cancellation."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        granted, refused, cancelled, open_ = (
            loop.create_future() for _ in range(4)
        )
        granted.set_result(None)
        refused.set_exception(ValueError())
        cancelled.cancel()
        found = [
            slots.is_granted(future)
            for future in (granted, refused, cancelled, open_)
        ]
        assert found == [True, False, False, False]

    asyncio.run(run())
