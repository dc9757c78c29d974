"""Runs the tests that docs/proofs.md lists for each guarantee.

Prints one line per guarantee and exits with code 1 if a test failed.

Run: python -m bench.proofs
"""

import dataclasses
import pathlib
import re
import subprocess
import sys

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'proofs.md'

_TEST_ID = re.compile(r'`(tests/[\w/]+\.py(?:::\w+)?)`')


@dataclasses.dataclass
class Guarantee:
    """A section of the page that lists tests."""

    title: str
    # Pytest node IDs.
    tests: list[str]


def parse_guarantees(text: str) -> list[Guarantee]:
    """Return the sections of the page that list tests."""
    guarantees = []
    for section in re.split(r'^## ', text, flags=re.MULTILINE)[1:]:
        title, _, body = section.partition('\n')
        tests = list(dict.fromkeys(_TEST_ID.findall(body)))
        if tests:
            guarantees.append(Guarantee(title.strip(), tests))
    return guarantees


def _run(guarantee: Guarantee) -> tuple[bool, str]:
    """Return whether all tests passed, and the last line of pytest."""
    process = subprocess.run(
        [sys.executable, '-m', 'pytest', '--no-header', *guarantee.tests],
        cwd=PAGE.parent.parent,
        capture_output=True,
        text=True,
    )
    lines = process.stdout.strip().splitlines()
    return process.returncode == 0, lines[-1] if lines else 'no output'


def main() -> int:
    """Run the tests of all guarantees; return the exit code."""
    has_failed = False
    for guarantee in parse_guarantees(PAGE.read_text('utf-8')):
        has_passed, line = _run(guarantee)
        has_failed |= not has_passed
        result = 'passed' if has_passed else 'FAILED'
        print(f'{result}  {guarantee.title}: {line}', flush=True)
    return int(has_failed)


if __name__ == '__main__':
    sys.exit(main())
