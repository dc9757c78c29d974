"""Structured log lines about requests and the state of a process.

Each line is a JSON object with the wall time, the part, the event, the inputs
of the decision and its result; lines about a request include its id. Writing
never blocks: a line is dropped if the output is not ready, or if the rate
limit is exceeded. Lines about failed and rejected requests can use the whole
rate limit, and lines about successful requests a share of it. Dropped lines
are counted, and their number is logged.

Example:
    decisions.write('gateway', 'refused', request='9c41', kind='no_route')
"""

import os
import time
import typing

import msgspec

from godwitstall import clock
from godwitstall import metrics

_DROPPED_LINES = metrics.counter(
    'log_lines_dropped_total', 'Lines that were not written by reason.'
)

# Rate limit of each process.
MAX_LINES_PER_S = 100

# Share of the rate limit for lines about successful requests.
_ROUTINE_SHARE = 0.1

_ENCODER = msgspec.json.Encoder()


class Writer:
    """Writes the log lines of a process; created by open_output()."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        # Fields of every line, such as the id of the process.
        self.common_fields: dict[str, typing.Any] = {}
        # Second of clock.recent() to which lines_written applies.
        self.current_second = 0
        self.lines_written = 0
        # Dropped lines that have not been logged yet.
        self.unreported_drops = 0

    def write(
        self,
        part: str,
        event: str,
        is_routine: bool,
        fields: dict[str, typing.Any],
    ) -> None:
        """Write a line, or drop it if the rate limit is exceeded."""
        if self.may_write(is_routine):
            self._write_line(part, event, fields)

    def may_write(self, is_routine: bool) -> bool:
        """Return whether the rate limit allows a line; else count a drop."""
        now = clock.recent()
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.lines_written = 0
            self._report_drops()
        max_lines = MAX_LINES_PER_S * (_ROUTINE_SHARE if is_routine else 1)
        if self.lines_written >= max_lines:
            self._count_drop('bound')
            return False
        return True

    def _write_line(
        self, part: str, event: str, fields: dict[str, typing.Any]
    ) -> None:
        line = {
            'time': round(time.time(), 3),
            **self.common_fields,
            'part': part,
            'event': event,
            **fields,
        }
        data = _ENCODER.encode(line) + b'\n'
        try:
            written_bytes = os.write(self.descriptor, data)
        except BlockingIOError:
            self._count_drop('full')
            return
        except OSError:
            # The reader has closed the output.
            self._count_drop('closed')
            return
        self.lines_written += 1
        if written_bytes < len(data):
            # Writing the rest later would corrupt another line.
            self._count_drop('cut')

    def _count_drop(self, reason: str) -> None:
        self.unreported_drops += 1
        _DROPPED_LINES.inc(reason=reason)

    def _report_drops(self) -> None:
        if self.unreported_drops:
            count, self.unreported_drops = self.unreported_drops, 0
            self._write_line('logs', 'dropped', {'lines': count})


_writer: Writer | None = None


def open_output(descriptor: int, **common_fields: typing.Any) -> Writer:
    """Write the lines of this process, with common_fields, to a descriptor."""
    global _writer
    os.set_blocking(descriptor, False)
    _writer = Writer(descriptor)
    _writer.common_fields = common_fields
    return _writer


def close_output() -> None:
    """Stop writing lines."""
    global _writer
    _writer = None


def may_write(is_routine: bool) -> bool:
    """Return whether a line would be written, before computing its fields.

    A line that exceeds the rate limit counts as dropped.
    """
    return _writer is not None and _writer.may_write(is_routine)


def write(part: str, event: str, **fields: typing.Any) -> None:
    """Write a line about a decision, if open_output() was called."""
    if _writer is not None:
        _writer.write(part, event, False, fields)


def write_routine(part: str, event: str, **fields: typing.Any) -> None:
    """Write a line about a successful request."""
    if _writer is not None:
        _writer.write(part, event, True, fields)
