"""Parsing of durations that are written as a number and a unit.

Example: durations.to_ms('1.5s') == 1500
"""

import re

_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_MS_PER_S = 1000


def to_ms(text: object) -> float:
    """Return a duration such as '1500ms' or '2.5s' in milliseconds.

    Errors: ValueError when text is not a valid duration.
    """
    if not isinstance(text, str):
        raise ValueError(f'must be a string with a unit, not {text!r}')
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f'must be a number with ms or s, not {text!r}')
    return float(match[1]) * (_MS_PER_S if match[2] == 's' else 1)
