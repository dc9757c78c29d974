"""The platform's manifest: what it means here, and what is refused."""

import collections.abc
import json
import typing

from adapter import manifest
import hypothesis
from hypothesis import strategies
import pytest

from godwitstall import messages

_Content = dict[str, typing.Any]


def _content() -> _Content:
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
            'siop': {'healthPath': '/healthz', 'maxConnections': 622},
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


def _parse(content: _Content) -> manifest.Manifest:
    return manifest.parse(json.dumps(content).encode())


def test_whole_manifest() -> None:
    """Guards against a field that is read as another one."""
    parsed = _parse(_content())
    assert (parsed.base, parsed.number) == (5, 7)
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


def test_rate_without_burst_leaves_tokens_to_grant() -> None:
    """Guards against a workspace that is refused within its rate."""
    content = _content()
    content['tenants']['shed']['ratePerS'] = 9
    shed = _parse(content).configuration.workspaces[1]
    assert (shed.rate, shed.burst) == (9, 5)


def _set(*path: str, to: typing.Any) -> collections.abc.Callable[..., None]:
    def change(content: _Content) -> None:
        place = content
        for name in path[:-1]:
            place = place[name]
        place[path[-1]] = to

    return change


_ROUTE = ('routes', 'r-a')
_CHANGES = {
    'unknown service': _set(
        *_ROUTE, 'weightedClusters', to=[{'service': 'none', 'weight': 1}]
    ),
    'weight below zero': _set(
        *_ROUTE, 'weightedClusters', to=[{'service': 'siop', 'weight': -1}]
    ),
    'no timeout': _set(*_ROUTE, 'timeout', to='0ms'),
    'timeout without unit': _set(*_ROUTE, 'timeout', to=6000),
    'latency a minute above': _set(*_ROUTE, 'targetLatency', to='66000ms'),
    'no host': _set(*_ROUTE, 'host', to=''),
    'odd kind': _set(*_ROUTE, 'kind', to='sometimes'),
    'kind of another type': _set(*_ROUTE, 'kind', to=[]),
    'shared key': _set('tenants', 'shed', 'apiKeys', to=['k1']),
    'no number': _set('version', to='7'),
    'routes of another type': _set('routes', to=[]),
    'rate below zero': _set('tenants', 'shop', 'ratePerS', to=-1),
}


@pytest.mark.parametrize('name', _CHANGES)
def test_invalid_manifest_is_refused(name: str) -> None:
    """Guards against an invalid manifest that is put in force."""
    content = _content()
    _CHANGES[name](content)
    with pytest.raises(manifest.InvalidError):
        _parse(content)


@hypothesis.given(data=strategies.data())
def test_cut_manifest_is_refused(data: strategies.DataObject) -> None:
    """Guards against a manifest that was not received whole."""
    body = json.dumps(_content()).encode()
    end = data.draw(strategies.integers(0, len(body) - 1))
    with pytest.raises(manifest.InvalidError):
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
    """Guards against an unhandled exception on the operator's port."""
    content = _content()
    place: typing.Any = content
    while isinstance(place, dict) and place:
        name = data.draw(strategies.sampled_from(sorted(place)))
        if not isinstance(place[name], dict) or data.draw(
            strategies.booleans()
        ):
            place[name] = data.draw(_JSON)
            break
        place = place[name]
    try:
        _parse(content)
    except manifest.InvalidError:
        pass
