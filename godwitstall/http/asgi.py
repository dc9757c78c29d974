"""Serves an ASGI application with http.listener.

The application gets the whole body of a request at once, and its response is
sent when it is complete. It gets no lifespan events.

Example:
    listener = http_listener.Listener({'127.0.0.1:8080': asgi.handler(app)})
"""

import asyncio
import dataclasses
import typing
import urllib.parse

from godwitstall.http import messages as http_messages

# Headers that the listener adds.
_LISTENER_HEADERS = frozenset((b'connection', b'content-length'))

Event = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class _Exchange:
    """One request as the application receives it, and its response."""

    request: http_messages.Request
    response: http_messages.Response
    is_received: bool = False

    async def receive(self) -> Event:
        """Return the body; further calls wait until the client has left."""
        if self.is_received:
            # The listener cancels the task when the client leaves.
            await asyncio.get_running_loop().create_future()
        self.is_received = True
        return {
            'type': 'http.request',
            'body': bytes(self.request.body),
            'more_body': False,
        }

    async def send(self, event: Event) -> None:
        """Add an event of the application to the response."""
        if event['type'] == 'http.response.start':
            self.response.status = event['status']
            self.response.headers = [
                (name, value)
                for name, value in event.get('headers', ())
                if name.lower() not in _LISTENER_HEADERS
            ]
        else:
            self.response.body += event.get('body', b'')


def handler(app: typing.Any) -> http_messages.Handler:
    """Return a handler that serves an ASGI application."""

    async def serve(request: http_messages.Request) -> http_messages.Response:
        exchange = _Exchange(request, http_messages.Response(500))
        await app(_scope(request), exchange.receive, exchange.send)
        return exchange.response

    return serve


def _scope(request: http_messages.Request) -> Event:
    path, _, query = request.target.partition('?')
    return {
        'type': 'http',
        'asgi': {'version': '3.0', 'spec_version': '2.3'},
        'http_version': '1.1',
        'method': request.method,
        'scheme': 'http',
        'path': urllib.parse.unquote(path),
        'raw_path': path.encode(),
        'query_string': query.encode(),
        'root_path': '',
        'headers': request.headers,
        'client': None,
        'server': None,
    }
