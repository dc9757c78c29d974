"""Tests that the modules of the package do not import each other."""

import ast
import graphlib
import pathlib

import pytest

import godwitstall

_PACKAGE = pathlib.Path(godwitstall.__file__).parent

# Names of the modules that a module imports.
_Graph = dict[str, set[str]]


def _module_name(path: pathlib.Path, root: pathlib.Path) -> str:
    parts = path.relative_to(root).with_suffix('').parts
    return '.'.join(part for part in parts if part != '__init__')


def _imported_names(tree: ast.AST) -> set[str]:
    """Return what a source imports, under TYPE_CHECKING and in functions too.

    A name that is imported from a package may be a module or not.
    """
    names = set()
    for node in ast.walk(tree):
        match node:
            case ast.Import():
                names |= {alias.name for alias in node.names}
            case ast.ImportFrom():
                assert node.level == 0, 'The check knows absolute imports only'
                names.add(str(node.module))
                names |= {
                    f'{node.module}.{alias.name}' for alias in node.names
                }
    return names


def _import_graph(package: pathlib.Path) -> _Graph:
    """Return the imports between the modules of a package."""
    paths = {
        _module_name(path, package.parent): path
        for path in package.rglob('*.py')
    }
    return {
        name: _imported_names(ast.parse(path.read_text('utf-8')))
        & paths.keys()
        for name, path in paths.items()
    }


def _find_circle(graph: _Graph) -> list[str]:
    """Return modules of which the next imports each, [] if none."""
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as e:
        return list(e.args[1])
    return []


def test_modules_form_no_circle() -> None:
    """Guards against modules that can only be understood together."""
    graph = _import_graph(_PACKAGE)
    assert graph['godwitstall.consensus.replica']
    assert not _find_circle(graph)


@pytest.mark.parametrize(
    'source',
    [
        'from p.q import a',
        'import p.q.a',
        'from p.q.a import name',
        'import typing\nif typing.TYPE_CHECKING:\n    from p.q import a',
        'def load():\n    from p.q import a',
    ],
)
def test_check_finds_circles(tmp_path: pathlib.Path, source: str) -> None:
    """Guards against a check that accepts every source."""
    folder = tmp_path / 'p' / 'q'
    folder.mkdir(parents=True)
    (folder / 'a.py').write_text('from p.q import b\n')
    (folder / 'b.py').write_text('from p.q import c\n')
    (folder / 'c.py').write_text('import asyncio\n')
    assert not _find_circle(_import_graph(tmp_path / 'p'))
    (folder / 'c.py').write_text(source)
    circle = _find_circle(_import_graph(tmp_path / 'p'))
    assert set(circle) == {'p.q.a', 'p.q.b', 'p.q.c'}
