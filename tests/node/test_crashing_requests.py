"""R11: a request that repeatedly crashes upstreams is refused."""

import asyncio
import pathlib

import pytest

from godwitstall import messages
from godwitstall.node.sessions import crashes
from loadtool import http_client
from tests import fakes

_NOTE = fakes.note(
    1,
    {'dyffryn': (100_000, 50_000)},
    [{'name': 'orders', 'path_prefix': '/orders', 'service': 'siop'}],
)
_KEY = 'key-dyffryn'
_ONE_NODE = {'siop-1': 'siop'}
_THREE_NODES = {'siop-1': 'siop', 'siop-2': 'siop', 'siop-3': 'siop'}
_PARTIAL_RESPONSE = b'HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\nabc'


def _crash_reports(control: fakes.FakeControl) -> list[messages.ReportCrash]:
    return [
        command
        for command in control.commands
        if isinstance(command, messages.ReportCrash)
    ]


class _CrashingUpstream:
    """An upstream that crashes on a marker and can be restarted."""

    def __init__(
        self, node: fakes.NodeHarness, partial_response: bytes
    ) -> None:
        self.node = node
        # Bytes sent before the crash.
        self.partial_response = partial_response
        self.has_crashed = False
        node.upstream.respond = self._respond

    async def _respond(
        self, request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if b'marker' not in request.body:
            await fakes.echo(request, writer)
            return
        if self.partial_response:
            writer.write(self.partial_response)
            await asyncio.sleep(0.01)
        self.has_crashed = True
        await self.node.upstream.stop()

    async def restart(self) -> None:
        """Start the next incarnation of the upstream."""
        self.has_crashed = False
        await self.node.upstream.start()
        self.node.incarnation += 1
        assert (await self.node.announce()).status == 204


async def _send_marker(node: fakes.NodeHarness) -> http_client.Response:
    return await node.call('/orders/1', _KEY, 'POST', b'marker')


@pytest.mark.parametrize('partial_response', [b'', _PARTIAL_RESPONSE])
def test_request_that_crashes_upstreams(
    tmp_path: pathlib.Path, partial_response: bytes
) -> None:
    """Guards against a request that crashes one upstream after another."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _THREE_NODES) as (
            control,
            nodes,
        ):
            upstreams = [
                _CrashingUpstream(node, partial_response) for node in nodes
            ]
            for count in range(1, 4):
                # Each resend goes through another node.
                answer = await _send_marker(nodes[count - 1])
                assert answer.status == 502
                assert answer.headers['godwitstall-outcome'] == 'unknown'
                await fakes.until_equal(
                    lambda: len(_crash_reports(control)), count
                )
                [crashed] = [u for u in upstreams if u.has_crashed]
                await crashed.restart()
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
                    'restarted upstream is ready on all nodes',
                )
                # Other requests on the route are still served.
                other_answer = await nodes[0].call(
                    '/orders/1', _KEY, 'POST', b'x'
                )
                assert other_answer.status == 200
            fingerprint = _crash_reports(control)[0].fingerprint
            assert {r.fingerprint for r in _crash_reports(control)} == {
                fingerprint
            }
            await fakes.until(
                lambda: all(
                    node.node.view.is_quarantined(fingerprint)
                    for node in nodes
                ),
                'quarantine known to all nodes',
            )
            for node in nodes:
                refused = await _send_marker(node)
                assert refused.status == 422
                assert refused.headers['godwitstall-error'] == 'quarantined'
                assert refused.headers['godwitstall-outcome'] == 'not-run'
                other_answer = await node.call('/orders/1', _KEY, 'POST', b'x')
                assert other_answer.status == 200
            assert not [u for u in upstreams if u.has_crashed]
            # The owner refuses the call regardless of the entry node.
            call = messages.Call(
                service=messages.ServiceName('siop'),
                fingerprint=fingerprint,
                deadline_ms=1000,
                attempts=1,
            )
            owner_answer = await nodes[0].node.owner.handle(call)
            assert owner_answer.kind.label == 'quarantined'
            for node in nodes:
                node.upstream.respond = fakes.echo
            control.apply(messages.Lift(fingerprint))
            await fakes.until(
                lambda: (
                    not nodes[0].node.view.is_suspect(fingerprint)
                    and not nodes[0].node.view.is_quarantined(fingerprint)
                ),
                'quarantine lifted',
            )
            assert (await _send_marker(nodes[0])).status == 200

    asyncio.run(run())


def test_restart_that_refuses_no_connection(tmp_path: pathlib.Path) -> None:
    """Guards against a crash that a fast restart hides."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE_NODE) as (
            control,
            [node],
        ):
            node.upstream.respond = fakes.sends(is_closing=True)
            await _send_marker(node)
            assert not _crash_reports(control)
            node.incarnation += 1
            await node.announce()
            await fakes.until(
                lambda: _crash_reports(control), 'crash reported'
            )
            assert _crash_reports(control)[0].upstream_incarnation == 1
            # The new incarnation must not be marked as down.
            assert node.node.upstream.is_ready()

    asyncio.run(run())


