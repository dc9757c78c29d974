"""Requests that reach a gateway node late in its planned stop.

The node runs over real sockets, beside an upstream that answers after a
time.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import typing

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall.http import messages as http_messages
from godwitstall import messages
from godwitstall.node import gateway_node
from godwitstall.node.upstreams import announcements
from godwitstall import settings
from loadtool import addresses
from tests import gateways
from tests.listener import connections

_TIMEOUT_S = 20.0
_HOST = 'a.example'

# Grace time of the stop, seconds. No test waits for its end.
_GRACE_S = 20.0

# Timeouts of the two routes of the configuration, seconds: one that fits into
# the rest of a planned stop, and one that does not.
_SHORT_S = 2.0
_LONG_S = 60.0

# Request that runs until the end of each test.
_FIRST = '/long/first'

# Request that runs until a test releases it.
_SECOND = '/short/second-held'


class _Upstream:
    """An upstream that holds two of the requests until they are released."""

    def __init__(self) -> None:
        self.is_released = asyncio.Event()
        self.is_second_released = asyncio.Event()
        self.received: list[str] = []

    async def serve(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        self.received.append(request.target)
        if request.target == _FIRST:
            await self.is_released.wait()
        if request.target == _SECOND:
            await self.is_second_released.wait()
        return http_messages.Response(
            200,
            [
                (
                    gateways.DIALECT.attempt_id,
                    request.header(gateways.DIALECT.attempt_id),
                ),
                (gateways.DIALECT.signature, b's'),
            ],
            b'done',
        )


@dataclasses.dataclass
class _Stopping:
    """A node whose planned stop has begun, its upstream and its address."""

    node: gateway_node.GatewayNode
    upstream: _Upstream
    stop: asyncio.Task[None]
    is_settled: asyncio.Event

    async def end_settle_time(self) -> None:
        """End the time in which all requests are accepted."""
        self.is_settled.set()
        await _until(lambda: self.node.listener.is_stopping)

    async def send_late(self, target: str) -> tuple[bytes, bytes]:
        """Send a request when the settle time is over; return its response.

        Returns head and body, both empty if the connection is closed without
        a response.
        """
        reader, writer = await connections.connect(
            self.node.options.caller_address
        )
        # The node sees the connection before it stops listening.
        writer.write(_encode('/short/early'))
        async with asyncio.timeout(_TIMEOUT_S):
            await _read_response(reader)
            await self.end_settle_time()
            writer.write(_encode(target))
            response = await _read_response(reader)
        writer.close()
        return response


@contextlib.asynccontextmanager
async def _stopping_node(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.AsyncIterator[_Stopping]:
    upstream = _Upstream()
    async with connections.listening(upstream.serve) as (_, upstream_address):
        node = _make_node(upstream_address)
        await node.start()
        _publish(node)
        is_settled = asyncio.Event()
        monkeypatch.setattr(node, 'leave_and_settle', is_settled.wait)
        stop = asyncio.create_task(node.stop())
        # A request in progress keeps the node from stopping early.
        reader, writer = await connections.connect(node.options.caller_address)
        writer.write(_encode(_FIRST))
        await _until(lambda: bool(upstream.received))
        try:
            yield _Stopping(node, upstream, stop, is_settled)
            is_settled.set()
            upstream.is_released.set()
            await stop
            head, body = await _read_response(reader)
            assert (head[9:12], body) == (b'200', b'done')
        finally:
            stop.cancel()
            await asyncio.gather(stop, return_exceptions=True)
            writer.close()


def _make_node(
    upstream_address: str, grace_s: float = _GRACE_S
) -> gateway_node.GatewayNode:
    options = dataclasses.replace(
        gateways.make_options('n1', 'siop'),
        link_address=addresses.free_address(),
        caller_address=addresses.free_address(),
        upstream_address=upstream_address,
        stop_grace_s=grace_s,
        limit_policy=settings.LimitPolicy.FIXED,
        warmup_s=0.0,
    )
    fleet = settings.FleetOptions(
        'tests', seeds=[addresses.free_address()], is_without_secret=True
    )
    node = gateway_node.GatewayNode.from_config(
        options, fleet, gateways.DIALECT
    )
    _, _, port = upstream_address.rpartition(':')
    node.upstream.on_announcement(
        announcements.Announcement(
            options.service, 1, int(port), 9, 9, instance_id='i-1'
        ),
        clock.now(),
    )
    return node


def _publish(node: gateway_node.GatewayNode) -> None:
    """Give the node its routes, and itself as the only member."""
    node.view.apply(
        messages.StateUpdate(
            1,
            True,
            configuration=messages.Configuration(
                number=1,
                routes=[
                    _make_route('short', _SHORT_S),
                    _make_route('long', _LONG_S),
                ],
            ),
            members=[
                messages.Member(
                    node_id=node.options.node_id,
                    incarnation=1,
                    service=node.options.service,
                    zone='z1',
                    region='r1',
                    address=node.options.link_address,
                    state=messages.UpstreamState.READY,
                    slots=9,
                    upstream_incarnation=1,
                )
            ],
        )
    )


def _make_route(name: str, timeout_s: float) -> messages.Route:
    return messages.Route(
        name,
        f'/{name}/',
        host=_HOST,
        service=messages.ServiceName('siop'),
        is_open=True,
        is_idempotent=False,
        attempts=2,
        timeout_ms=round(timeout_s * 1000),
    )


def _encode(target: str) -> bytes:
    return (
        f'GET {target} HTTP/1.1\r\nhost: {_HOST}\r\nx-id: {target[1:]}\r\n\r\n'
    ).encode()


async def _read_response(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        _, _, rest = head.partition(b'content-length: ')
        length = int(rest.partition(b'\r\n')[0])
        return head, await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionResetError):
        return b'', b''


def _retry_after_s(head: bytes) -> float:
    _, _, rest = head.partition(b'\r\nretry-after: ')
    return float(rest.partition(b'\r\n')[0])


async def _no_settle_time() -> None:
    """Replace leave_and_settle(); control cannot be reached."""


async def _until(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def _run(
    check: collections.abc.Callable[
        [_Stopping], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with _stopping_node(monkeypatch) as stopping:
            await check(stopping)

    asyncio.run(scenario())


def test_request_that_can_outlast_a_stop_is_refused_and_not_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that the end of a planned stop cuts.

    It came late in the grace time, and its timeout ends after the grace time.
    """

    async def check(stopping: _Stopping) -> None:
        head, _ = await stopping.send_late('/long/late')
        assert head[9:12] == b'503'
        assert b'retry-after: ' in head
        assert b'connection: close' in head
        assert 'long/late' not in str(stopping.upstream.received)

    _run(check, monkeypatch)


