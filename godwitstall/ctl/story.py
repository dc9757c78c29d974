"""Collects the log lines of several processes about one request.

Reads the structured log lines that processes write to their output, with one
or several processes per file. Lines without JSON are skipped, because a log
collector may add lines of its own.
"""

import collections.abc
import json
import pathlib
import typing

# Columns of the table, in order. All other fields of a line go into 'told'.
COLUMNS = ('time', 'process', 'part', 'event', 'request', 'told')
_COLUMN_SET = frozenset(COLUMNS)

_Line = dict[str, typing.Any]


def read_lines(
    paths: collections.abc.Iterable[pathlib.Path],
) -> collections.abc.Iterator[_Line]:
    """Return the structured lines of files, in file order.

    Errors: OSError when a file cannot be read.
    """
    for path in paths:
        with path.open('rb') as file:
            for text in file:
                start = text.find(b'{')
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue
                if isinstance(line, dict) and 'event' in line:
                    yield line


def find_rows(
    lines: collections.abc.Iterable[_Line], request_id: str
) -> list[_Line]:
    """Return the rows about a request and its onward calls, sorted by time."""
    prefix = f'{request_id}.'
    rows = []
    for line in lines:
        line_request_id = str(line.get('request', ''))
        if line_request_id != request_id and not line_request_id.startswith(
            prefix
        ):
            continue
        row = {name: line.get(name, '') for name in COLUMNS}
        row['told'] = ' '.join(
            f'{name}={value}'
            for name, value in line.items()
            if name not in _COLUMN_SET and value not in ('', None)
        )
        rows.append(row)
    return sorted(rows, key=lambda row: float(row['time'] or 0))
