"""R8: an upstream that drains, crashes or hangs gets no new calls."""

import asyncio
import pathlib
import signal

import pytest

from godwitstall import clock
from godwitstall import messages
from godwitstall.node.upstreams import upstream as upstream_module
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
    node: fakes.NodeHarness, target: fakes.NodeHarness
) -> messages.UpstreamState:
    return node.node.view.members[target.options.node_id].state


async def _check_no_new_calls(
    entry: fakes.NodeHarness,
    leaving: fakes.NodeHarness,
    other: fakes.NodeHarness,
) -> None:
    """Check that only the other upstream runs new calls, and all succeed."""
    runs_before = len(leaving.upstream.runs)
    for number in range(20):
        answer = await entry.call(f'/far/{number}', _KEY)
        assert answer.status == 200, answer
    assert len(leaving.upstream.runs) == runs_before
    assert len(other.upstream.runs) >= 20


@pytest.mark.parametrize('cause', ['silent', 'draining', 'dead'])
def test_leaving_upstream(tmp_path: pathlib.Path, cause: str) -> None:
    """Guards against new calls to an upstream that is leaving."""

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            _NOTE,
            _SERVICES,
            announce_timeout_s=0.6,
            probe_interval_s=0.1,
            retry_min_per_s=100.0,
        ) as (_, [entry, leaving, other]):
            is_released = asyncio.Event()

            async def respond_when_released(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await is_released.wait()
                await fakes.echo(request, writer)

            running_calls = None
            if cause != 'dead':
                leaving.upstream.respond = other.upstream.respond = (
                    respond_when_released
                )
                running_calls = [
                    asyncio.create_task(entry.call(f'/far/r{n}', _KEY))
                    for n in range(6)
                ]
                await fakes.until(
                    lambda: leaving.upstream.runs and other.upstream.runs,
                    'both upstreams running calls',
                )
            leaving.stop_announcing()
            match cause:
                case 'draining':
                    await leaving.announce(state='draining')
                case 'dead':
                    await leaving.upstream.stop()
                    # A call whose connection is refused is retried elsewhere.
                    for number in range(10):
                        answer = await entry.call(f'/far/d{number}', _KEY)
                        assert answer.status == 200
                case _:
                    pass
            await fakes.until(
                lambda: (
                    _state(entry, leaving) is not messages.UpstreamState.READY
                ),
                'state known to the entry node',
            )
            # A call that was sent based on an older state is refused, not run.
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
            # Running calls finish normally.
            is_released.set()
            for task in running_calls or []:
                assert (await task).status == 200
            await _check_no_new_calls(entry, leaving, other)
            # The next incarnation gets calls again.
            if cause == 'dead':
                await leaving.upstream.start()
            leaving.incarnation += 1
            await leaving.announce()
            await fakes.until(
                lambda: _state(entry, leaving) is messages.UpstreamState.READY,
                'upstream ready again',
            )
            runs_before = len(leaving.upstream.runs)
            # The picker avoids a member for some time after a failure.
            while len(leaving.upstream.runs) == runs_before:
                answer = await entry.call('/far/back', _KEY)
                assert answer.status == 200

    asyncio.run(run())


def test_drained_while_queued(tmp_path: pathlib.Path) -> None:
    """Guards against queued calls that are sent to a draining upstream."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, {'siop-1': 'siop'}, max_queue_wait_ms=300
        ) as (control, [node]):
            node.stop_announcing()
            await node.announce(slots=1)
            is_released = asyncio.Event()

            async def respond_when_released(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await is_released.wait()
                await fakes.echo(request, writer)

            node.upstream.respond = respond_when_released
            first = asyncio.create_task(node.call('/orders/1', _KEY))
            await fakes.until(lambda: node.upstream.runs, 'call running')
            second = asyncio.create_task(node.call('/orders/2', _KEY))
            await fakes.until(
                lambda: len(node.node.owner.slots.queue), 'call queued'
            )
            await node.announce(slots=1, state='draining')
            is_released.set()
            assert (await first).status == 200
            refused = await second
            assert refused.status == 503
            assert refused.headers['godwitstall-outcome'] == 'not-run'
            assert len(node.upstream.runs) == 1

    asyncio.run(run())


def test_frozen_upstream(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against relying on a health endpoint while calls hang."""
    monkeypatch.setattr(upstream_module, 'STALL_TIMEOUT_S', 0.4)
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
            is_resumed = asyncio.Event()

            async def respond_when_resumed(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await is_resumed.wait()
                await fakes.echo(request, writer)

            frozen.upstream.respond = respond_when_resumed
            calls = [
                asyncio.create_task(entry.call(f'/far/{n}', _KEY))
                for n in range(6)
            ]
            await fakes.until(lambda: upstream.is_stalled, 'upstream stalled')
            await fakes.until(
                lambda: _state(entry, frozen) is messages.UpstreamState.DOWN,
                'state known to the entry node',
            )
            assert frozen.node.owner.load().limit == 0
            await _check_no_new_calls(entry, frozen, other)
            # Probes have succeeded all the time and must not end the stall.
            client = upstream.client
            assert client is not None and client.idle
            is_resumed.set()
            for call in calls:
                assert (await call).status == 200
            await fakes.until(
                lambda: _state(entry, frozen) is messages.UpstreamState.READY,
                'upstream ready again',
            )
            runs_before = len(frozen.upstream.runs)
            await asyncio.gather(
                *(entry.call(f'/far/w{n}', _KEY) for n in range(20))
            )
            assert len(frozen.upstream.runs) > runs_before

    asyncio.run(run())


def test_queue_of_a_stalled_upstream_moves_on(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a queue that is not resumed after a recovery."""
    monkeypatch.setattr(upstream_module, 'STALL_TIMEOUT_S', 0.2)
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
            hanging_call = asyncio.create_task(node.call('/orders/1', _KEY))
            await fakes.until(
                lambda: node.node.upstream.is_stalled, 'upstream stalled'
            )
            hanging_call.cancel()
            await asyncio.gather(hanging_call, return_exceptions=True)
            node.upstream.respond = fakes.echo
            # Sent to the owner directly, because entry nodes avoid a stalled
            # upstream.
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
    """Guards against full load on a process that has just started."""

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
            # A tenth of the slots is used; the queue refuses the other calls.
            done: set[asyncio.Task[object]] = set()
            while len(done) < 36:
                done, _ = await asyncio.wait(
                    calls, return_when=asyncio.FIRST_COMPLETED
                )
                await asyncio.sleep(0.01)
            assert len(node.upstream.runs) == 4
            # A queued call starts when the share grows, without the end of
            # another call.
            waiting = asyncio.create_task(node.call('/orders/last', _KEY))
            await fakes.until(
                lambda: len(node.node.owner.slots.queue), 'call queued'
            )
            node.node.upstream.warmup.warmup_s = 0.0
            await fakes.until(
                lambda: len(node.upstream.runs) == 5, 'one more call running'
            )
            for task in [*calls, waiting]:
                task.cancel()
            await asyncio.gather(*calls, waiting, return_exceptions=True)

    asyncio.run(run())


# Fields that make an announcement invalid.
_INVALID_CHANGES: list[dict[str, object]] = [
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
    """Guards against an invalid announcement that stops the node."""
    # A failed task of the node would terminate the test process.
    monkeypatch.setattr(signal, 'raise_signal', lambda number: None)

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            control,
            [node],
        ):
            for changes in _INVALID_CHANGES:
                assert (await node.announce(**changes)).status == 400, changes
            node.incarnation = 5
            assert (await node.announce()).status == 204
            # A late announcement of the previous process.
            assert (await node.announce(incarnation=4)).status == 400
            await fakes.until(
                lambda: (
                    node.node.view.members[
                        node.options.node_id
                    ].upstream_incarnation
                    == 5
                ),
                'incarnation known to control',
            )
            assert not [task for task in node.node.tasks if task.done()]
            assert clock.now() < node.node.session.lease_until

    asyncio.run(run())
