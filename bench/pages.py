"""Generates tables of docs/interface.md from the code.

Two comments enclose each table, for example '<!-- answers -->' and
'<!-- end of answers -->'. tests/docs fails if the page is out of date.

Run: python -m bench.pages [--check]
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

# Error kinds that callers never get: NONE, and those between processes of the
# fleet or for operators.
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
    header: tuple[str, ...],
    rows: collections.abc.Sequence[tuple[str, ...]],
) -> str:
    lines = [header, tuple('-' * max(3, len(name)) for name in header), *rows]
    return '\n'.join(f'| {" | ".join(cells)} |' for cells in lines)


def answers_table() -> str:
    """Return the table of the errors that a caller can get."""
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
    """Return the table of the godwitstall-ctl commands."""
    return _table(
        ('command', 'what it does'),
        [(f'`{c.synopsis}`', c.description) for c in ctl_program.COMMANDS],
    )


def metrics_table() -> str:
    """Return the table of the metrics of all programs."""
    rows = [
        (f'`{metric.collector.name}`', kind, metric.collector.doc)
        for kind, metrics_of_kind in (
            ('counter', metrics.all_counters()),
            ('gauge', metrics.all_gauges()),
            ('histogram', metrics.all_histograms()),
        )
        for metric in metrics_of_kind
    ]
    return _table(('metric', 'kind', 'meaning'), sorted(rows))


TABLES: dict[str, typing.Callable[[], str]] = {
    'answers': answers_table,
    'commands': commands_table,
    'metrics': metrics_table,
}


def update_tables(text: str) -> str:
    """Return the text of a page with regenerated tables."""
    for name, make_table in TABLES.items():
        start, end = f'<!-- {name} -->', f'<!-- end of {name} -->'
        pattern = f'{re.escape(start)}.*?{re.escape(end)}'
        table = f'{start}\n{make_table()}\n{end}'
        text, count = re.subn(pattern, lambda _: table, text, flags=re.DOTALL)
        if count != 1:
            raise ValueError(
                f'The page has {count} tables named {name!r}, expected 1.'
            )
    return text


def main(args: list[str]) -> int:
    """Update the page, or compare it with --check; return the exit code."""
    text = PAGE.read_text()
    updated = update_tables(text)
    if args == ['--check']:
        return int(text != updated)
    PAGE.write_text(updated)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
