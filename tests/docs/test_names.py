"""Names of the code that pages mention must exist."""

import collections
import functools
import pathlib
import re

import pytest

_ROOT = pathlib.Path(__file__).parent.parent.parent
_FOLDERS = (
    'godwitstall',
    'platform',
    'standin',
    'loadtool',
    'bench',
    'tests',
    'deploy',
    'examples',
)
_SUFFIXES = ('.py', '.capnp', '.toml', '.in')
_PAGES = (
    'README.md',
    'DEVELOPERS.md',
    'docs/glossary.md',
    'docs/design.md',
    'docs/interface.md',
    'docs/OPERATIONS.md',
    'docs/proofs.md',
    'docs/platform.md',
)

# Text in backquotes that is a Python name, dotted or called, or a path.
_NAME = re.compile(r'`([A-Za-z_][\w.]*(?:/[\w./-]+)?)(?:\(\))?`')
_WORD = re.compile(r'[A-Za-z_]\w*')
_CLASS = re.compile(r'^class (\w+)', re.MULTILINE)

# Last words of file names, which are not Python names.
_SUFFIX_WORDS = frozenset(('py', 'toml', 'md', 'json', 'capnp'))

# Names of the platform, which the pages explain, and a part of a name.
_OTHER_NAMES = frozenset(
    (
        'configuration.read',
        'configuration.replace',
        'deploy/wire.toml',
        'evacuations.begin',
        'evacuations.finish',
        'instances.deregister',
        'instances.heartbeat',
        'is_...',
        'same_place',
    )
)


class _Index:
    """Words of the source and of the deploy files."""

    def __init__(self) -> None:
        self.words: set[str] = set()
        # Words of the files by module name and by each class defined there.
        self.words_of: dict[str, set[str]] = collections.defaultdict(set)
        for folder in _FOLDERS:
            for path in (_ROOT / folder).rglob('*'):
                if path.suffix in _SUFFIXES:
                    self._add(path)
        # Enum members are written out in lower case, metrics with a prefix.
        self.words |= {w.lower() for w in self.words if w.isupper()}
        self.words |= {f'godwitstall_{word}' for word in self.words}

    def _add(self, path: pathlib.Path) -> None:
        text = path.read_text('utf-8')
        words = {*_WORD.findall(text), path.stem}
        self.words |= words
        owners = {path.stem, path.parent.name, *_CLASS.findall(text)}
        if path.suffix == '.py' and 'tests' not in path.parts:
            for owner in owners:
                self.words_of[owner] |= words

    def has(self, name: str) -> bool:
        """Return whether each part of a dotted name exists in the one before.

        A part that is neither a module nor a class, such as a key of the
        settings, can have any word of the code after it.
        """
        parts = [w for w in _WORD.findall(name) if w not in _SUFFIX_WORDS]
        return all(part in self.words for part in parts) and all(
            part in self.words_of.get(owner, self.words)
            for owner, part in zip(parts, parts[1:])
        )


@functools.cache
def _index() -> _Index:
    return _Index()


def _exists(name: str) -> bool:
    if '/' not in name:
        return _index().has(name)
    return any(
        (_ROOT / folder / f'{name}{suffix}').exists()
        for folder in ('', 'godwitstall', 'platform', 'docs')
        for suffix in ('', '.py')
    )


def _is_code(name: str) -> bool:
    """Return whether a text can only be a name of the code or a path."""
    return bool(re.search(r'[_./]|[a-z][A-Z]|^[A-Z][a-z]', name))


@pytest.mark.parametrize('page', _PAGES)
def test_names_exist(page: str) -> None:
    """Guards against a page that names what was renamed or removed."""
    text = re.sub('```.*?```', '', (_ROOT / page).read_text(), flags=re.DOTALL)
    names = {name for name in _NAME.findall(text) if _is_code(name)}
    missing = [n for n in sorted(names - _OTHER_NAMES) if not _exists(n)]
    assert missing == []
