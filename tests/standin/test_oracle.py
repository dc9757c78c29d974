"""The oracle records each run, also without a complete response."""

import asyncio
import json
import pathlib
import subprocess
import sys

import pytest

from godwitstall import clock
from loadtool import http_client
from standin import oracle as oracles
from tests import tools

# Only ends a test that hangs; no assertion depends on the value.
_TIMEOUT_S = 20.0

# Fault, reason of the CallError and number of runs of one call.
_FAULTS = [
    ('cut', 'cut', 1),
    ('close_before', 'closed', 0),
    ('close_after', 'closed', 1),
]


async def _wait_until(condition: object) -> None:
    assert callable(condition)
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize(('fault', 'reason', 'runs'), _FAULTS)
def test_broken_answer(fault: str, reason: str, runs: int) -> None:
    """Guards against an uncounted run whose response was not complete."""

    async def scenario() -> None:
        async with tools.running_standin() as program:
            address = program.options.address
            await tools.fetch(
                address, 'POST', '/_standin/behaviour', {'fault': fault}
            )
            client = http_client.Client(address, max_connections=1)
            with pytest.raises(http_client.CallError) as caught:
                await client.request('GET', '/a', [], b'', _TIMEOUT_S)
            assert caught.value.reason == reason
            page = await tools.fetch(address, 'GET', '/_standin/runs')
            assert page['total'] == runs
            assert [run['state'] for run in page['runs']] == ['done'] * runs

    asyncio.run(scenario())


def test_client_gone_while_running_and_queued() -> None:
    """Guards against runs that continue after the client disconnected."""

    async def scenario() -> None:
        async with tools.running_standin(
            slots=1, service_ms=1e6, max_queue=2
        ) as program:
            client = http_client.Client(program.options.address, 2)
            first = asyncio.create_task(
                client.request('GET', '/first', [], b'', _TIMEOUT_S)
            )
            slots = program.standin.slots
            await _wait_until(lambda: slots.running == 1)
            second = asyncio.create_task(
                client.request('GET', '/second', [], b'', _TIMEOUT_S)
            )
            await _wait_until(lambda: len(slots.waiters) == 1)
            second.cancel()
            await _wait_until(lambda: not slots.waiters)
            assert slots.running == 1
            first.cancel()
            await _wait_until(lambda: slots.running == 0)
            runs = program.standin.oracle.runs
            assert [(run.path, run.state) for run in runs] == [
                ('/first', 'cancelled')
            ]

    asyncio.run(scenario())


def test_shed_and_late_calls_are_not_run() -> None:
    """Guards against "not run" responses to calls that were run."""

    async def scenario() -> None:
        async with tools.running_standin(
            slots=1, service_ms=1e6, max_queue=1
        ) as program:
            client = http_client.Client(program.options.address, 3)
            first = asyncio.create_task(
                client.request('GET', '/first', [], b'', _TIMEOUT_S)
            )
            slots = program.standin.slots
            await _wait_until(lambda: slots.running == 1)
            late = asyncio.create_task(
                client.request(
                    'GET',
                    '/late',
                    [('godwitstall-deadline-ms', '200')],
                    b'',
                    _TIMEOUT_S,
                )
            )
            await _wait_until(lambda: len(slots.waiters) == 1)
            shed = await client.request('GET', '/shed', [], b'', _TIMEOUT_S)
            responses = [(await late), shed]
            assert [response.status for response in responses] == [504, 503]
            for response in responses:
                assert response.headers['godwitstall-outcome'] == 'not-run'
            assert [run.path for run in program.standin.oracle.runs] == [
                '/first'
            ]
            first.cancel()

    asyncio.run(scenario())


def test_key_header_is_recorded() -> None:
    """Guards against a key header that the oracle does not record."""

    async def scenario() -> None:
        async with tools.running_standin() as program:
            client = http_client.Client(program.options.address, 1)
            for name in ('Authorization', 'Godwitstall-Key', 'X-Other'):
                headers = [(name, 'secret'), ('Godwitstall-Workspace', 'w')]
                await client.request('GET', '/a', headers, b'', _TIMEOUT_S)
            runs = program.standin.oracle.runs
            assert [run.has_key for run in runs] == [True, True, False]
            assert {run.workspace for run in runs} == {'w'}

    asyncio.run(scenario())


def test_crash_keeps_the_run(tmp_path: pathlib.Path) -> None:
    """Guards against losing the run that crashed its process."""
    journal = str(tmp_path / 'runs')
    address = tools.free_address()
    arguments = ['--service=siop', f'--address={address}', '--service_ms=0']
    process = subprocess.Popen(
        [
            *(sys.executable, '-m', 'standin'),
            *arguments,
            '--behaviour={"crash_marker": "boom"}',
            f'--runs_file={journal}',
        ],
        stderr=subprocess.DEVNULL,
    )

    async def scenario() -> None:
        client = http_client.Client(address, max_connections=1)

        async def send(path: str, body: bytes) -> http_client.Response:
            return await client.request('POST', path, [], body, _TIMEOUT_S)

        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                try:
                    await send('/a', b'fine')
                    break
                except http_client.CallError:
                    await asyncio.sleep(0.02)
        with pytest.raises(http_client.CallError) as caught:
            await send('/a', b'a boom here')
        assert caught.value.reason == 'closed'

    try:
        asyncio.run(scenario())
        assert process.wait(_TIMEOUT_S) == 1
    finally:
        process.kill()
        process.wait()
    oracle = oracles.Oracle(journal, max_runs=10)
    oracle.close()
    assert [run.state for run in oracle.runs] == ['done', 'crashed']
    assert oracle.runs[1].digest == http_client.request_digest(
        'POST', '/a', b'a boom here'
    )


def test_torn_journal_line_is_left_out(tmp_path: pathlib.Path) -> None:
    """Guards against a stand-in that fails to start after a full disk."""
    journal = tmp_path / 'runs'
    oracle = oracles.Oracle(str(journal), max_runs=10)
    run = oracles.Run(1, 7, clock.now(), 'GET', '/', '', '', '', False)
    oracle.record_start(run)
    oracle.record_end(run, 'done')
    oracle.close()
    with journal.open('a') as file:
        file.write(json.dumps({'number': 2})[:-3])
    reopened = oracles.Oracle(str(journal), max_runs=10)
    reopened.close()
    assert [run.state for run in reopened.runs] == ['done']


def test_draining_ends_with_the_running_work() -> None:
    """Guards against a planned stop that aborts a running call."""

    async def scenario() -> None:
        async with tools.running_standin(
            service_ms=200.0, drain_min_s=0.0
        ) as program:
            client = http_client.Client(program.options.address, 1)
            call = asyncio.create_task(
                client.request('GET', '/a', [], b'', _TIMEOUT_S)
            )
            await _wait_until(lambda: program.standin.slots.running == 1)
            await program.drain()
            assert program.standin.announcement()['state'] == 'draining'
            assert program.standin.is_idle()
            assert (await call).status == 200

    asyncio.run(scenario())
