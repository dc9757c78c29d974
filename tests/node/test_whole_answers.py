"""R5: a caller gets the complete answer to its own request, or an error."""

import asyncio
import json
import pathlib

import httpx
import pytest

from godwitstall import clock
from godwitstall import codec
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import messages
from loadtool import addresses
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
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n'
)
_LENGTH = b'HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nabcdefg'


@pytest.mark.parametrize('whole', [_CHUNKED, _LENGTH])
def test_answer_cut_at_every_byte(
    tmp_path: pathlib.Path, whole: bytes
) -> None:
    """Guards against a truncated answer that is treated as complete."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            _,
            [node],
        ):
            for cut in range(len(whole) + 1):
                node.upstream.respond = fakes.sends(
                    whole[:cut], is_closing=True
                )
                answer = await node.call('/orders/1', _KEY)
                if cut == len(whole):
                    assert (answer.status, answer.body) == (200, b'abcdefg')
                    continue
                assert answer.status == 502, (cut, answer)
                assert answer.headers['godwitstall-outcome'] == 'unknown'
                kind = json.loads(answer.body)['error']
                assert kind == ('answer_cut' if cut else 'upstream_lost')
                # No later request uses the same connection.
                assert not node.node.upstream.client.idle  # type: ignore

    asyncio.run(run())


_OTHER_ANSWER = fakes.response(b'of another', 200, {'x-secret': 'of another'})

# Method, bytes that the upstream sends, expected status and body, and whether
# the connection may be reused.
_ANSWERS: dict[str, tuple[str, bytes, int, bytes, bool]] = {
    'early hints': (
        'GET',
        b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
        b'HTTP/1.1 100 Continue\r\n\r\n' + fakes.response(b'own'),
        200,
        b'own',
        True,
    ),
    'second answer in one read': (
        'GET',
        fakes.response(b'own') + _OTHER_ANSWER,
        200,
        b'own',
        False,
    ),
    'bytes behind the answer': (
        'GET',
        fakes.response(b'own') + b'garbage',
        200,
        b'own',
        False,
    ),
    # The end of the answer is unknown, so the call runs into its deadline.
    'no length': ('GET', b'HTTP/1.1 200 OK\r\n\r\nown', 504, b'', False),
    'garbage': ('GET', b'\x00\x01garbage\r\n\r\n', 502, b'', False),
    'two lengths': (
        'GET',
        b'HTTP/1.1 200 X\r\ncontent-length: 3\r\n'
        b'content-length: 4\r\n\r\nabcd',
        502,
        b'',
        False,
    ),
    'length and chunked': (
        'GET',
        b'HTTP/1.1 200 X\r\ncontent-length: 3\r\n'
        b'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
        502,
        b'',
        False,
    ),
    'upgrade': (
        'GET',
        b'HTTP/1.1 101 X\r\nupgrade: a\r\nconnection: upgrade\r\n\r\n',
        502,
        b'',
        False,
    ),
    'too large': ('GET', fakes.response(b'x' * 5000), 502, b'', False),
    'too large, chunked': (
        'GET',
        b'HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n'
        b'800\r\n' + b'x' * 2048 + b'\r\n1000\r\n' + b'x' * 4096,
        502,
        b'',
        False,
    ),
    'headers too large': (
        'GET',
        b'HTTP/1.1 200 X\r\n'
        + b''.join(b'x-%d: %s\r\n' % (i, b'y' * 1000) for i in range(100))
        + b'content-length: 0\r\n\r\n',
        502,
        b'',
        False,
    ),
    'no content': ('GET', b'HTTP/1.1 204 X\r\n\r\n', 204, b'', True),
    'not modified': (
        'GET',
        b'HTTP/1.1 304 X\r\ncontent-length: 99\r\netag: "a"\r\n\r\n',
        304,
        b'',
        True,
    ),
    'trailer': (
        'GET',
        b'HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n'
        b'3\r\nown\r\n0\r\nx-secret: 1\r\n\r\n',
        200,
        b'own',
        True,
    ),
    'close after the answer': (
        'GET',
        b'HTTP/1.1 200 X\r\nconnection: close\r\ncontent-length: 3\r\n\r\nown',
        200,
        b'own',
        False,
    ),
}


def test_shapes_of_answers(tmp_path: pathlib.Path) -> None:
    """Guards against answers that are mixed up, too large or endless."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, {'siop-1': 'siop'}, max_answer_bytes=4096
        ) as (_, [node]):
            client = node.node.upstream.client
            assert client is not None
            for name, case in _ANSWERS.items():
                method, sent, status, body, is_reused = case
                client.close()
                node.upstream.respond = fakes.sends(sent)
                answer = await node.call(
                    '/orders/1',
                    _KEY,
                    method,
                    headers={'godwitstall-deadline-ms': '500'},
                )
                assert answer.status == status, (name, answer)
                assert 'x-secret' not in answer.headers, name
                if status == 200:
                    assert answer.body == body, name
                assert bool(client.idle) is is_reused, name
                node.upstream.respond = fakes.echo
                after = await node.call('/orders/2', _KEY)
                assert after.body == b'/orders/2|', name

    asyncio.run(run())


