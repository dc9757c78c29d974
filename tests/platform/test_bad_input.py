"""Malformed requests to the endpoints of a node."""

import asyncio
import json
import random

from adapter import names
from adapter import node as node_adapter
import hypothesis
from hypothesis import strategies

from godwitstall.http import messages as http_messages
from godwitstall import messages
from loadtool import addresses
from tests import gateways
from tests.platform import harnesses

_HEARTBEAT = harnesses.HEARTBEAT | {'sequence': 7}

_READINESS_REQUEST = (
    b'GET /-/readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
)

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=9)
    | strategies.sampled_from(['siop', '127.0.0.1:9000', 'ready', ':', '1:-1'])
    | strategies.lists(strategies.integers(), max_size=3),
    lambda inner: strategies.dictionaries(
        strategies.text(max_size=5), inner, max_size=3
    ),
    max_leaves=4,
)
_CHANGES = strategies.dictionaries(
    strategies.sampled_from(sorted(_HEARTBEAT)), _JSON, min_size=1, max_size=3
)


def _serve(adapter: node_adapter.NodeApi, target: str, body: bytes) -> int:
    request = http_messages.Request('POST', target, [], body, 0.0)
    return asyncio.run(adapter.serve_call(request)).status


def _make_announced_node() -> node_adapter.NodeApi:
    """Return a node that has accepted a heartbeat."""
    adapter = node_adapter.NodeApi(gateways.make_node('siop', names.DIALECT))
    target = '/-/rpc?call=instances.heartbeat&of=i-1'
    assert _serve(adapter, target, json.dumps(_HEARTBEAT).encode()) == 200
    return adapter


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    changes=_CHANGES, cut=strategies.none() | strategies.integers(0, 90)
)
def test_bad_announcement_loses_nothing(
    changes: dict[str, object], cut: int | None
) -> None:
    """Guards against a malformed heartbeat that disables the upstream."""
    adapter = _make_announced_node()
    upstream = adapter.node.upstream
    body = json.dumps(_HEARTBEAT | changes).encode()[:cut]
    target = '/-/rpc?call=instances.heartbeat&of=i-1'
    status = _serve(adapter, target, body)
    assert status in (200, 400)
    assert upstream.client is not None
    if status == 400:
        assert upstream.state is messages.UpstreamState.READY
        assert upstream.slots == 87
    assert 0 < upstream.slots < 2**31


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    target=strategies.text(
        strategies.sampled_from('/-?&=%callofinstances.heartbeat\x80\xff'),
        max_size=40,
    ),
    body=strategies.binary(max_size=40),
)
def test_any_target_gets_an_answer(target: str, body: bytes) -> None:
    """Guards against a path or query that makes the handler raise."""
    adapter = _make_announced_node()
    assert _serve(adapter, target, body) in (200, 400, 404)
    state = adapter.node.upstream.state
    assert state is messages.UpstreamState.READY


def _corrupt_request(seed: int) -> bytes:
    """Return a request with bytes changed, inserted or deleted."""
    rng = random.Random(seed)
    body = json.dumps(_HEARTBEAT).encode()
    data = bytearray(
        b'POST /-/rpc?call=instances.heartbeat&of=i-1 HTTP/1.1\r\n'
        b'host: a\r\ncontent-length: %d\r\n\r\n' % len(body) + body
    )
    for _ in range(rng.randint(1, 6)):
        position = rng.randrange(len(data))
        match rng.randrange(4):
            case 0:
                data[position] = rng.randrange(256)
            case 1:
                del data[position : position + rng.randint(1, 30)]
            case 2:
                data[position:position] = bytes(
                    rng.randrange(256) for _ in 'ab'
                )
            case _:
                line = b'transfer-encoding: chunked\r\n'
                data[position:position] = line
        if not data:
            return b'\0'
    return bytes(data)


def test_garbage_on_each_port() -> None:
    """Guards against bytes that stop a node or block one of its ports."""

    async def send(address: str, data: bytes, sends_eof: bool) -> bytes:
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        if sends_eof:
            # Otherwise the node waits for the rest of a partial request.
            writer.write_eof()
        try:
            return await reader.read()
        except ConnectionResetError:
            return b''
        finally:
            writer.close()

    node = _make_announced_node().node

    async def scenario() -> None:
        ports = [addresses.free_address() for _ in range(3)]
        node.listener.handlers = dict(
            zip(ports, node.listener.handlers.values(), strict=True)
        )
        await node.listener.start()
        try:
            async with asyncio.timeout(20.0):
                count = 0
                for seed in range(150):
                    response = await send(
                        ports[seed % 3], _corrupt_request(seed), True
                    )
                    count += bool(response)
                    assert not response or response.startswith(b'HTTP/1.1 ')
                    assert not response.startswith(b'HTTP/1.1 500')
            # Partial requests get no response; most others must get one.
            assert count > 75
            for port in ports:
                response = await send(port, _READINESS_REQUEST, False)
                assert response.startswith(b'HTTP/1.1 ')
        finally:
            await node.listener.close()

    asyncio.run(scenario())
