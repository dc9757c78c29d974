"""The oracle must count runs truly, whatever becomes of their answers."""

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

# A hung test ends here; no assertion depends on it.
_TIMEOUT_S = 20.0

# Fault, reason seen by the client, runs counted for one call.
_FAULTS = [
    ('cut', 'cut', 1),
    ('close_before', 'closed', 0),
    ('close_after', 'closed', 1),
]


async def _until(check: object) -> None:
    assert callable(check)
    async with asyncio.timeout(_TIMEOUT_S):
        while not check():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize(('fault', 'reason', 'runs'), _FAULTS)
def test_broken_answer(fault: str, reason: str, runs: int) -> None:
    """Guards against a run that is not counted as its answer breaks."""

    async def scenario() -> None:
        async with tools.running_standin() as stand:
            address = stand.options.address
            await tools.fetch(
                address, 'POST', '/_standin/behaviour', {'fault': fault}
            )
            client = http_client.Client(address, max_connections=1)
            with pytest.raises(http_client.CallError) as caught:
                await client.request('GET', '/a', [], b'', _TIMEOUT_S)
            assert caught.value.reason == reason
            shown = await tools.fetch(address, 'GET', '/_standin/runs')
            assert shown['total'] == runs
            assert [run['state'] for run in shown['runs']] == ['done'] * runs

    asyncio.run(scenario())


def test_client_gone_while_running_and_queued() -> None:
    """Guards against work that goes on, or is counted, for nobody."""

    async def scenario() -> None:
        async with tools.running_standin(
            slots=1, service_ms=1e6, max_queue=2
        ) as stand:
            client = http_client.Client(stand.options.address, 2)
            first = asyncio.create_task(
                client.request('GET', '/first', [], b'', _TIMEOUT_S)
            )
            slots = stand.standin.slots
            await _until(lambda: slots.running == 1)
            second = asyncio.create_task(
                client.request('GET', '/second', [], b'', _TIMEOUT_S)
            )
            await _until(lambda: len(slots.waiting) == 1)
            second.cancel()
            await _until(lambda: not slots.waiting)
            assert slots.running == 1
            first.cancel()
            await _until(lambda: slots.running == 0)
            runs = stand.standin.oracle.runs
            assert [(run.path, run.state) for run in runs] == [
                ('/first', 'cancelled')
            ]

    asyncio.run(scenario())


def test_shed_and_late_calls_are_not_run() -> None:
    """Guards against "not run" answers to calls that were run."""

    async def scenario() -> None:
        async with tools.running_standin(
            slots=1, service_ms=1e6, max_queue=1
        ) as stand:
            client = http_client.Client(stand.options.address, 3)
            first = asyncio.create_task(
                client.request('GET', '/first', [], b'', _TIMEOUT_S)
            )
            slots = stand.standin.slots
            await _until(lambda: slots.running == 1)
            late = asyncio.create_task(
                client.request(
                    'GET',
                    '/late',
                    [('godwitstall-deadline-ms', '200')],
                    b'',
                    _TIMEOUT_S,
                )
            )
            await _until(lambda: len(slots.waiting) == 1)
            shed = await client.request('GET', '/shed', [], b'', _TIMEOUT_S)
            answers = [(await late), shed]
            assert [answer.status for answer in answers] == [504, 503]
            for answer in answers:
                assert answer.headers['godwitstall-outcome'] == 'not-run'
            assert [run.path for run in stand.standin.oracle.runs] == [
                '/first'
            ]
            first.cancel()

    asyncio.run(scenario())


def test_key_is_noticed() -> None:
    """Guards against a key that reaches an upstream unseen."""

    async def scenario() -> None:
        async with tools.running_standin() as stand:
            client = http_client.Client(stand.options.address, 1)
            for name in ('Authorization', 'Godwitstall-Key', 'X-Other'):
                headers = [(name, 'secret'), ('Godwitstall-Workspace', 'w')]
                await client.request('GET', '/a', headers, b'', _TIMEOUT_S)
            runs = stand.standin.oracle.runs
            assert [run.has_key for run in runs] == [True, True, False]
            assert {run.workspace for run in runs} == {'w'}

    asyncio.run(scenario())


def test_crash_keeps_the_run(tmp_path: pathlib.Path) -> None:
    """Guards against a run that is lost with the process it crashed."""
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

        async def send(path: str, body: bytes) -> http_client.Answer:
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
    """Guards against a stand-in that cannot start after a full disk."""
    journal = tmp_path / 'runs'
    oracle = oracles.Oracle(str(journal), max_runs=10)
    run = oracles.Run(1, 7, clock.now(), 'GET', '/', '', '', '', False)
    oracle.begin(run)
    oracle.end(run, 'done')
    oracle.close()
    with journal.open('a') as file:
        file.write(json.dumps({'number': 2})[:-3])
    again = oracles.Oracle(str(journal), max_runs=10)
    again.close()
    assert [run.state for run in again.runs] == ['done']


def test_draining_ends_with_the_running_work() -> None:
    """Guards against a planned stop that cuts a running call."""

    async def scenario() -> None:
        async with tools.running_standin(
            service_ms=200.0, drain_min_s=0.0
        ) as stand:
            client = http_client.Client(stand.options.address, 1)
            call = asyncio.create_task(
                client.request('GET', '/a', [], b'', _TIMEOUT_S)
            )
            await _until(lambda: stand.standin.slots.running == 1)
            await stand.drain()
            assert stand.standin.announcement()['state'] == 'draining'
            assert stand.standin.is_idle()
            assert (await call).status == 200

    asyncio.run(scenario())
