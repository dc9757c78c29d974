"""R1: the number of runs in the call chain of a request is bounded."""

import asyncio
import collections
import json
import pathlib
import typing

import pytest

from tests import fakes

_DEPTH = 14
_KEY = 'key-dyffryn'
_CLOSE_CONNECTION = fakes.sends(is_closing=True)


def _chain_configuration(chains: dict[str, tuple[int, int]]) -> str:
    """Return a configuration with routes r1 to r14 under each prefix.

    chains maps each prefix to attempts and dispatch_attempts of its routes.
    """
    return fakes.note(
        1,
        {'dyffryn': (100_000, 50_000)},
        [
            {
                'name': f'{prefix}-r{number}',
                'path_prefix': f'/{prefix}/r{number}',
                'service': f'service-{number % 3}',
                'idempotent': True,
                'attempts': attempts,
                'dispatch_attempts': dispatch_attempts,
            }
            for prefix, (attempts, dispatch_attempts) in chains.items()
            for number in range(1, _DEPTH + 1)
        ],
    )


# Each service has two nodes, so that a retry can use another owner.
_SERVICES = {
    f'node-{number}-{twin}': f'service-{number}'
    for number in range(3)
    for twin in 'ab'
}


class _Chain:
    """Upstreams that call the next route of the chain and may then fail."""

    def __init__(
        self,
        nodes: list[fakes.NodeHarness],
        fan_out: int = 1,
        tries_per_run: int = 1,
        attempts_header: str = '',
    ) -> None:
        # Number of concurrent onward calls of a run.
        self.fan_out = fan_out
        # Number of times that a run itself makes an onward call that keeps
        # failing.
        self.tries_per_run = tries_per_run
        # Value of the attempts header of onward calls; empty for none.
        self.attempts_header = attempts_header
        # Runs by route number.
        self.runs: collections.Counter[int] = collections.Counter()
        # Whether each run closes its connection without an answer.
        self.is_failing = True
        for node in nodes:
            node.upstream.respond = self._responder(node)

    def _responder(self, node: fakes.NodeHarness) -> fakes.Responder:
        async def respond(
            request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            prefix, _, text = request.path.rpartition('/r')
            number = int(text)
            self.runs[number] += 1
            headers = {'godwitstall-attempts': self.attempts_header}
            if number < _DEPTH:
                for _ in range(self.tries_per_run):
                    answers = await asyncio.gather(
                        *(
                            node.call_onward(
                                request,
                                f'{prefix}/r{number + 1}',
                                headers=headers
                                if self.attempts_header
                                else None,
                            )
                            for _ in range(self.fan_out)
                        )
                    )
                    if all(answer.status == 200 for answer in answers):
                        break
            if self.is_failing:
                await _CLOSE_CONNECTION(request, writer)
            else:
                await fakes.echo(request, writer)

        return respond


# Name, attempts and dispatch_attempts of each route, fan-out, tries of onward
# calls by the upstreams, attempts headers of the upstreams and of the caller,
# and maximum number of runs.
_Case = tuple[str, int, int, int, int, str, str, int]
_CHAINS: list[_Case] = [
    ('every hop fails', 28, 14, 1, 1, '', '', 28),
    ('no spare attempt', 14, 14, 1, 1, '', '', 14),
    ('upstreams retry too', 40, 20, 1, 3, '', '', 40),
    ('two parallel calls', 20, 10, 2, 1, '', '', 20),
    ('upstreams raise the header', 20, 10, 2, 2, '1000000', '', 20),
    ('the caller lowers the header', 28, 14, 1, 2, '', '5', 5),
    ('the caller raises the header', 28, 14, 1, 2, '', '1000', 28),
    ('one attempt', 28, 14, 2, 2, '100', '1', 1),
]


def test_runs_of_a_failing_chain(tmp_path: pathlib.Path) -> None:
    """Guards against retries that multiply at each hop."""

    async def run() -> None:
        chains = {
            f'c{number}': (case[1], case[2])
            for number, case in enumerate(_CHAINS)
        }
        async with fakes.running(
            tmp_path,
            _chain_configuration(chains),
            _SERVICES,
            retry_ratio=1.0,
            retry_min_per_s=10_000.0,
        ) as (_, nodes):
            for prefix, case in zip(chains, _CHAINS):
                await check(nodes, prefix, case)

    async def check(
        nodes: list[fakes.NodeHarness], prefix: str, case: _Case
    ) -> None:
        name, _, _, fan_out, tries, upstream_header, caller_header, bound = (
            case
        )
        chain = _Chain(nodes, fan_out, tries, upstream_header)
        answer = await nodes[0].call(
            f'/{prefix}/r1',
            _KEY,
            headers={'godwitstall-attempts': caller_header}
            if caller_header
            else {},
        )
        assert answer.status == 502, name
        runs = sum(chain.runs.values())
        attempts_used = int(answer.headers['godwitstall-attempts-used'])
        assert runs <= attempts_used <= bound, (name, chain.runs)
        # The bound is not met merely because nothing runs.
        assert runs >= min(bound, _DEPTH) / 2, (name, chain.runs)
        if name == 'every hop fails':
            # Only the last hop is retried, because every other hop has a
            # failed onward call.
            assert chain.runs[_DEPTH] <= 2
            assert set(chain.runs.values()) <= {1, 2}, chain.runs
            assert [n for n in chain.runs if chain.runs[n] == 2] in (
                [],
                [_DEPTH],
            )

    asyncio.run(run())


def test_unused_attempts_are_returned(tmp_path: pathlib.Path) -> None:
    """Guards against a successful chain that runs out of attempts."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _chain_configuration({'c': (28, 14)}), _SERVICES
        ) as (
            _,
            nodes,
        ):
            chain = _Chain(nodes)
            chain.is_failing = False
            for _ in range(3):
                chain.runs.clear()
                answer = await nodes[0].call('/c/r1', _KEY)
                assert answer.status == 200
                assert answer.headers['godwitstall-attempts-used'] == '14'
                assert sum(chain.runs.values()) == _DEPTH

    asyncio.run(run())


_TWO_ROUTES: list[dict[str, typing.Any]] = [
    {
        'name': 'first',
        'path_prefix': '/first',
        'service': 'siop',
        'idempotent': True,
        'attempts': 8,
        'dispatch_attempts': 4,
    },
    {
        'name': 'second',
        'path_prefix': '/second',
        'service': 'gwydd',
        'idempotent': True,
        'attempts': 3,
    },
]
_TWO_SERVICES = {
    'siop-1': 'siop',
    'siop-2': 'siop',
    'gwydd-1': 'gwydd',
    'gwydd-2': 'gwydd',
    'gwydd-3': 'gwydd',
}


def test_one_layer_retries(tmp_path: pathlib.Path) -> None:
    """Guards against a retry after an onward call has failed for good."""

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            fakes.note(1, {'dyffryn': (1000, 500)}, _TWO_ROUTES),
            _TWO_SERVICES,
            retry_min_per_s=1000.0,
        ) as (_, nodes):
            runs: collections.Counter[str] = collections.Counter()
            onward_statuses: list[int] = []

            def responder(node: fakes.NodeHarness) -> fakes.Responder:
                async def respond(
                    request: fakes.ReceivedRequest,
                    writer: asyncio.StreamWriter,
                ) -> None:
                    runs[request.path] += 1
                    if request.path == '/first':
                        answer = await node.call_onward(request, '/second')
                        onward_statuses.append(answer.status)
                    await _CLOSE_CONNECTION(request, writer)

                return respond

            for node in nodes:
                node.upstream.respond = responder(node)
            answer = await nodes[0].call('/first', _KEY)
            assert answer.status == 502
            # The onward call used its 3 attempts. The first call was not
            # retried, although 4 of its 8 attempts were left.
            assert onward_statuses == [502]
            assert runs == {'/first': 1, '/second': 3}
            # Without a failed onward call the first call is retried.
            nodes[0].upstream.respond = nodes[1].upstream.respond = (
                _CLOSE_CONNECTION
            )
            answer = await nodes[0].call('/first', _KEY)
            assert answer.headers['godwitstall-attempts-used'] == '2'
            assert [len(node.upstream.runs) for node in nodes[:2]] in (
                [1, 2],
                [2, 1],
            )

    asyncio.run(run())


@pytest.mark.parametrize(('ratio', 'min_per_s'), [(0.1, 0.4), (0.0, 0.0)])
def test_retry_budget(
    tmp_path: pathlib.Path, ratio: float, min_per_s: float
) -> None:
    """Guards against retries that multiply the load of a failing service."""

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            fakes.note(1, {'dyffryn': (100_000, 50_000)}, _TWO_ROUTES),
            _TWO_SERVICES,
            retry_ratio=ratio,
            retry_min_per_s=min_per_s,
        ) as (_, nodes):
            for node in nodes:
                node.upstream.respond = _CLOSE_CONNECTION
            calls = 60
            answers = await asyncio.gather(
                *(nodes[0].call('/second', _KEY) for _ in range(calls))
            )
            assert {answer.status for answer in answers} == {502}
            runs = sum(len(node.upstream.runs) for node in nodes)
            # min_per_s applies over the window of the budget, which is 5 s.
            assert runs <= calls + max(calls * ratio, min_per_s * 5)
            assert runs >= calls

    asyncio.run(run())


def test_attempts_used_up(tmp_path: pathlib.Path) -> None:
    """Guards against runs of onward calls without an attempt left."""

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            fakes.note(1, {'dyffryn': (1000, 500)}, _TWO_ROUTES),
            _TWO_SERVICES,
        ) as (_, nodes):
            refusals: list[tuple[str, str]] = []

            async def respond(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                for _ in range(6):
                    answer = await nodes[0].call_onward(request, '/second')
                    if answer.status != 200:
                        refusals.append(
                            (
                                json.loads(answer.body)['error'],
                                answer.headers['godwitstall-outcome'],
                            )
                        )
                await fakes.echo(request, writer)

            nodes[0].upstream.respond = respond
            nodes[1].stop_announcing()
            await nodes[1].announce(state='draining')
            await fakes.until(
                lambda: (
                    nodes[0]
                    .node.view.members[nodes[1].options.node_id]
                    .state.name
                    == 'DRAINING'
                ),
                'only one owner is left',
            )
            answer = await nodes[0].call('/first', _KEY)
            assert answer.status == 200
            # The dispatch itself uses one of its 4 attempts.
            assert refusals == [('attempts_used', 'not-run')] * 3
            assert answer.headers['godwitstall-attempts-used'] == '4'
            assert sum(len(n.upstream.runs) for n in nodes[2:]) == 3

    asyncio.run(run())


def _attempts_header(value: str) -> dict[str, str]:
    return {'godwitstall-attempts': value} if value else {}


def test_attempts_header(tmp_path: pathlib.Path) -> None:
    """Guards against a header that raises the attempts of the route."""
    # Header and expected runs; 2 of the 3 owners may be tried.
    cases = [('', 2), ('1', 1), ('2', 2), ('3', 2), ('1000000', 2)]

    async def run() -> None:
        async with fakes.running(
            tmp_path,
            fakes.note(
                1,
                {'dyffryn': (1000, 500)},
                [
                    _TWO_ROUTES[0] | {'attempts': 16, 'dispatch_attempts': 16},
                    _TWO_ROUTES[1] | {'attempts': 2},
                ],
            ),
            _TWO_SERVICES,
            retry_min_per_s=1000.0,
        ) as (_, nodes):
            for node in nodes[2:]:
                node.upstream.respond = _CLOSE_CONNECTION
            value = ''

            def responder(node: fakes.NodeHarness) -> fakes.Responder:
                async def respond(
                    request: fakes.ReceivedRequest,
                    writer: asyncio.StreamWriter,
                ) -> None:
                    await node.call_onward(
                        request, '/second', headers=_attempts_header(value)
                    )
                    await fakes.echo(request, writer)

                return respond

            for node in nodes[:2]:
                node.upstream.respond = responder(node)
            for value, expected_runs in cases:
                for path in ('/second', '/first'):
                    for node in nodes[2:]:
                        node.upstream.runs.clear()
                    if path == '/second':
                        await nodes[0].call(
                            path, _KEY, headers=_attempts_header(value)
                        )
                    else:
                        await nodes[0].call(path, _KEY)
                    actual_runs = sum(len(n.upstream.runs) for n in nodes[2:])
                    assert actual_runs == expected_runs, (value, path)

    asyncio.run(run())
