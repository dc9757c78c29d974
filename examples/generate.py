"""Generates the settings, the first release note and a load of both sites.

The zones, upstreams, slots and connections are those of the design page. The
rates, service times, timeouts and call graphs are examples, because the design
page gives none.

Run from the root of the repository: python -m examples.generate
"""

import dataclasses
import hashlib
import json
import pathlib
import typing

_FOLDER = pathlib.Path(__file__).parent

# Ports are the same on every VM.
_CALLER_PORT = 8080
_UPSTREAM_LISTENER_PORT = 8081
_LINK_PORT = 7000
_ADMIN_PORT = 9090
_UPSTREAM_PORT = 8000
_CONTROL_LINK_PORT = 7100

# Host numbers of control VMs start after this one, those of node VMs at 1.
_CONTROL_HOST_BASE = 100
_CONTROL_SLOT_COUNT = 3

# Burst in seconds of the rate. At most half of the burst is out in grants at a
# time.
_BURST_S = 2

# Share of its rate that each workspace uses in the example load.
_LOAD_SHARE = 0.5


@dataclasses.dataclass
class _Onward:
    """Onward call that each run under a path prefix makes."""

    path: str
    for_prefix: str
    method: str = 'GET'


@dataclasses.dataclass
class _Service:
    """A service with identical upstreams."""

    name: str
    # Number of upstreams.
    count: int
    slots: int
    connections: int
    # Mean service time, milliseconds.
    service_ms: float
    onward: list[_Onward] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class _Route:
    """A route of the release note."""

    name: str
    path_prefix: str
    methods: list[str]
    service: str
    priority: str
    is_idempotent: bool
    # Runs that one dispatch may need, including its onward calls.
    dispatch_attempts: int
    timeout_ms: int
    is_open: bool = False


@dataclasses.dataclass
class _Site:
    """A site with its network, services, routes and workspaces."""

    name: str
    region: str
    zones: list[str]
    # First three octets of all addresses.
    network: str
    services: list[_Service]
    routes: list[_Route]
    # Rates by workspace, calls per second.
    workspaces: dict[str, float]


_TEIFI = _Site(
    name='teifi',
    region='teifi',
    zones=['sied-wau', 'sied-nyddu', 'swyddfa'],
    network='127.0.1',
    services=[
        _Service(
            name='siop',
            count=4,
            slots=230,
            connections=1500,
            service_ms=250.0,
            onward=[_Onward('/looms/free', '/orders')],
        ),
        _Service(
            name='gwydd',
            count=3,
            slots=300,
            connections=1900,
            service_ms=120.0,
            onward=[_Onward('/wool/stock', '/looms/free')],
        ),
        _Service('stordy', 3, 300, 1900, 80.0),
        _Service('cyfran', 3, 40, 330, 150.0),
    ],
    routes=[
        _Route('ordering', '/orders', ['POST'], 'siop', 'high', True, 3, 5000),
        _Route(
            'shop-window',
            '/window',
            ['GET'],
            'siop',
            'low',
            True,
            1,
            2000,
            is_open=True,
        ),
        _Route(
            'loom-lookup',
            '/looms/free',
            ['GET'],
            'gwydd',
            'normal',
            True,
            2,
            3000,
        ),
        _Route(
            'loom-booking',
            '/looms/bookings',
            ['POST'],
            'gwydd',
            'high',
            False,
            1,
            5000,
        ),
        _Route(
            'wool-lookup',
            '/wool/stock',
            ['GET'],
            'stordy',
            'normal',
            True,
            1,
            2000,
        ),
        _Route(
            'wool-issue',
            '/wool/issues',
            ['POST'],
            'stordy',
            'high',
            False,
            1,
            5000,
        ),
        _Route(
            'share-payment',
            '/shares/payments',
            ['POST'],
            'cyfran',
            'payment',
            False,
            1,
            8000,
        ),
        _Route(
            'share-register',
            '/shares/register',
            ['GET'],
            'cyfran',
            'low',
            True,
            1,
            2000,
        ),
    ],
    workspaces={
        'gwehyddion': 120.0,
        'nyddwyr': 90.0,
        'siopau': 60.0,
        'marchnad': 15.0,
        'amgueddfa': 10.0,
        'ysgolion': 10.0,
        'archif': 5.0,
        'cwmni': 5.0,
    },
)

