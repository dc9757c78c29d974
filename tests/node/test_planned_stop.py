"""R9: a planned stop of a node interrupts no request."""

import asyncio
import math
import pathlib
import typing

import pytest

from godwitstall import clock
from godwitstall import link as link_module
from godwitstall import messages
from loadtool import http_client
from tests import fakes

_NOTE = fakes.note(
    1,
    {'dyffryn': (100_000, 50_000)},
    [
        {
            'name': 'orders',
            'path_prefix': '/orders',
            'service': 'siop',
            'attempts': 8,
            'dispatch_attempts': 4,
        },
        {'name': 'far', 'path_prefix': '/far', 'service': 'gwydd'},
        {
            'name': 'slow',
            'path_prefix': '/slow',
            'service': 'siop',
            'timeout_ms': 120_000,
        },
    ],
)
_KEY = 'key-dyffryn'
_SERVICES = {'siop-1': 'siop', 'siop-2': 'siop', 'gwydd-1': 'gwydd'}


def test_no_call_fails(tmp_path: pathlib.Path) -> None:
    """Guards against calls that a planned stop interrupts or refuses.

    Until the node has stopped, it receives calls from callers and from other
    nodes, and the calls that it runs make onward calls.
    """

    async def run() -> None:
        # Callers never pause, so the node stops only if its listener closes.
        async with fakes.running(
            tmp_path, _NOTE, _SERVICES, stop_timeout_s=600.0
        ) as (control, [stopping, other, far]):

            def responder(node: fakes.NodeHarness) -> fakes.Responder:
                async def respond(
                    request: fakes.ReceivedRequest,
                    writer: asyncio.StreamWriter,
                ) -> None:
                    await asyncio.sleep(0.02)
                    if request.path == '/orders/onward':
                        answer = await node.call_onward(request, '/far/x')
                        assert answer.status == 200, answer
                    await fakes.echo(request, writer)

                return respond

            for node in (stopping, other, far):
                node.upstream.respond = responder(node)
            answers: list[tuple[str, http_client.Response]] = []
            failures: list[tuple[str, typing.Any]] = []
            stopped = asyncio.Event()

            async def keep_calling(node: fakes.NodeHarness, path: str) -> None:
                while not stopped.is_set():
                    try:
                        answer = await node.call(path, _KEY)
                    except http_client.CallError as e:
                        # A refused caller would connect to another node.
                        if e.reason != 'connect' or node is not stopping:
                            failures.append((path, e.reason))
                        return
                    answers.append((node.options.node_id, answer))
                    if answer.status != 200:
                        failures.append((path, answer))

            callers = [
                asyncio.create_task(keep_calling(node, path))
                for node in (stopping, other)
                for path in ('/orders/1', '/orders/onward', '/far/1')
                for _ in range(3)
            ]
            await fakes.until(
                lambda: (
                    stopping.upstream.runs
                    and len({node_id for node_id, _ in answers}) == 2
                ),
                'calls are running',
            )
            runs_before = len(stopping.upstream.runs)
            stop = asyncio.create_task(stopping.node.stop())
            await fakes.until(
                lambda: [
                    c for c in control.commands if type(c) is messages.Leave
                ],
                'node left the member list',
            )
            # A call forwarded by a node that does not know of the stop yet.
            late = messages.Call(
                service=messages.ServiceName('siop'),
                method='GET',
                path='/orders/late',
                workspace=messages.WorkspaceName('dyffryn'),
                deadline_ms=15_000,
                attempts=4,
            )
            answer = await other.node.forwarder.call(
                stopping.options.link_address, late
            )
            assert answer.status == 200
            # A call that is still running after the listener has closed.
            is_released = asyncio.Event()

            async def respond_when_released(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                if request.path != '/orders/1':
                    await is_released.wait()
                    onward = await stopping.call_onward(request, '/far/x')
                    assert onward.status == 200, onward
                await fakes.echo(request, writer)

            stopping.upstream.respond = respond_when_released
            # The stopping node is no longer a member, but nodes that do not
            # know of the stop still send calls to it.
            late.path = '/orders/held'
            held_call = asyncio.create_task(
                other.node.forwarder.call(stopping.options.link_address, late)
            )
            await fakes.until(
                lambda: (
                    not stopping.node.listener.is_accepting(
                        stopping.options.caller_address
                    )
                ),
                'caller listener closed',
            )
            # Time for a stop to end if it does not wait for the held call.
            await asyncio.sleep(1.0)
            assert not stop.done()
            is_released.set()
            assert (await held_call).status == 200
            await fakes.until(stop.done, 'node stopped')
            await stop
            stopped.set()
            await asyncio.gather(*callers)
            assert not failures
            assert len(stopping.upstream.runs) > runs_before
            closing_answers = [
                answer
                for node_id, answer in answers
                if node_id == stopping.options.node_id
                and answer.headers.get('connection') == 'close'
            ]
            assert closing_answers
            assert stopping.options.node_id not in other.node.view.members

    asyncio.run(run())


def test_late_request_that_can_outlast_a_stop(tmp_path: pathlib.Path) -> None:
    """Guards against a request that the end of a planned stop cuts.

    It comes on a connection that was idle when the stop began, and its
    deadline is after the end of the stop.
    """

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            _NOTE,
            {'siop-1': 'siop', 'siop-2': 'siop'},
            stop_timeout_s=2.0,
        ) as (_, [node, other]):
            is_released = asyncio.Event()

            async def respond(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                if request.path != '/orders/short':
                    await is_released.wait()
                await fakes.echo(request, writer)

            node.upstream.respond = other.upstream.respond = respond
            running = asyncio.create_task(node.call('/orders/running', _KEY))
            await fakes.until(
                lambda: bool(node.upstream.runs or other.upstream.runs),
                'a call runs',
            )
            # Leaves an idle connection in the pool of the client.
            assert (await node.call('/orders/short', _KEY)).status == 200
            stop = asyncio.create_task(node.node.stop())
            await fakes.until(
                lambda: (
                    not node.node.listener.is_accepting(
                        node.options.caller_address
                    )
                ),
                'caller listener closed',
            )
            late = await node.call('/orders/late', _KEY)
            assert late.status == 503
            assert late.headers['godwitstall-error'] == 'stopping'
            assert late.headers['godwitstall-outcome'] == 'not-run'
            assert late.headers['connection'] == 'close'
            is_released.set()
            assert (await running).status == 200
            await stop

    asyncio.run(run())


async def _hold(
    request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer no request."""


def _encode(path: str) -> bytes:
    return (
        f'GET {path} HTTP/1.1\r\nhost: a\r\ngodwitstall-key: {_KEY}\r\n\r\n'
    ).encode()


async def _connect(
    node: fakes.NodeHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(
        *link_module.split_address(node.options.caller_address)
    )


def test_request_that_a_stop_cuts_gets_a_final_response(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a connection that is closed without a response.

    The request behind the one that is running was read, but not started.
    """

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, {'siop-1': 'siop'}, stop_grace_s=2.0
        ) as (_, [node]):
            node.upstream.respond = _hold
            reader, writer = await _connect(node)
            writer.write(_encode('/orders/1') + _encode('/orders/2'))
            await fakes.until(lambda: bool(node.upstream.runs), 'a call runs')
            await node.node.stop()
            responses = (await reader.read()).split(b'HTTP/1.1 ')[1:]
            writer.close()
        assert [r[:3] for r in responses] == [b'504', b'503']
        assert b'godwitstall-error: cut_by_stop' in responses[0]
        assert b'godwitstall-outcome: unknown' in responses[0]
        assert b'godwitstall-error: stopping' in responses[1]
        assert b'godwitstall-outcome: not-run' in responses[1]
        assert len(node.upstream.runs) == 1

    asyncio.run(run())


@pytest.mark.parametrize('request_count', [1, 2, 40])
def test_requests_of_a_client_that_has_left_end(
    tmp_path: pathlib.Path, request_count: int
) -> None:
    """Guards against work for a client that has left.

    Its close comes behind requests that it has pipelined.
    """

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            _,
            [node],
        ):
            node.upstream.respond = _hold
            _, writer = await _connect(node)
            writer.write(_encode('/slow/1') * request_count)
            await fakes.until(lambda: bool(node.upstream.runs), 'a call runs')
            writer.close()
            await fakes.until(
                lambda: not node.node.owner.active, 'the call is cancelled'
            )
            assert len(node.upstream.runs) == 1

    asyncio.run(run())


