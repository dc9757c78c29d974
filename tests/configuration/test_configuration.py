"""Tests of release notes: problems, numbers and a model of their effect."""

import typing

from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from godwitstall import codec
from godwitstall.configuration import note as notes
from godwitstall.configuration import state
from godwitstall import messages

_Verdict = messages.NoteVerdict
_DIGEST_1, _DIGEST_2 = 'a' * 64, 'b' * 64

_FIRST_NOTE = f"""number = 1
[[added.workspaces]]
name = "w1"
rate = 10
burst = 20
[[added.keys]]
id = "k1"
workspace = "w1"
digest = "{_DIGEST_1}"
[[added.routes]]
name = "r1"
path_prefix = "/pay"
service = "s"
priority = "payment"
[[added.upstreams]]
name = "n1"
service = "s"
"""

_ADDED_WORKSPACE = '[[added.workspaces]]\nname = "w2"\n'
_ADDED_ROUTE = '[[added.routes]]\nname = "r2"\npath_prefix = "/r2"\n'
_ADDED_KEY = '[[added.keys]]\nid = "k2"\n'

# Text after 'number = 2' and the start of the only problem.
_PROBLEMS = [
    ('a = 1', 'a: unknown key'),
    ('"a\\nb" = 1', r"'a\nb': unknown key"),
    ('added = 1', 'added: must be a table'),
    ('[added]\nnodes = []', 'added.nodes: unknown key'),
    ('[added]\nkeys = 1', 'added.keys: must be an array'),
    ('[added]\nkeys = [1]', 'added.keys[0]: must be a table'),
    ('', 'note: changes nothing'),
    ('x = y', 'note: is not valid TOML: '),
    ('[withdrawn]\nkeys = [1]', 'withdrawn.keys[0]: must be 1 to 256'),
    ('[withdrawn]\nkeys = ["k9"]', "withdrawn.keys[0]: 'k9' does not exist"),
    (
        '[withdrawn]\nkeys = ["k1", "k1"]',
        "withdrawn.keys[1]: 'k1' is already listed at",
    ),
    (
        '[withdrawn]\nworkspaces = ["w1"]',
        "withdrawn.workspaces[0]: workspace 'w1' still has key 'k1'",
    ),
    (
        _ADDED_WORKSPACE + 'rate = 0\nburst = 1',
        'added.workspaces[0].rate: must be',
    ),
    (
        _ADDED_WORKSPACE + 'rate = nan\nburst = 1',
        'added.workspaces[0].rate: must',
    ),
    (
        _ADDED_WORKSPACE + 'rate = "1"\nburst = 1',
        'added.workspaces[0].rate: must',
    ),
    (
        _ADDED_WORKSPACE + 'rate = 1\nburst = 0',
        'added.workspaces[0].burst: must be',
    ),
    (
        _ADDED_WORKSPACE + 'rate = 1\nburst = true',
        'added.workspaces[0].burst: must',
    ),
    (_ADDED_WORKSPACE + 'rate = 1', 'added.workspaces[0].burst: is missing'),
    (
        _ADDED_WORKSPACE.replace('2', '1') + 'rate=1\nburst=1',
        'added.workspaces[0]:',
    ),
    (
        _ADDED_KEY + f'workspace = "w"\ndigest = "{_DIGEST_2}"',
        'added.keys[0].workspace: u',
    ),
    (
        _ADDED_KEY + 'workspace = "w1"\ndigest = "zz"',
        'added.keys[0].digest: must be',
    ),
    (
        _ADDED_KEY + f'workspace="w1"\ndigest="{_DIGEST_1}"',
        'added.keys[0].digest: is already used',
    ),
    (
        _ADDED_ROUTE + 'service = ""',
        'added.routes[0].service: must name a service',
    ),
    (_ADDED_ROUTE, 'added.routes[0].service: is missing'),
    (
        _ADDED_ROUTE + 'service="s"\npriority="top"',
        'added.routes[0].priority: must',
    ),
    (
        _ADDED_ROUTE + 'service="s"\nmethods=["get"]',
        'added.routes[0].methods: must',
    ),
    (
        _ADDED_ROUTE + 'service="s"\nattempts=1\ndispatch_attempts=2',
        'added.routes[0].attempts: must be at least dispatch_attempts (2)',
    ),
    (
        _ADDED_ROUTE.replace('/r2', '/pay') + 'service="s"',
        "added.routes[0]: has the path_prefix and method of route 'r1'",
    ),
    ('[[changed.routes]]\nname = "r1"', 'changed.routes[0]: changes nothing'),
    ('[[changed.routes]]\nopen = true', 'changed.routes[0].name: is missing'),
    (
        '[[changed.workspaces]]\nname = "w9"\nburst = 2',
        "changed.workspaces[0]: 'w9' does not exist",
    ),
    ('x = ' + '[' * 5000, 'note: is nested too deeply'),
]


