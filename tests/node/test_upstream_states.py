"""R8: an upstream that leaves, dies or hangs gets no new work."""

import asyncio
import pathlib
import signal

import pytest

from godwitstall import clock
from godwitstall import messages
from godwitstall.node import upstream as upstream_module
from tests import fakes

_NOTE = fakes.note(
    1,
    {'dyffryn': (100_000, 50_000)},
    [
        {'name': 'orders', 'path_prefix': '/orders', 'service': 'siop'},
        {'name': 'far', 'path_prefix': '/far', 'service': 'gwydd'},
    ],
)
_KEY = 'key-dyffryn'
_SERVICES = {'siop-1': 'siop', 'gwydd-1': 'gwydd', 'gwydd-2': 'gwydd'}


def _state(
    node: fakes.NodeHarness, of: fakes.NodeHarness
) -> messages.UpstreamState:
    return node.node.view.members[of.options.node_id].state


async def _no_new_work(
    entry: fakes.NodeHarness,
    leaving: fakes.NodeHarness,
    other: fakes.NodeHarness,
) -> None:
    """Check that calls are answered, and by the other upstream only."""
    before = len(leaving.upstream.runs)
    for number in range(20):
        answer = await entry.call(f'/far/{number}', _KEY)
        assert answer.status == 200, answer
    assert len(leaving.upstream.runs) == before
    assert len(other.upstream.runs) >= 20


