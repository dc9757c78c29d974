"""Tests that the package uses nothing that the platform forbids."""

import ast
import pathlib

import pytest

import godwitstall

_PACKAGE = pathlib.Path(godwitstall.__file__).parent

# libuv, used by uvloop, calls io_uring_setup() at startup.
_FORBIDDEN_MODULES = {
    'concurrent.futures.process',
    'mmap',
    'multiprocessing',
    'pty',
    'subprocess',
    'uvloop',
    # It uses uvloop if that is installed.
    'uvicorn',
}
_FORBIDDEN_CALLS = {
    'create_subprocess_exec',
    'create_subprocess_shell',
    'fork',
    'forkpty',
    'popen',
    'posix_spawn',
    'spawnv',
    'system',
}


def _forbidden_names(tree: ast.AST) -> set[str]:
    names = set()
    for node in ast.walk(tree):
        match node:
            case ast.Import():
                names |= {alias.name for alias in node.names}
            case ast.ImportFrom():
                names |= {
                    f'{node.module}.{alias.name}' for alias in node.names
                }
                names.add(str(node.module))
            case ast.Attribute(attr=attr) if attr in _FORBIDDEN_CALLS:
                names.add(attr)
    return names & (_FORBIDDEN_MODULES | _FORBIDDEN_CALLS)


@pytest.mark.parametrize(
    'path',
    sorted(_PACKAGE.rglob('*.py')),
    ids=lambda path: str(path.relative_to(_PACKAGE)),
)
def test_source(path: pathlib.Path) -> None:
    """Guards against child processes, shared memory and io_uring."""
    assert not _forbidden_names(ast.parse(path.read_text('utf-8')))


def test_check_finds_forbidden_names() -> None:
    """Guards against a check that accepts every source."""
    source = 'import uvloop\nfrom multiprocessing import x\nos.fork()\n'
    assert _forbidden_names(ast.parse(source)) == {
        'uvloop',
        'multiprocessing',
        'fork',
    }
