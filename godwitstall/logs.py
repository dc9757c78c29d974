"""Logging set-up shared by the programs.

Each part logs through get('consensus') and the like; a line then starts with
the fixed prefix of that part, for example '[consensus] Became leader.'.
"""

import logging
import sys
import typing

from godwitstall import decisions

_ROOT = 'godwitstall'
_FORMAT = '%(asctime)s %(levelname)s [%(part)s] %(message)s'


class _PartFilter(logging.Filter):
    """Derives the prefix of a part from the logger name."""

    def filter(self, record: logging.LogRecord) -> bool:
        record.part = record.name.rpartition('.')[2]
        return True


def get(part: str) -> logging.Logger:
    """Return the logger of one part, for example 'dispatch'."""
    return logging.getLogger(f'{_ROOT}.{part}')


class _DecisionHandler(logging.Handler):
    """Writes the records of all parts as structured lines."""

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, typing.Any] = {
            'level': record.levelname,
            'text': record.getMessage(),
        }
        if record.exc_info is not None:
            fields['error'] = logging.Formatter().formatException(
                record.exc_info
            )
        part = record.name.rpartition('.')[2]
        decisions.write(part, 'message', **fields)


def setup_structured(
    level: str, part_levels: dict[str, str], **common: typing.Any
) -> None:
    """Send structured lines to standard output; common is in each line."""
    decisions.open_output(sys.stdout.fileno(), **common)
    setup(level, part_levels)
    logging.getLogger(_ROOT).handlers = [_DecisionHandler()]


def setup(level: str, part_levels: dict[str, str]) -> None:
    """Send logs to standard error at the levels given in the settings.

    Levels are names such as 'INFO'; part_levels overrides single parts.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(_FORMAT))
    handler.addFilter(_PartFilter())
    root = logging.getLogger(_ROOT)
    root.handlers = [handler]
    root.propagate = False
    root.setLevel(level)
    # The HTTP libraries tell each start and request at INFO.
    for library in ('uvicorn', 'httpx', 'httpcore'):
        logging.getLogger(library).setLevel(logging.WARNING)
    for part, part_level in part_levels.items():
        get(part).setLevel(part_level)
