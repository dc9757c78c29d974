"""Demo of a small fleet of separate processes on loopback.

Starts the fleet, applies release notes with godwitstall-ctl, sends calls of
several workspaces and prints their outcomes. Stops all processes at the end,
also after a failure.

Run: python -m bench.demo
Exit codes: 0 if every step had the expected outcome, 1 otherwise.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
import typing

from bench import fleet as fleets
from godwitstall.ctl import commands
from godwitstall import errors
from loadtool import http_client
from loadtool import operation_ids
from loadtool import report as reports
from loadtool import runner
from loadtool import scenario as scenarios

# Timeout of the whole demo; a normal run takes a third of this time.
_TIMEOUT_S = 55.0

# Timeout of one godwitstall-ctl command.
_COMMAND_TIMEOUT_S = 15.0

_LOAD_S = 3.0
_CALL_TIMEOUT_S = 3.0
_POLL_INTERVAL_S = 0.1

# Last lines of a log to print if the process has exited unexpectedly.
_LOG_TAIL_LINES = 5

_SERVICES = [
    fleets.ServiceSpec('siop', 2, ['slots = 16'], ['/stordy']),
    fleets.ServiceSpec('gwydd', 1, ['slots = 16']),
    fleets.ServiceSpec('stordy', 2, ['slots = 16']),
    fleets.ServiceSpec('cyfran', 1, ['slots = 8']),
]

_LARGE = fleets.Workspace('gwehydd-fawr', 500, 500)
_SMALL = fleets.Workspace('gwehydd-fach', 200, 200)
# Sends calls far above its rate.
_OVER_RATE = fleets.Workspace('gwehydd-brysiog', 5, 10)
# The second release note withdraws its key.
_WITHDRAWN = fleets.Workspace('gwehydd-gadael', 100, 100)

_ROUTES = [
    fleets.RouteSpec('siop', 'siop', attempts=4, dispatch_attempts=2),
    fleets.RouteSpec('stordy', 'stordy'),
    fleets.RouteSpec('gwydd', 'gwydd', priority='low'),
    fleets.RouteSpec(
        'cyfran', 'cyfran', is_idempotent=False, priority='payment'
    ),
]


class DemoError(Exception):
    """A step failed or had an unexpected outcome."""


@dataclasses.dataclass
class Step:
    """One row of the table of outcomes."""

    # Method and path.
    call: str
    # Workspace whose key was sent.
    workspace: str
    # Number of calls.
    sent: int
    # Outcomes with counts, for example '12 good, 3 rate_exceeded/not-run'.
    outcome: str

    @classmethod
    def from_row(cls, call: str, row: reports.Row) -> 'Step':
        """Return the step for one load of the load tool."""
        parts = [f'{row.good} good'] if row.good else []
        parts += [
            f'{count} {label}'
            for label, count in sorted((row.refused + row.failed).items())
        ]
        return cls(call, row.workspace, row.sent, ', '.join(parts))


class Demo:
    """Runs the steps of the demo on a running fleet."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.steps: list[Step] = []
        self.settings_path = fleet.folder / 'ctl.toml'

    async def run(self) -> None:
        """Run all steps; raise DemoError on an unexpected outcome."""
        self._write_ctl_settings()
        await self._apply_note(
            1,
            fleets.note_text(
                1, [_LARGE, _SMALL, _OVER_RATE, _WITHDRAWN], _ROUTES
            ),
        )
        await self._run_ctl('members')
        await self._send_load()
        await self._withdraw_key()
        await self._send_payment_twice()
        _print_heading('Outcomes')
        rows = [dataclasses.asdict(step) for step in self.steps]
        print(
            commands.format_table(
                ('call', 'workspace', 'sent', 'outcome'), rows
            )
        )

    def _write_ctl_settings(self) -> None:
        # All settings files of a fleet contain the same [fleet] table.
        node_id = self.fleet.nodes[0].node_id
        text = (self.fleet.folder / f'node-{node_id}.toml').read_text()
        fleet_table = text.partition('[node]')[0]
        self.settings_path.write_text(
            f"{fleet_table}[ctl]\noperator = 'demo'\n"
        )

    async def _run_ctl(self, *args: str) -> None:
        """Run a godwitstall-ctl command; print the command and its output."""
        print(f'\n$ godwitstall-ctl --settings ctl.toml {" ".join(args)}')
        print(await self._call_ctl(*args))

    async def _query_ctl(self, *args: str) -> dict[str, typing.Any]:
        """Return the fields that a godwitstall-ctl command reports."""
        fields: dict[str, typing.Any] = json.loads(
            await self._call_ctl('--json', *args)
        )
        return fields

    async def _call_ctl(self, *args: str) -> str:
        """Return the output of a godwitstall-ctl command.

        Errors: DemoError with the output when it fails or takes too long.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'godwitstall.ctl.program',
            '--settings',
            str(self.settings_path),
            *args,
            cwd=self.fleet.folder,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=_child_environment(),
        )
        try:
            async with asyncio.timeout(_COMMAND_TIMEOUT_S):
                output, _ = await process.communicate()
        except TimeoutError as e:
            raise DemoError(f'{" ".join(args)} timed out.') from e
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        text = output.decode().rstrip()
        if process.returncode:
            raise DemoError(
                f'{" ".join(args)} exited with code {process.returncode}:\n'
                f'{text}'
            )
        return text

    async def _apply_note(self, number: int, text: str) -> None:
        name = f'note-{number}.toml'
        (self.fleet.folder / name).write_text(text)
        await self._run_ctl('note', 'apply', name)
        await self.fleet.wait_for_note(number)

    async def _send_load(self) -> None:
        _print_heading(
            f'The load tool sends calls for {_LOAD_S:g} s; each run of siop '
            f'calls stordy'
        )
        loads = [
            _new_load(_LARGE, 'siop', 60),
            _new_load(_SMALL, 'siop', 30),
            _new_load(_LARGE, 'gwydd', 30),
            _new_load(_OVER_RATE, 'siop', 40),
            _new_load(_SMALL, 'cyfran', 15, method='POST', has_operation=True),
        ]
        report = await runner.run(
            scenarios.Scenario(
                targets=self.fleet.caller_addresses,
                phases=[scenarios.Phase('demo', _LOAD_S)],
                loads=loads,
                connections=8,
            )
        )
        for load, row in zip(loads, report.rows, strict=True):
            self.steps.append(Step.from_row(f'{load.method} {load.path}', row))
            print(f'{row.load}: {row.good} of {row.sent} good')
            if not row.good:
                raise DemoError(f'No call of {row.load} had a good response.')
            if load.key != _OVER_RATE.key:
                continue
            label = f'{errors.ErrorKind.RATE_EXCEEDED.label}/not-run'
            if not row.refused[label]:
                raise DemoError('No call was rejected for exceeding the rate.')

    async def _withdraw_key(self) -> None:
        _print_heading(f'The key of {_WITHDRAWN.name} is withdrawn')
        await self._check_call(
            'GET', '/stordy?n=before', _WITHDRAWN, 200, 'good'
        )
        await self._apply_note(
            2, f"number = 2\n[withdrawn]\nkeys = ['key-{_WITHDRAWN.name}']\n"
        )
        await self._check_call(
            'GET', '/stordy?n=after', _WITHDRAWN, 403, 'key_unknown/not-run'
        )

    async def _send_payment_twice(self) -> None:
        _print_heading(
            'A payment is sent twice with one operation id and runs once'
        )
        operation_id = operation_ids.new_id()
        header = ('godwitstall-operation', operation_id)
        for outcome in ('good', 'good, replayed'):
            await self._check_call(
                'POST', '/cyfran', _LARGE, 200, outcome, header
            )
        await self._run_ctl('operation', operation_id)
        # The text is for people and may be reworded, unlike the fields.
        [operation] = (await self._query_ctl('operation', operation_id))[
            'operations'
        ]
        if (operation['state'], operation['status']) != ('run', 200):
            raise DemoError(
                f'The operation is not recorded as run: {operation}.'
            )

    async def _check_call(
        self,
        method: str,
        path: str,
        workspace: fleets.Workspace,
        status: int,
        outcome: str,
        *headers: tuple[str, str],
    ) -> None:
        """Send one call and check the status and outcome of its response."""
        client = http_client.Client(self.fleet.caller_addresses[0], 1)
        body = b'100 shares' if method == 'POST' else b''
        try:
            response = await client.request(
                method,
                path,
                [('authorization', f'Bearer {workspace.key}'), *headers],
                body,
                _CALL_TIMEOUT_S,
            )
        except http_client.CallError as e:
            raise DemoError(f'{method} {path}: {e.reason}.') from e
        finally:
            client.close()
        result = runner.classify_response(
            response, http_client.request_digest(method, path, body), True
        )
        actual_outcome = 'good' if result.is_good else result.label
        if result.is_replayed:
            actual_outcome += ', replayed'
        print(f'{method} {path}: {response.status}, {actual_outcome}')
        if (response.status, actual_outcome) != (status, outcome):
            raise DemoError(
                f'{method} {path}: expected {status}, {outcome}; got '
                f'{response.status}, {actual_outcome}.'
            )
        self.steps.append(
            Step(f'{method} {path}', workspace.name, 1, actual_outcome)
        )


def _new_load(
    workspace: fleets.Workspace,
    route: str,
    rate: float,
    **options: typing.Any,
) -> scenarios.Load:
    return scenarios.Load(
        path=f'/{route}',
        rates=[rate],
        workspace=workspace.name,
        key=workspace.key,
        name=f'{workspace.name} to {route}',
        **options,
    )


def _child_environment() -> dict[str, str]:
    """Return an environment in which a child imports the same package."""
    root = str(pathlib.Path(__file__).resolve().parent.parent)
    return os.environ | {'PYTHONPATH': root}


def _print_heading(text: str) -> None:
    print(f'\n== {text} ==')


def _find_exited(fleet: fleets.Fleet) -> str:
    """Return a message about a process that has exited, or ''."""
    for name, process in fleet.processes.items():
        if process.returncode is None:
            continue
        log = (fleet.folder / f'{name}.log').read_text(errors='replace')
        tail = '\n'.join(log.splitlines()[-_LOG_TAIL_LINES:])
        return f'{name} exited with code {process.returncode}:\n{tail}'
    return ''


async def _run_watched(
    fleet: fleets.Fleet,
    coro: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Run a coroutine; raise DemoError once a process has exited."""
    task = asyncio.create_task(coro)
    try:
        while not task.done():
            await asyncio.wait({task}, timeout=_POLL_INTERVAL_S)
            error = _find_exited(fleet)
            if error:
                raise DemoError(error)
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def _run_demo(folder: pathlib.Path) -> None:
    fleet = fleets.Fleet(folder, _SERVICES, node_lines=['warmup_s = 1.0'])
    # Without a handler, SIGTERM would leave the child processes running.
    current = asyncio.current_task()
    assert current is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, current.cancel)
    process_count = len(fleet.control_addresses) + 2 * len(fleet.nodes)
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            _print_heading(
                f'Starting {len(fleet.control_addresses)} control processes, '
                f'{len(fleet.nodes)} nodes and their upstreams'
            )
            await _run_watched(fleet, fleet.start())
            print(f'{process_count} processes are ready.')
            await _run_watched(fleet, Demo(fleet).run())
    except TimeoutError as e:
        raise DemoError(f'The demo timed out after {_TIMEOUT_S:g} s.') from e
    finally:
        await fleet.stop()
    print(f'\nAll {process_count} processes have stopped.')


def main() -> int:
    """Run the demo and return the exit code."""
    try:
        with tempfile.TemporaryDirectory(prefix='godwitstall-demo-') as folder:
            asyncio.run(_run_demo(pathlib.Path(folder)))
    except (DemoError, RuntimeError, OSError) as e:
        print(f'\nThe demo failed: {e}', file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        print('\nThe demo was stopped.', file=sys.stderr)
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
