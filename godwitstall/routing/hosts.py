"""Routes by host and path prefix, with weighted target services.

Among the routes of a host, the one with the longest prefix that matches the
start of the path is selected. The path is compared byte by byte, as it was
sent, because the upstream receives it unchanged and interprets the same bytes.
A match takes at most one lookup per distinct prefix length of the host,
regardless of the number of routes.

Example: HostTable([Route('r', '/wool/', host='a')]).match('a', '/wool/7')
"""

import collections.abc
import itertools

from godwitstall import messages


class HostTable:
    """All routes of one configuration that specify a host."""

    def __init__(
        self, routes: collections.abc.Iterable[messages.Route]
    ) -> None:
        # Routes by host and prefix.
        self._routes_by_host: dict[str, dict[str, messages.Route]] = {}
        # Distinct prefix lengths by host, in descending order.
        self._prefix_lengths: dict[str, list[int]] = {}
        # Cumulative target weights by route name.
        self._cumulative_weights: dict[str, list[float]] = {}
        for route in routes:
            by_prefix = self._routes_by_host.setdefault(route.host, {})
            by_prefix.setdefault(route.path_prefix, route)
            self._cumulative_weights[route.name] = list(
                itertools.accumulate(t.weight for t in route.targets)
            )
        for host, by_prefix in self._routes_by_host.items():
            self._prefix_lengths[host] = sorted(
                {len(prefix) for prefix in by_prefix}, reverse=True
            )

    def match(self, host: str, path: str) -> messages.Route | None:
        """Return the route of a request, or None.

        host is the Host header, with or without a port; path excludes the
        query.
        """
        name = _host_name(host)
        by_prefix = self._routes_by_host.get(name)
        if by_prefix is None:
            return None
        for length in self._prefix_lengths[name]:
            route = by_prefix.get(path[:length])
            if route is not None:
                return route
        return None

    def choose_service(
        self, route: messages.Route, draw: float
    ) -> messages.ServiceName:
        """Return the service for a request.

        draw is a uniform random number from 0 up to 1.
        """
        cumulative_weights = self._cumulative_weights.get(route.name)
        if not cumulative_weights or cumulative_weights[-1] <= 0:
            return route.service
        threshold = draw * cumulative_weights[-1]
        for target, cumulative_weight in zip(
            route.targets, cumulative_weights, strict=True
        ):
            if threshold < cumulative_weight:
                return target.service
        return route.targets[-1].service


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(':')
    if colon and port.isdigit():
        host = name
    return host.lower()