def test_request_pipelined_behind_the_last_answers_of_a_stop_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that a stopping node reads and drops.

    Its client has seen a response of the stop, and no close.
    """

    async def check(stopping: _Stopping) -> None:
        reader, writer = await connections.connect(
            stopping.node.options.caller_address
        )
        writer.write(_encode(_SECOND) + _encode(_FIRST))
        async with asyncio.timeout(_TIMEOUT_S):
            await _until(lambda: len(stopping.upstream.received) == 3)
            await stopping.end_settle_time()
            stopping.upstream.is_second_released.set()
            head, _ = await _read_response(reader)
            assert head[9:12] == b'200'
            assert b'connection: close' not in head
            writer.write(_encode('/short/late'))
            # The node reads the request before the last response.
            await asyncio.sleep(0.1)
            stopping.upstream.is_released.set()
            head, _ = await _read_response(reader)
            assert head[9:12] == b'200'
            head, body = await _read_response(reader)
        writer.close()
        assert head[9:12] == b'503'
        assert json.loads(body)['outcome'] == 'not-run'
        assert b'retry-after: ' in head
        assert b'connection: close' in head
        assert '/short/late' not in stopping.upstream.received

    _run(check, monkeypatch)


def test_refusal_lets_a_client_return_at_once_to_a_node_that_accepts_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a Retry-After of the stop where a connection is due.

    The request ends before the stop does, and the node serves it on another
    connection at once.
    """

    async def check(stopping: _Stopping) -> None:
        address = stopping.node.options.caller_address
        reader, writer = await connections.connect(address)
        writer.write(_encode(_SECOND) + _encode(_FIRST))
        async with asyncio.timeout(_TIMEOUT_S):
            await _until(lambda: len(stopping.upstream.received) == 3)
            await stopping.end_settle_time()
            stopping.upstream.is_second_released.set()
            await _read_response(reader)
            writer.write(_encode('/short/late'))
            # The node reads the request before the last response.
            await asyncio.sleep(0.1)
            other_reader, other_writer = await connections.connect(address)
            other_writer.write(_encode('/short/other'))
            served, _ = await _read_response(other_reader)
            other_writer.close()
            stopping.upstream.is_released.set()
            await _read_response(reader)
            refused, _ = await _read_response(reader)
        writer.close()
        assert served[9:12] == b'200'
        assert refused[9:12] == b'503'
        assert _retry_after_s(refused) < _SHORT_S

    _run(check, monkeypatch)


