"""godwitstall-ctl: what an operator does, one command a run.

Example: godwitstall-ctl --settings ctl.toml note apply note-7.toml
Exit codes: 0 done, 1 refused or failed, 2 wrong settings or usage.
"""

import asyncio
import dataclasses
import pathlib
import sys

from absl import app
from absl import flags

from godwitstall.ctl import client as client_module
from godwitstall.ctl import commands
from godwitstall import errors
from godwitstall import settings

_SETTINGS = flags.DEFINE_string(
    'settings', None, 'Settings file with the tables [fleet] and [ctl].'
)
_JSON = flags.DEFINE_bool('json', False, 'Print JSON instead of a table.')


@dataclasses.dataclass(frozen=True)
class _Command:
    """One command of the table below."""

    # Words that call it.
    words: tuple[str, ...]
    # Names of its arguments.
    arguments: tuple[str, ...]
    # What it does.
    text: str
    # The function that does it.
    run: commands.Run


COMMANDS = [
    _Command(
        ('note', 'check'),
        ('FILE',),
        'Check a release note against the configuration in force.',
        commands.check_note,
    ),
    _Command(
        ('note', 'apply'),
        ('FILE',),
        'Put a release note in force.',
        commands.apply_note,
    ),
    _Command(
        ('note', 'list'),
        (),
        'List the accepted release notes.',
        commands.list_notes,
    ),
    _Command(
        ('config', 'show'),
        (),
        'Show the configuration in force.',
        commands.show_configuration,
    ),
    _Command(
        ('config', 'where'),
        (),
        'Show which processes have the configuration in force.',
        commands.show_where,
    ),
    _Command(
        ('members',), (), 'List nodes and upstreams.', commands.list_members
    ),
    _Command(
        ('drain',),
        ('NODE',),
        'Give the upstream of a node no new work.',
        commands.drain,
    ),
    _Command(
        ('undrain',),
        ('NODE',),
        'Give the upstream of a node work again.',
        commands.undrain,
    ),
    _Command(
        ('operation',),
        ('ID',),
        'Tell whether an operation was run, with the evidence.',
        commands.show_operation,
    ),
    _Command(
        ('quarantine', 'list'),
        (),
        'List suspect and quarantined requests.',
        commands.list_quarantine,
    ),
    _Command(
        ('quarantine', 'lift'),
        ('FINGERPRINT',),
        'Let a quarantined request run again.',
        commands.lift_quarantine,
    ),
    _Command(
        ('key', 'new'),
        (),
        'Make a key and the digest for a release note.',
        commands.make_key,
    ),
    _Command(
        ('state',),
        ('ADDRESS',),
        'Dump the state of the process with this admin address.',
        commands.dump_state,
    ),
]


def _usage() -> str:
    lines = ['Usage: godwitstall-ctl --settings FILE [--json] COMMAND', '']
    for command in COMMANDS:
        words = ' '.join((*command.words, *command.arguments))
        lines.append(f'  {words:<28} {command.text}')
    return '\n'.join(lines)


def find_command(words: list[str]) -> tuple[_Command, list[str]] | None:
    """Return the command that words call, and its arguments."""
    for command in COMMANDS:
        count = len(command.words)
        arguments = words[count:]
        is_called = tuple(words[:count]) == command.words
        if is_called and len(arguments) == len(command.arguments):
            return command, arguments
    return None


def _run(argv: list[str]) -> None:
    found = find_command(argv[1:])
    if found is None or _SETTINGS.value is None:
        print(_usage(), file=sys.stderr)
        sys.exit(2)
    command, arguments = found
    try:
        fleet, options, _ = settings.load(
            pathlib.Path(_SETTINGS.value), settings.CtlOptions
        )
    except errors.SettingsError as e:
        for problem in e.problems:
            print(problem, file=sys.stderr)
        sys.exit(2)
    client = client_module.ControlClient(options, fleet)
    try:
        result = asyncio.run(command.run(client, *arguments))
    except (errors.GodwitstallError, commands.CommandError) as e:
        print(f'godwitstall-ctl: {e}', file=sys.stderr)
        sys.exit(1)
    print(result.to_json() if _JSON.value else result.to_text())
    sys.exit(0 if result.is_success else 1)


def main() -> None:
    """Entry point of the console script."""
    app.run(_run)


if __name__ == '__main__':
    main()
