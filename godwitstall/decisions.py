"""Structured log lines about requests and about what a process believes.

One JSON object a line on standard output. Each has the wall time, the part,
the event, the inputs that decided it and the outcome; a line about a request
has its id. The writer never waits: a line that the reader of the output does
not take at once is dropped, and so are lines above a bound for each second.
Lines about refused and failed requests may use the whole bound, those about
served requests a part of it. What was dropped is counted and told.

Example:
    decisions.write('gateway', 'refused', request='9c41', kind='no_route')
"""

import os
import time
import typing

import msgspec

from godwitstall import clock
from godwitstall import metrics

_DROPPED = metrics.counter(
    'log_lines_dropped_total', 'Lines that were not written by reason.'
)

# Lines a second that one process writes, and the part of them that may be
# about requests that were served as they should be.
MAX_LINES_PER_S = 100
_ROUTINE_SHARE = 0.1

_ENCODER = msgspec.json.Encoder()


class Writer:
    """Writes the lines of one process; made by open_output()."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        # Fields that stand in every line, such as the id of the process.
        self.common: dict[str, typing.Any] = {}
        # Second that the counts are of, and lines written in it.
        self.second = 0
        self.lines = 0
        # Lines dropped and not yet told of.
        self.dropped = 0

    def write(
        self,
        part: str,
        event: str,
        is_routine: bool,
        fields: dict[str, typing.Any],
    ) -> None:
        """Write one line, or drop it."""
        if self.has_room(is_routine):
            self._put(part, event, fields)

    def has_room(self, is_routine: bool) -> bool:
        """Return whether the bound lets a line through; count it if not."""
        now = clock.recent()
        if int(now) != self.second:
            self.second = int(now)
            self.lines = 0
            self._tell_dropped()
        limit = MAX_LINES_PER_S * (_ROUTINE_SHARE if is_routine else 1)
        if self.lines >= limit:
            self._drop('bound')
            return False
        return True

    def _put(
        self, part: str, event: str, fields: dict[str, typing.Any]
    ) -> None:
        line = {
            'time': round(time.time(), 3),
            **self.common,
            'part': part,
            'event': event,
            **fields,
        }
        data = _ENCODER.encode(line) + b'\n'
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            self._drop('full')
            return
        except OSError:
            # The reader is gone for good.
            self._drop('closed')
            return
        self.lines += 1
        if written < len(data):
            # The rest would come in the middle of a later line.
            self._drop('cut')

    def _drop(self, reason: str) -> None:
        self.dropped += 1
        _DROPPED.inc(reason=reason)

    def _tell_dropped(self) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self._put('logs', 'dropped', {'lines': count})


_writer: Writer | None = None


def open_output(descriptor: int, **common: typing.Any) -> Writer:
    """Send all lines of this process to a descriptor; common is in each."""
    global _writer
    os.set_blocking(descriptor, False)
    _writer = Writer(descriptor)
    _writer.common = common
    return _writer


def close_output() -> None:
    """Write no lines from now on."""
    global _writer
    _writer = None


def has_room(is_routine: bool) -> bool:
    """Return whether a line would be written, before its fields are made.

    A line for which there is no room counts as dropped.
    """
    return _writer is not None and _writer.has_room(is_routine)


def write(part: str, event: str, **fields: typing.Any) -> None:
    """Write a line about a decision; nothing without open_output()."""
    if _writer is not None:
        _writer.write(part, event, False, fields)


def write_routine(part: str, event: str, **fields: typing.Any) -> None:
    """Write a line about a request that went as it should."""
    if _writer is not None:
        _writer.write(part, event, True, fields)