def test_lost_connection_without_a_death(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a quarantine for a request that crashes nothing."""
    monkeypatch.setattr(crashes, 'CONFIRM_TIMEOUT_S', 0.3)

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE_NODE) as (
            control,
            [node],
        ):
            detector = node.node.owner.dispatcher.crash_detector
            for responder in (
                fakes.sends(is_closing=True),
                fakes.sends(_PARTIAL_RESPONSE, is_closing=True),
                fakes.sends(b'garbage\r\n\r\n'),
            ):
                node.upstream.respond = responder
                assert (await _send_marker(node)).status == 502
                await fakes.until(
                    lambda: not detector.tasks, 'crash check done'
                )
            # The end of a draining upstream is not a crash.
            node.stop_announcing()
            node.upstream.respond = fakes.no_answer
            task = asyncio.create_task(_send_marker(node))
            await fakes.until(
                lambda: len(node.upstream.runs) == 4, 'request running'
            )
            await node.announce(state='draining')
            await node.upstream.stop()
            assert (await task).status == 502
            await fakes.until(lambda: not detector.tasks, 'crash check done')
            assert not detector.lost_calls
            assert not _crash_reports(control)

    asyncio.run(run())


def test_suspects_run_one_at_a_time(tmp_path: pathlib.Path) -> None:
    """Guards against a quarantine of requests that ran with a crashing one."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, _ONE_NODE, max_queue_wait_ms=200
        ) as (control, [node]):
            # Both requests that are lost with the process become suspects.
            node.upstream.respond = fakes.no_answer
            lost_calls = [
                asyncio.create_task(
                    node.call('/orders/1', _KEY, 'POST', b'%d' % number)
                )
                for number in range(2)
            ]
            await fakes.until(
                lambda: len(node.upstream.runs) == 2, 'both requests running'
            )
            await node.upstream.stop()
            for task in lost_calls:
                assert (await task).status == 502
            await fakes.until(
                lambda: len(_crash_reports(control)) == 2, 'crashes reported'
            )
            view = node.node.view
            await fakes.until(
                lambda: all(
                    view.is_suspect(report.fingerprint)
                    for report in _crash_reports(control)
                ),
                'requests are suspects',
            )
            await node.upstream.start()
            node.incarnation += 1
            await node.announce()
            node.upstream.runs.clear()
            is_released = asyncio.Event()

            async def respond(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                if request.body in (b'0', b'1'):
                    await is_released.wait()
                await fakes.echo(request, writer)

            node.upstream.respond = respond
            first, second = (
                asyncio.create_task(
                    node.call('/orders/1', _KEY, 'POST', b'%d' % number)
                )
                for number in range(2)
            )
            await fakes.until(
                lambda: node.upstream.runs, 'first suspect running'
            )
            other_answer = await node.call('/orders/1', _KEY, 'POST', b'other')
            assert other_answer.status == 200
            # The other suspect is refused long before its deadline (R12).
            done, _ = await asyncio.wait(
                {first, second}, return_when=asyncio.FIRST_COMPLETED
            )
            [refused] = done
            assert refused.result().status == 503
            assert refused.result().headers['godwitstall-outcome'] == 'not-run'
            assert int(refused.result().headers['retry-after']) >= 1
            suspects = [r for r in node.upstream.runs if r.body != b'other']
            assert len(suspects) == 1
            is_released.set()
            for task in (first, second):
                if task is not refused:
                    assert (await task).status == 200
            # The suspect lock must be free after both calls, although one of
            # them gave up waiting for it.
            repeated = await node.call('/orders/1', _KEY, 'POST', b'0')
            assert repeated.status == 200

    asyncio.run(run())