_KAARDIKODA = _Site(
    name='kaardikoda',
    region='ee-north',
    zones=['ee-north-a', 'ee-north-b', 'ee-north-c'],
    network='127.0.2',
    services=[
        _Service('kataloog', 3, 75, 550, 60.0),
        _Service('parand', 3, 75, 550, 120.0),
        _Service(
            name='vastuvott',
            count=3,
            slots=75,
            connections=550,
            service_ms=150.0,
            onward=[_Onward('/conditions', '/consignments', 'POST')],
        ),
        _Service('seisukord', 3, 16, 200, 40.0),
    ],
    routes=[
        _Route(
            'holdings-lookup',
            '/holdings',
            ['GET'],
            'kataloog',
            'normal',
            True,
            1,
            2000,
        ),
        _Route(
            'opening-hours',
            '/hours',
            ['GET'],
            'kataloog',
            'low',
            True,
            1,
            1000,
            is_open=True,
        ),
        _Route(
            'card-transfer',
            '/cards/transfers',
            ['POST'],
            'parand',
            'payment',
            False,
            1,
            8000,
        ),
        _Route(
            'consignment',
            '/consignments',
            ['POST'],
            'vastuvott',
            'high',
            True,
            2,
            5000,
        ),
        _Route(
            'condition-note',
            '/conditions',
            ['GET', 'POST'],
            'seisukord',
            'low',
            True,
            1,
            3000,
        ),
    ],
    workspaces={
        'raamatukogu': 150.0,
        'muuseum': 100.0,
        'ulikool': 70.0,
        'arhiiv': 20.0,
        'kool': 10.0,
        'kogu': 10.0,
        'fond': 5.0,
        'selts': 5.0,
    },
)

SITES = [_TEIFI, _KAARDIKODA]


def _toml_value(value: typing.Any) -> str:
    """Return a TOML value; JSON strings and lists are valid TOML."""
    return json.dumps(value)


def _toml_table(name: str, entries: dict[str, typing.Any]) -> str:
    lines = [f'{key} = {_toml_value(item)}' for key, item in entries.items()]
    return '\n'.join([name, *lines]) + '\n'


def _example_key(site: _Site, workspace: str) -> str:
    return f'{site.name}-example-key-{workspace}'


def _list_upstreams(
    site: _Site,
) -> list[tuple[str, _Service, str, str]]:
    """Return the ID, service, host and zone of each upstream."""
    upstreams: list[tuple[str, _Service, str, str]] = []
    for service in site.services:
        for number in range(service.count):
            host = f'{site.network}.{len(upstreams) + 1}'
            zone = site.zones[number % len(site.zones)]
            upstreams.append(
                (f'{service.name}-{number + 1}', service, host, zone)
            )
    return upstreams


def _fleet_tables(site: _Site) -> str:
    control = {
        f'control-{slot}': (
            f'{site.network}.{_CONTROL_HOST_BASE + slot}:{_CONTROL_LINK_PORT}'
        )
        for slot in range(1, _CONTROL_SLOT_COUNT + 1)
    }
    return (
        _toml_table(
            '[fleet]',
            {
                'name': site.name,
                'secret_file': f'examples/{site.name}/fleet.secret',
            },
        )
        + '\n'
        + _toml_table('[fleet.control]', control)
    )


def _node_file(
    site: _Site, name: str, service: _Service, host: str, zone: str
) -> str:
    node = {
        'node_id': name,
        'zone': zone,
        'region': site.region,
        'link_address': f'{host}:{_LINK_PORT}',
        'caller_address': f'{host}:{_CALLER_PORT}',
        'upstream_address': f'{host}:{_UPSTREAM_LISTENER_PORT}',
        'admin_address': f'{host}:{_ADMIN_PORT}',
        'service': service.name,
    }
    return _fleet_tables(site) + '\n' + _toml_table('[node]', node)


def _control_file(site: _Site, slot: int) -> str:
    control = {
        'slot': f'control-{slot}',
        'zone': site.zones[slot - 1],
        'region': site.region,
        'admin_address': (
            f'{site.network}.{_CONTROL_HOST_BASE + slot}:{_ADMIN_PORT}'
        ),
        'data_folder': f'run/{site.name}/control-{slot}',
    }
    return _fleet_tables(site) + '\n' + _toml_table('[control]', control)