def test_head(tmp_path: pathlib.Path) -> None:
    """Guards against a wrong length and a wait for a body that never comes."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            _,
            [node],
        ):
            node.upstream.respond = fakes.sends(
                b'HTTP/1.1 200 X\r\ncontent-length: 12\r\n\r\n'
            )
            # The HTTP client of the load tool does not support HEAD.
            async with httpx.AsyncClient(
                base_url=f'http://{node.options.caller_address}'
            ) as caller:
                for _ in range(2):
                    answer = await caller.head(
                        '/orders/1', headers={'godwitstall-key': _KEY}
                    )
                    assert answer.status_code == 200
                    assert 'content-length' not in answer.headers
            client = node.node.upstream.client
            assert client is not None and not client.idle

    asyncio.run(run())


def test_late_answer(tmp_path: pathlib.Path) -> None:
    """Guards against a late answer that is returned for the next request."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, {'siop-1': 'siop'}, max_connections=1
        ) as (_, [node]):
            late_writers: list[asyncio.StreamWriter] = []

            async def respond(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                if request.path == '/orders/slow':
                    late_writers.append(writer)
                    return
                for late_writer in late_writers:
                    late_writer.write(fakes.response(b'late'))
                await fakes.echo(request, writer)

            node.upstream.respond = respond
            slow = await node.call(
                '/orders/slow', _KEY, headers={'godwitstall-deadline-ms': '50'}
            )
            assert slow.status == 504
            assert slow.headers['godwitstall-outcome'] == 'unknown'
            for turn in range(5):
                answer = await node.call(f'/orders/{turn}', _KEY)
                assert answer.body == b'/orders/%d|' % turn

    asyncio.run(run())


def test_unexpected_bytes_on_an_idle_connection(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against bytes on an idle connection answering a later request."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            _,
            [node],
        ):
            await node.call('/orders/1', _KEY)
            client = node.node.upstream.client
            assert client is not None
            [connection] = client.idle
            for writer in node.upstream.writers:
                writer.write(fakes.response(b'unasked'))
            await fakes.until(lambda: connection.is_closed, 'closed')
            answer = await node.call('/orders/2', _KEY)
            assert answer.body == b'/orders/2|'

    asyncio.run(run())


class _ScriptedOwner:
    """A peer that uses the link protocol and sends scripted answers."""

    def __init__(self) -> None:
        self.address = addresses.free_address()
        self.identity = link_module.Identity(
            messages.Role.NODE, 'gwydd-1', fakes.SECRET
        )
        self.calls: list[messages.Call] = []
        self.links: list[link_module.Link] = []
        self.server: asyncio.Server | None = None

    async def start(self, control: fakes.FakeControl) -> None:
        host, port = link_module.split_address(self.address)
        self.server = await asyncio.start_server(self._serve, host, port)
        control.apply(
            messages.Join(
                messages.Member(
                    messages.NodeId('gwydd-1'),
                    clock.wall_ms(),
                    messages.ServiceName('gwydd'),
                    'z1',
                    'r1',
                    self.address,
                    messages.UpstreamState.READY,
                    slots=100,
                    upstream_incarnation=1,
                )
            )
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = await link_module.accept(reader, writer, self.identity)
        self.links.append(link)

        async def handle(message: messages.Message) -> None:
            if isinstance(message, messages.Call):
                self.calls.append(message)
            elif message == messages.Cancel(0):
                # Reply to the ping that is sent on a silent link.
                link.send(messages.Answer(0))

        await link.run(handle)

    def answer(self, call_id: int, body: str) -> None:
        self.links[-1].send(
            messages.Answer(
                call_id,
                outcome=errors.Outcome.RUN,
                status=200,
                body=body.encode(),
            )
        )

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for link in self.links:
            link.close()


def test_crossed_answers_of_a_peer(tmp_path: pathlib.Path) -> None:
    """Guards against answers of an owner that reach other callers."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            control,
            [node],
        ):
            owner = _ScriptedOwner()
            await owner.start(control)
            await fakes.until(
                lambda: len(node.node.view.members) == 2, 'peer known'
            )
            paths = [f'/far/{turn}' for turn in range(6)]
            tasks = [
                asyncio.create_task(node.call(path, _KEY)) for path in paths
            ]
            await fakes.until(lambda: len(owner.calls) == 6, 'all calls out')
            last = owner.calls[-1]
            for call in reversed(owner.calls[:-1]):
                owner.answer(call.call_id + 1000, 'unknown id')
                owner.answer(call.call_id, call.path)
                owner.answer(call.call_id, 'twice')
            for task, path in zip(tasks, paths):
                if path != last.path:
                    assert (await task).body == path.encode()
            # The link is closed within a frame, so that the call fails.
            link = owner.links[-1]
            data = codec.encode(
                messages.Answer(last.call_id, status=200, body=b'x' * 100)
            )
            link.writer.write(len(data).to_bytes(4, 'big') + data[:50])
            link.close()
            cut = await tasks[paths.index(last.path)]
            assert json.loads(cut.body)['error'] == 'peer_lost'
            assert cut.headers['godwitstall-outcome'] == 'unknown'
            assert not node.node.forwarder.peers[owner.address].pending
            # An answer on the new link must not match a call of the old link.
            task = asyncio.create_task(node.call('/far/next', _KEY))
            await fakes.until(lambda: len(owner.calls) == 7, 'call out')
            owner.answer(last.call_id, 'of the old link')
            owner.answer(owner.calls[-1].call_id, '/far/next')
            assert (await task).body == b'/far/next'
            await owner.stop()

    asyncio.run(run())


def test_link_that_ends_late(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the end of an old link failing calls on the new one.

    When a peer stops reading, a new link is opened, but the old link ends only
    after the peer has read what was sent. Cancelled calls must be cleaned up.
    """

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, {'siop-1': 'siop'}, retry_min_per_s=0.0
        ) as (control, [node]):
            owner = _ScriptedOwner()
            await owner.start(control)
            await fakes.until(
                lambda: len(node.node.view.members) == 2, 'peer known'
            )
            first = asyncio.create_task(node.call('/far/1', _KEY))
            await fakes.until(lambda: owner.calls, 'first call')
            [old_link] = owner.links
            transport = old_link.writer.transport
            assert isinstance(transport, asyncio.Transport)
            transport.pause_reading()
            monkeypatch.setattr(link_module, 'MAX_UNSENT_BYTES', 0)
            peer = node.node.forwarder.peers[owner.address]
            waiting = []
            while peer.is_open():
                count = len(peer.pending)
                waiting.append(
                    asyncio.create_task(
                        node.call('/far/big', _KEY, 'POST', b'x' * 1_000_000)
                    )
                )
                await fakes.until(
                    lambda count=count: (  # type: ignore
                        len(peer.pending) > count or not peer.is_open()
                    ),
                    'sent',
                )
                assert len(waiting) < 50
            # The buffer is full, but cancelled calls must still end.
            for task in waiting:
                task.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)
            second = asyncio.create_task(node.call('/far/2', _KEY))
            await fakes.until(lambda: len(owner.links) == 2, 'new link')
            await fakes.until(
                lambda: owner.calls[-1].path == '/far/2', 'second call'
            )
            # The peer reads the rest of the old link after the new call.
            own_call = owner.calls[-1]
            transport.resume_reading()
            assert json.loads((await first).body)['error'] == 'peer_lost'
            owner.answer(own_call.call_id, 'own')
            assert (await second).body == b'own'
            assert not peer.pending and not peer.use_count
            for load in node.node.relay.picker.dump().values():
                assert load['outstanding'] == 0
            await owner.stop()

    asyncio.run(run())