def test_stop_ends_before_the_process_is_killed(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a request that is accepted and then killed.

    stop_grace_s counts from the signal, and the settle time is part of it.
    """

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            _NOTE,
            {'siop-1': 'siop'},
            stop_grace_s=10.0,
            stop_settle_s=2.0,
        ) as (_, [node]):
            killed_at = clock.now() + 10.0
            stop = asyncio.create_task(node.node.stop())
            await fakes.until(
                lambda: not math.isinf(node.node.owner.planned_stop.end),
                'settle time over',
            )
            assert node.node.owner.planned_stop.end < killed_at
            await stop

    asyncio.run(run())


def test_stop_that_another_node_does_not_hear_of(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop before leases on an older state expire."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, {'siop-1': 'siop', 'gwydd-1': 'gwydd'}
        ) as (control, [entry, stopping]):
            assert (await entry.call('/far/0', _KEY)).status == 200
            push = control._push

            def push_to_others(link: link_module.Link) -> None:
                if link.peer_id != entry.options.node_id:
                    push(link)

            monkeypatch.setattr(control, '_push', push_to_others)
            stop = asyncio.create_task(stopping.node.stop())
            # Heartbeat replies show the entry node that it misses an update,
            # so its lease expires.
            error_kinds: list[str] = []
            while not error_kinds or error_kinds[-1] == 'none':
                answer = await entry.call('/far/1', _KEY)
                error_kinds.append(
                    answer.headers.get('godwitstall-error', 'none')
                )
            assert error_kinds[-1] == 'control_lost'
            assert len(stopping.upstream.runs) == len(error_kinds)
            await stop

    asyncio.run(run())


def test_cancellation_together_with_a_reply(tmp_path: pathlib.Path) -> None:
    """Guards against a stop that waits forever for a task of the session.

    A task that is cancelled at the moment its reply arrives must end.
    """

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            _,
            [node],
        ):
            link = node.node.session.link
            assert link is not None
            pending_before = set(link.pending)
            task = asyncio.create_task(
                link.request(messages.BarrierRequest(), 10.0)
            )
            await asyncio.sleep(0)
            [number] = set(link.pending) - pending_before
            link.pending[number].set_result(messages.BarrierReply(number))
            task.cancel()
            await asyncio.wait({task})
            assert task.cancelled()

    asyncio.run(run())