def _standin_file(service: _Service, host: str, seed: int) -> str:
    options = {
        'service': service.name,
        'address': f'{host}:{_UPSTREAM_PORT}',
        'node_address': f'{host}:{_UPSTREAM_LISTENER_PORT}',
        'slots': service.slots,
        'connections': service.connections,
        'max_queue': service.slots,
        'service_ms': service.service_ms,
        'spread': 0.3,
        'cold_factor': 3.0,
        'cold_s': 5.0,
        'seed': seed,
    }
    parts = [_toml_table('[standin]', options)]
    parts += [
        _toml_table('[[standin.onward]]', dataclasses.asdict(call))
        for call in service.onward
    ]
    return '\n'.join(parts)


def _note_file(site: _Site) -> str:
    parts = ['number = 1\n']
    for name, rate in site.workspaces.items():
        entries: dict[str, typing.Any] = {'name': name, 'rate': rate}
        entries['burst'] = int(rate * _BURST_S)
        parts.append(_toml_table('[[added.workspaces]]', entries))
    for name in site.workspaces:
        digest = hashlib.sha256(_example_key(site, name).encode()).hexdigest()
        entries = {'id': f'{name}-1', 'workspace': name, 'digest': digest}
        parts.append(_toml_table('[[added.keys]]', entries))
    for route in site.routes:
        entries = {
            'name': route.name,
            'path_prefix': route.path_prefix,
            'methods': route.methods,
            'service': route.service,
            'priority': route.priority,
            'idempotent': route.is_idempotent,
            'open': route.is_open,
            'attempts': 2 * route.dispatch_attempts,
            'dispatch_attempts': route.dispatch_attempts,
            'timeout_ms': route.timeout_ms,
        }
        parts.append(_toml_table('[[added.routes]]', entries))
    for name, service, _, _ in _list_upstreams(site):
        entries = {
            'name': name,
            'service': service.name,
            'max_slots': service.slots,
        }
        parts.append(_toml_table('[[added.upstreams]]', entries))
    return '\n'.join(parts)


def _load_file(site: _Site) -> str:
    """Return a load scenario with each workspace below its rate."""
    targets = [
        f'{host}:{_CALLER_PORT}' for _, _, host, _ in _list_upstreams(site)
    ]
    parts = [
        f'targets = {_toml_value(targets)}\nconnections = 16\n',
        _toml_table('[[phases]]', {'name': 'normal', 'seconds': 10.0}),
    ]
    routes = [route for route in site.routes if not route.is_open]
    for index, (name, rate) in enumerate(site.workspaces.items()):
        route = routes[index % len(routes)]
        entries = {
            'name': f'{name} {route.name}',
            'workspace': name,
            'key': _example_key(site, name),
            'path': route.path_prefix,
            'method': route.methods[-1],
            'body_bytes': 200,
            'has_operation': not route.is_idempotent,
            'deadline_ms': route.timeout_ms,
            'rates': [rate * _LOAD_SHARE],
        }
        parts.append(_toml_table('[[loads]]', entries))
    return '\n'.join(parts)


def files(site: _Site) -> dict[str, str]:
    """Return the contents of the files of a site by file name."""
    contents = {
        'fleet.secret': f'{site.name}-example-secret-of-the-fleet\n',
        'keys.toml': _toml_table(
            '[keys]',
            {
                f'{name}-1': _example_key(site, name)
                for name in site.workspaces
            },
        ),
        'note-1.toml': _note_file(site),
        'load.toml': _load_file(site),
    }
    for seed, (name, service, host, zone) in enumerate(
        _list_upstreams(site), 1
    ):
        contents[f'node-{name}.toml'] = _node_file(
            site, name, service, host, zone
        )
        contents[f'standin-{name}.toml'] = _standin_file(service, host, seed)
    for slot in range(1, _CONTROL_SLOT_COUNT + 1):
        contents[f'control-{slot}.toml'] = _control_file(site, slot)
    return contents


def main() -> None:
    """Write the files of all sites."""
    for site in SITES:
        folder = _FOLDER / site.name
        folder.mkdir(exist_ok=True)
        for name, text in files(site).items():
            (folder / name).write_text(text, 'utf-8')


if __name__ == '__main__':
    main()
