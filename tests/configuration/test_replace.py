"""Tests of whole configurations: races, resends and snapshots."""

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
    config_state: state.ConfigurationState,
    base: int,
    number: int,
    text: str,
) -> messages.NoteVerdict:
    command = _command(base, number, text)
    assert isinstance(command, messages.ReplaceConfiguration)
    return config_state.replace(command, 1, 1).verdict


def test_one_of_two_racing_operators_wins() -> None:
    """Guards against two changes of the same base that are both accepted."""
    config_state = state.ConfigurationState()
    assert _apply(config_state, 0, 3, 'first') is _Verdict.ACCEPTED
    assert _apply(config_state, 3, 5, 'one') is _Verdict.ACCEPTED
    assert _apply(config_state, 3, 5, 'other') is _Verdict.BASE_CHANGED
    assert _apply(config_state, 3, 6, 'third') is _Verdict.BASE_CHANGED
    assert config_state.document == b'one'
    assert config_state.configuration.number == 5


def test_resend_is_acknowledged_also_when_others_have_followed() -> None:
    """Guards against a resend of an accepted change that is rejected."""
    config_state = state.ConfigurationState()
    _apply(config_state, 0, 3, 'a')
    _apply(config_state, 3, 4, 'b')
    assert _apply(config_state, 0, 3, 'a') is _Verdict.ALREADY_IN_FORCE
    assert config_state.document == b'b'


def test_number_must_rise() -> None:
    """Guards against an accepted configuration with no higher number."""
    config_state = state.ConfigurationState()
    _apply(config_state, 0, 3, 'a')
    assert _apply(config_state, 3, 3, 'b') is _Verdict.INVALID
    assert _apply(config_state, 3, 2, 'b') is _Verdict.INVALID
    assert config_state.document == b'a'


def test_snapshot_keeps_the_text_and_the_resends() -> None:
    """Guards against a restart that loses an acknowledged configuration."""
    config_state = state.ConfigurationState()
    _apply(config_state, 0, 3, 'a')
    restored = state.ConfigurationState()
    restored.restore(config_state.to_snapshot())
    assert restored.document == b'a'
    assert _apply(restored, 0, 3, 'a') is _Verdict.ALREADY_IN_FORCE


class _Model:
    """Model of the acknowledgements: a list of accepted numbers and texts."""

    def __init__(self) -> None:
        self.accepted: list[tuple[int, str]] = []

    def apply(self, base: int, number: int, text: str) -> bool:
        """Return whether the change must be acknowledged."""
        if (number, text) in self.accepted:
            return True
        current = self.accepted[-1][0] if self.accepted else 0
        if base != current or number <= current:
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
def test_acknowledgements_match_the_model(
    changes: list[tuple[int, int, str]],
) -> None:
    """Guards against orders of changes that are acknowledged wrongly."""
    config_state, model = state.ConfigurationState(), _Model()
    acknowledged = (_Verdict.ACCEPTED, _Verdict.ALREADY_IN_FORCE)
    for base, number, text in changes:
        is_acknowledged = (
            _apply(config_state, base, number, text) in acknowledged
        )
        assert is_acknowledged == model.apply(base, number, text)
        if model.accepted:
            assert config_state.document == model.accepted[-1][1].encode()
