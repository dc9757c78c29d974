"""The documentation pages agree with the code."""

import hashlib
import pathlib
import re
import subprocess
import sys
import tomllib

import pytest

from bench import pages
from bench import proofs
from godwitstall.configuration import note as notes
from godwitstall.ctl import program as ctl_program
from godwitstall import messages
from godwitstall.node.requests import headers
from godwitstall.node.upstreams import announcements
from godwitstall import settings

_ROOT = pages.PAGE.parent.parent
_INTERFACE = pages.PAGE.read_text()
_OPERATIONS = (_ROOT / 'docs' / 'OPERATIONS.md').read_text()

# Options classes by the name of their table in a settings file.
_OPTIONS_CLASSES = {
    'node': settings.NodeOptions,
    'control': settings.ControlOptions,
    'ctl': settings.CtlOptions,
}


def _blocks(text: str, language: str) -> list[str]:
    """Return the code blocks of a page, dedented if they are in a list."""
    matches = re.findall(
        rf'^( *)```{language}\n(.*?)^ *```$', text, re.DOTALL | re.MULTILINE
    )
    return [re.sub(f'^{indent}', '', b, flags=re.M) for indent, b in matches]


def test_tables_follow_the_code() -> None:
    """Guards against an outdated table of errors, commands or metrics.

    Uses a separate process, because other tests register metrics.
    """
    check = subprocess.run(
        [sys.executable, '-m', 'bench.pages', '--check'], cwd=_ROOT
    )
    assert check.returncode == 0, 'run python -m bench.pages'


def test_every_header_is_described() -> None:
    """Guards against a header that the page does not describe."""
    names = [
        value.decode()
        for value in vars(headers).values()
        if isinstance(value, bytes) and value.startswith(b'godwitstall-')
    ]
    page = _INTERFACE.lower()
    missing = [name for name in names if f'`{name}' not in page]
    assert [n for n in missing if n != 'godwitstall-'] == []


def test_announcement_sample() -> None:
    """Guards against a sample announcement that a node rejects."""
    samples = [b for b in _blocks(_INTERFACE, 'json') if '"slots"' in b]
    assert len(samples) == 1
    announcement = announcements.parse(
        samples[0].encode(), messages.ServiceName('siop')
    )
    assert announcement.state == 'ready'


def test_error_sample() -> None:
    """Guards against a sample error body that lacks a field."""
    samples = [b for b in _blocks(_INTERFACE, 'json') if '"error"' in b]
    assert len(samples) == 1
    for name in ('error', 'outcome', 'detail', 'retry_after_ms'):
        assert f'"{name}"' in samples[0]


def test_note_samples() -> None:
    """Guards against a sample release note that control rejects."""
    samples = _blocks(_INTERFACE, 'toml') + _blocks(_OPERATIONS, 'toml')
    samples = [b for b in samples if b.startswith('number')]
    assert len(samples) == 2
    current = messages.Configuration()
    for sample in samples:
        current, problems = notes.build(notes.parse(sample), current)
        assert problems == []
    assert [key.key_id for key in current.keys] == []


def test_settings_samples(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against sample settings that a program rejects."""
    monkeypatch.chdir(tmp_path)
    pathlib.Path('fleet.secret').write_bytes(hashlib.sha256(b'').digest())
    samples = [b for b in _blocks(_OPERATIONS, 'toml') if '[fleet]' in b]
    loaded = []
    for sample in samples:
        (table,) = set(tomllib.loads(sample)) - {'fleet'}
        path = tmp_path / f'{table}.toml'
        path.write_text(sample)
        settings.load(path, _OPTIONS_CLASSES[table])
        loaded.append(table)
    assert sorted(loaded) == sorted(_OPTIONS_CLASSES)


def test_commands_on_the_page_exist() -> None:
    """Guards against instructions with a command that does not exist."""
    commands = re.findall(r'`ctl ([^`]+)`', _OPERATIONS)
    assert commands
    for line in commands:
        ctl_program.find_command(line.split())


@pytest.mark.parametrize(
    'name',
    [
        'README.md',
        'docs/design.md',
        'docs/interface.md',
        'docs/OPERATIONS.md',
        'docs/glossary.md',
    ],
)
def test_links_lead_somewhere(name: str) -> None:
    """Guards against links to pages and sections that do not exist."""
    page = _ROOT / name
    text = re.sub('```.*?```', '', page.read_text(), flags=re.DOTALL)
    for target in re.findall(r'\]\(([^)\s]+)\)', re.sub(r'\s+', ' ', text)):
        file, _, section = target.partition('#')
        other = page.parent / file if file else page
        assert other.is_file(), target
        if section:
            titles = re.findall('^#+ (.*)$', other.read_text(), re.MULTILINE)
            ids = [re.sub('[^a-z0-9 -]', '', t.lower()) for t in titles]
            assert section in [i.replace(' ', '-') for i in ids], target


def test_proofs_name_tests_that_exist() -> None:
    """Guards against a guarantee whose tests do not exist."""
    guarantees = proofs.parse_guarantees(proofs.PAGE.read_text('utf-8'))
    assert [guarantee.title.split()[0] for guarantee in guarantees] == [
        f'R{number}' for number in range(1, 13)
    ]
    for guarantee in guarantees:
        for test_id in guarantee.tests:
            path, _, function = test_id.partition('::')
            text = (_ROOT / path).read_text('utf-8')
            assert f'def {function}' in text, test_id
