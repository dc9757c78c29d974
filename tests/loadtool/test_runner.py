"""The load tool counts only complete matching responses as good."""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import typing
import uuid

import pytest

from godwitstall import errors
from loadtool import http_client
from loadtool import operation_ids
from loadtool import report as reports
from loadtool import runner
from loadtool import scenario as scenarios
from loadtool import tables
from tests import tools

# Calls of each run; the count is exact because arrivals are even.
_CALLS = 10


def _scenario(address: str, **load: typing.Any) -> scenarios.Scenario:
    table: dict[str, typing.Any] = {
        'path': '/a',
        'workspace': 'w',
        'rates': [100.0],
        'deadline_ms': 10_000,
        'arrivals': scenarios.Arrivals.EVEN,
    }
    return scenarios.Scenario(
        targets=[address],
        phases=[scenarios.Phase('all', (_CALLS + 0.5) / 100)],
        loads=[scenarios.Load(**table | load)],
        connections=4,
    )


def _run_against_faults(
    behaviour: dict[str, typing.Any], **load: typing.Any
) -> tuple[reports.Report, list[str]]:
    """Return the report and the operation ids of the stand-in's runs."""

    async def run() -> tuple[reports.Report, list[str]]:
        async with tools.running_standin() as program:
            address = program.options.address
            await tools.fetch(
                address, 'POST', '/_standin/behaviour', behaviour
            )
            report = await runner.run(_scenario(address, **load))
            runs = program.standin.oracle.runs
            return report, [run.operation for run in runs]

    return asyncio.run(run())


_OUTCOMES = [
    ({}, 0, {}),
    ({'fault': 'cut'}, _CALLS, {'cut': _CALLS}),
    ({'fault': 'close_after'}, _CALLS, {'closed': _CALLS}),
    ({'error_share': 1.0}, _CALLS, {'status_500': _CALLS}),
]


@pytest.mark.parametrize(('behaviour', 'failures', 'failed'), _OUTCOMES)
def test_faults_are_failures(
    behaviour: dict[str, typing.Any], failures: int, failed: dict[str, int]
) -> None:
    """Guards against broken responses that count as goodput."""
    report, _ = _run_against_faults(behaviour, method='POST')
    total = report.total(workspace='w', phase='all')
    assert total.sent == _CALLS
    assert total.failed == failed
    assert total.good == _CALLS - failures == sum(report.goodput)
    assert total.latency.get_total_count() == total.good


def test_late_answers_are_failures() -> None:
    """Guards against responses after the deadline that count as goodput."""
    report, _ = _run_against_faults({'late_ms': 80.0}, deadline_ms=40)
    total = report.total()
    assert total.good == 0
    counted = sum(total.failed.values()) + sum(total.refused.values())
    assert counted == total.sent == _CALLS


def test_hard_client_resends_the_same_operation() -> None:
    """Guards against resends with a new operation id."""
    report, operations = _run_against_faults(
        {'fault': 'cut'},
        method='POST',
        has_operation=True,
        policy=scenarios.Policy.HARD,
        resends=2,
    )
    total = report.total()
    assert total.resends == 2 * _CALLS
    assert total.sends == {'cut': 3 * _CALLS}
    assert total.failed == {'cut': _CALLS}
    counts = collections.Counter(operations)
    assert set(counts.values()) == {3}
    assert {uuid.UUID(text).version for text in counts} == {7}


