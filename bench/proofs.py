"""Runs the tests that docs/proofs.md names, promise by promise.

Prints one line for each promise and ends with code 1 when a test failed.
Run it as: python -m bench.proofs
"""

import dataclasses
import pathlib
import re
import subprocess
import sys

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'proofs.md'

_TEST = re.compile(r'`(tests/[\w/]+\.py(?:::\w+)?)`')


@dataclasses.dataclass
class Promise:
    """One section of the page that names tests."""

    # Heading of the section.
    title: str
    # Test ids as pytest takes them.
    tests: list[str]


def promises(text: str) -> list[Promise]:
    """Return the sections of the page that name tests."""
    found = []
    for section in re.split(r'^## ', text, flags=re.MULTILINE)[1:]:
        title, _, body = section.partition('\n')
        tests = list(dict.fromkeys(_TEST.findall(body)))
        if tests:
            found.append(Promise(title.strip(), tests))
    return found


def _run(promise: Promise) -> tuple[bool, str]:
    """Return whether all tests passed, and pytest's closing line."""
    finished = subprocess.run(
        [sys.executable, '-m', 'pytest', '--no-header', *promise.tests],
        cwd=PAGE.parent.parent,
        capture_output=True,
        text=True,
    )
    lines = finished.stdout.strip().splitlines()
    return finished.returncode == 0, lines[-1] if lines else 'no output'


def main() -> int:
    """Run all promises; return the exit code."""
    has_failed = False
    for promise in promises(PAGE.read_text('utf-8')):
        has_passed, line = _run(promise)
        has_failed |= not has_passed
        word = 'holds ' if has_passed else 'FAILED'
        print(f'{word}  {promise.title}: {line}', flush=True)
    return int(has_failed)


if __name__ == '__main__':
    sys.exit(main())
