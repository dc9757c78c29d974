"""The load tool must count only whole own answers as good."""

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

# Calls of each run; arrivals are even, so the count is exact.
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


def _run_faulty(
    behaviour: dict[str, typing.Any], **load: typing.Any
) -> tuple[reports.Report, list[str]]:
    """Return the report and the operation ids that the stand-in ran."""

    async def run() -> tuple[reports.Report, list[str]]:
        async with tools.running_standin() as stand:
            address = stand.options.address
            await tools.fetch(
                address, 'POST', '/_standin/behaviour', behaviour
            )
            report = await runner.run(_scenario(address, **load))
            runs = stand.standin.oracle.runs
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
    """Guards against broken answers that count as goodput."""
    report, _ = _run_faulty(behaviour, method='POST')
    total = report.total(workspace='w', phase='all')
    assert total.sent == _CALLS
    assert total.failed == failed
    assert total.good == _CALLS - failures == sum(report.goodput)
    assert total.latency.get_total_count() == total.good


def test_late_answers_are_failures() -> None:
    """Guards against answers after the deadline that count as goodput."""
    report, _ = _run_faulty({'late_ms': 80.0}, deadline_ms=40)
    total = report.total()
    assert total.good == 0
    counted = sum(total.failed.values()) + sum(total.refused.values())
    assert counted == total.sent == _CALLS


def test_hard_client_resends_the_same_operation() -> None:
    """Guards against resends that would be new operations."""
    report, operations = _run_faulty(
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
    assert {uuid.UUID(name).version for name in counts} == {7}


@contextlib.asynccontextmanager
async def _fixed_server(
    answer: bytes,
) -> collections.abc.AsyncGenerator[str, None]:
    """Serve the same bytes to every request without a body."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()


def _answer(status: str, content: typing.Any, *headers: str) -> bytes:
    body = json.dumps(content)
    lines = [f'HTTP/1.1 {status}', f'content-length: {len(body)}', *headers]
    return ('\r\n'.join(lines) + '\r\n\r\n' + body).encode()


_OTHER = http_client.request_digest('GET', '/other', b'')
_NOT_RUN = 'godwitstall-outcome: not-run'

# Answer, refused and failed for each call.
_ANSWERS = [
    (_answer('200 OK', {'digest': _OTHER}), {}, {'foreign': _CALLS}),
    (_answer('200 OK', {}), {}, {'foreign': _CALLS}),
    (_answer('200 OK', {})[:-1] + b'x', {}, {'malformed': _CALLS}),
    (b'no HTTP\r\n\r\n', {}, {'malformed': _CALLS}),
    (
        _answer('503 X', {}, 'godwitstall-error: overloaded', _NOT_RUN),
        {'overloaded/not-run': _CALLS},
        {},
    ),
    (_answer('503 X', {}, _NOT_RUN), {'shed/not-run': _CALLS}, {}),
    (_answer('504 X', {}, _NOT_RUN), {'status_504/not-run': _CALLS}, {}),
    (_answer('503 X', {'digest': _OTHER}), {}, {'foreign': _CALLS}),
]


@pytest.mark.parametrize(('answer', 'refused', 'failed'), _ANSWERS)
def test_answers_that_are_not_own(
    answer: bytes, refused: dict[str, int], failed: dict[str, int]
) -> None:
    """Guards against foreign answers and refusals that count as good."""

    async def run() -> reports.Report:
        async with _fixed_server(answer) as address:
            return await runner.run(_scenario(address))

    total = asyncio.run(run()).total()
    assert total.good == 0
    assert total.refused == refused
    assert total.failed == failed


def test_second_answer_is_never_used() -> None:
    """Guards against an unasked answer taken for that of the next call."""

    async def run() -> list[str]:
        async with tools.running_standin() as stand:
            address = stand.options.address
            await tools.fetch(
                address, 'POST', '/_standin/behaviour', {'fault': 'twice'}
            )
            client = http_client.Client(address, max_connections=1)
            seen = []
            for number in range(20):
                path = f'/a?n={number}'
                try:
                    answer = await client.request('GET', path, [], b'', 10)
                except http_client.CallError as e:
                    seen.append(e.reason)
                    continue
                digest = http_client.request_digest('GET', path, b'')
                seen.append(runner.judge(answer, digest, True).label)
            client.close()
            return seen

    # '' is good. The other labels are failures, which a client may see when
    # the second answer comes after it has reused the connection.
    assert set(asyncio.run(run())) <= {'', 'foreign', 'closed', 'cut'}


def test_polite_client_waits_as_told() -> None:
    """Guards against resends before Retry-After, or without one."""
    header = 'godwitstall-retry-after-ms: 30'
    kind = 'godwitstall-error: overloaded'

    async def run(*headers: str) -> reports.Report:
        answer = _answer('503 X', {}, kind, _NOT_RUN, *headers)
        async with _fixed_server(answer) as address:
            return await runner.run(
                _scenario(address, policy=scenarios.Policy.POLITE, resends=1)
            )

    assert asyncio.run(run(header)).total().resends == _CALLS
    assert asyncio.run(run()).total().resends == 0


def test_connections_are_bounded() -> None:
    """Guards against a generator that opens connections without end."""

    async def run() -> int:
        async with tools.running_standin(service_ms=20.0) as stand:
            client = http_client.Client(stand.options.address, 3)
            await asyncio.gather(
                *(client.request('GET', '/a', [], b'', 10) for _ in range(12))
            )
            most = client.count
            client.close()
            assert client.count == 0
            return most

    assert asyncio.run(run()) == 3


def test_report_is_one_line_of_json() -> None:
    """Guards against output that a script cannot read."""
    report, _ = _run_faulty({})
    line = runner.to_line(report)
    assert '\n' not in line
    shown = json.loads(line)
    assert shown['total']['sent'] == _CALLS
    assert sum(shown['goodput']) == shown['total']['good']


def test_operation_ids_carry_the_time() -> None:
    """Guards against ids that control would refuse as too old."""
    names = [operation_ids.new_id() for _ in range(100)]
    assert len(set(names)) == len(names)
    assert {uuid.UUID(name).variant for name in names} == {uuid.RFC_4122}


def test_scenario_file_problems_are_named(tmp_path: pathlib.Path) -> None:
    """Guards against a scenario whose typing errors are passed over."""
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
