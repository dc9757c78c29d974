"""What an upstream says about itself in the headers of its answers.

An upstream in need names the rate at which it accepts requests, and one that
is about to exit says that it leaves. A value that cannot be read counts as
absent, so that a faulty upstream cannot stop its own traffic.

Example: status = upstream_status.parse(upstream_status.DEFAULT_NAMES, answer)
"""

import dataclasses
import math
import re

from godwitstall.node.requests import headers
from godwitstall.node.upstreams import upstream_answer

# A decimal number; float() also accepts 'nan', 'inf', signs and '1_0'.
_DECIMAL = re.compile(rb'(\d{1,12}\.?\d{0,24}|\.\d{1,24})(e-\d{1,2})?')

_IS_LEAVING = b'1'

# Longest cold time that an upstream may name, milliseconds.
_MAX_COLD_MS = 2**31 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Names:
    """Names of the headers, in lower case."""

    # Requests per second that the upstream accepts from all nodes together.
    rate_limit: bytes
    # '1' if the upstream is about to exit.
    leaving: bytes
    # Time for which the upstream stays cold, milliseconds, in health answers.
    cold_ms: bytes = headers.COLD_MS


DEFAULT_NAMES = Names(headers.RATE_LIMIT, headers.LEAVING)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Status of an upstream process at the time of one answer."""

    # Requests per second that the upstream accepts from all nodes together;
    # infinite if it names no limit.
    rate_limit: float = math.inf
    # Whether the upstream is about to exit.
    is_leaving: bool = False


def parse(
    names: Names, answer: upstream_answer.UpstreamAnswer
) -> UpstreamStatus:
    """Return the status in the headers of a complete answer."""
    limit_text = upstream_answer.find_header(answer.headers, names.rate_limit)
    leaving_text = upstream_answer.find_header(answer.headers, names.leaving)
    rate_limit = math.inf
    if limit_text is not None and _DECIMAL.fullmatch(limit_text.strip()):
        rate_limit = float(limit_text)
    is_leaving = leaving_text is not None and (
        leaving_text.strip() == _IS_LEAVING
    )
    return UpstreamStatus(rate_limit, is_leaving)


def parse_cold_ms(
    names: Names, answer: upstream_answer.UpstreamAnswer
) -> int | None:
    """Return how long the upstream stays cold by a health answer.

    None if the answer does not say it readably.
    """
    text = upstream_answer.find_header(answer.headers, names.cold_ms)
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    return min(math.ceil(float(text)), _MAX_COLD_MS)
