"""Routes by path prefix, compiled for fast matches.

A match takes one dictionary look-up for each path segment, whatever the
number of routes. The longest prefix on whole segments decides, and only then
the method: a request never falls back to a shorter prefix, because the
shorter one may be an open route.

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
        # By prefix without the last slash, then by method; '' means any.
        self._routes: dict[str, dict[str, messages.Route]] = {}
        # Most segments of a prefix.
        self._depth = 0
        for route in routes:
            prefix = route.path_prefix.rstrip('/')
            self._depth = max(self._depth, prefix.count('/'))
            by_method = self._routes.setdefault(prefix, {})
            for method in route.methods or ['']:
                by_method.setdefault(method, route)

    def match(self, method: str, path: str) -> messages.Route | None:
        """Return the route of a request, or None.

        path comes without the query. A path that an upstream could read as
        another one matches nothing: with empty or dot segments, a backslash,
        or an encoded slash. Other encoded characters are decoded first, so
        that '/p%61y' does not pass by the route '/pay'.
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
        depth = self._depth + 1
        prefix = '/'.join(path.split('/', depth)[:depth])
        if prefix[-1:] == '/':
            prefix = prefix[:-1]
        routes = self._routes
        while prefix not in routes:
            if not prefix:
                return None
            prefix = prefix[: prefix.rindex('/')]
        by_method = routes[prefix]
        return by_method.get(method) or by_method.get('')
