"""Behaviour of the stand-in, which can be changed while it runs.

POST /_standin/behaviour accepts a JSON object with any of the fields of
Behaviour; omitted fields keep their values.
"""

import dataclasses
import enum


class Fault(enum.Enum):
    """Fault injected into the response to a call."""

    NONE = 'none'
    # Closes the connection before Content-Length bytes were sent.
    CUT = 'cut'
    # Closes the connection without running the call.
    CLOSE_BEFORE = 'close_before'
    # Closes the connection after the run without a response.
    CLOSE_AFTER = 'close_after'
    # Never runs the call or responds to it.
    FREEZE = 'freeze'
    # Sends the response twice on one connection.
    TWICE = 'twice'


class Health(enum.Enum):
    """Response of the health endpoint."""

    # Healthy unless draining.
    TRUE = 'true'
    # Always healthy.
    FINE = 'fine'
    # Always unhealthy.
    BAD = 'bad'
    # No response.
    FROZEN = 'frozen'


@dataclasses.dataclass
class Behaviour:
    """Current behaviour; the defaults are those of a healthy upstream."""

    # Factor by which the service time is multiplied.
    slowdown: float = 1.0
    # Text in a request body that crashes the process; empty disables crashes.
    crash_marker: str = ''
    # Delay of the response after the run, milliseconds.
    late_ms: float = 0.0
    # Fault injected into the share fault_share of calls.
    fault: Fault = Fault.NONE
    # Share of calls with the fault, 0 to 1.
    fault_share: float = 1.0
    # Share of runs answered with error_status, 0 to 1.
    error_share: float = 0.0
    # Status of the responses that error_share selects.
    error_status: int = 500
    # Response of the health endpoint.
    health: Health = Health.TRUE
    # Age of the load that the health and load endpoints report, seconds.
    report_lag_s: float = 0.0
    # Factor by which the reported load is multiplied; below 1 the upstream
    # seems less loaded than it is.
    load_factor: float = 1.0
    # Whether announcements are sent.
    is_announcing: bool = True
    # Requests per second that all responses name as the limit of this
    # upstream; below 0 they name none. Requests beyond it are still run.
    rate_limit: float = -1.0
    # Whether all responses say that this upstream is about to exit.
    says_leaving: bool = False
