"""Upstreams that write an earlier refusal once more on a kept connection.

The upstream refuses the first request, runs all others, and writes the refusal
again at some point. No caller may be told that a request was not run because
of a refusal that was meant for another request, or because of a status alone.
"""

import asyncio
import collections.abc
import contextlib
import enum
import re
import typing

import pytest

from godwitstall import clock
from godwitstall import codec
from godwitstall import errors
from godwitstall.http import messages as http_messages
from godwitstall import messages
from godwitstall.node import gateway_node
from godwitstall.node.upstreams import announcements
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_client
from tests import gateways

_FRAMING = upstream_answer.Framing(gateways.DIALECT.attempt_id, True)
_WAIT_S = 10.0
_PAUSE_S = 0.01

# Statuses that tell a caller that its request was not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)

_REFUSAL_STATUSES = (503, 429, 421, 400)

# Starts of a refusal that form one head with the answer behind them.
_TRUNCATED_REFUSALS = (
    b'HTTP/1.1 503 Busy',
    b'HTTP/1.1 503 Busy\r\nx-not-run: 1',
)

_REQUEST_ID = re.compile(rb'x-id: (\w+)\r\n')


class _Time(enum.Enum):
    """When the refusal is written once more."""

    # In one segment with the first copy.
    WITH_THE_FIRST = 0
    # While the connection is idle.
    IDLE = 1
    # While the next request on the connection runs, before its answer.
    BEFORE_THE_NEXT_ANSWER = 2


def _refusal(status: int, request_id: bytes) -> bytes:
    """Return a refusal with a request id, or without one if it is empty."""
    id_line = b'x-id: %s\r\n' % request_id if request_id else b''
    return b'HTTP/1.1 %d X\r\nx-not-run: 1\r\n%scontent-length: 0\r\n\r\n' % (
        status,
        id_line,
    )


def _run_answer(status: int, request_id: bytes) -> bytes:
    return (
        b'HTTP/1.1 %d X\r\nx-id: %s\r\nx-signature: s\r\n'
        b'content-length: 3\r\n\r\nown' % (status, request_id)
    )


