"""R11: a request that crashes each upstream that runs it is refused."""

import asyncio
import pathlib

import pytest

from godwitstall import messages
from godwitstall.node import crashes
from loadtool import http_client
from tests import fakes

_NOTE = fakes.note(
    1,
    {'dyffryn': (100_000, 50_000)},
    [{'name': 'orders', 'path_prefix': '/orders', 'service': 'siop'}],
)
_KEY = 'key-dyffryn'
_ONE = {'siop-1': 'siop'}
_THREE = {'siop-1': 'siop', 'siop-2': 'siop', 'siop-3': 'siop'}
_SOME_BYTES = b'HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\nabc'


def _reports(control: fakes.FakeControl) -> list[messages.ReportCrash]:
    return [
        command
        for command in control.commands
        if isinstance(command, messages.ReportCrash)
    ]


class _Mortal:
    """An upstream that dies on a marker and is started again."""

    def __init__(self, node: fakes.NodeHarness, last_words: bytes) -> None:
        self.node = node
        # What it sends before it dies.
        self.last_words = last_words
        self.has_died = False
        node.upstream.respond = self._respond

    async def _respond(
        self, request: fakes.Received, writer: asyncio.StreamWriter
    ) -> None:
        if b'marker' not in request.body:
            await fakes.echo(request, writer)
            return
        if self.last_words:
            writer.write(self.last_words)
            await asyncio.sleep(0.01)
        self.has_died = True
        await self.node.upstream.stop()

    async def revive(self) -> None:
        """Start the next incarnation."""
        self.has_died = False
        await self.node.upstream.start()
        self.node.incarnation += 1
        assert (await self.node.announce()).status == 204


async def _send_marker(node: fakes.NodeHarness) -> http_client.Response:
    return await node.call('/orders/1', _KEY, 'POST', b'marker')


@pytest.mark.parametrize('last_words', [b'', _SOME_BYTES])
def test_request_that_crashes_upstreams(
    tmp_path: pathlib.Path, last_words: bytes
) -> None:
    """Guards against a request that goes on to crash one after the other."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _THREE) as (control, nodes):
            mortals = [_Mortal(node, last_words) for node in nodes]
            for count in range(1, 4):
                # Resent through another node each time.
                answer = await _send_marker(nodes[count - 1])
                assert answer.status == 502
                assert answer.headers['godwitstall-outcome'] == 'unknown'
                await fakes.until_equal(lambda: len(_reports(control)), count)
                [dead] = [m for m in mortals if m.has_died]
                await dead.revive()
                await fakes.until(
                    lambda: all(
                        member.state is messages.UpstreamState.READY
                        and member.upstream_incarnation
                        == next(
                            n.incarnation
                            for n in nodes
                            if n.options.node_id == member.node_id
                        )
                        for node in nodes
                        for member in node.node.view.members.values()
                    ),
                    'it is back',
                )
                # Another request on the route goes on.
                other = await nodes[0].call('/orders/1', _KEY, 'POST', b'x')
                assert other.status == 200
            fingerprint = _reports(control)[0].fingerprint
            assert {r.fingerprint for r in _reports(control)} == {fingerprint}
            await fakes.until(
                lambda: all(
                    node.node.view.is_quarantined(fingerprint)
                    for node in nodes
                ),
                'all nodes know',
            )
            for node in nodes:
                refused = await _send_marker(node)
                assert refused.status == 422
                assert refused.headers['godwitstall-error'] == 'quarantined'
                assert refused.headers['godwitstall-outcome'] == 'not-run'
                other = await node.call('/orders/1', _KEY, 'POST', b'x')
                assert other.status == 200
            assert not [m for m in mortals if m.has_died]
            # The owner refuses by itself, whatever the entry node knows.
            call = messages.Call(
                service=messages.ServiceName('siop'),
                fingerprint=fingerprint,
                deadline_ms=1000,
                attempts=1,
            )
            answered = await nodes[0].node.owner.handle(call)
            assert answered.kind.label == 'quarantined'
            for node in nodes:
                node.upstream.respond = fakes.echo
            control.apply(messages.Lift(fingerprint))
            await fakes.until(
                lambda: (
                    not nodes[0].node.view.is_suspect(fingerprint)
                    and not nodes[0].node.view.is_quarantined(fingerprint)
                ),
                'lifted',
            )
            assert (await _send_marker(nodes[0])).status == 200

    asyncio.run(run())


def test_restart_that_refuses_no_connection(tmp_path: pathlib.Path) -> None:
    """Guards against a crash that a quick restart hides."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE) as (control, [node]):
            node.upstream.respond = fakes.sends(is_closing=True)
            await _send_marker(node)
            assert not _reports(control)
            node.incarnation += 1
            await node.announce()
            await fakes.until(lambda: _reports(control), 'reported')
            assert _reports(control)[0].upstream_incarnation == 1
            # The new incarnation is not taken for dead.
            assert node.node.upstream.is_ready()

    asyncio.run(run())