@contextlib.asynccontextmanager
async def _fixed_server(
    response: bytes,
) -> collections.abc.AsyncGenerator[str, None]:
    """Respond with the same bytes to each request without a body."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()


def _encode_response(status: str, content: typing.Any, *headers: str) -> bytes:
    body = json.dumps(content)
    lines = [f'HTTP/1.1 {status}', f'content-length: {len(body)}', *headers]
    return ('\r\n'.join(lines) + '\r\n\r\n' + body).encode()


_OTHER_DIGEST = http_client.request_digest('GET', '/other', b'')
_NOT_RUN = 'godwitstall-outcome: not-run'

# Response, then expected refused and failed counters.
_RESPONSES = [
    (
        _encode_response('200 OK', {'digest': _OTHER_DIGEST}),
        {},
        {'foreign': _CALLS},
    ),
    (_encode_response('200 OK', {}), {}, {'foreign': _CALLS}),
    (_encode_response('200 OK', {})[:-1] + b'x', {}, {'malformed': _CALLS}),
    (b'no HTTP\r\n\r\n', {}, {'malformed': _CALLS}),
    (
        _encode_response(
            '503 X', {}, 'godwitstall-error: overloaded', _NOT_RUN
        ),
        {'overloaded/not-run': _CALLS},
        {},
    ),
    (_encode_response('503 X', {}, _NOT_RUN), {'shed/not-run': _CALLS}, {}),
    (
        _encode_response('504 X', {}, _NOT_RUN),
        {'status_504/not-run': _CALLS},
        {},
    ),
    (
        _encode_response('503 X', {'digest': _OTHER_DIGEST}),
        {},
        {'foreign': _CALLS},
    ),
]


@pytest.mark.parametrize(('response', 'refused', 'failed'), _RESPONSES)
def test_answers_that_are_not_own(
    response: bytes, refused: dict[str, int], failed: dict[str, int]
) -> None:
    """Guards against foreign responses and refusals that count as good."""

    async def run() -> reports.Report:
        async with _fixed_server(response) as address:
            return await runner.run(_scenario(address))

    total = asyncio.run(run()).total()
    assert total.good == 0
    assert total.refused == refused
    assert total.failed == failed


def test_second_answer_is_never_used() -> None:
    """Guards against an unsolicited response used for the next call."""

    async def run() -> list[str]:
        async with tools.running_standin() as program:
            address = program.options.address
            await tools.fetch(
                address, 'POST', '/_standin/behaviour', {'fault': 'twice'}
            )
            client = http_client.Client(address, max_connections=1)
            labels = []
            for number in range(20):
                path = f'/a?n={number}'
                try:
                    response = await client.request('GET', path, [], b'', 10)
                except http_client.CallError as e:
                    labels.append(e.reason)
                    continue
                digest = http_client.request_digest('GET', path, b'')
                labels.append(
                    runner.classify_response(response, digest, True).label
                )
            client.close()
            return labels

    # '' is good. The other labels are failures that occur if the second
    # response arrives after the connection was reused.
    assert set(asyncio.run(run())) <= {'', 'foreign', 'closed', 'cut'}


def test_polite_client_waits_as_told() -> None:
    """Guards against resends without Retry-After."""
    header = 'godwitstall-retry-after-ms: 30'
    kind = 'godwitstall-error: overloaded'

    async def run(*headers: str) -> reports.Report:
        response = _encode_response('503 X', {}, kind, _NOT_RUN, *headers)
        async with _fixed_server(response) as address:
            return await runner.run(
                _scenario(address, policy=scenarios.Policy.POLITE, resends=1)
            )

    assert asyncio.run(run(header)).total().resends == _CALLS
    assert asyncio.run(run()).total().resends == 0


def test_connections_are_bounded() -> None:
    """Guards against a client that opens too many connections."""

    async def run() -> int:
        async with tools.running_standin(service_ms=20.0) as program:
            client = http_client.Client(program.options.address, 3)
            await asyncio.gather(
                *(client.request('GET', '/a', [], b'', 10) for _ in range(12))
            )
            connection_count = client.connection_count
            client.close()
            assert client.connection_count == 0
            return connection_count

    assert asyncio.run(run()) == 3


def test_report_is_one_line_of_json() -> None:
    """Guards against output that scripts cannot parse."""
    report, _ = _run_against_faults({})
    line = runner.to_line(report)
    assert '\n' not in line
    content = json.loads(line)
    assert content['total']['sent'] == _CALLS
    assert sum(content['goodput']) == content['total']['good']


def test_operation_ids_are_unique() -> None:
    """Guards against duplicate or malformed operation ids."""
    ids = [operation_ids.new_id() for _ in range(100)]
    assert len(set(ids)) == len(ids)
    assert {uuid.UUID(text).variant for text in ids} == {uuid.RFC_4122}


def test_scenario_file_problems_are_named(tmp_path: pathlib.Path) -> None:
    """Guards against typos in a scenario that are ignored."""
    path = tmp_path / 'scenario.toml'
    path.write_text(
        'targets = ["127.0.0.1:1"]\n'
        '[[phases]]\nname = "a"\nseconds = "x"\n'
        '[[loads]]\npath = "/"\nrates = [1.0]\npolicy = "rude"\nkee = 1\n'
    )
    with pytest.raises(errors.SettingsError) as caught:
        tables.load(path, None, scenarios.Scenario)
    keys = [problem.split(': ')[1] for problem in caught.value.problems]
    assert keys == ['phases[0].seconds', 'loads[0].policy', 'loads[0].kee']
