"""NOTE_CHECK query: predicts the verdict on a note without applying it."""

import pytest

from godwitstall import codec
from godwitstall.configuration import note as notes
from godwitstall.control import machine as machines
from godwitstall import messages
from godwitstall import settings

_NOTE = """\
number = {number}
[[added.workspaces]]
name = 'ws-{name}'
rate = 10
burst = 20
"""

_FIRST = _NOTE.format(number=1, name='a')

# Text of a note, and the problems that a check must report while note 1 is in
# force.
_CASES = {
    'good': (_NOTE.format(number=2, name='b'), []),
    'resend': (_FIRST, []),
    'resend with other line ends': (_FIRST.replace('\n', '\r\n'), []),
    'number taken': (
        _NOTE.format(number=1, name='b'),
        ['number: the next number is 2, not 1'],
    ),
    'number too high': (
        _NOTE.format(number=9, name='b'),
        ['number: the next number is 2, not 9'],
    ),
    'clash and number': (
        _NOTE.format(number=5, name='a'),
        [
            "added.workspaces[0]: 'ws-a' already exists",
            'number: the next number is 2, not 5',
        ],
    ),
    'unknown name': (
        "number = 2\n[withdrawn]\nkeys = ['k']\n",
        ["withdrawn.keys[0]: 'k' does not exist"],
    ),
    'no number': (
        "[withdrawn]\nkeys = ['k']\n",
        ['number: is missing', "withdrawn.keys[0]: 'k' does not exist"],
    ),
}


def _apply(machine: machines.Machine, index: int, text: str) -> bool:
    command = messages.ApplyNote(
        notes.parse(text).number, notes.digest_of(text), 'mair', text.encode()
    )
    result = codec.decode(machine.apply(index, 1000, codec.encode(command)))
    assert isinstance(result, messages.NoteResult)
    return result.verdict in (
        messages.NoteVerdict.ACCEPTED,
        messages.NoteVerdict.ALREADY_IN_FORCE,
    )


@pytest.fixture
def machine() -> machines.Machine:
    """Return a machine with note 1 in force."""
    options = settings.ControlOptions(
        messages.SlotId('c1'), 'z', 'r', '127.0.0.1:1', 'unused'
    )
    machine = machines.Machine.from_config(options)
    assert _apply(machine, 1, _FIRST)
    return machine


@pytest.mark.parametrize('name', _CASES)
def test_check(machine: machines.Machine, name: str) -> None:
    """Guards against a check whose result differs from applying the note.

    Also guards against a check that changes the replicated state, which would
    make the replica that runs the check differ from the others.
    """
    text, problems = _CASES[name]
    before = machine.snapshot()
    found = machine.query(messages.QueryKind.NOTE_CHECK, text)
    assert found['problems'] == problems
    assert found['number'] == 1
    assert found['is_in_force'] is name.startswith('resend')
    assert machine.snapshot() == before
    assert _apply(machine, 2, text) is (not problems)


def test_check_of_garbage(machine: machines.Machine) -> None:
    """Guards against a text that raises an exception in the query."""
    for text in ('', 'number = ', '[' * 5000, '\x00', 'number = 1e400'):
        found = machine.query(messages.QueryKind.NOTE_CHECK, text)
        assert found['problems']
