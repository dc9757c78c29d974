"""Entries with odd numbers and texts, as another writer may send them.

Each is refused with an error that names the field, and the entries before
stay in force.
"""

import asyncio
import copy
import json
import typing

from adapter import control as control_adapter
from adapter import instances
from adapter import manifest
import hypothesis
from hypothesis import strategies
import pytest

from godwitstall import codec
from godwitstall.http import messages as http_messages
from godwitstall import messages
from tests.platform import harnesses

_Content = dict[str, typing.Any]

# A number that no field of a message holds, and no float.
_HUGE = 10**400
_ODD_NUMBERS = [_HUGE, 2**63, 1e18, 1e300, -1, float('nan'), float('inf')]
_ODD_DURATIONS = ['1' + '0' * 400 + 'ms', '4294967296ms', '5000000s']
# A text that no message holds.
_LONE_SURROGATE = '/\ud800'

_MANIFEST: _Content = {
    'version': 7,
    'baseVersion': 5,
    'routes': {
        'r': {
            'host': 'a.example',
            'pathPrefix': '/a/',
            'kind': 'idempotent',
            'timeout': '6000ms',
            'targetLatency': '1500ms',
            'priority': 2,
            'weightedClusters': [{'service': 'siop', 'weight': 90}],
            'maxAttempts': 2,
        }
    },
    'services': {'siop': {'healthPath': '/h', 'maxConnections': 622}},
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 67108864,
        'headerTimeout': '3000ms',
        'idleTimeout': '15s',
    },
    'tenants': {'shop': {'apiKeys': ['k1'], 'ratePerS': 72, 'burst': 70}},
}
_Path = tuple[str | int, ...]
_NUMBERS: list[_Path] = [
    ('version',),
    ('baseVersion',),
    ('routes', 'r', 'priority'),
    ('routes', 'r', 'maxAttempts'),
    ('routes', 'r', 'weightedClusters', 0, 'weight'),
    ('services', 'siop', 'maxConnections'),
    ('services', 'siop', 'coldPerS'),
    ('limits', 'maxHeaderBytes'),
    ('limits', 'maxBodyBytes'),
    ('tenants', 'shop', 'ratePerS'),
    ('tenants', 'shop', 'burst'),
]
_DURATIONS: list[_Path] = [
    ('routes', 'r', 'timeout'),
    ('routes', 'r', 'targetLatency'),
    ('services', 'siop', 'coldStart'),
    ('limits', 'headerTimeout'),
    ('limits', 'idleTimeout'),
]
_TEXTS: list[_Path] = [
    ('routes', 'r', 'host'),
    ('routes', 'r', 'pathPrefix'),
    ('services', 'siop', 'healthPath'),
    ('tenants', 'shop', 'apiKeys', 0),
]


def _replaced(content: _Content, path: _Path, value: object) -> bytes:
    """Return the content as JSON with another value at a path."""
    changed: typing.Any = copy.deepcopy(content)
    entry = changed
    for name in path[:-1]:
        entry = entry[name]
    entry[path[-1]] = value
    return json.dumps(changed).encode()


@pytest.mark.parametrize('number', _ODD_NUMBERS)
@pytest.mark.parametrize('field', ['sequence', 'born', 'concurrency'])
def test_odd_number_in_a_heartbeat_names_its_field(
    field: str, number: object
) -> None:
    """Guards against a heartbeat that makes its node fail with a 500."""
    body = _replaced(harnesses.HEARTBEAT, (field,), number)
    with pytest.raises(ValueError, match=field):
        instances.parse('i-1', body, 9)


@pytest.mark.parametrize('port', ['0', '65536', '-1', '9' * 400, '9' * 5000])
def test_port_out_of_range_names_its_field(port: str) -> None:
    """Guards against an upstream with a port that cannot be connected to."""
    body = _replaced(harnesses.HEARTBEAT, ('address',), f'127.0.0.1:{port}')
    with pytest.raises(ValueError, match='address'):
        instances.parse('i-1', body, 9)


@pytest.mark.parametrize('depth', [500, 100_000])
@pytest.mark.parametrize('field', ['born', 'version', 'other'])
def test_deeply_nested_heartbeat_changes_nothing(
    harness: harnesses.Harness, field: str, depth: int
) -> None:
    """Guards against a nested value that ends or disables a node."""
    assert harness.heartbeat('i-1') == 200
    body = json.dumps(harnesses.HEARTBEAT | {field: 'nested'})
    nested = body.replace('"nested"', '[' * depth + ']' * depth)
    status = harness.call(
        '/-/rpc?call=instances.heartbeat&of=i-1', nested.encode()
    )
    assert status == 200 if (field, depth) == ('other', 500) else 400
    assert harness.node.upstream.state is messages.UpstreamState.READY


