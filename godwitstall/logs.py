"""Logging configuration of the programs.

Each part has a logger, such as get('consensus'), whose lines are prefixed with
the name of the part, as in '[consensus] Became leader.'.
"""

import logging
import sys
import typing

from godwitstall import decisions

_ROOT_LOGGER = 'godwitstall'
_FORMAT = '%(asctime)s %(levelname)s [%(part)s] %(message)s'


class _PartFilter(logging.Filter):
    """Sets the part of a record from the name of its logger."""

    def filter(self, record: logging.LogRecord) -> bool:
        record.part = record.name.rpartition('.')[2]
        return True


def get(part: str) -> logging.Logger:
    """Return the logger of a part, such as 'dispatch'."""
    return logging.getLogger(f'{_ROOT_LOGGER}.{part}')


class _StructuredHandler(logging.Handler):
    """Writes log records as structured lines."""

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
    level: str, part_levels: dict[str, str], **common_fields: typing.Any
) -> None:
    """Log structured lines, with common_fields, to standard output."""
    decisions.open_output(sys.stdout.fileno(), **common_fields)
    setup(level, part_levels)
    logging.getLogger(_ROOT_LOGGER).handlers = [_StructuredHandler()]


def setup(level: str, part_levels: dict[str, str]) -> None:
    """Log to standard error at the configured levels.

    Levels are names such as 'INFO'; part_levels overrides the level of parts.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(_FORMAT))
    handler.addFilter(_PartFilter())
    root = logging.getLogger(_ROOT_LOGGER)
    root.handlers = [handler]
    root.propagate = False
    root.setLevel(level)
    # The HTTP libraries log every start and request at INFO.
    for library in ('httpx', 'httpcore'):
        logging.getLogger(library).setLevel(logging.WARNING)
    for part, part_level in part_levels.items():
        get(part).setLevel(part_level)
