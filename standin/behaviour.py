"""Behaviour of the stand-in that can change while it runs.

POST /_standin/behaviour takes a JSON object with any of these fields; the
fields it leaves out keep their values.
"""

import dataclasses
import enum


class Fault(enum.Enum):
    """What goes wrong with the answer to a call."""

    NONE = 'none'
    # Promises a longer Content-Length than it sends, then closes.
    CUT = 'cut'
    # Closes without an answer and without a run.
    CLOSE_BEFORE = 'close_before'
    # Closes without an answer after the run.
    CLOSE_AFTER = 'close_after'
    # Reads the request and never answers or runs it.
    FREEZE = 'freeze'
    # Sends the answer twice on one connection.
    TWICE = 'twice'


class Health(enum.Enum):
    """What the health endpoint says."""

    TRUE = 'true'
    FINE = 'fine'
    BAD = 'bad'
    FROZEN = 'frozen'


@dataclasses.dataclass
class Behaviour:
    """Current behaviour; the defaults are those of a sound upstream."""

    # Factor on the service time.
    slowdown: float = 1.0
    # A run whose body contains this text ends the process; empty for none.
    crash_marker: str = ''
    # Time the answer is held back after the run, milliseconds.
    late_ms: float = 0.0
    # Fault of the share fault_share of calls.
    fault: Fault = Fault.NONE
    # Share of calls that meet the fault, 0 to 1.
    fault_share: float = 1.0
    # Share of runs answered with error_status, 0 to 1.
    error_share: float = 0.0
    # Status of failed runs.
    error_status: int = 500
    # What the health endpoint says.
    health: Health = Health.TRUE
    # Age of what the health and load endpoints report, seconds.
    report_lag_s: float = 0.0
    # Factor on the numbers of the load endpoint; below 1 they look idle.
    load_factor: float = 1.0
    # Announcements are sent.
    is_announcing: bool = True