class _Upstream:
    """An upstream that refuses the first request and repeats the refusal."""

    def __init__(
        self,
        first: bytes = b'',
        repeated: bytes = b'',
        time: _Time = _Time.BEFORE_THE_NEXT_ANSWER,
        is_written_in_bytes: bool = False,
        run_status: int = 200,
    ) -> None:
        # Answer to the first request; empty if it is run like the others.
        self.first = first
        # Bytes that the connection of the first request carries once more.
        self.repeated = repeated
        self.time = time
        self.is_written_in_bytes = is_written_in_bytes
        # Status of the answers to requests that were run.
        self.run_status = run_status
        # Ids of the requests that were run.
        self.runs: list[bytes] = []
        # Called when each run begins.
        self.on_run: typing.Callable[[], None] = lambda: None
        self.port = 0

    @contextlib.asynccontextmanager
    async def listening(self) -> collections.abc.AsyncIterator[None]:
        """Accept connections while the body runs."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer_all(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_all(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Bytes that precede the next answer.
        due = b''
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            if self.first:
                writer.write(self._take_first())
                due = await self._repeat_early(writer)
                continue
            id_match = _REQUEST_ID.search(head)
            request_id = id_match[1] if id_match else b''
            self.runs.append(request_id)
            self.on_run()
            await self._write(writer, due)
            due = b''
            await asyncio.sleep(_PAUSE_S)
            writer.write(_run_answer(self.run_status, request_id))

    def _take_first(self) -> bytes:
        first, self.first = self.first, b''
        if self.time is _Time.WITH_THE_FIRST:
            return first + self.repeated
        return first

    async def _repeat_early(self, writer: asyncio.StreamWriter) -> bytes:
        """Repeat the refusal if it is time; return what is due later."""
        match self.time:
            case _Time.WITH_THE_FIRST:
                return b''
            case _Time.IDLE:
                await asyncio.sleep(_PAUSE_S)
                await self._write(writer, self.repeated)
                return b''
            case _Time.BEFORE_THE_NEXT_ANSWER:
                return self.repeated

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self.is_written_in_bytes:
            writer.write(data)
            return
        for value in data:
            writer.write(bytes((value,)))
            await asyncio.sleep(0.001)


async def _send(
    client: upstream_client.UpstreamClient,
    request_id: bytes,
    wait_s: float = _WAIT_S,
) -> upstream_answer.UpstreamAnswer:
    block = b'x-id: %s\r\n' % request_id if request_id else b''
    return await client.send(
        'GET', '/', block, b'', clock.now() + wait_s, b'a', request_id
    )


@contextlib.asynccontextmanager
async def _client(
    upstream: _Upstream,
) -> collections.abc.AsyncIterator[upstream_client.UpstreamClient]:
    """Yield a client of an upstream."""
    async with upstream.listening():
        client = upstream_client.UpstreamClient(
            '127.0.0.1', upstream.port, 4, 4096, _FRAMING
        )
        try:
            yield client
        finally:
            client.close()


async def _check_next_answer(
    upstream: _Upstream, first_id: bytes, status: int
) -> None:
    """Check that the refusal answers the first request only."""
    async with _client(upstream) as client:
        assert (await _send(client, first_id)).status == status
        await asyncio.sleep(3 * _PAUSE_S)
        answer = await _send(client, b'second')
        assert (answer.status, answer.body) == (200, b'own')
        assert upstream.runs == [b'second']


@pytest.mark.parametrize('status', _REFUSAL_STATUSES)
@pytest.mark.parametrize('time', _Time)
@pytest.mark.parametrize('is_written_in_bytes', [False, True])
def test_refusal_with_id_answers_its_request_only(
    status: int, time: _Time, is_written_in_bytes: bool
) -> None:
    """Guards against a repeated refusal that answers the next request."""
    refusal = _refusal(status, b'first')
    upstream = _Upstream(refusal, refusal, time, is_written_in_bytes)
    asyncio.run(_check_next_answer(upstream, b'first', status))


@pytest.mark.parametrize('status', _REFUSAL_STATUSES)
@pytest.mark.parametrize('time', [_Time.WITH_THE_FIRST, _Time.IDLE])
def test_refusal_without_id_on_an_idle_connection(
    status: int, time: _Time
) -> None:
    """Guards against a refusal that waits for the next request."""
    refusal = _refusal(status, b'')
    upstream = _Upstream(refusal, refusal, time)
    asyncio.run(_check_next_answer(upstream, b'first', status))


@pytest.mark.parametrize('status', _REFUSAL_STATUSES)
@pytest.mark.parametrize('is_written_in_bytes', [False, True])
@pytest.mark.parametrize('first_id', [b'first', b''])
def test_refusal_without_id_answers_its_request_only(
    status: int, is_written_in_bytes: bool, first_id: bytes
) -> None:
    """Guards against a refusal of a call or a probe for the next request."""
    refusal = _refusal(status, b'')
    upstream = _Upstream(
        refusal, refusal, is_written_in_bytes=is_written_in_bytes
    )
    asyncio.run(_check_next_answer(upstream, first_id, status))


@pytest.mark.parametrize('status', (*_REFUSAL_STATUSES, 200))
def test_answer_without_id_on_a_kept_connection(status: int) -> None:
    """Guards against answers that are attributed by their position alone."""

    async def scenario() -> None:
        first = _refusal(503, b'first')
        upstream = _Upstream(first, _refusal(status, b''))
        async with _client(upstream) as client:
            await _send(client, b'first')
            with pytest.raises(errors.RequestError) as caught:
                await _send(client, b'second')
            assert caught.value.kind is errors.ErrorKind.ANSWER_CUT
            assert not client.idle

    asyncio.run(scenario())


def test_answer_with_id_to_a_request_without() -> None:
    """Guards against a refusal of a call that answers a probe."""

    async def scenario() -> None:
        refusal = _refusal(503, b'first')
        async with _client(_Upstream(refusal, refusal)) as client:
            await _send(client, b'first')
            assert (await _send(client, b'')).body == b'own'

    asyncio.run(scenario())


@pytest.mark.parametrize('status', (*_REFUSAL_STATUSES, 200))
def test_connection_ends_with_an_answer_without_id(status: int) -> None:
    """Guards against answers that fail if an upstream returns no ids."""

    async def scenario() -> None:
        async with _client(_Upstream(_refusal(status, b''))) as client:
            assert (await _send(client, b'first')).status == status
            assert not client.idle

    asyncio.run(scenario())


def test_connection_is_kept_after_a_healthy_probe() -> None:
    """Guards against a new connection for each probe."""

    async def scenario() -> None:
        async with _client(_Upstream(_refusal(200, b''))) as client:
            assert (await _send(client, b'')).status == 200
            assert len(client.idle) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize('repeated_id', [b'first', b''])
@pytest.mark.parametrize('is_written_in_bytes', [False, True])
def test_truncated_refusal_is_not_joined_with_the_next_answer(
    repeated_id: bytes, is_written_in_bytes: bool
) -> None:
    """Guards against the status of one answer with the id of another."""
    first = _refusal(503, b'first')
    repeated = _refusal(503, repeated_id)

    async def check(cut: int) -> None:
        upstream = _Upstream(
            first, repeated[:cut], is_written_in_bytes=is_written_in_bytes
        )
        async with _client(upstream) as client:
            await _send(client, b'first')
            try:
                answer = await _send(client, b'second', 20 * _PAUSE_S)
            except errors.RequestError as e:
                outcome = errors.ANSWERS[e.kind].outcome
                assert outcome is errors.Outcome.UNKNOWN, cut
            else:
                assert (answer.status, answer.body) == (200, b'own'), cut

    async def scenario() -> None:
        await asyncio.gather(*(check(cut) for cut in range(len(repeated))))

    asyncio.run(scenario())


class _Forwarder:
    """Delivers calls to the owners of a fleet."""

    def __init__(self, fleet: '_Fleet') -> None:
        self.fleet = fleet

    async def call(self, address: str, call: messages.Call) -> messages.Answer:
        copied = codec.decode(codec.encode(call))
        assert isinstance(copied, messages.Call)
        return await self.fleet.nodes[address].owner.handle(copied)

    def close_links_except(self, addresses: set[str]) -> None:
        pass


class _Fleet:
    """Two gateway nodes of one service, with upstreams over real sockets."""

    def __init__(self, upstream: _Upstream, is_idempotent: bool) -> None:
        self.is_idempotent = is_idempotent
        self.upstreams = {'a': upstream, 'b': _Upstream()}
        self.nodes: dict[str, gateway_node.GatewayNode] = {}
        self.view_index = 0

    @contextlib.asynccontextmanager
    async def running(self) -> collections.abc.AsyncIterator[None]:
        """Run both nodes; a is the only member at first."""
        async with contextlib.AsyncExitStack() as stack:
            for name, upstream in self.upstreams.items():
                await stack.enter_async_context(upstream.listening())
                self._start(name, upstream.port)
            self.publish('a')
            yield
            for node in self.nodes.values():
                assert node.upstream.client is not None
                node.upstream.client.close()

    def _start(self, name: str, port: int) -> None:
        node = gateways.make_node('siop')
        node.options.node_id = messages.NodeId(name)
        node.options.warmup_s = 0.0
        node.options.retry_min_per_s = 1000.0
        forwarder: typing.Any = _Forwarder(self)
        node.forwarder = node.relay.forwarder = forwarder
        node.upstream.on_announcement(
            announcements.Announcement('siop', 1, port, 9, 9), clock.now()
        )
        self.nodes[name] = node

    def publish(self, *names: str) -> None:
        """Give both nodes the route and the members."""
        self.view_index += 1
        siop = messages.ServiceName('siop')
        route = messages.Route(
            'r',
            '/',
            host='a',
            service=siop,
            is_open=True,
            is_idempotent=self.is_idempotent,
            attempts=2,
            timeout_ms=round(_WAIT_S * 1000),
        )
        members = [
            messages.Member(
                messages.NodeId(name),
                1,
                siop,
                'z1',
                'r1',
                name,
                messages.UpstreamState.READY,
                slots=9,
                upstream_incarnation=1,
            )
            for name in names
        ]
        update = messages.StateUpdate(
            self.view_index,
            True,
            configuration=messages.Configuration(number=1, routes=[route]),
            members=members,
        )
        for node in self.nodes.values():
            node.view.apply(update)

    async def call(self, request_id: bytes) -> http_messages.Response:
        """Send a request of a client to node a."""
        pairs = [(b'host', b'a'), (gateways.DIALECT.attempt_id, request_id)]
        return await self.nodes['a'].gateway.serve(
            http_messages.Request('GET', '/1', pairs, b'', clock.now())
        )

    def runs(self, request_id: bytes) -> int:
        """Return how often a request was run."""
        return sum(
            upstream.runs.count(request_id)
            for upstream in self.upstreams.values()
        )


async def _check_caller(
    upstream: _Upstream, is_idempotent: bool, has_other: bool
) -> http_messages.Response:
    """Check what callers are told; return the response to the second."""
    fleet = _Fleet(upstream, is_idempotent)
    if has_other:
        # A call that is sent again goes to the other upstream.
        upstream.on_run = lambda: fleet.publish('a', 'b')
    async with fleet.running():
        refused = await fleet.call(b'first')
        assert refused.status == 503
        assert not fleet.runs(b'first')
        await asyncio.sleep(3 * _PAUSE_S)
        response = await fleet.call(b'second')
        assert upstream.runs == [b'second']
        assert is_idempotent or fleet.runs(b'second') == 1
        assert response.status not in _NOT_RUN_STATUSES
    return response


_for_each_kind_of_call = pytest.mark.parametrize(
    ('is_idempotent', 'has_other'),
    [(False, False), (False, True), (True, False), (True, True)],
)


@_for_each_kind_of_call
@pytest.mark.parametrize('status', _REFUSAL_STATUSES)
@pytest.mark.parametrize('time', _Time)
def test_caller_is_not_told_of_a_refusal_with_id(
    time: _Time, status: int, is_idempotent: bool, has_other: bool
) -> None:
    """Guards against callers that are refused for the request before."""
    refusal = _refusal(status, b'first')
    upstream = _Upstream(refusal, refusal, time)
    response = asyncio.run(_check_caller(upstream, is_idempotent, has_other))
    assert response.status == 200


@_for_each_kind_of_call
@pytest.mark.parametrize('status', _REFUSAL_STATUSES)
def test_caller_is_not_told_of_a_refusal_without_id(
    status: int, is_idempotent: bool, has_other: bool
) -> None:
    """Guards against "not run" for a request that the upstream runs.

    A non-idempotent request must not be sent to another upstream.
    """
    refusal = _refusal(status, b'')
    upstream = _Upstream(refusal, refusal)
    response = asyncio.run(_check_caller(upstream, is_idempotent, has_other))
    assert response.status == 200


@_for_each_kind_of_call
@pytest.mark.parametrize('status', _REFUSAL_STATUSES)
def test_caller_is_told_that_the_outcome_is_unknown(
    status: int, is_idempotent: bool, has_other: bool
) -> None:
    """Guards against "not run" because of a refusal without its id."""
    upstream = _Upstream(_refusal(status, b'first'), _refusal(status, b''))
    response = asyncio.run(_check_caller(upstream, is_idempotent, has_other))
    assert response.status == (200 if is_idempotent and has_other else 502)


@pytest.mark.parametrize(
    'start', _TRUNCATED_REFUSALS, ids=['status line', 'header line']
)
@pytest.mark.parametrize('has_other', [False, True])
def test_caller_is_not_told_of_a_truncated_refusal(
    start: bytes, has_other: bool
) -> None:
    """Guards against "not run" for a request that the upstream ran."""
    upstream = _Upstream(_refusal(503, b'first'), start)
    response = asyncio.run(_check_caller(upstream, False, has_other))
    assert response.status == 502


@_for_each_kind_of_call
@pytest.mark.parametrize('status', [408, 429, 503])
def test_caller_is_not_told_of_the_status_of_a_refusal(
    status: int, is_idempotent: bool, has_other: bool
) -> None:
    """Guards against "not run" where the upstream has not said so."""
    upstream = _Upstream(_refusal(503, b'first'), run_status=status)
    response = asyncio.run(_check_caller(upstream, is_idempotent, has_other))
    assert response.status == (200 if is_idempotent and has_other else 502)
