"""Hypothesis profiles: fixed examples in CI, many random ones in a soak."""

import collections.abc
import logging
import os

import hypothesis
import pytest

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
)
hypothesis.settings.register_profile(
    'soak',
    database=None,
    deadline=None,
    max_examples=2000,
    stateful_step_count=100,
)
hypothesis.settings.load_profile(
    'soak' if os.environ.get('GODWITSTALL_SOAK') else 'ci'
)


@pytest.fixture(autouse=True)
def restore_logging() -> collections.abc.Iterator[None]:
    """Undo logs.setup() after each test.

    Its handler writes to the standard error that pytest captured for the test
    and closes afterwards.
    """
    root = logging.getLogger('godwitstall')
    handlers, propagate, level = root.handlers, root.propagate, root.level
    yield
    root.handlers, root.propagate = handlers, propagate
    root.setLevel(level)
