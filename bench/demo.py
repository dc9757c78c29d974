"""A short tour: a small mesh of separate processes on loopback.

Starts the mesh, applies release notes with the operator's command line,
sends calls of several workspaces, and prints what became of them. Every
process is stopped at the end, also after a failure.

Run it as: python -m bench.demo
Exit codes: 0 every step went as expected, 1 otherwise.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
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

# Longest time for the whole demo, seconds; a usual run takes a third.
_TIMEOUT_S = 55.0

# Longest time for one run of the command line, seconds.
_COMMAND_TIMEOUT_S = 15.0

_LOAD_S = 3.0
_CALL_TIMEOUT_S = 3.0
_POLL_S = 0.1

# Lines of a log that are shown when its process has ended by itself.
_LOG_LINES = 5

_SERVICES = [
    fleets.ServiceSpec('siop', 2, ['slots = 16'], ['/stordy']),
    fleets.ServiceSpec('gwydd', 1, ['slots = 16']),
    fleets.ServiceSpec('stordy', 2, ['slots = 16']),
    fleets.ServiceSpec('cyfran', 1, ['slots = 8']),
]

_FAWR = fleets.Workspace('gwehydd-fawr', 500, 500)
_FACH = fleets.Workspace('gwehydd-fach', 200, 200)
# Its calls in the demo are far above its rate.
_BRYSIOG = fleets.Workspace('gwehydd-brysiog', 5, 10)
# Its key is withdrawn by the second note.
_GADAEL = fleets.Workspace('gwehydd-gadael', 100, 100)

_ROUTES = [
    fleets.RouteSpec('siop', 'siop', attempts=4, dispatch_attempts=2),
    fleets.RouteSpec('stordy', 'stordy'),
    fleets.RouteSpec('gwydd', 'gwydd', priority='low'),
    fleets.RouteSpec(
        'cyfran', 'cyfran', is_idempotent=False, priority='payment'
    ),
]


class DemoError(Exception):
    """A step did not go as expected; the text says what happened."""


@dataclasses.dataclass
class Step:
    """One line of the table of outcomes."""

    # What was called.
    call: str
    # Workspace whose key came with it.
    workspace: str
    # Calls sent.
    sent: int
    # What became of them, for example '12 good, 3 rate_exceeded/not-run'.
    outcome: str

    @classmethod
    def from_row(cls, call: str, row: reports.Row) -> 'Step':
        """Return the line for one load of the load tool."""
        parts = [f'{row.good} good'] if row.good else []
        parts += [
            f'{count} {label}'
            for label, count in sorted((row.refused + row.failed).items())
        ]
        return cls(call, row.workspace, row.sent, ', '.join(parts))


class Demo:
    """The steps of the demo against one running fleet."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.steps: list[Step] = []
        self.settings_path = fleet.folder / 'ctl.toml'

    async def run(self) -> None:
        """Take all steps; raises DemoError when one goes another way."""
        self._write_ctl_settings()
        await self._apply(
            1,
            fleets.note(1, [_FAWR, _FACH, _BRYSIOG, _GADAEL], _ROUTES),
        )
        await self._ctl('members')
        await self._send_load()
        await self._withdraw_key()
        await self._pay()
        _say('Outcomes')
        rows = [dataclasses.asdict(step) for step in self.steps]
        print(
            commands.format_table(
                ('call', 'workspace', 'sent', 'outcome'), rows
            )
        )

    def _write_ctl_settings(self) -> None:
        # Every settings file of a fleet has the same table [fleet].
        node = self.fleet.nodes[0].node_id
        text = (self.fleet.folder / f'node-{node}.toml').read_text()
        table = text.partition('[node]')[0]
        self.settings_path.write_text(f"{table}[ctl]\noperator = 'demo'\n")

    async def _ctl(self, *words: str) -> str:
        """Run the command line as an operator does and show it."""
        print(f'\n$ godwitstall-ctl --settings ctl.toml {" ".join(words)}')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'godwitstall.ctl.program',
            '--settings',
            str(self.settings_path),
            *words,
            cwd=self.fleet.folder,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=_environment(),
        )
        try:
            async with asyncio.timeout(_COMMAND_TIMEOUT_S):
                output, _ = await process.communicate()
        except TimeoutError as e:
            raise DemoError(f'{" ".join(words)} took too long.') from e
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        text = output.decode().rstrip()
        print(text)
        if process.returncode:
            raise DemoError(
                f'{" ".join(words)} ended with code {process.returncode}.'
            )
        return text

    async def _apply(self, number: int, text: str) -> None:
        name = f'note-{number}.toml'
        (self.fleet.folder / name).write_text(text)
        await self._ctl('note', 'apply', name)
        await self.fleet.wait_number(number)

    async def _send_load(self) -> None:
        _say(
            f'The load tool sends calls for {_LOAD_S:g} s; each siop calls '
            f'stordy onward'
        )
        loads = [
            _load(_FAWR, 'siop', 60),
            _load(_FACH, 'siop', 30),
            _load(_FAWR, 'gwydd', 30),
            _load(_BRYSIOG, 'siop', 40),
            _load(_FACH, 'cyfran', 15, method='POST', has_operation=True),
        ]
        report = await runner.run(
            scenarios.Scenario(
                targets=self.fleet.callers,
                phases=[scenarios.Phase('demo', _LOAD_S)],
                loads=loads,
                connections=8,
            )
        )
        for load, row in zip(loads, report.rows, strict=True):
            self.steps.append(Step.from_row(f'{load.method} {load.path}', row))
            print(f'{row.load}: {row.good} of {row.sent} good')
            if not row.good:
                raise DemoError(f'No call of {row.load} was good.')
            if load.key != _BRYSIOG.key:
                continue
            label = f'{errors.ErrorKind.RATE_EXCEEDED.label}/not-run'
            if not row.refused[label]:
                raise DemoError('No call was refused for rate.')

    async def _withdraw_key(self) -> None:
        _say(f'The key of {_GADAEL.name} is withdrawn')
        await self._call('GET', '/stordy?n=before', _GADAEL, 200, 'good')
        await self._apply(
            2, f"number = 2\n[withdrawn]\nkeys = ['key-{_GADAEL.name}']\n"
        )
        await self._call(
            'GET', '/stordy?n=after', _GADAEL, 403, 'key_unknown/not-run'
        )

    async def _pay(self) -> None:
        _say('A payment is sent twice under one operation id and run once')
        operation = operation_ids.new_id()
        header = ('godwitstall-operation', operation)
        for outcome in ('good', 'good, replayed'):
            await self._call('POST', '/cyfran', _FAWR, 200, outcome, header)
        text = await self._ctl('operation', operation)
        if 'RUN. The upstream gave a whole answer.' not in text:
            raise DemoError('The operation is not on the record as run.')

    async def _call(
        self,
        method: str,
        path: str,
        workspace: fleets.Workspace,
        status: int,
        outcome: str,
        *pairs: tuple[str, str],
    ) -> None:
        """Send one call and compare what comes back."""
        client = http_client.Client(self.fleet.callers[0], 1)
        body = b'100 shares' if method == 'POST' else b''
        try:
            answer = await client.request(
                method,
                path,
                [('authorization', f'Bearer {workspace.key}'), *pairs],
                body,
                _CALL_TIMEOUT_S,
            )
        except http_client.CallError as e:
            raise DemoError(f'{method} {path}: {e.reason}.') from e
        finally:
            client.close()
        result = runner.classify_response(
            answer, http_client.request_digest(method, path, body), True
        )
        found = 'good' if result.is_good else result.label
        if result.is_replayed:
            found += ', replayed'
        print(f'{method} {path}: {answer.status}, {found}')
        if (answer.status, found) != (status, outcome):
            raise DemoError(
                f'{method} {path}: expected {status}, {outcome}; got '
                f'{answer.status}, {found}.'
            )
        self.steps.append(Step(f'{method} {path}', workspace.name, 1, found))


