"""Routes by host: longest prefix and shares of the services."""

import typing

import hypothesis
from hypothesis import strategies

from godwitstall import messages
from godwitstall.routing import hosts

_HOSTS = strategies.sampled_from(['a', 'b'])
_PATHS = strategies.text('xy/', max_size=6).map(lambda text: '/' + text)


def _route(name: str, host: str, prefix: str) -> messages.Route:
    return messages.Route(name=name, host=host, path_prefix=prefix)


def _naive(
    routes: list[messages.Route], host: str, path: str
) -> messages.Route | None:
    found = [
        route
        for route in routes
        if route.host == host and path.startswith(route.path_prefix)
    ]
    return max(found, key=lambda r: len(r.path_prefix), default=None)


@hypothesis.given(
    places=strategies.lists(
        strategies.tuples(_HOSTS, _PATHS), unique=True, max_size=8
    ),
    host=_HOSTS,
    path=_PATHS,
)
def test_match_is_that_of_the_naive_table(
    places: list[tuple[str, str]], host: str, path: str
) -> None:
    """Guards against a shorter prefix that hides a longer one."""
    routes = [
        _route(f'r{number}', *place) for number, place in enumerate(places)
    ]
    table = hosts.HostTable(routes)
    assert table.match(host, path) == _naive(routes, host, path)


def test_host_is_compared_without_port_and_case() -> None:
    """Guards against a proper request that gets 404."""
    route = _route('r', 'shop.example', '/')
    table = hosts.HostTable([route])
    assert table.match('Shop.Example:8080', '/x') is route
    assert table.match('other.example', '/x') is None


def test_services_share_by_weight() -> None:
    """Guards against a part that gets more or less than its weight."""
    targets = [
        messages.Target(messages.ServiceName('old'), 90.0),
        messages.Target(messages.ServiceName('new'), 10.0),
        messages.Target(messages.ServiceName('off'), 0.0),
    ]
    route = messages.Route(name='r', host='a', targets=targets)
    table = hosts.HostTable([route])
    chosen = [table.choose(route, point / 1000) for point in range(1000)]
    assert chosen.count(messages.ServiceName('old')) == 900
    assert chosen.count(messages.ServiceName('new')) == 100


def test_match_costs_the_same_with_many_routes() -> None:
    """Guards against a path that is compared with each route of a host.

    The pattern is a configuration that grows by hundreds of routes.
    """
    looked_up: list[str] = []

    class Path(str):
        def startswith(self, *args: typing.Any) -> bool:
            looked_up.append('startswith')
            return super().startswith(*args)

        def __getitem__(self, key: typing.Any) -> str:
            looked_up.append('part')
            return super().__getitem__(key)

    routes = [_route(f'r{n}', 'a', f'/part-{n:04}/') for n in range(500)]
    table = hosts.HostTable([*routes, _route('all', 'a', '/')])
    assert table.match('a', Path('/part-0499/x')) is routes[499]
    assert table.match('a', Path('/none/x')) is not None
    assert len(looked_up) < 10
