"""Routes by host: longest prefix and weighted services."""

import typing

import hypothesis
from hypothesis import strategies

from godwitstall import messages
from godwitstall.routing import hosts

_HOSTS = strategies.sampled_from(['a', 'b'])
_PATHS = strategies.text('xy/', max_size=6).map(lambda text: '/' + text)


def _route(name: str, host: str, prefix: str) -> messages.Route:
    return messages.Route(name=name, host=host, path_prefix=prefix)


def _scan_routes(
    routes: list[messages.Route], host: str, path: str
) -> messages.Route | None:
    matches = [
        route
        for route in routes
        if route.host == host and path.startswith(route.path_prefix)
    ]
    return max(matches, key=lambda r: len(r.path_prefix), default=None)


@hypothesis.given(
    host_prefixes=strategies.lists(
        strategies.tuples(_HOSTS, _PATHS), unique=True, max_size=8
    ),
    host=_HOSTS,
    path=_PATHS,
)
def test_match_against_scan(
    host_prefixes: list[tuple[str, str]], host: str, path: str
) -> None:
    """Guards against a shorter prefix that hides a longer one."""
    routes = [
        _route(f'r{i}', *host_prefix)
        for i, host_prefix in enumerate(host_prefixes)
    ]
    table = hosts.HostTable(routes)
    assert table.match(host, path) == _scan_routes(routes, host, path)


def test_host_is_compared_without_port_and_case() -> None:
    """Guards against a valid request that matches no route."""
    route = _route('r', 'shop.example', '/')
    table = hosts.HostTable([route])
    assert table.match('Shop.Example:8080', '/x') is route
    assert table.match('other.example', '/x') is None


def test_services_share_by_weight() -> None:
    """Guards against a share of requests that differs from the weight."""
    targets = [
        messages.Target(messages.ServiceName('old'), 90.0),
        messages.Target(messages.ServiceName('new'), 10.0),
        messages.Target(messages.ServiceName('off'), 0.0),
    ]
    route = messages.Route(name='r', host='a', targets=targets)
    table = hosts.HostTable([route])
    chosen = [
        table.choose_service(route, point / 1000) for point in range(1000)
    ]
    assert chosen.count(messages.ServiceName('old')) == 900
    assert chosen.count(messages.ServiceName('new')) == 100


def test_match_costs_the_same_with_many_routes() -> None:
    """Guards against a scan over all routes of a host for each request.

    Load pattern: a configuration that grows by hundreds of routes.
    """
    operations: list[str] = []

    class Path(str):
        def startswith(self, *args: typing.Any) -> bool:
            operations.append('startswith')
            return super().startswith(*args)

        def __getitem__(self, key: typing.Any) -> str:
            operations.append('slice')
            return super().__getitem__(key)

    routes = [_route(f'r{n}', 'a', f'/part-{n:04}/') for n in range(500)]
    table = hosts.HostTable([*routes, _route('all', 'a', '/')])
    assert table.match('a', Path('/part-0499/x')) is routes[499]
    assert table.match('a', Path('/none/x')) is not None
    assert len(operations) < 10
