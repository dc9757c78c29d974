"""Puts together what many processes logged about one request.

Reads the structured lines that the processes write to their output, one file
a process or several together. Lines that are no JSON are passed over, since
whatever collects logs may put its own between them.
"""

import collections.abc
import json
import pathlib
import typing

# Columns of the table, in this order; what else a line holds is told behind.
COLUMNS = ('time', 'process', 'part', 'event', 'request', 'told')
_KNOWN = frozenset(COLUMNS)

_Line = dict[str, typing.Any]


def read_lines(
    paths: collections.abc.Iterable[pathlib.Path],
) -> collections.abc.Iterator[_Line]:
    """Return the structured lines of files, in the order of the files.

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


def find(
    lines: collections.abc.Iterable[_Line], request_id: str
) -> list[_Line]:
    """Return the rows about a request and its onward calls, by time."""
    prefix = f'{request_id}.'
    found = []
    for line in lines:
        told = str(line.get('request', ''))
        if told != request_id and not told.startswith(prefix):
            continue
        row = {name: line.get(name, '') for name in COLUMNS}
        row['told'] = ' '.join(
            f'{name}={value}'
            for name, value in line.items()
            if name not in _KNOWN and value not in ('', None)
        )
        found.append(row)
    return sorted(found, key=lambda row: float(row['time'] or 0))
