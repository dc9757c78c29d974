"""Routes by path prefix, indexed for fast matching.

A match takes one dictionary lookup per path segment, regardless of the number
of routes. The longest prefix of whole segments is selected first, and only
then the method. A request never falls back to a shorter prefix, because the
shorter prefix may belong to an open route.

Example: RouteTable([Route('r', '/wool')]).match('GET', '/wool/7').name == 'r'
"""

import collections.abc
import urllib.parse

from godwitstall import messages


class RouteTable:
    """All routes of one configuration."""

    def __init__(
        self, routes: collections.abc.Iterable[messages.Route]
    ) -> None:
        # Routes by prefix without its trailing slash, then by method; the
        # empty string matches any method.
        self._routes: dict[str, dict[str, messages.Route]] = {}
        # Largest number of segments in a prefix.
        self._max_segments = 0
        for route in routes:
            prefix = route.path_prefix.rstrip('/')
            self._max_segments = max(self._max_segments, prefix.count('/'))
            by_method = self._routes.setdefault(prefix, {})
            for method in route.methods or ['']:
                by_method.setdefault(method, route)

    def match(self, method: str, path: str) -> messages.Route | None:
        """Return the route of a request, or None.

        path excludes the query. A path that an upstream could interpret as a
        different path matches no route: one with empty or dot segments, a
        backslash, or an encoded slash. Other encoded characters are decoded
        first, so that '/p%61y' cannot bypass the route '/pay'.
        """
        if path[:1] != '/':
            return None
        if '%' in path:
            slashes = path.count('/')
            path = urllib.parse.unquote(path)
            if path.count('/') != slashes:
                return None
        if '//' in path or '\\' in path:
            return None
        if '/.' in path and not {'.', '..'}.isdisjoint(path.split('/')):
            return None
        part_count = self._max_segments + 1
        prefix = '/'.join(path.split('/', part_count)[:part_count])
        if prefix[-1:] == '/':
            prefix = prefix[:-1]
        routes = self._routes
        while prefix not in routes:
            if not prefix:
                return None
            prefix = prefix[: prefix.rindex('/')]
        by_method = routes[prefix]
        return by_method.get(method) or by_method.get('')
