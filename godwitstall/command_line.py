"""Command lines of the programs: flags, help and usage errors.

Each program has its own FlagValues, so that several programs can be imported
into one process. app.run() of absl is not used: in a console script it shows
no flags for --help, and it ends with code 1 for a wrong flag.

Example:
    FLAGS = command_line.new_flags()
    SETTINGS = flags.DEFINE_string('settings', None, '', FLAGS)
    words = command_line.parse('godwitstall-node', USAGE, FLAGS, sys.argv)
"""

import pathlib
import re
import sys
import typing

from absl import flags

from godwitstall import errors
from godwitstall import settings

# Exit code for wrong settings or usage.
USAGE_CODE = 2

_Options = typing.TypeVar('_Options')


def new_flags() -> flags.FlagValues:
    """Return an empty set of flags."""
    return flags.FlagValues()  # type: ignore[no-untyped-call]


def fail(program: str, text: str) -> typing.NoReturn:
    """End the process because of wrong usage, with one line that says why."""
    print(f'{program}: {text}; see {program} --help', file=sys.stderr)
    sys.exit(USAGE_CODE)


def parse(
    program: str, usage: str, values: flags.FlagValues, argv: list[str]
) -> list[str]:
    """Return the words of argv that are no flags, without the program.

    Ends the process with code 0 for --help and 2 for a wrong flag.
    """
    flag_words = argv[1 : argv.index('--')] if '--' in argv else argv[1:]
    if '--help' in flag_words or '-h' in flag_words:
        print(usage)
        sys.exit(0)
    try:
        words: list[str] = values(argv)[1:]
    except flags.Error as e:
        # absl shows some causes as a tuple ('cause', 'value').
        text = re.sub(r"\('(.*)', '(.*)'\)$", r'\1: \2', str(e))
        fail(program, ' '.join(text.split()).rstrip('.'))
    return words


def load_settings(
    program: str, path: str | None, kind: type[_Options]
) -> tuple[settings.FleetOptions, _Options, settings.LogOptions]:
    """Return the settings in a file; ends the process when they are wrong."""
    if path is None:
        fail(program, 'give --settings FILE')
    try:
        return settings.load(pathlib.Path(path), kind)
    except errors.SettingsError as e:
        for problem in e.problems:
            print(problem, file=sys.stderr)
        sys.exit(USAGE_CODE)