@pytest.mark.parametrize('way', ['silent', 'draining', 'dead'])
def test_leaving_upstream(tmp_path: pathlib.Path, way: str) -> None:
    """Guards against new work for an upstream that is leaving."""

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            _NOTE,
            _SERVICES,
            announce_timeout_s=0.6,
            probe_interval_s=0.1,
            retry_min_per_s=100.0,
        ) as (_, [entry, leaving, other]):
            is_free = asyncio.Event()

            async def hold(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await is_free.wait()
                await fakes.echo(request, writer)

            running = None
            if way != 'dead':
                leaving.upstream.respond = other.upstream.respond = hold
                running = [
                    asyncio.create_task(entry.call(f'/far/r{n}', _KEY))
                    for n in range(6)
                ]
                await fakes.until(
                    lambda: leaving.upstream.runs and other.upstream.runs,
                    'both run calls',
                )
            leaving.stop_announcing()
            match way:
                case 'draining':
                    await leaving.announce(state='draining')
                case 'dead':
                    await leaving.upstream.stop()
                    # The first call that meets the refusal goes elsewhere.
                    for number in range(10):
                        answer = await entry.call(f'/far/d{number}', _KEY)
                        assert answer.status == 200
                case _:
                    pass
            await fakes.until(
                lambda: (
                    _state(entry, leaving) is not messages.UpstreamState.READY
                ),
                'entry nodes know',
            )
            # A call on its way by an older state is refused, not run.
            late = messages.Call(
                service=messages.ServiceName('gwydd'),
                method='GET',
                path='/far/late',
                deadline_ms=1000,
                attempts=1,
            )
            refused = await leaving.node.owner.handle(late)
            assert refused.kind.label == 'upstream_unreachable'
            assert refused.outcome.label == 'not-run'
            # What runs there ends undisturbed.
            is_free.set()
            for task in running or []:
                assert (await task).status == 200
            await _no_new_work(entry, leaving, other)
            # Its next incarnation gets work again.
            if way == 'dead':
                await leaving.upstream.start()
            leaving.incarnation += 1
            await leaving.announce()
            await fakes.until(
                lambda: _state(entry, leaving) is messages.UpstreamState.READY,
                'back',
            )
            before = len(leaving.upstream.runs)
            # The picker avoids a member for a while after a failure.
            while len(leaving.upstream.runs) == before:
                answer = await entry.call('/far/back', _KEY)
                assert answer.status == 200

    asyncio.run(run())


def test_drained_while_queued(tmp_path: pathlib.Path) -> None:
    """Guards against queued work that goes to an upstream after its leave."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, {'siop-1': 'siop'}, max_queue_wait_ms=300
        ) as (control, [node]):
            node.stop_announcing()
            await node.announce(slots=1)
            is_free = asyncio.Event()

            async def hold(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await is_free.wait()
                await fakes.echo(request, writer)

            node.upstream.respond = hold
            first = asyncio.create_task(node.call('/orders/1', _KEY))
            await fakes.until(lambda: node.upstream.runs, 'runs')
            second = asyncio.create_task(node.call('/orders/2', _KEY))
            await fakes.until(
                lambda: len(node.node.owner.slots.queue), 'queued'
            )
            await node.announce(slots=1, state='draining')
            is_free.set()
            assert (await first).status == 200
            refused = await second
            assert refused.status == 503
            assert refused.headers['godwitstall-outcome'] == 'not-run'
            assert len(node.upstream.runs) == 1

    asyncio.run(run())


def test_frozen_upstream(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against trust in a health endpoint beside hanging calls."""
    monkeypatch.setattr(upstream_module, 'STALL_S', 0.4)
    monkeypatch.setattr(upstream_module, 'STALL_PAUSE_MIN_S', 0.1)

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            _NOTE,
            _SERVICES,
            probe_interval_s=0.1,
            retry_min_per_s=100.0,
        ) as (_, [entry, frozen, other]):
            upstream = frozen.node.upstream
            is_thawed = asyncio.Event()

            async def hang(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await is_thawed.wait()
                await fakes.echo(request, writer)

            frozen.upstream.respond = hang
            calls = [
                asyncio.create_task(entry.call(f'/far/{n}', _KEY))
                for n in range(6)
            ]
            await fakes.until(lambda: upstream.is_stalled, 'stalled')
            await fakes.until(
                lambda: _state(entry, frozen) is messages.UpstreamState.DOWN,
                'entry nodes know',
            )
            assert frozen.node.owner.load().limit == 0
            await _no_new_work(entry, frozen, other)
            # Probes are answered all the time and prove nothing.
            client = upstream.client
            assert client is not None and client.idle
            is_thawed.set()
            for call in calls:
                assert (await call).status == 200
            await fakes.until(
                lambda: _state(entry, frozen) is messages.UpstreamState.READY,
                'work again',
            )
            before = len(frozen.upstream.runs)
            await asyncio.gather(
                *(entry.call(f'/far/w{n}', _KEY) for n in range(20))
            )
            assert len(frozen.upstream.runs) > before

    asyncio.run(run())


def test_queue_of_a_stalled_upstream_moves_on(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a queue that nobody wakes after a recovery."""
    monkeypatch.setattr(upstream_module, 'STALL_S', 0.2)
    monkeypatch.setattr(upstream_module, 'STALL_PAUSE_MIN_S', 0.05)

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            _NOTE,
            {'siop-1': 'siop'},
            probe_interval_s=0.05,
            max_queue_wait_ms=15_000,
        ) as (_, [node]):
            node.upstream.respond = fakes.no_answer
            hung = asyncio.create_task(node.call('/orders/1', _KEY))
            await fakes.until(lambda: node.node.upstream.is_stalled, 'no work')
            hung.cancel()
            await asyncio.gather(hung, return_exceptions=True)
            node.upstream.respond = fakes.echo
            # Called at the owner: entry nodes send a stalled one no work.
            call = messages.Call(
                service=messages.ServiceName('siop'),
                method='GET',
                path='/orders/2',
                deadline_ms=15_000,
                attempts=1,
            )
            answer = await node.node.owner.handle(call)
            assert answer.status == 200
            assert not node.node.upstream.is_stalled

    asyncio.run(run())


def test_new_incarnation_starts_small(tmp_path: pathlib.Path) -> None:
    """Guards against a full load for a cold process."""

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            _NOTE,
            {'siop-1': 'siop'},
            warmup_s=1000.0,
            max_queue_wait_ms=100,
        ) as (_, [node]):
            node.slots = 40
            node.incarnation = 2
            await node.announce()
            node.upstream.respond = fakes.no_answer
            calls = [
                asyncio.create_task(node.call(f'/orders/{n}', _KEY))
                for n in range(40)
            ]
            # A tenth of the slots; the others are refused by the queue.
            done: set[asyncio.Task[object]] = set()
            while len(done) < 36:
                done, _ = await asyncio.wait(
                    calls, return_when=asyncio.FIRST_COMPLETED
                )
                await asyncio.sleep(0.01)
            assert len(node.upstream.runs) == 4
            # When the share grows, nothing needs to end first.
            waiting = asyncio.create_task(node.call('/orders/last', _KEY))
            await fakes.until(
                lambda: len(node.node.owner.slots.queue), 'queued'
            )
            node.node.upstream.warmup.warmup_s = 0.0
            await fakes.until(
                lambda: len(node.upstream.runs) == 5, 'one more runs'
            )
            for task in [*calls, waiting]:
                task.cancel()
            await asyncio.gather(*calls, waiting, return_exceptions=True)

    asyncio.run(run())


# Changes of an announcement that is refused.
_BAD: list[dict[str, object]] = [
    {'incarnation': 0},
    {'incarnation': 2**64},
    {'incarnation': 'x'},
    {'slots': 0},
    {'slots': 2**32},
    {'connections': 2**40},
    {'port': 70_000},
    {'service': 'gwydd'},
    {'state': 'gone'},
    {'health_path': 'x'},
    {'more': 1},
]


def test_bad_announcements(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an announcement that stops the node."""
    # A node whose task fails would end the process of the tests.
    monkeypatch.setattr(signal, 'raise_signal', lambda number: None)

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            control,
            [node],
        ):
            for changes in _BAD:
                assert (await node.announce(**changes)).status == 400, changes
            node.incarnation = 5
            assert (await node.announce()).status == 204
            # Late, from a process before.
            assert (await node.announce(incarnation=4)).status == 400
            await fakes.until(
                lambda: (
                    node.node.view.members[
                        node.options.node_id
                    ].upstream_incarnation
                    == 5
                ),
                'control knows',
            )
            assert not [task for task in node.node.tasks if task.done()]
            assert clock.now() < node.node.session.lease_until

    asyncio.run(run())
