"""R6: a request whose outcome is "not run" was not run.

Each test compares the outcome returned to the caller with the runs that the
fake upstream recorded for the path of the request.
"""

import asyncio
import collections
import json
import pathlib
import typing

import hypothesis
from hypothesis import strategies
import pytest

from godwitstall import errors
from loadtool import http_client
from tests import fakes

_ROUTES: list[dict[str, typing.Any]] = [
    {
        'name': f'{place}-{kind}',
        'path_prefix': f'/{place}/{kind}',
        'service': service,
        'idempotent': kind == 'safe',
        'attempts': 4,
    }
    for place, service in (('near', 'siop'), ('far', 'gwydd'))
    for kind in ('safe', 'once')
]
_NOTE = fakes.note(1, {'dyffryn': (100_000, 50_000)}, _ROUTES)
_KEY = 'key-dyffryn'
_SERVICES = {'siop-1': 'siop', 'gwydd-1': 'gwydd'}
_PARTIAL_ANSWER = b'HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\nabc'

_SCRIPTS: dict[str, fakes.Responder] = {
    'whole': fakes.echo,
    'plain 503': fakes.sends(fakes.response(b'no', 503)),
    'shed': fakes.sends(fakes.SHED),
    'shed and closed': fakes.sends(fakes.SHED, is_closing=True),
    'closed before any byte': fakes.sends(is_closing=True),
    'closed after some bytes': fakes.sends(_PARTIAL_ANSWER, is_closing=True),
    'silent': fakes.no_answer,
    'silent after some bytes': fakes.sends(_PARTIAL_ANSWER),
    'garbage': fakes.sends(b'\x00\r\n\r\n'),
    'too large': fakes.sends(fakes.response(b'x' * 5000)),
    'two answers': fakes.sends(
        fakes.response(b'own') + fakes.response(b'more')
    ),
    # The answer says that the request was not run, but it is truncated.
    'shed, cut': fakes.sends(fakes.SHED[:-1], is_closing=True),
}
_SHEDDING_SCRIPTS = ('shed', 'shed and closed')


