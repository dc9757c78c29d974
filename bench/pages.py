"""Writes the tables of docs/interface.md that follow from the code.

A table stands between two comments, for example '<!-- answers -->' and
'<!-- end of answers -->'. tests/docs fails when the page is out of date.

Run it as: python -m bench.pages [--check]
"""

import collections.abc
import pathlib
import re
import sys
import typing

from godwitstall.control import program as control_program
from godwitstall.ctl import program as ctl_program
from godwitstall import errors
from godwitstall import metrics
from godwitstall.node import program as node_program

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'interface.md'

# Kinds that no caller gets: the absence of an error, and what only processes
# of the fleet and operators see.
INTERNAL_KINDS = frozenset(
    (
        errors.ErrorKind.NONE,
        errors.ErrorKind.NOT_LEADER,
        errors.ErrorKind.NOT_ADMITTED,
        errors.ErrorKind.BAD_MESSAGE,
    )
)

# Importing the programs registers every metric.
PROGRAMS = (control_program, node_program)


def _table(
    head: tuple[str, ...],
    rows: collections.abc.Sequence[tuple[str, ...]],
) -> str:
    lines = [head, tuple('-' * max(3, len(name)) for name in head), *rows]
    return '\n'.join(f'| {" | ".join(cells)} |' for cells in lines)


def answers_table() -> str:
    """Return every error that a caller can get."""
    rows = [
        (
            str(rule.status),
            f'`{kind.label}`',
            f'`{rule.outcome.label}`',
            'yes' if rule.is_retryable else 'no',
            rule.text,
        )
        for kind, rule in errors.ANSWERS.items()
        if kind not in INTERNAL_KINDS
    ]
    rows.sort(key=lambda row: row[0])
    return _table(
        ('status', 'error', 'outcome', 'tried elsewhere', 'meaning'), rows
    )


def commands_table() -> str:
    """Return every command of godwitstall-ctl."""
    return _table(
        ('command', 'what it does'),
        [(f'`{c.synopsis}`', c.description) for c in ctl_program.COMMANDS],
    )


def metrics_table() -> str:
    """Return every metric of the programs."""
    rows = [
        (f'`{found.collector.name}`', kind, found.collector.doc)
        for kind, metrics_of_kind in (
            ('counter', metrics.all_counters()),
            ('gauge', metrics.all_gauges()),
            ('histogram', metrics.all_histograms()),
        )
        for found in metrics_of_kind
    ]
    return _table(('metric', 'kind', 'meaning'), sorted(rows))


TABLES: dict[str, typing.Callable[[], str]] = {
    'answers': answers_table,
    'commands': commands_table,
    'metrics': metrics_table,
}


def with_tables(text: str) -> str:
    """Return a page with its tables written anew."""
    for name, make in TABLES.items():
        start, end = f'<!-- {name} -->', f'<!-- end of {name} -->'
        pattern = f'{re.escape(start)}.*?{re.escape(end)}'
        table = f'{start}\n{make()}\n{end}'
        text, count = re.subn(pattern, lambda _: table, text, flags=re.DOTALL)
        if count != 1:
            raise ValueError(f'The page has {count} tables {name!r}.')
    return text


def main(words: list[str]) -> int:
    """Write the tables, or with --check only compare; return the exit code."""
    text = PAGE.read_text()
    wanted = with_tables(text)
    if words == ['--check']:
        return int(text != wanted)
    PAGE.write_text(wanted)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
