"""godwitstall-ctl: runs one operator command.

Example: godwitstall-ctl --settings ctl.toml note apply note-7.toml
Exit codes: 0 done, 1 refused or failed, 2 invalid settings or usage.
"""

import asyncio
import dataclasses
import sys

from absl import flags

from godwitstall import command_line
from godwitstall.ctl import client as client_module
from godwitstall.ctl import commands
from godwitstall.ctl import evacuation_commands
from godwitstall import errors
from godwitstall import settings

_PROGRAM = 'godwitstall-ctl'

_FLAGS = command_line.new_flags()
_SETTINGS = flags.DEFINE_string('settings', None, 'Settings file.', _FLAGS)
_JSON = flags.DEFINE_bool('json', False, 'Print JSON.', _FLAGS)


@dataclasses.dataclass(frozen=True)
class Command:
    """One command of godwitstall-ctl."""

    # Subcommand words, for example ('note', 'apply').
    words: tuple[str, ...]
    # Names of the positional arguments, as shown in the usage.
    arguments: tuple[str, ...]
    # One-line help text.
    description: str
    run: commands.CommandFunction

    @property
    def synopsis(self) -> str:
        """Words and arguments, for example 'note apply FILE'."""
        return ' '.join((*self.words, *self.arguments))


COMMANDS = [
    Command(
        ('note', 'check'),
        ('FILE',),
        'Check a release note against the configuration in force.',
        commands.check_note,
    ),
    Command(
        ('note', 'apply'),
        ('FILE',),
        'Put a release note in force.',
        commands.apply_note,
    ),
    Command(
        ('note', 'list'),
        (),
        'List the accepted release notes.',
        commands.list_notes,
    ),
    Command(
        ('config', 'show'),
        (),
        'Show the configuration in force.',
        commands.show_configuration,
    ),
    Command(
        ('config', 'where'),
        (),
        'Show which processes have the configuration in force.',
        commands.show_where,
    ),
    Command(
        ('members',), (), 'List nodes and upstreams.', commands.list_members
    ),
    Command(
        ('drain',),
        ('NODE',),
        'Give the upstream of a node no new work.',
        commands.drain,
    ),
    Command(
        ('undrain',),
        ('NODE',),
        'Give the upstream of a node work again.',
        commands.undrain,
    ),
    Command(
        ('evacuation', 'begin'),
        ('ZONE',),
        'Give the upstreams of a zone no new work.',
        evacuation_commands.begin,
    ),
    Command(
        ('evacuation', 'finish'),
        ('ZONE',),
        'Give the upstreams of a zone work again.',
        evacuation_commands.finish,
    ),
    Command(
        ('evacuation', 'list'),
        (),
        'List evacuated zones and which processes have that in force.',
        evacuation_commands.list_zones,
    ),
    Command(
        ('operation',),
        ('ID',),
        'Tell whether an operation was run, with the evidence.',
        commands.show_operation,
    ),
    Command(
        ('quarantine', 'list'),
        (),
        'List suspect and quarantined requests.',
        commands.list_quarantine,
    ),
    Command(
        ('quarantine', 'lift'),
        ('FINGERPRINT',),
        'Let a quarantined request run again.',
        commands.lift_quarantine,
    ),
    Command(
        ('key', 'new'),
        (),
        'Make a key and the digest for a release note.',
        commands.create_key,
    ),
    Command(
        ('story',),
        ('REQUEST', 'FOLDER'),
        'Tell what the logs FOLDER/*.log hold about a request.',
        commands.show_story,
    ),
    Command(
        ('state',),
        ('ADDRESS',),
        'Dump the state of the process with this admin address.',
        commands.dump_state,
    ),
]


def usage() -> str:
    """Return the text for --help."""
    lines = [f'Usage: {_PROGRAM} --settings FILE [--json] COMMAND', '']
    for command in COMMANDS:
        lines.append(f'  {command.synopsis:<28} {command.description}')
    lines += [
        '',
        '  --settings FILE  Settings file with the tables [fleet] and [ctl].',
        '  --json           Print JSON instead of a table.',
        '',
        'Exit codes: 0 done, 1 refused or failed, '
        '2 invalid settings or usage.',
    ]
    return '\n'.join(lines)


def find_command(words: list[str]) -> tuple[Command, list[str]]:
    """Return the command that words name, and the values of its arguments.

    Errors: ValueError with a one-line message.
    """
    if not words:
        raise ValueError('give a command')
    for command in COMMANDS:
        count = len(command.words)
        if tuple(words[:count]) != command.words:
            continue
        arguments = words[count:]
        if len(arguments) != len(command.arguments):
            raise ValueError(
                f'{" ".join(command.words)!r} takes '
                f'{" ".join(command.arguments) or "no argument"}, not '
                f'{len(arguments)} arguments'
            )
        return command, arguments
    raise ValueError(f'unknown command {" ".join(words)!r}')


def main() -> None:
    """Entry point of the console script."""
    words = command_line.parse(_PROGRAM, usage(), _FLAGS, sys.argv)
    try:
        command, arguments = find_command(words)
    except ValueError as e:
        command_line.exit_with_usage_error(_PROGRAM, str(e))
    fleet, options, _ = command_line.load_settings(
        _PROGRAM, _SETTINGS.value, settings.CtlOptions
    )
    client = client_module.ControlClient(options, fleet)
    try:
        result = asyncio.run(command.run(client, *arguments))
    except (errors.GodwitstallError, commands.CommandError) as e:
        print(f'{_PROGRAM}: {e}', file=sys.stderr)
        sys.exit(1)
    except KeyboardInterrupt:
        # A command that was sent already may still take effect.
        print(f'{_PROGRAM}: interrupted', file=sys.stderr)
        sys.exit(1)
    print(result.to_json() if _JSON.value else result.to_text())
    sys.exit(0 if result.is_success else 1)


if __name__ == '__main__':
    main()