def test_lost_connection_without_a_death(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a quarantine for a request that crashes nothing."""
    monkeypatch.setattr(crashes, 'CONFIRM_S', 0.3)

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE) as (control, [node]):
            watch = node.node.owner.crash_watch
            for script in (
                fakes.sends(is_closing=True),
                fakes.sends(_SOME_BYTES, is_closing=True),
                fakes.sends(b'garbage\r\n\r\n'),
            ):
                node.upstream.respond = script
                assert (await _send_marker(node)).status == 502
                await fakes.until(lambda: not watch.tasks, 'looked into')
            # A draining upstream that closes and ends is no crash.
            node.stop_announcing()
            node.upstream.respond = fakes.never
            task = asyncio.create_task(_send_marker(node))
            await fakes.until(lambda: len(node.upstream.runs) == 4, 'runs')
            await node.announce(state='draining')
            await node.upstream.stop()
            assert (await task).status == 502
            await fakes.until(lambda: not watch.tasks, 'looked into')
            assert not watch.lost
            assert not _reports(control)

    asyncio.run(run())


def test_suspects_run_one_at_a_time(tmp_path: pathlib.Path) -> None:
    """Guards against innocent requests that crash together with the one."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, _ONE, max_queue_wait_ms=200
        ) as (control, [node]):
            # Two requests are lost with the process: both are suspects.
            node.upstream.respond = fakes.never
            lost = [
                asyncio.create_task(
                    node.call('/orders/1', _KEY, 'POST', b'%d' % number)
                )
                for number in range(2)
            ]
            await fakes.until(lambda: len(node.upstream.runs) == 2, 'running')
            await node.upstream.stop()
            for task in lost:
                assert (await task).status == 502
            await fakes.until(lambda: len(_reports(control)) == 2, 'reported')
            view = node.node.view
            await fakes.until(
                lambda: all(
                    view.is_suspect(report.fingerprint)
                    for report in _reports(control)
                ),
                'suspected',
            )
            await node.upstream.start()
            node.incarnation += 1
            await node.announce()
            node.upstream.runs.clear()
            is_free = asyncio.Event()

            async def hold(
                request: fakes.Received, writer: asyncio.StreamWriter
            ) -> None:
                if request.body in (b'0', b'1'):
                    await is_free.wait()
                await fakes.echo(request, writer)

            node.upstream.respond = hold
            first, second = (
                asyncio.create_task(
                    node.call('/orders/1', _KEY, 'POST', b'%d' % number)
                )
                for number in range(2)
            )
            await fakes.until(lambda: node.upstream.runs, 'one runs')
            other = await node.call('/orders/1', _KEY, 'POST', b'other')
            assert other.status == 200
            # The second is refused long before its deadline (R12).
            done, _ = await asyncio.wait(
                {first, second}, return_when=asyncio.FIRST_COMPLETED
            )
            [refused] = done
            assert refused.result().status == 503
            assert refused.result().headers['godwitstall-outcome'] == 'not-run'
            assert int(refused.result().headers['retry-after']) >= 1
            suspects = [r for r in node.upstream.runs if r.body != b'other']
            assert len(suspects) == 1
            is_free.set()
            for task in (first, second):
                if task is not refused:
                    assert (await task).status == 200
            # The lock is free again, also after a caller hung up waiting.
            again = await node.call('/orders/1', _KEY, 'POST', b'0')
            assert again.status == 200

    asyncio.run(run())
