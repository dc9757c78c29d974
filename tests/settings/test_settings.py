"""Settings: each invalid file is rejected with a line for each problem."""

import dataclasses
import pathlib
import typing

import pytest

from godwitstall import errors
from godwitstall import settings

_FLEET = """\
[fleet]
name = 'teifi'
secret_file = 'fleet.secret'
[fleet.control]
c1 = '10.0.0.1:7100'
c2 = '10.0.0.2:7100'
c3 = '10.0.0.3:7100'
"""
_NODE = """\
[node]
node_id = 'siop-1'
zone = 'sied-wau'
region = 'teifi'
service = 'siop'
link_address = '10.0.1.1:7200'
caller_address = '0.0.0.0:8080'
upstream_address = '127.0.0.1:7201'
admin_address = '10.0.1.1:7202'
"""
_CONTROL = """\
[control]
slot = 'c1'
zone = 'sied-wau'
region = 'teifi'
admin_address = '10.0.0.1:7101'
data_folder = 'data'
"""
_CTL = """\
[ctl]
operator = 'mair'
"""

# Options class and content of a valid file, by name of the file.
_FILES: dict[str, tuple[typing.Any, str]] = {
    'node': (settings.NodeOptions, _FLEET + _NODE),
    'control': (settings.ControlOptions, _FLEET + _CONTROL),
    'ctl': (settings.CtlOptions, _FLEET + _CTL),
}


@dataclasses.dataclass
class _Case:
    """An invalid file, made from a valid one by replacing a substring."""

    # Description of the error.
    name: str
    # Valid file, a key of _FILES.
    file: str
    # Substring that is replaced by new; '' appends new.
    old: str
    new: str
    # All expected problems, without the path.
    problems: list[str]


