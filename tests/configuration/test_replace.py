"""Whole configurations: races, resends and what is read back."""

import hypothesis
from hypothesis import strategies

from godwitstall.configuration import state
from godwitstall import messages

_Verdict = messages.NoteVerdict


def _command(base: int, number: int, text: str) -> messages.Message:
    return messages.ReplaceConfiguration(
        base,
        number,
        f'digest of {text}',
        'operator',
        text.encode(),
        messages.Configuration(routes=[messages.Route(name=text)]),
    )


def _apply(
    held: state.ConfigurationState, base: int, number: int, text: str
) -> messages.NoteVerdict:
    command = _command(base, number, text)
    assert isinstance(command, messages.ReplaceConfiguration)
    return held.replace(command, 1, 1).verdict


def test_one_of_two_racing_operators_wins() -> None:
    """Guards against two changes on one base that are both acknowledged."""
    held = state.ConfigurationState()
    assert _apply(held, 0, 3, 'first') is _Verdict.ACCEPTED
    assert _apply(held, 3, 5, 'one') is _Verdict.ACCEPTED
    assert _apply(held, 3, 5, 'other') is _Verdict.BASE_CHANGED
    assert _apply(held, 3, 6, 'third') is _Verdict.BASE_CHANGED
    assert held.document == b'one'
    assert held.configuration.number == 5


def test_resend_is_acknowledged_also_when_others_have_followed() -> None:
    """Guards against an accepted change that is refused later."""
    held = state.ConfigurationState()
    _apply(held, 0, 3, 'a')
    _apply(held, 3, 4, 'b')
    assert _apply(held, 0, 3, 'a') is _Verdict.ALREADY_IN_FORCE
    assert held.document == b'b'


def test_number_must_rise() -> None:
    """Guards against a configuration that cannot be told from an older one."""
    held = state.ConfigurationState()
    _apply(held, 0, 3, 'a')
    assert _apply(held, 3, 3, 'b') is _Verdict.INVALID
    assert _apply(held, 3, 2, 'b') is _Verdict.INVALID
    assert held.document == b'a'


def test_snapshot_keeps_the_text_and_the_resends() -> None:
    """Guards against a restart that forgets what was acknowledged."""
    held = state.ConfigurationState()
    _apply(held, 0, 3, 'a')
    other = state.ConfigurationState()
    other.restore(held.to_snapshot())
    assert other.document == b'a'
    assert _apply(other, 0, 3, 'a') is _Verdict.ALREADY_IN_FORCE


class _Naive:
    """What the operator may believe: a list of accepted texts."""

    def __init__(self) -> None:
        self.accepted: list[tuple[int, str]] = []

    def apply(self, base: int, number: int, text: str) -> bool:
        """Return whether the change must be acknowledged."""
        if (number, text) in self.accepted:
            return True
        newest = self.accepted[-1][0] if self.accepted else 0
        if base != newest or number <= newest:
            return False
        self.accepted.append((number, text))
        return True


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5),
            strategies.integers(0, 6),
            strategies.sampled_from('ab'),
        ),
        max_size=12,
    )
)
def test_acknowledgements_are_those_of_the_naive_list(
    changes: list[tuple[int, int, str]],
) -> None:
    """Guards against any order of changes in which the two differ."""
    held, naive = state.ConfigurationState(), _Naive()
    good = (_Verdict.ACCEPTED, _Verdict.ALREADY_IN_FORCE)
    for base, number, text in changes:
        is_acknowledged = _apply(held, base, number, text) in good
        assert is_acknowledged == naive.apply(base, number, text)
        if naive.accepted:
            assert held.document == naive.accepted[-1][1].encode()
