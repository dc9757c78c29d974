"""Makes the adapter importable, as platform/run.py does."""

import asyncio
import collections.abc
import pathlib
import sys

import pytest

_FOLDER = pathlib.Path(__file__).resolve().parents[2] / 'platform'
sys.path.insert(0, str(_FOLDER))

from tests.platform import harnesses  # noqa: E402


@pytest.fixture
def harness() -> collections.abc.Iterator[harnesses.Harness]:
    """Return the instance endpoint of a node that knows no upstream yet."""
    with asyncio.Runner() as runner:
        yield harnesses.Harness(runner)
