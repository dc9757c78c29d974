"""Command lines of the programs: flags, help and usage errors.

Each program has its own FlagValues, so that several programs can be imported
into one process. app.run() of absl is not used because in a console script its
--help lists no flags, and it exits with code 1 for an invalid flag.

Example:
    FLAGS = command_line.new_flags()
    SETTINGS = flags.DEFINE_string('settings', None, '', FLAGS)
    args = command_line.parse('godwitstall-node', USAGE, FLAGS, sys.argv)
"""

import pathlib
import re
import sys
import typing

from absl import flags

from godwitstall import errors
from godwitstall import settings

# Exit code for invalid settings or usage errors.
USAGE_EXIT_CODE = 2

_OptionsT = typing.TypeVar('_OptionsT')


def new_flags() -> flags.FlagValues:
    """Return an empty set of flags."""
    return flags.FlagValues()  # type: ignore[no-untyped-call]


def exit_with_usage_error(program: str, message: str) -> typing.NoReturn:
    """Print the reason in one line and exit with USAGE_EXIT_CODE."""
    print(f'{program}: {message}; see {program} --help', file=sys.stderr)
    sys.exit(USAGE_EXIT_CODE)


def parse(
    program: str, usage: str, flag_values: flags.FlagValues, argv: list[str]
) -> list[str]:
    """Return the positional arguments of argv, without the program.

    Exits with code 0 for --help and 2 for an invalid flag.
    """
    flag_args = argv[1 : argv.index('--')] if '--' in argv else argv[1:]
    if '--help' in flag_args or '-h' in flag_args:
        print(usage)
        sys.exit(0)
    try:
        args: list[str] = flag_values(argv)[1:]
    except flags.Error as e:
        # absl formats some errors as a tuple ('cause', 'value').
        message = re.sub(r"\('(.*)', '(.*)'\)$", r'\1: \2', str(e))
        exit_with_usage_error(program, ' '.join(message.split()).rstrip('.'))
    return args


def load_settings(
    program: str, path: str | None, options_type: type[_OptionsT]
) -> tuple[settings.FleetOptions, _OptionsT, settings.LogOptions]:
    """Return the settings in a file; exit with an error if invalid."""
    if path is None:
        exit_with_usage_error(program, 'give --settings FILE')
    try:
        return settings.load(pathlib.Path(path), options_type)
    except errors.SettingsError as e:
        for problem in e.problems:
            print(problem, file=sys.stderr)
        sys.exit(USAGE_EXIT_CODE)