class _ScriptedRuns:
    """Plays a script for each path and counts the runs.

    A shed request does not count as a run.
    """

    def __init__(self, *nodes: fakes.NodeHarness) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        # Remaining scripts by path, in order; the last one is repeated.
        self.scripts: dict[str, list[str]] = {}
        for node in nodes:
            node.upstream.respond = self._respond

    async def _respond(
        self, request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        names = self.scripts.get(request.path, ['whole'])
        name = names.pop(0) if len(names) > 1 else names[0]
        if name not in _SHEDDING_SCRIPTS:
            self.counts[request.path] += 1
        await _SCRIPTS[name](request, writer)


def _check_outcome(answer: http_client.Response, runs: int, case: str) -> None:
    outcome = answer.headers['godwitstall-outcome']
    if outcome == 'not-run':
        assert not runs, (case, answer)
    elif outcome == 'run':
        assert runs, (case, answer)
    else:
        assert outcome == 'unknown', (case, answer)


_EXPECTED_ANSWERS = {
    'whole': (200, 'run', 'none'),
    'plain 503': (503, 'run', 'none'),
    'shed': (503, 'not-run', 'upstream_shed'),
    'shed and closed': (503, 'not-run', 'upstream_shed'),
    'closed before any byte': (502, 'unknown', 'upstream_lost'),
    'closed after some bytes': (502, 'unknown', 'answer_cut'),
    'silent': (504, 'unknown', 'upstream_timeout'),
    'silent after some bytes': (504, 'unknown', 'upstream_timeout'),
    'garbage': (502, 'unknown', 'answer_cut'),
    'too large': (502, 'run', 'answer_too_large'),
    'two answers': (200, 'run', 'none'),
    'shed, cut': (502, 'unknown', 'answer_cut'),
}


def test_places_of_failure_at_the_upstream(tmp_path: pathlib.Path) -> None:
    """Guards against a wrong outcome of a failed answer."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, _SERVICES, max_answer_bytes=4096
        ) as (_, [near, far]):
            runs = _ScriptedRuns(near, far)
            for place in ('near', 'far'):
                for number, (name, expected) in enumerate(
                    _EXPECTED_ANSWERS.items()
                ):
                    path = f'/{place}/once/{number}'
                    runs.scripts[path] = [name]
                    answer = await near.call(
                        path,
                        _KEY,
                        headers={'godwitstall-deadline-ms': '300'},
                    )
                    status, outcome, kind = expected
                    assert answer.status == status, (place, name, answer)
                    assert answer.headers['godwitstall-outcome'] == outcome
                    error = answer.headers.get('godwitstall-error', 'none')
                    assert error == kind, (place, name)
                    _check_outcome(answer, runs.counts[path], name)
                    # A request without an operation id is sent once.
                    assert runs.counts[path] <= 1, name
                    if outcome == 'not-run':
                        assert int(answer.headers['retry-after']) >= 1, name

    asyncio.run(run())


@pytest.mark.parametrize('place', ['near', 'far'])
def test_places_of_failure_before_the_upstream(
    tmp_path: pathlib.Path, place: str
) -> None:
    """Guards against runs of requests that are refused before dispatch.

    They are refused by the slot limit, the queue, the deadline or a refused
    connection.
    """

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, _SERVICES, max_queue=1, max_queue_wait_ms=100
        ) as (control, [near, far]):
            owner = near if place == 'near' else far
            await owner.announce(slots=1)
            owner.slots = 1
            runs = _ScriptedRuns(near, far)
            runs.scripts[f'/{place}/once/held'] = ['silent']
            blocking_call = asyncio.create_task(
                near.call(
                    f'/{place}/once/held',
                    _KEY,
                    headers={'godwitstall-deadline-ms': '2000'},
                )
            )
            await fakes.until(lambda: runs.counts, 'the slot is taken')
            cases = [
                ('waited too long', 9000, 'overloaded'),
                ('deadline', 50, 'deadline_passed'),
            ]
            for name, deadline_ms, kind in cases:
                answer = await near.call(
                    f'/{place}/once/{deadline_ms}',
                    _KEY,
                    headers={'godwitstall-deadline-ms': str(deadline_ms)},
                )
                assert json.loads(answer.body)['error'] == kind, name
                assert answer.headers['godwitstall-outcome'] == 'not-run'
            answers = await asyncio.gather(
                *(near.call(f'/{place}/once/f{n}', _KEY) for n in range(5))
            )
            assert len(answers) == 5
            for answer in answers:
                assert json.loads(answer.body)['error'] == 'overloaded'
                assert int(answer.headers['godwitstall-retry-after-ms']) >= 1
            assert (await blocking_call).status == 504
            assert sum(runs.counts.values()) == 1
            # The slot has been released.
            after = await near.call(f'/{place}/once/after', _KEY)
            assert after.status == 200
            # A refused connection is reported to the caller at once, and to
            # control.
            assert owner.upstream.server is not None
            owner.stop_announcing()
            await owner.upstream.stop()
            answer = await near.call(f'/{place}/once/refused', _KEY)
            assert json.loads(answer.body)['error'] == 'upstream_unreachable'
            assert answer.headers['godwitstall-outcome'] == 'not-run'
            assert int(answer.headers['retry-after']) >= 1
            assert not owner.node.upstream.is_ready()
            await fakes.until(
                lambda: (
                    near.node.view.members[owner.options.node_id].state.name
                    == 'DOWN'
                ),
                'control has the new state',
            )

    asyncio.run(run())


def test_connections_of_the_upstream(tmp_path: pathlib.Path) -> None:
    """Guards against too many connections and reuse of closing ones."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            _,
            [node],
        ):
            # The transport is closing, but connection_lost() has not been
            # called yet.
            assert (await node.call('/near/once/1', _KEY)).status == 200
            client = node.node.upstream.client
            assert client is not None
            [connection] = client.idle
            assert connection.transport is not None
            connection.transport.close()
            answer = await client.send(
                'GET', '/x', b'', b'', connection.idle_since + 20
            )
            assert answer.body == b'/x|'
            client.close()
            client.max_connections = 3
            node.upstream.respond = fakes.no_answer
            await fakes.until_equal(lambda: len(node.upstream.writers), 0)
            calls = [
                asyncio.create_task(node.call(f'/near/once/c{n}', _KEY))
                for n in range(8)
            ]
            await fakes.until_equal(lambda: sum(c.done() for c in calls), 5)
            # The upstream accepts a connection after the node has opened it.
            await fakes.until_equal(lambda: len(node.upstream.runs) - 2, 3)
            assert len(node.upstream.writers) == 3
            for call in calls:
                if call.done():
                    refused = call.result()
                    assert json.loads(refused.body)['error'] == 'overloaded'
                    outcome = refused.headers['godwitstall-outcome']
                    assert outcome == 'not-run'
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    asyncio.run(run())


