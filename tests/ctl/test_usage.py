"""Command lines of the programs: help, usage errors and exit codes."""

import collections.abc
import logging
import pathlib
import sys
import types

import pytest

from godwitstall.control import program as control_program
from godwitstall.ctl import program as ctl_program
from godwitstall.node import program as node_program

_PROGRAMS: dict[str, types.ModuleType] = {
    'godwitstall-node': node_program,
    'godwitstall-control': control_program,
    'godwitstall-ctl': ctl_program,
}

_Main = collections.abc.Callable[..., tuple[int, str, str]]


@pytest.fixture
def _restore_logging() -> collections.abc.Iterator[None]:
    """Restore the logging configuration after the test.

    The handler that a program installs writes to a stream that is closed after
    the test, and other tests read the log through the root logger.
    """
    logger = logging.getLogger('godwitstall')
    saved = logger.handlers, logger.propagate, logger.level
    yield
    logger.handlers, logger.propagate, _ = saved
    logger.setLevel(saved[2])


@pytest.fixture
def main(
    _restore_logging: None,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path: pathlib.Path,
) -> _Main:
    """Return a function that runs a program with command line arguments.

    The function returns the exit code, standard output and standard error.
    """
    monkeypatch.chdir(tmp_path)

    def run(program: str, *arguments: str) -> tuple[int, str, str]:
        module = _PROGRAMS[program]
        for name in list(module._FLAGS):
            module._FLAGS[name].unparse()
        monkeypatch.setattr(sys, 'argv', [program, *arguments])
        code: object = 0
        try:
            module.main()
        except SystemExit as e:
            code = e.code or 0
        assert isinstance(code, int)
        return code, *capsys.readouterr()

    return run


@pytest.mark.parametrize('flag', ['--help', '-h'])
@pytest.mark.parametrize('program', _PROGRAMS)
def test_help(main: _Main, program: str, flag: str) -> None:
    """Guards against a help text that omits flags or commands."""
    code, out, err = main(program, flag)
    assert (code, err) == (0, '')
    assert out.startswith(f'Usage: {program} --settings FILE')
    for name in _PROGRAMS[program]._FLAGS:
        assert f'--{name}' in out
    if program == 'godwitstall-ctl':
        for command in ctl_program.COMMANDS:
            assert f'  {command.synopsis} ' in out
    assert all(len(line) < 100 for line in out.splitlines())


# Program, its arguments, and the expected error message.
_USAGE_ERRORS = [
    ('godwitstall-node', [], 'give --settings FILE'),
    ('godwitstall-control', [], 'give --settings FILE'),
    ('godwitstall-ctl', [], 'give a command'),
    ('godwitstall-ctl', ['members'], 'give --settings FILE'),
    (
        'godwitstall-node',
        ['--setings', 'x'],
        "Unknown command line flag 'setings'. Did you mean: settings ?",
    ),
    ('godwitstall-node', ['--settings'], 'Missing value for flag --settings'),
    (
        'godwitstall-control',
        ['--format=maybe'],
        'flag --format=maybe: Non-boolean argument to boolean flag: maybe',
    ),
    ('godwitstall-control', ['--initial'], '--initial needs --format'),
    ('godwitstall-node', ['run'], "unexpected argument 'run'"),
    ('godwitstall-control', ['format'], "unexpected argument 'format'"),
    ('godwitstall-ctl', ['member'], "unknown command 'member'"),
    ('godwitstall-ctl', ['note'], "unknown command 'note'"),
    (
        'godwitstall-ctl',
        ['note', 'apply'],
        "'note apply' takes FILE, not 0 arguments",
    ),
    (
        'godwitstall-ctl',
        ['evacuation', 'begin'],
        "'evacuation begin' takes ZONE, not 0 arguments",
    ),
    (
        'godwitstall-ctl',
        ['evacuation', 'start', 'z1'],
        "unknown command 'evacuation start z1'",
    ),
    (
        'godwitstall-ctl',
        ['drain', 'a', 'b'],
        "'drain' takes NODE, not 2 arguments",
    ),
    (
        'godwitstall-ctl',
        ['members', 'a'],
        "'members' takes no argument, not 1 arguments",
    ),
    ('godwitstall-ctl', ['--', '--help'], "unknown command '--help'"),
]