_CASES = [
    # Unknown keys and tables.
    _Case(
        'unknown key',
        'node',
        '',
        'colour = 1',
        ['node.colour: unknown key'],
    ),
    _Case(
        'unknown key of fleet',
        'node',
        "name = 'teifi'",
        "name = 'teifi'\nnmae = 'x'",
        ['fleet.nmae: unknown key'],
    ),
    _Case(
        'wrong unit',
        'node',
        '',
        'lease_ms = 4000',
        ['node.lease_ms: unknown key; did you mean lease_s?'],
    ),
    _Case(
        'no unit',
        'node',
        '',
        'heartbeat = 1',
        ['node.heartbeat: unknown key; did you mean heartbeat_s?'],
    ),
    _Case(
        'wrong unit of control',
        'control',
        '',
        'append_interval_s = 0.15',
        [
            'control.append_interval_s: unknown key; '
            'did you mean append_interval_ms?'
        ],
    ),
    _Case(
        'unknown table',
        'node',
        '',
        '[nodes]\nzone = 1',
        ['nodes: unknown table'],
    ),
    _Case(
        'table of another program',
        'node',
        '',
        _CONTROL,
        ['control: unknown table'],
    ),
    _Case(
        'key outside of a table',
        'ctl',
        '[fleet]',
        "operator = 'mair'\n[fleet]",
        ['operator: unknown table'],
    ),
    _Case(
        'value for a table',
        'ctl',
        '[fleet]',
        'logs = 3\n[fleet]',
        ['logs: must be a table'],
    ),
    _Case(
        'duration without a unit',
        'node',
        '',
        "stop_grace_s = '6'",
        ["node.stop_grace_s: must be a number with ms or s, not '6'"],
    ),
    # Missing keys and tables.
    _Case(
        'missing key',
        'node',
        "zone = 'sied-wau'\n",
        '',
        ['node.zone: is missing'],
    ),
    _Case(
        'missing table of the program',
        'ctl',
        _CTL,
        '',
        ['ctl.operator: is missing'],
    ),
    _Case(
        'missing fleet',
        'ctl',
        _FLEET,
        '',
        [
            'fleet.name: is missing',
            'fleet.secret_file: is missing',
            'fleet.control: is missing',
        ],
    ),
    # Wrong types.
    _Case(
        'string for a number',
        'node',
        '',
        "lease_s = '4'",
        ["node.lease_s: must be a number with ms or s, not '4'"],
    ),
    _Case(
        'fraction for an integer',
        'node',
        '',
        'max_queue = 1.5',
        ['node.max_queue: must be a whole number, not 1.5'],
    ),
    _Case(
        'boolean for a number',
        'node',
        '',
        'max_queue = true',
        ['node.max_queue: must be a whole number, not True'],
    ),
    _Case(
        'number for a string',
        'node',
        "zone = 'sied-wau'",
        'zone = 1',
        ['node.zone: must be a non-empty string, not 1'],
    ),
    _Case(
        'empty string',
        'ctl',
        "operator = 'mair'",
        "operator = ''",
        ["ctl.operator: must be a non-empty string, not ''"],
    ),
    _Case(
        'number for a boolean',
        'node',
        '',
        'is_pass_through = 1',
        ['node.is_pass_through: must be true or false, not 1'],
    ),
    _Case(
        'number for the switch of a part',
        'node',
        '',
        'admits_by_chain_room = 1',
        ['node.admits_by_chain_room: must be true or false, not 1'],
    ),
    _Case(
        'unknown choice',
        'node',
        '',
        "limit_policy = 'none'",
        [
            'node.limit_policy: must be one of gradient, aimd, fixed, '
            "not 'none'"
        ],
    ),
    _Case(
        'list for a choice',
        'node',
        '',
        "limit_policy = ['aimd']",
        [
            'node.limit_policy: must be one of gradient, aimd, fixed, '
            "not ['aimd']"
        ],
    ),
    _Case(
        'number for an address of control',
        'ctl',
        "c1 = '10.0.0.1:7100'",
        'c1 = 7100',
        ['fleet.control: must be a table of strings'],
    ),
    _Case(
        'unknown log level',
        'ctl',
        '',
        "[logs]\nlevel = 'LOUD'",
        ['logs.level: must be one of DEBUG, INFO, WARNING, ERROR'],
    ),
    _Case(
        'unknown log level of a part',
        'ctl',
        '',
        "[logs.parts]\nlink = 'debug'",
        ['logs.parts.link: must be one of DEBUG, INFO, WARNING, ERROR'],
    ),
    # Values out of range.
    _Case(
        'above the range',
        'node',
        '',
        'lease_s = 7',
        ['node.lease_s: must be from 0.1 to 6.0, not 7.0'],
    ),
    _Case(
        'below the range',
        'node',
        '',
        'retry_ratio = -0.1',
        ['node.retry_ratio: must be from 0 to 1, not -0.1'],
    ),
    _Case(
        'switch that is no truth value',
        'node',
        '',
        "weighs_member_speed = 'yes'\nlends_zone_room = 1",
        [
            "node.weighs_member_speed: must be true or false, not 'yes'",
            'node.lends_zone_room: must be true or false, not 1',
        ],
    ),
    _Case(
        'not a number',
        'node',
        '',
        'warmup_s = nan',
        ['node.warmup_s: must be from 0 to 3600, not nan'],
    ),
    _Case(
        'infinite',
        'ctl',
        '',
        'timeout_s = inf',
        ['ctl.timeout_s: must be from 0.1 to 600, not inf'],
    ),
    _Case(
        'threshold of zero',
        'control',
        '',
        'crash_threshold = 0',
        ['control.crash_threshold: must be from 1 to 100, not 0'],
    ),
    # Addresses.
    _Case(
        'host name for an address',
        'node',
        "'10.0.1.1:7202'",
        "'localhost:7202'",
        [
            'node.admin_address: must be an IP address and a port, '
            "not 'localhost:7202'"
        ],
    ),
    _Case(
        'no port',
        'node',
        "'10.0.1.1:7202'",
        "'10.0.1.1'",
        [
            'node.admin_address: must be an IP address and a port, '
            "not '10.0.1.1'"
        ],
    ),
    _Case(
        'port 0',
        'node',
        "'10.0.1.1:7202'",
        "'10.0.1.1:0'",
        ["node.admin_address: has no port from 1 to 65535: '10.0.1.1:0'"],
    ),
    _Case(
        'IPv6 without brackets',
        'node',
        "'10.0.1.1:7202'",
        "'fd00::1:7202'",
        [
            'node.admin_address: needs brackets around an IPv6 address, '
            "not 'fd00::1:7202'"
        ],
    ),
    _Case(
        'IPv4 in brackets',
        'node',
        "'10.0.1.1:7202'",
        "'[10.0.1.1]:7202'",
        [
            'node.admin_address: must be an IP address and a port, '
            "not '[10.0.1.1]:7202'"
        ],
    ),
    _Case(
        'unspecified link address',
        'node',
        "'10.0.1.1:7200'",
        "'0.0.0.0:7200'",
        [
            'node.link_address: must be reachable for other processes, '
            "not '0.0.0.0:7200'"
        ],
    ),
    _Case(
        'unspecified address of control',
        'ctl',
        "'10.0.0.2:7100'",
        "'[::]:7100'",
        [
            'fleet.control.c2: must be reachable for other processes, '
            "not '[::]:7100'"
        ],
    ),
    _Case(
        'invalid address of control',
        'ctl',
        "'10.0.0.2:7100'",
        "'10.0.0.300:7100'",
        [
            'fleet.control.c2: must be an IP address and a port, '
            "not '10.0.0.300:7100'"
        ],
    ),
    # Combinations.
    _Case(
        'even number of replicas',
        'ctl',
        "c3 = '10.0.0.3:7100'\n",
        '',
        ['fleet.control: needs 1, 3, 5 or 7 replicas, not 2'],
    ),
    _Case(
        'one address for two replicas',
        'ctl',
        "'10.0.0.3:7100'",
        "'10.0.0.2:7100'",
        ['fleet.control: contains duplicate addresses'],
    ),
    _Case(
        'bodies for which there is never room',
        'node',
        '',
        'max_body_bytes = 101_000_000\nmax_answer_bytes = 150_000_000',
        [
            'node.max_body_bytes: must be at most three quarters of '
            'max_held_bytes',
            'node.max_answer_bytes: must be at most max_held_bytes',
        ],
    ),
    _Case(
        'lease shorter than two heartbeats',
        'node',
        '',
        'lease_s = 1.5',
        ['node.lease_s: must be at least twice heartbeat_s'],
    ),
    _Case(
        'two listeners on one address',
        'node',
        "'10.0.1.1:7202'",
        "'10.0.1.1:7200'",
        ['node: two addresses are the same'],
    ),
    _Case(
        'slot without a replica',
        'control',
        "slot = 'c1'",
        "slot = 'c9'",
        ["control.slot: 'c9' is not in fleet.control"],
    ),
    _Case(
        'election timeouts in the wrong order',
        'control',
        '',
        'election_max_s = 0.4',
        ['control.election_max_s: must be above election_min_s'],
    ),
    _Case(
        'leader lease above the election timeout',
        'control',
        '',
        'leader_lease_s = 1.0',
        ['control.leader_lease_s: must be below election_min_s'],
    ),
    _Case(
        'heartbeat interval too long for the leader lease',
        'control',
        '',
        'append_interval_ms = 300',
        [
            'control.append_interval_ms: must be at most a third of '
            'leader_lease_s'
        ],
    ),
    # The secret.
    _Case(
        'missing secret file',
        'ctl',
        "'fleet.secret'",
        "'absent'",
        ['fleet.secret_file: cannot be read: No such file or directory'],
    ),
    _Case(
        'invalid path of the secret file',
        'ctl',
        "'fleet.secret'",
        '"a\\u0000b"',
        ['fleet.secret_file: cannot be read: embedded null byte'],
    ),
    _Case(
        'short secret',
        'ctl',
        "'fleet.secret'",
        "'short.secret'",
        ['fleet.secret_file: needs at least 16 bytes'],
    ),
    # Several problems.
    _Case(
        'all problems are reported',
        'node',
        "zone = 'sied-wau'",
        "zones = 'sied-wau'\nlease_s = 99",
        [
            'node.zones: unknown key',
            'node.lease_s: must be from 0.1 to 6.0, not 99.0',
            'node.zone: is missing',
        ],
    ),
]


