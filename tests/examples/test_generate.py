"""The committed examples load and match the output of the generator."""

import hashlib
import pathlib
import tomllib

import pytest

from examples import generate
from godwitstall import settings
from loadtool import scenario as scenarios
from loadtool import tables
from standin import options as standin_options

_ROOT = pathlib.Path(generate.__file__).parent.parent
_SITES = {site.name: site for site in generate.SITES}

# Number of upstreams, slots and connections by service, from the design page.
_SIZES = {
    'teifi': {
        'siop': (4, 230, 1500),
        'gwydd': (3, 300, 1900),
        'stordy': (3, 300, 1900),
        'cyfran': (3, 40, 330),
    },
    'kaardikoda': {
        'kataloog': (3, 75, 550),
        'parand': (3, 75, 550),
        'vastuvott': (3, 75, 550),
        'seisukord': (3, 16, 200),
    },
}


@pytest.mark.parametrize('name', _SITES)
def test_files_are_those_of_the_generator(name: str) -> None:
    """Guards against edits that the next run of the generator overwrites."""
    folder = _ROOT / 'examples' / name
    committed = {path.name: path.read_text() for path in folder.iterdir()}
    assert committed == generate.files(_SITES[name])


@pytest.mark.parametrize('name', _SITES)
def test_files_load(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against example settings that a program rejects."""
    monkeypatch.chdir(_ROOT)
    folder = pathlib.Path('examples') / name
    nodes = sorted(folder.glob('node-*.toml'))
    controls = sorted(folder.glob('control-*.toml'))
    addresses: list[str] = []
    for path in nodes:
        _, node, _ = settings.load(path, settings.NodeOptions)
        addresses += [
            node.link_address,
            node.caller_address,
            node.upstream_address,
            node.admin_address,
        ]
    for path in controls:
        fleet, control, _ = settings.load(path, settings.ControlOptions)
        addresses += [control.admin_address, fleet.control[control.slot]]
    sizes: dict[str, tuple[int, int, int]] = {}
    for path in sorted(folder.glob('standin-*.toml')):
        standin_settings = tables.load(
            path, 'standin', standin_options.StandinOptions
        )
        addresses.append(standin_settings.address)
        count = sizes.get(standin_settings.service, (0, 0, 0))[0]
        sizes[standin_settings.service] = (
            count + 1,
            standin_settings.slots,
            standin_settings.connections,
        )
    assert sizes == _SIZES[name]
    assert len(nodes) == sum(size[0] for size in sizes.values())
    assert len(controls) == 3
    assert len(set(addresses)) == len(addresses)
    scenarios.check(
        tables.load(folder / 'load.toml', None, scenarios.Scenario)
    )


@pytest.mark.parametrize('name', _SITES)
def test_note_fits_together(name: str) -> None:
    """Guards against keys, routes and onward calls with unknown targets."""
    folder = _ROOT / 'examples' / name
    added = tomllib.loads((folder / 'note-1.toml').read_text())['added']
    keys = tomllib.loads((folder / 'keys.toml').read_text())['keys']
    workspaces = {entry['name'] for entry in added['workspaces']}
    assert len(workspaces) == 8
    assert {entry['workspace'] for entry in added['keys']} == workspaces
    for entry in added['keys']:
        digest = hashlib.sha256(keys[entry['id']].encode()).hexdigest()
        assert entry['digest'] == digest
    services = set(_SIZES[name])
    assert {entry['service'] for entry in added['routes']} == services
    assert {entry['service'] for entry in added['upstreams']} == services
    prefixes = {entry['path_prefix'] for entry in added['routes']}
    for path in folder.glob('standin-*.toml'):
        standin_settings = tables.load(
            path, 'standin', standin_options.StandinOptions
        )
        for call in standin_settings.onward:
            assert {call.path, call.for_prefix} <= prefixes