@pytest.mark.parametrize(('program', 'arguments', 'line'), _USAGE_ERRORS)
def test_usage_error(
    main: _Main, program: str, arguments: list[str], line: str
) -> None:
    """Guards against a traceback or the full help for a usage error."""
    code, out, err = main(program, *arguments)
    assert (code, out) == (2, '')
    assert err == f'{program}: {line}; see {program} --help\n'


@pytest.mark.parametrize('program', _PROGRAMS)
def test_wrong_settings(main: _Main, program: str) -> None:
    """Guards against a start, or an unclear error, with invalid settings."""
    arguments = ['members'] if program == 'godwitstall-ctl' else []
    code, out, err = main(program, '--settings', 'absent.toml', *arguments)
    assert (code, out) == (2, '')
    assert err == ('absent.toml: cannot be read: No such file or directory\n')
    pathlib.Path('empty.toml').write_text('')
    code, out, err = main(program, '--settings', 'empty.toml', *arguments)
    assert (code, out) == (2, '')
    for line in err.splitlines():
        assert line.startswith('empty.toml: ')
        assert line.endswith(': is missing')


def test_failed_command(main: _Main) -> None:
    """Guards against exit code 0 for a command that failed."""
    pathlib.Path('secret').write_bytes(b'0123456789abcdef')
    pathlib.Path('ctl.toml').write_text(
        "[fleet]\nname = 't'\nsecret_file = 'secret'\n"
        "[fleet.control]\nc1 = '127.0.0.1:1'\n"
        "[ctl]\noperator = 'mair'\ntimeout_s = 0.1\n"
    )
    for arguments, line in (
        (['members'], 'godwitstall-ctl: c1: No link to 127.0.0.1:1: '),
        (['operation', 'x'], "godwitstall-ctl: 'x' is not a UUIDv7."),
        (['note', 'apply', 'absent'], 'godwitstall-ctl: absent: cannot be'),
        (['state', 'x'], 'godwitstall-ctl: ADDRESS must be an IP address'),
    ):
        code, out, err = main(
            'godwitstall-ctl', '--settings', 'ctl.toml', *arguments
        )
        assert (code, out) == (1, '')
        assert err.startswith(line)
        assert err.count('\n') == 1
    pathlib.Path('note.toml').write_text('number = 0')
    code, out, err = main(
        'godwitstall-ctl',
        '--settings',
        'ctl.toml',
        'note',
        'check',
        'note.toml',
    )
    assert (code, err) == (1, '')
    assert out.startswith('note.toml: number: must be from 1')


def test_disk_that_cannot_be_used(main: _Main) -> None:
    """Guards against a traceback for an unusable disk."""
    pathlib.Path('secret').write_bytes(b'0123456789abcdef')
    pathlib.Path('control.toml').write_text(
        "[fleet]\nname = 't'\nsecret_file = 'secret'\n"
        "[fleet.control]\nc1 = '127.0.0.1:1'\n"
        "[control]\nslot = 'c1'\nzone = 'z'\nregion = 'r'\n"
        "admin_address = '127.0.0.1:2'\ndata_folder = 'data'\n"
    )
    arguments = ('--settings', 'control.toml')
    code, out, err = main('godwitstall-control', *arguments)
    assert (code, out) == (1, '')
    assert 'godwitstall-control: data is not formatted.' in err
    assert 'Traceback' not in err
    code, out, err = main('godwitstall-control', *arguments, '--format')
    assert (code, out, err) == (0, '', '')
    code, out, err = main('godwitstall-control', *arguments, '--format')
    assert (code, out) == (1, '')
    assert err.startswith('godwitstall-control: data is not empty.')
    assert err.count('\n') == 1