def _abort_links(node: fakes.NodeHarness, is_outgoing: bool) -> None:
    """Abort the links from a node or those to it."""
    if is_outgoing:
        links = [peer.link for peer in node.node.forwarder.peers.values()]
    else:
        links = list(node.node.peer_server.links)
    for link in links:
        if link is not None:
            link.writer.transport.abort()


def test_lost_links(tmp_path: pathlib.Path) -> None:
    """Guards against a wrong outcome when the link to the owner is lost."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _SERVICES) as (
            _,
            [near, far],
        ):
            runs = _ScriptedRuns(near, far)
            assert (await near.call('/far/once/0', _KEY)).status == 200
            for number, is_outgoing in enumerate((True, False), 1):
                # The link is lost while idle. The next call may fail, but with
                # a correct outcome.
                _abort_links(near if is_outgoing else far, is_outgoing)
                path = f'/far/once/idle-{number}'
                _check_outcome(
                    await near.call(path, _KEY), runs.counts[path], path
                )
                after = await near.call(f'/far/once/after-{number}', _KEY)
                assert after.status == 200
                # The link is lost during the call, so the outcome is unknown.
                path = f'/far/once/running-{number}'
                runs.scripts[path] = ['silent']
                task = asyncio.create_task(near.call(path, _KEY))
                await fakes.until_equal(lambda: runs.counts[path], 1)
                received = far.upstream.runs[-1]
                _abort_links(near if is_outgoing else far, is_outgoing)
                answer = await task
                assert json.loads(answer.body)['error'] == 'peer_lost'
                assert answer.headers['godwitstall-outcome'] == 'unknown'
                # The owner cancels the run of the lost call.
                await asyncio.wait_for(received.closed.wait(), fakes.WAIT_S)
                await fakes.until(
                    lambda: not far.node.owner.slots.running, 'freed'
                )
            # The owner has stopped, so nothing was sent.
            far.node.peer_server.close_links()
            _abort_links(far, False)
            await fakes.until(
                lambda: (
                    not any(
                        peer.is_open()
                        for peer in near.node.forwarder.peers.values()
                    )
                ),
                'link is down',
            )
            answer = await near.call('/far/once/gone', _KEY)
            assert json.loads(answer.body)['error'] == 'upstream_unreachable'
            assert answer.headers['godwitstall-outcome'] == 'not-run'
            assert int(answer.headers['retry-after']) >= 1
            # No call is counted as outstanding at any member.
            for load in near.node.relay.picker.dump().values():
                assert load['outstanding'] == 0

    asyncio.run(run())


_EVENTS = ('', '', '', 'cut own', 'cut owner', 'upstream restarts', 'hang up')

_Plan = tuple[list[tuple[str, str, list[str], int]], str]


@strategies.composite
def _plans(draw: strategies.DrawFn) -> _Plan:
    """Return concurrent calls and a failure that happens meanwhile."""
    calls = draw(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('near', 'far')),
                strategies.sampled_from(('safe', 'once')),
                strategies.lists(
                    strategies.sampled_from(sorted(_SCRIPTS)),
                    min_size=1,
                    max_size=3,
                ),
                strategies.sampled_from((1, 30, 100)),
            ),
            min_size=1,
            max_size=6,
        )
    )
    return calls, draw(strategies.sampled_from(_EVENTS))


def test_reported_outcomes_match_the_runs(tmp_path: pathlib.Path) -> None:
    """Guards against "not run" for a run under combined failures."""
    services = _SERVICES | {'siop-2': 'siop', 'gwydd-2': 'gwydd'}
    counts: collections.Counter[str] = collections.Counter()
    with asyncio.Runner() as runner:
        fleet = fakes.running(
            tmp_path,
            _NOTE,
            services,
            max_answer_bytes=4096,
            max_queue=2,
            max_queue_wait_ms=50,
            retry_ratio=1.0,
            retry_min_per_s=1000.0,
        )
        _, nodes = runner.run(fleet.__aenter__())
        runs = _ScriptedRuns(*nodes)
        numbers = iter(range(1_000_000))

        async def trigger_event(
            event: str, tasks: list[asyncio.Task[typing.Any]]
        ) -> None:
            await asyncio.sleep(0.005)
            match event:
                case 'cut own':
                    _abort_links(nodes[0], True)
                case 'cut owner':
                    for node in nodes:
                        _abort_links(node, False)
                case 'upstream restarts':
                    for node in nodes[1:]:
                        await node.upstream.stop()
                        await node.upstream.start()
                case 'hang up':
                    tasks[0].cancel()

        async def play(plan: _Plan) -> None:
            calls, event = plan
            paths = []
            tasks = []
            for place, kind, scripts, deadline_ms in calls:
                path = f'/{place}/{kind}/{next(numbers)}'
                runs.scripts[path] = list(scripts)
                paths.append(path)
                tasks.append(
                    asyncio.create_task(
                        nodes[0].call(
                            path,
                            _KEY,
                            headers={
                                'godwitstall-deadline-ms': str(deadline_ms)
                            },
                        )
                    )
                )
            await trigger_event(event, tasks)
            results = await asyncio.gather(*tasks, return_exceptions=True)
            for path, answer in zip(paths, results):
                if isinstance(answer, asyncio.CancelledError):
                    continue
                assert isinstance(answer, http_client.Response), answer
                _check_outcome(answer, runs.counts[path], str(plan))
                counts[answer.headers['godwitstall-outcome']] += 1
                counts[answer.headers.get('godwitstall-error', 'none')] += 1
                attempts_used = int(
                    answer.headers['godwitstall-attempts-used']
                )
                assert runs.counts[path] <= attempts_used <= 4, (plan, answer)
                if '/once/' in path:
                    assert runs.counts[path] <= 1, (plan, answer)
            for node in nodes:
                node.upstream.runs.clear()
                await fakes.until(
                    lambda node=node: (
                        not (  # type: ignore
                            node.node.owner.slots.running
                            or node.node.owner.active
                            or len(node.node.owner.slots.queue)
                            or node.node.contexts.running
                        )
                    ),
                    'no call is left',
                )
                for load in node.node.relay.picker.dump().values():
                    assert load['outstanding'] == 0

        @hypothesis.given(plan=_plans())
        def check(plan: _Plan) -> None:
            runner.run(play(plan))

        try:
            check()
        finally:
            runner.run(fleet.__aexit__(None, None, None))
    for outcome in errors.Outcome:
        assert counts[outcome.label], counts
    assert counts['none'], counts