def test_request_that_ends_in_the_grace_time_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stopping node that refuses what it can finish."""

    async def check(stopping: _Stopping) -> None:
        head, body = await stopping.send_late('/short/late')
        assert (head[9:12], body) == (b'200', b'done')
        assert b'connection: close' in head

    _run(check, monkeypatch)


def test_request_before_the_stop_is_known_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusals of clients that cannot know of the stop."""

    async def check(stopping: _Stopping) -> None:
        # /long/first was sent when the stop had begun; its response is
        # checked at the end of the scenario.
        assert stopping.upstream.received[0] == '/long/first'

    _run(check, monkeypatch)


def test_onward_call_of_an_accepted_request_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that fail for a refused onward call.

    The parent was accepted when the stop had begun, with a deadline after the
    end of the stop; the time left for the onward call is the parent's.
    """

    async def check(stopping: _Stopping) -> None:
        # The id is that of the running request with a suffix.
        head, body = await stopping.send_late('/long/first.1')
        assert (head[9:12], body) == (b'200', b'done')

    _run(check, monkeypatch)


def test_late_call_of_another_node_is_refused_and_not_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call that the end of the owner's stop cuts.

    The entry node has not heard of the stop. It can send the call to another
    owner, since the refusal says that the request was not run.
    """

    async def check(stopping: _Stopping) -> None:
        await stopping.end_settle_time()
        answer = await stopping.node.owner.handle(_make_call(_LONG_S))
        assert answer.kind is errors.ErrorKind.STOPPING
        assert answer.outcome is errors.Outcome.NOT_RUN
        answer = await stopping.node.owner.handle(_make_call(_SHORT_S))
        assert answer.kind is errors.ErrorKind.NONE

    _run(check, monkeypatch)


def test_answer_behind_a_request_that_outlasts_the_stop_is_delivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a ready answer that is lost at the end of a stop.

    The request in front of it on its connection is still running.
    """

    async def scenario() -> None:
        upstream = _Upstream()
        async with connections.listening(upstream.serve) as (_, address):
            node = _make_node(address, grace_s=1.0)
            monkeypatch.setattr(node, 'leave_and_settle', _no_settle_time)
            await node.start()
            _publish(node)
            reader, writer = await connections.connect(
                node.options.caller_address
            )
            writer.write(_encode(_FIRST) + _encode('/short/second'))
            await _until(lambda: len(upstream.received) == 2)
            async with asyncio.timeout(_TIMEOUT_S):
                await node.stop()
                head, body = await _read_response(reader)
                # An upstream runs the request, so that it may have had an
                # effect.
                assert head[9:12] == b'504'
                assert json.loads(body)['outcome'] == 'unknown'
                head, body = await _read_response(reader)
                assert (head[9:12], body) == (b'200', b'done')
                assert b'connection: close' in head
            writer.close()

    asyncio.run(scenario())


def _make_call(deadline_s: float) -> messages.Call:
    return messages.Call(
        service=messages.ServiceName('siop'),
        method='GET',
        path='/called',
        deadline_ms=round(deadline_s * 1000),
        attempts=1,
        headers=b'x-id: called\r\n',
        request_id=b'called',
    )