def _load(
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


def _environment() -> dict[str, str]:
    """Return the environment in which a child finds the same package."""
    root = str(pathlib.Path(__file__).resolve().parent.parent)
    return os.environ | {'PYTHONPATH': root}


def _say(text: str) -> None:
    print(f'\n== {text} ==')


def _find_ended(fleet: fleets.Fleet) -> str:
    """Return a message about a process that ended by itself, or ''."""
    for name, process in fleet.processes.items():
        if process.returncode is None:
            continue
        log = (fleet.folder / f'{name}.log').read_text(errors='replace')
        lines = '\n'.join(log.splitlines()[-_LOG_LINES:])
        return f'{name} ended with code {process.returncode}:\n{lines}'
    return ''


async def _watched(
    fleet: fleets.Fleet,
    work: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Do work, but stop at once when a process of the fleet has ended."""
    task = asyncio.create_task(work)
    try:
        while not task.done():
            await asyncio.wait({task}, timeout=_POLL_S)
            ended = _find_ended(fleet)
            if ended:
                raise DemoError(ended)
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def _show(folder: pathlib.Path) -> None:
    fleet = fleets.Fleet(folder, _SERVICES, node_lines=['warmup_s = 1.0'])
    # A stop signal must not leave processes behind.
    current = asyncio.current_task()
    assert current is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, current.cancel)
    count = len(fleet.control) + 2 * len(fleet.nodes)
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            _say(
                f'Starting {len(fleet.control)} control processes, '
                f'{len(fleet.nodes)} nodes and their upstreams'
            )
            await _watched(fleet, fleet.start())
            print(f'{count} processes are ready.')
            await _watched(fleet, Demo(fleet).run())
    except TimeoutError as e:
        raise DemoError(f'Not done after {_TIMEOUT_S:g} s.') from e
    finally:
        await fleet.stop()
    print(f'\nAll {count} processes are stopped.')


def main() -> int:
    """Run the demo and return the exit code."""
    try:
        with tempfile.TemporaryDirectory(prefix='godwitstall-demo-') as folder:
            asyncio.run(_show(pathlib.Path(folder)))
    except (DemoError, RuntimeError, OSError) as e:
        print(f'\nThe demo failed: {e}', file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        print('\nThe demo was stopped.', file=sys.stderr)
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