@pytest.fixture(autouse=True)
def _secret_files(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    pathlib.Path('fleet.secret').write_bytes(b'0123456789abcdef\n')
    pathlib.Path('short.secret').write_bytes(b'0123456789abcde\n')


def _load(file: str, text: str | bytes) -> typing.Any:
    path = pathlib.Path(f'{file}.toml')
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    _, options, _ = settings.load(path, _FILES[file][0])
    return options


@pytest.mark.parametrize('file', _FILES)
def test_valid_file(file: str) -> None:
    """Guards against checks that reject valid settings."""
    assert isinstance(_load(file, _FILES[file][1]), _FILES[file][0])


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case.name)
def test_wrong_file(case: _Case) -> None:
    """Guards against a problem that is accepted or reported unclearly."""
    text = _FILES[case.file][1]
    assert case.old in text
    if case.old:
        text = text.replace(case.old, case.new, 1)
    else:
        text += case.new + '\n'
    with pytest.raises(errors.SettingsError) as caught:
        _load(case.file, text)
    assert caught.value.problems == [
        f'{case.file}.toml: {problem}' for problem in case.problems
    ]


@pytest.mark.parametrize(
    'data',
    [
        b'[fleet',
        b'[fleet]\nname = ',
        b'\xff\xfe',
        b'[fleet]\nname = "x"\nname = "y"\n',
        b'x = ' + b'[' * 20_000,
    ],
    ids=['open table', 'no value', 'not UTF-8', 'duplicate key', 'nested'],
)
def test_no_toml(data: bytes) -> None:
    """Guards against a traceback for a file that is not valid TOML."""
    with pytest.raises(errors.SettingsError) as caught:
        _load('ctl', data)
    (problem,) = caught.value.problems
    assert problem.startswith('ctl.toml: is ')
    assert '\n' not in problem


