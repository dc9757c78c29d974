"""Routes by host and path prefix, with services that share the requests.

Among the routes of a host the one with the longest prefix that begins the
path decides. The path is compared byte by byte, as it was sent: an upstream
that gets it unchanged reads the same.

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
        # By host, the longest prefix first.
        self._by_host: dict[str, list[messages.Route]] = {}
        # Running sums of the weights by route name.
        self._sums: dict[str, list[float]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
            self._sums[route.name] = list(
                itertools.accumulate(t.weight for t in route.targets)
            )
        for found in self._by_host.values():
            found.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host: str, path: str) -> messages.Route | None:
        """Return the route of a request, or None.

        host is the Host header, with or without a port; path comes without
        the query.
        """
        for route in self._by_host.get(_name_of(host), ()):
            if path.startswith(route.path_prefix):
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
