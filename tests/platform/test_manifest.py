"""Parsing and validation of the platform's manifest."""

import collections.abc
import json
import typing

from adapter import manifest
import hypothesis
from hypothesis import strategies
import pytest

from godwitstall import messages

_Manifest = dict[str, typing.Any]


def _make_manifest() -> _Manifest:
    return {
        'version': 7,
        'baseVersion': 5,
        'routes': {
            'r-a': {
                'host': 'Shop.example',
                'pathPrefix': '/orders/',
                'kind': 'download',
                'timeout': '6000ms',
                'targetLatency': '1.5s',
                'priority': 2,
                'weightedClusters': [
                    {'service': 'siop', 'weight': 90},
                    {'service': 'gwydd', 'weight': 10},
                ],
                'maxAttempts': 2,
                'public': False,
            },
            'r-b': {
                'host': 'book.example',
                'pathPrefix': '/',
                'kind': 'non_idempotent',
                'timeout': '800ms',
                'targetLatency': '1500ms',
                'priority': 0,
                'service': 'gwydd',
                'maxAttempts': 3,
                'public': True,
            },
        },
        'services': {
            'siop': {
                'healthPath': '/healthz',
                'maxConnections': 622,
                'coldStart': '3s',
                'coldPerS': 6.5,
            },
            'gwydd': {'healthPath': '/healthz', 'maxConnections': 214},
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15s',
        },
        'tenants': {
            'shop': {
                'apiKeys': ['k1', 'k2'],
                'priority': 1,
                'ratePerS': 72,
                'burst': 70,
            },
            'shed': {'apiKeys': ['k3']},
        },
    }


def _parse(content: _Manifest) -> manifest.Manifest:
    return manifest.parse(json.dumps(content).encode())


def test_whole_manifest() -> None:
    """Guards against a manifest field that sets the wrong attribute."""
    parsed = _parse(_make_manifest())
    assert (parsed.base_number, parsed.number) == (5, 7)
    first, second = parsed.configuration.routes
    assert (first.host, first.path_prefix) == ('shop.example', '/orders/')
    assert first.is_idempotent and not first.is_open
    assert (first.timeout_ms, first.target_latency_ms) == (6000, 1500)
    assert [t.weight for t in first.targets] == [90, 10]
    assert first.attempts == 2
    assert not second.is_idempotent and second.is_open
    assert second.service == 'gwydd' and not second.targets
    assert second.priority is messages.Priority.PAYMENT
    shop, shed = parsed.configuration.workspaces
    assert (shop.rate, shop.burst, shop.rank) == (72, 70, 1)
    assert (shed.rate, shed.rank) == (0, -1)
    assert len(parsed.configuration.keys) == 3
    assert parsed.configuration.limits.idle_timeout_ms == 15_000
    siop, gwydd = parsed.configuration.services
    assert (siop.cold_start_ms, siop.cold_per_s) == (3000, 6.5)
    assert (gwydd.cold_start_ms, gwydd.cold_per_s) == (0, 0.0)


def test_uploads_are_not_repeated() -> None:
    """Guards against a rejected kind, and against uploads that run twice."""
    content = _make_manifest()
    content['routes']['r-a']['kind'] = 'upload'
    assert not _parse(content).configuration.routes[0].is_idempotent


def test_rate_without_burst_leaves_tokens_to_grant() -> None:
    """Guards against rejected requests of a workspace within its rate."""
    content = _make_manifest()
    content['tenants']['shed']['ratePerS'] = 9
    shed = _parse(content).configuration.workspaces[1]
    assert (shed.rate, shed.burst) == (9, 5)


def _set_field(
    *path: str, to: typing.Any
) -> collections.abc.Callable[..., None]:
    def change(content: _Manifest) -> None:
        parent = content
        for name in path[:-1]:
            parent = parent[name]
        parent[path[-1]] = to

    return change


_ROUTE = ('routes', 'r-a')
_INVALID_CHANGES = {
    'unknown service': _set_field(
        *_ROUTE, 'weightedClusters', to=[{'service': 'none', 'weight': 1}]
    ),
    'negative weight': _set_field(
        *_ROUTE, 'weightedClusters', to=[{'service': 'siop', 'weight': -1}]
    ),
    'no timeout': _set_field(*_ROUTE, 'timeout', to='0ms'),
    'timeout without unit': _set_field(*_ROUTE, 'timeout', to=6000),
    'latency a minute above timeout': _set_field(
        *_ROUTE, 'targetLatency', to='66000ms'
    ),
    'no host': _set_field(*_ROUTE, 'host', to=''),
    'unknown kind': _set_field(*_ROUTE, 'kind', to='sometimes'),
    'kind of another type': _set_field(*_ROUTE, 'kind', to=[]),
    'shared key': _set_field('tenants', 'shed', 'apiKeys', to=['k1']),
    'version of another type': _set_field('version', to='7'),
    'routes of another type': _set_field('routes', to=[]),
    'negative rate': _set_field('tenants', 'shop', 'ratePerS', to=-1),
}


@pytest.mark.parametrize('name', _INVALID_CHANGES)
def test_invalid_manifest_is_refused(name: str) -> None:
    """Guards against an invalid manifest that takes effect."""
    content = _make_manifest()
    _INVALID_CHANGES[name](content)
    with pytest.raises(manifest.InvalidManifestError):
        _parse(content)


@hypothesis.given(data=strategies.data())
def test_cut_manifest_is_refused(data: strategies.DataObject) -> None:
    """Guards against a truncated manifest that is accepted."""
    body = json.dumps(_make_manifest()).encode()
    end = data.draw(strategies.integers(0, len(body) - 1))
    with pytest.raises(manifest.InvalidManifestError):
        manifest.parse(body[:end])


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=6,
)


@hypothesis.given(data=strategies.data())
def test_fields_of_other_types_give_a_clear_error(
    data: strategies.DataObject,
) -> None:
    """Guards against an unhandled exception in the operator API."""
    content = _make_manifest()
    parent: typing.Any = content
    while isinstance(parent, dict) and parent:
        name = data.draw(strategies.sampled_from(sorted(parent)))
        if not isinstance(parent[name], dict) or data.draw(
            strategies.booleans()
        ):
            parent[name] = data.draw(_JSON)
            break
        parent = parent[name]
    try:
        _parse(content)
    except manifest.InvalidManifestError:
        pass