@pytest.mark.parametrize(
    ('path', 'cause'),
    [
        ('absent.toml', 'No such file or directory'),
        ('.', 'Is a directory'),
        ('a\0b', 'embedded null byte'),
    ],
)
def test_unreadable(path: str, cause: str) -> None:
    """Guards against a traceback for a file that cannot be read."""
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(pathlib.Path(path), settings.CtlOptions)
    assert caught.value.problems == [f'{path}: cannot be read: {cause}']


def test_every_bounded_option_exists() -> None:
    """Guards against a range whose option was renamed or removed."""
    classes: list[typing.Any] = [cls for cls, _ in _FILES.values()]
    names = {
        field.name
        for cls in [*classes, settings.FleetOptions]
        for field in dataclasses.fields(cls)
    }
    assert set(settings._RANGES) <= names


def test_defaults_are_in_range() -> None:
    """Guards against a default that is outside of its own range."""
    for cls, _ in _FILES.values():
        for field in dataclasses.fields(cls):
            if field.name in settings._RANGES:
                low, high = settings._RANGES[field.name]
                default: typing.Any = field.default
                assert low <= default <= high, field.name


@pytest.mark.parametrize(
    'lines,expected_s',
    [
        ('', 30.0),
        ('stop_timeout_s = 4', 4.0),
        ("stop_grace_s = '6s'", 5.4),
        ("stop_grace_s = '2000ms'", 1.8),
        ('stop_grace_s = 6\nstop_timeout_s = 4', 4.0),
        ("stop_grace_s = '0s'", 30.0),
    ],
)
def test_planned_stop_ends_before_the_kill(
    tmp_path: pathlib.Path, lines: str, expected_s: float
) -> None:
    """Guards against a planned stop that outlasts the time until SIGKILL."""
    path = tmp_path / 'node.toml'
    path.write_text(_FLEET + _NODE + lines)
    _, options, _ = settings.load(path, settings.NodeOptions)
    assert options.planned_stop_s() == pytest.approx(expected_s)
