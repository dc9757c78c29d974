"""Durations as text: a number and its unit.

Example: durations.to_ms('1.5s') == 1500
"""

import re

_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_MS_PER_S = 1000


def to_ms(text: object) -> float:
    """Return a time such as '1500ms' or '2.5s' in milliseconds.

    Errors: ValueError when text is no such time.
    """
    if not isinstance(text, str):
        raise ValueError(f'must be a text with a unit, not {text!r}')
    found = _DURATION.fullmatch(text)
    if found is None:
        raise ValueError(f'must be a number with ms or s, not {text!r}')
    return float(found[1]) * (_MS_PER_S if found[2] == 's' else 1)
