"""Routes by host and path prefix, with services that share the requests.

Among the routes of a host the one with the longest prefix that begins the
path decides. The path is compared byte by byte, as it was sent: an upstream
that gets it unchanged reads the same. A match takes a look-up for each length
that a prefix of the host has, whatever the number of routes.

Example: HostTable([Route('r', '/wool/', host='a')]).match('a', '/wool/7')
"""

import collections.abc
import itertools

from godwitstall import messages


class HostTable:
    """All routes of one configuration that name a host."""

    def __init__(
        self, routes: collections.abc.Iterable[messages.Route]
    ) -> None:
        # By host, then by prefix.
        self._by_host: dict[str, dict[str, messages.Route]] = {}
        # Lengths of the prefixes by host, the longest first.
        self._lengths: dict[str, list[int]] = {}
        # Running sums of the weights by route name.
        self._sums: dict[str, list[float]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix.setdefault(route.path_prefix, route)
            self._sums[route.name] = list(
                itertools.accumulate(t.weight for t in route.targets)
            )
        for host, by_prefix in self._by_host.items():
            self._lengths[host] = sorted(
                {len(prefix) for prefix in by_prefix}, reverse=True
            )

    def match(self, host: str, path: str) -> messages.Route | None:
        """Return the route of a request, or None.

        host is the Host header, with or without a port; path comes without
        the query.
        """
        name = _name_of(host)
        by_prefix = self._by_host.get(name)
        if by_prefix is None:
            return None
        for length in self._lengths[name]:
            route = by_prefix.get(path[:length])
            if route is not None:
                return route
        return None

    def choose(
        self, route: messages.Route, point: float
    ) -> messages.ServiceName:
        """Return the service for a request; point is from 0 up to 1."""
        sums = self._sums.get(route.name)
        if not sums or sums[-1] <= 0:
            return route.service
        wanted = point * sums[-1]
        for target, total in zip(route.targets, sums, strict=True):
            if wanted < total:
                return target.service
        return route.targets[-1].service


def _name_of(host: str) -> str:
    name, separator, port = host.rpartition(':')
    if separator and port.isdigit():
        host = name
    return host.lower()