def _command(text: str, number: int, operator: str = 'ann') -> typing.Any:
    return messages.ApplyNote(
        number=number,
        digest=notes.digest_of(text),
        operator=operator,
        changes=text.encode(),
    )


def _make_state() -> state.ConfigurationState:
    config_state = state.ConfigurationState()
    assert (
        config_state.apply(_command(_FIRST_NOTE, 1), 5, 100).verdict
        is _Verdict.ACCEPTED
    )
    return config_state


@pytest.mark.parametrize('text,problem', _PROBLEMS)
def test_problem(text: str, problem: str) -> None:
    """Guards against an invalid note in force and against a wrong cause."""
    config_state = _make_state()
    before = config_state.to_snapshot()
    result = config_state.apply(_command(f'number = 2\n{text}', 2), 6, 200)
    assert result.verdict is _Verdict.INVALID
    (line,) = result.detail.split('\n')
    assert line.startswith(problem)
    assert config_state.to_snapshot() == before


@pytest.mark.parametrize('line', ['', 'number = "2"\n', 'number = 3\n'])
def test_number_and_all_problems(line: str) -> None:
    """Guards against a note whose number is missing or not the one sent."""
    text = line + '[withdrawn]\nkeys = ["x", 1]\n'
    result = _make_state().apply(_command(text, 2), 6, 200)
    lines = result.detail.split('\n')
    assert result.verdict is _Verdict.INVALID and len(lines) == 3
    assert sum(item.startswith('number: ') for item in lines) == 1


# Operator, number, text; expected verdict and operator of the result.
_RACE = [
    ('ann', 2, '[withdrawn]\nkeys=["k1"]', _Verdict.ACCEPTED, 'ann'),
    ('bob', 2, '[withdrawn]\nroutes=["r1"]', _Verdict.NUMBER_TAKEN, 'ann'),
    (
        'ann',
        2,
        '[withdrawn]\r\nkeys=["k1"]\r\n',
        _Verdict.ALREADY_IN_FORCE,
        'ann',
    ),
    ('bob', 4, '[withdrawn]\nroutes=["r1"]', _Verdict.NUMBER_GAP, ''),
    ('bob', 3, '[withdrawn]\nroutes=["r1"]', _Verdict.ACCEPTED, 'bob'),
    ('ann', 2, '[withdrawn]\nkeys=["k1"]', _Verdict.ALREADY_IN_FORCE, 'ann'),
    ('ann', 0, '[withdrawn]\nkeys=["k1"]', _Verdict.INVALID, ''),
]


def test_race_resend_and_gap() -> None:
    """Guards against two operators who are both told that they were first."""
    config_state = _make_state()
    for operator, number, text, verdict, expected_operator in _RACE:
        command = _command(f'number = {number}\n{text}', number, operator)
        result = config_state.apply(command, 6, 200)
        assert (result.verdict, result.operator) == (
            verdict,
            expected_operator,
        )
    assert (
        not config_state.configuration.keys
        and not config_state.configuration.routes
    )


def test_other_digest_and_old_number(monkeypatch: typing.Any) -> None:
    """Guards against a damaged note and an unbounded number of digests."""
    monkeypatch.setattr(state, 'MAX_REMEMBERED_NOTES', 1)
    config_state = _make_state()
    damaged = _command('number = 2\n[withdrawn]\nkeys=["k1"]', 2)
    damaged.changes = damaged.changes.replace(b'keys', b'routes').replace(
        b'k1', b'r1'
    )
    assert config_state.apply(damaged, 6, 1).verdict is _Verdict.INVALID
    damaged.changes = b'\xff'
    assert config_state.apply(damaged, 6, 1).verdict is _Verdict.INVALID
    resent = _command('number = 2\n[withdrawn]\nkeys=["k1"]', 2)
    assert config_state.apply(resent, 6, 1).verdict is _Verdict.ACCEPTED
    assert (
        config_state.apply(_command(_FIRST_NOTE, 1), 6, 1).verdict
        is _Verdict.NUMBER_TAKEN
    )


def test_defaults_and_withdrawn_upstream() -> None:
    """Guards against an upstream that gets work again once withdrawn."""
    config_state = _make_state()
    (route,) = config_state.configuration.routes
    assert (route.attempts, route.dispatch_attempts) == (2, 1)
    assert route.timeout_ms == 10_000 and not route.is_idempotent
    text = 'number = 2\n[withdrawn]\nupstreams = ["n1"]'
    assert (
        config_state.apply(_command(text, 2), 6, 1).verdict
        is _Verdict.ACCEPTED
    )
    assert config_state.configuration.upstreams[0].is_withdrawn