def test_manifest_of_these_tests_is_valid() -> None:
    """Guards against tests that pass since the manifest is always refused."""
    parsed = manifest.parse(json.dumps(_MANIFEST).encode())
    assert parsed.configuration.routes[0].timeout_ms == 6000


@pytest.mark.parametrize('number', _ODD_NUMBERS)
@pytest.mark.parametrize('path', _NUMBERS, ids=lambda path: path[-1])
def test_odd_number_in_a_manifest_names_its_field(
    path: _Path, number: object
) -> None:
    """Guards against a manifest that makes control fail with a 500."""
    body = _replaced(_MANIFEST, path, number)
    with pytest.raises(manifest.InvalidManifestError, match=str(path[-1])):
        manifest.parse(body)


@pytest.mark.parametrize('text', _ODD_DURATIONS)
@pytest.mark.parametrize('path', _DURATIONS, ids=lambda path: path[-1])
def test_odd_duration_in_a_manifest_names_its_field(
    path: _Path, text: str
) -> None:
    """Guards against a duration that no field of a message holds."""
    body = _replaced(_MANIFEST, path, text)
    with pytest.raises(manifest.InvalidManifestError, match=str(path[-1])):
        manifest.parse(body)


@pytest.mark.parametrize('path', _TEXTS, ids=lambda path: str(path[-2:]))
def test_lone_surrogate_in_a_text_names_its_field(path: _Path) -> None:
    """Guards against a text that cannot be written to a message."""
    field = str(path[-1] or path[-2])
    body = _replaced(_MANIFEST, path, _LONE_SURROGATE + 'a-secret')
    with pytest.raises(manifest.InvalidManifestError, match=field) as raised:
        manifest.parse(body)
    # A key is not repeated in errors and logs.
    assert 'a-secret' not in str(raised.value)


@pytest.mark.parametrize('table', ['routes', 'services', 'tenants'])
def test_lone_surrogate_in_a_name_is_refused(table: str) -> None:
    """Guards against a name that cannot be written to a message or a log."""
    content = copy.deepcopy(_MANIFEST)
    entry = next(iter(content[table].values()))
    content[table] = {_LONE_SURROGATE: entry} | content[table]
    with pytest.raises(manifest.InvalidManifestError, match=table) as raised:
        manifest.parse(json.dumps(content).encode())
    assert str(raised.value).isascii()


_ODD_VALUES: strategies.SearchStrategy[object] = strategies.sampled_from(
    [
        *_ODD_NUMBERS,
        *_ODD_DURATIONS,
        _LONE_SURROGATE,
        2**31,
        2**32,
        4e9,
        0,
        0.1,
        True,
        None,
        '',
        [],
        {},
        [_LONE_SURROGATE],
        {_LONE_SURROGATE: {}},
    ]
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    changes=strategies.dictionaries(
        strategies.sampled_from(
            [*_NUMBERS, *_DURATIONS, *_TEXTS, ('routes',), ('tenants',)]
        ),
        _ODD_VALUES,
        min_size=1,
        max_size=2,
    )
)
def test_accepted_manifest_can_be_recorded(
    changes: dict[_Path, object],
) -> None:
    """Guards against a manifest that is valid but fits no message."""
    content: typing.Any = copy.deepcopy(_MANIFEST)
    for path, value in sorted(changes.items(), key=lambda item: -len(item[0])):
        entry = content
        for name in path[:-1]:
            entry = entry[name]
        entry[path[-1]] = value
    try:
        parsed = manifest.parse(json.dumps(content).encode())
    except manifest.InvalidManifestError as e:
        str(e).encode()
        return
    command = messages.ReplaceConfiguration(configuration=parsed.configuration)
    assert codec.decode(codec.encode(command)) == command


@pytest.mark.parametrize(
    'body',
    [
        b'[' * 100_000,
        b'{"version": ' + b'9' * 5000 + b'}',
        _replaced(_MANIFEST, ('limits', 'maxBodyBytes'), _HUGE),
        _replaced(_MANIFEST, _TEXTS[-1], _LONE_SURROGATE),
        json.dumps({'routes': {_LONE_SURROGATE: 7}}).encode(),
    ],
)
def test_odd_manifest_is_answered_with_400(
    body: bytes,
) -> None:
    """Guards against an order that is answered with 500 and sent again."""
    service: typing.Any = None
    adapter = control_adapter.OperatorApi(service)
    request = http_messages.Request(
        'POST', '/-/rpc?call=configuration.replace', [], body, 0.0
    )
    response = asyncio.run(adapter.serve(request))
    assert response.status == 400
    assert response.body