_NAMES = st.sampled_from(['a', 'b', 'c'])
_ITEM = st.tuples(
    st.sampled_from(['added', 'changed', 'withdrawn']),
    st.sampled_from(['workspaces', 'keys']),
    _NAMES,
    _NAMES,
    st.integers(0, 3),
)


class _NotesAgainstModel(stateful.RuleBasedStateMachine):
    """Applies random notes; the model keeps dictionaries and texts."""

    def __init__(self) -> None:
        super().__init__()
        self.state = state.ConfigurationState()
        self.texts: list[str] = []
        self.workspaces: dict[str, int] = {}
        self.keys: dict[str, tuple[str, int]] = {}

    @stateful.rule(items=st.lists(_ITEM, min_size=1, max_size=3))
    def apply_next(self, items: list[typing.Any]) -> None:
        number = len(self.texts) + 1
        text = f'number = {number}\n'
        withdrawn: dict[str, list[str]] = {'workspaces': [], 'keys': []}
        workspaces, keys = dict(self.workspaces), dict(self.keys)
        kinds_and_names = [(kind, name) for _, kind, name, _, _ in items]
        is_valid = len(set(kinds_and_names)) == len(kinds_and_names)
        for table, kind, name, workspace, value in items:
            items_of_kind: dict[str, typing.Any] = (
                workspaces if kind == 'workspaces' else keys
            )
            is_valid &= (name in items_of_kind) == (table != 'added')
            if table == 'withdrawn':
                withdrawn[kind].append(name)
                items_of_kind.pop(name, None)
                continue
            text += f'[[{table}.{kind}]]\n'
            if kind == 'workspaces':
                text += f'name = "{name}"\nrate = 1\nburst = {value}\n'
                workspaces[name] = value
                is_valid &= value > 0
            else:
                digest = str(value) * 64
                text += f'id = "{name}"\nworkspace = "{workspace}"\n'
                text += f'digest = "{digest}"\n'
                keys[name] = (workspace, value)
        text += '[withdrawn]\n'
        text += ''.join(f'{kind} = {n!r}\n' for kind, n in withdrawn.items())
        is_valid &= all(owner in workspaces for owner, _ in keys.values())
        is_valid &= len({digest for _, digest in keys.values()}) == len(keys)
        result = self.state.apply(_command(text, number), 1, number)
        assert (result.verdict is _Verdict.ACCEPTED) == is_valid, result.detail
        assert result.verdict in (_Verdict.ACCEPTED, _Verdict.INVALID)
        if is_valid:
            self.texts.append(text)
            self.workspaces, self.keys = workspaces, keys

    @stateful.rule(number=st.integers(0, 50), is_different=st.booleans())
    def resend(self, number: int, is_different: bool) -> None:
        if not 0 < number <= len(self.texts):
            return
        text = self.texts[number - 1] + ('# other' if is_different else '\n')
        result = self.state.apply(_command(text, number, 'bob'), 2, 99)
        expected = (
            _Verdict.NUMBER_TAKEN
            if is_different
            else _Verdict.ALREADY_IN_FORCE
        )
        assert (result.verdict, result.operator) == (expected, 'ann')
        assert result.time_ms == number

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        data = codec.encode(self.state.to_snapshot())
        snapshot = typing.cast(
            messages.ConfigurationSnapshot, codec.decode(data)
        )
        self.state = state.ConfigurationState()
        self.state.restore(snapshot)

    @stateful.invariant()
    def check_configuration(self) -> None:
        found = self.state.configuration
        assert {w.name: w.burst for w in found.workspaces} == self.workspaces
        assert {
            k.key_id: (k.workspace, int(k.digest[0])) for k in found.keys
        } == self.keys


TestNotesAgainstModel = _NotesAgainstModel.TestCase


_SERVICE_NOTE = """
number = 1
[[added.services]]
name = "siop"
cold_start_ms = 3000
cold_per_s = 6.5
"""


def test_rule_of_a_service_stays_through_later_notes() -> None:
    """Guards against a note that drops the limits of cold upstreams."""
    configuration, problems = notes.build(
        notes.parse(_SERVICE_NOTE), messages.Configuration()
    )
    assert not problems
    other = notes.parse(
        'number = 2\n[[added.upstreams]]\nname = "siop-1"\nservice = "siop"'
    )
    configuration, problems = notes.build(other, configuration)
    assert not problems
    assert configuration.services == [
        messages.ServiceRule('siop', cold_start_ms=3000, cold_per_s=6.5)
    ]


@pytest.mark.parametrize('value', ['0', '-1', 'nan', 'inf', 'true', '"fast"'])
def test_bad_rate_of_a_service_is_named(value: str) -> None:
    """Guards against a limit that holds all requests back, or none."""
    text = _SERVICE_NOTE.replace('6.5', value)
    parsed = notes.parse(text)
    assert len(parsed.problems) == 1
    assert parsed.problems[0].startswith('added.services[0].cold_per_s: ')
