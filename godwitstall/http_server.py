"""Runs an ASGI application on uvicorn inside the process's own event loop.

The request listeners and the admin application share this. uvicorn runs on
the standard asyncio loop; signals stay with the program.

Example:
    server = http_server.HttpServer({'127.0.0.1:8080': app})
    await server.start()
    await server.stop(timeout_s=30.0)
"""

import asyncio
import collections.abc
import contextlib
import http
import ipaddress
import json
import socket
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl

from godwitstall import errors
from godwitstall import link
from godwitstall import metrics

_HEADERS_REFUSED = metrics.counter(
    'headers_too_large_total', 'Connections closed for oversized headers.'
)

# Method, version and separators, which do not count as headers.
_FRAMING_BYTES = 1024

# Requests that wait in the kernel while the loop is busy.
_BACKLOG = 2048

# Idle connections of callers are kept this long, seconds.
_KEEP_ALIVE_S = 75


def _refusal(kind: errors.ErrorKind) -> bytes:
    """Return the whole answer to a request that gets to no application."""
    rule = errors.ANSWERS[kind]
    body = json.dumps(
        {
            'error': kind.label,
            'outcome': rule.outcome.label,
            'detail': rule.text,
            'retry_after_ms': 0,
        }
    )
    phrase = http.HTTPStatus(rule.status).phrase
    return (
        f'HTTP/1.1 {rule.status} {phrase}\r\n'
        f'connection: close\r\n'
        f'godwitstall-outcome: {rule.outcome.label}\r\n'
        f'godwitstall-error: {kind.label}\r\n'
        f'content-type: application/json\r\n'
        f'content-length: {len(body)}\r\n\r\n{body}'
    ).encode()


def _has_body(headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether a request with these headers brings a body."""
    return any(
        name == b'transfer-encoding'
        or (name == b'content-length' and value != b'0')
        for name, value in headers
    )


class _RefusedError(Exception):
    """Ends the parser: the request was refused already."""


class _BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Bounds headers, which the parser does not, and answers bad requests."""

    max_header_bytes: typing.ClassVar[int] = 32 * 1024

    def connection_made(self, transport: typing.Any) -> None:
        # Bytes of the path and of whole header lines; trailers count too.
        self.header_bytes = 0
        # Bytes received since the last whole piece of a header.
        self.unparsed_bytes = 0
        self.is_in_headers = False
        super().connection_made(transport)

    def on_message_begin(self) -> None:
        self.header_bytes = 0
        self.is_in_headers = True
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        self.header_bytes += len(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_bytes += len(name) + len(value)
        self.unparsed_bytes = 0
        # A trailer must not be taken for a header: whoever checked the
        # headers on the way did not see it.
        if self.is_in_headers:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if self.header_bytes > self.max_header_bytes:
            self._refuse(errors.ErrorKind.HEADERS_TOO_LARGE)
            raise _RefusedError()
        if self.parser.get_http_version() not in ('1.0', '1.1'):
            self._refuse(errors.ErrorKind.BAD_REQUEST)
            raise _RefusedError()
        # The parser reads nothing after the headers of a request that offers
        # another protocol: no body, which would be lost, and no further
        # request. No other protocol is taken here.
        is_last = self.parser.should_upgrade()
        if is_last and _has_body(self.headers):
            self._refuse(errors.ErrorKind.BAD_REQUEST)
            raise _RefusedError()
        self.is_in_headers = False
        super().on_headers_complete()
        if is_last:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        self.unparsed_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        self.unparsed_bytes = 0
        super().on_message_complete()

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        # The parser reports a header line only at its end, and a line
        # without an end must not fill the memory.
        self.unparsed_bytes += len(data)
        super().data_received(data)
        if (
            self.header_bytes > self.max_header_bytes
            or self.unparsed_bytes > self.max_header_bytes + _FRAMING_BYTES
        ):
            self._refuse(errors.ErrorKind.HEADERS_TOO_LARGE)

    def send_400_response(self, msg: str) -> None:
        self._refuse(errors.ErrorKind.BAD_REQUEST)

    def _refuse(self, kind: errors.ErrorKind) -> None:
        if self.transport.is_closing():
            return
        if kind is errors.ErrorKind.HEADERS_TOO_LARGE:
            _HEADERS_REFUSED.inc()
        if self._may_answer():
            self.transport.write(_refusal(kind))
        self.transport.close()

    def _may_answer(self) -> bool:
        """Return whether a refusal reaches the request that it is for.

        Behind a request that still runs it would be taken for the answer to
        that one, and would say falsely that it was not run.
        """
        if self.cycle is None or self.cycle.response_complete:
            return True
        return (
            not self.pipeline
            and self.cycle.more_body
            and not self.cycle.response_started
        )


class _QuietServer(uvicorn.Server):
    """A server that leaves signal handling to the program."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        yield


class HttpServer:
    """One server for all HTTP listeners of a process.

    uvicorn wakes up ten times a second for each server, so a process has
    only one; it gives each request to the application of the address that
    it came in at.
    """

    def __init__(
        self,
        apps: dict[str, typing.Any],
        max_header_bytes: int = 32 * 1024,
    ) -> None:
        # Applications by 'host:port'.
        self.apps = apps
        # The same by the address of a connection, and by the port alone for
        # listeners on all addresses of the VM.
        self.apps_by_address: dict[tuple[str, int], typing.Any] = {}
        self.apps_by_port: dict[int, typing.Any] = {}
        self.sockets: list[socket.socket] = []
        self.protocol: typing.Any = type(
            'BoundedProtocol',
            (_BoundedProtocol,),
            {'max_header_bytes': max_header_bytes},
        )
        config = uvicorn.Config(
            self._dispatch,
            loop='asyncio',
            interface='asgi3',
            proxy_headers=False,
            http=self.protocol,
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=_BACKLOG,
            timeout_keep_alive=_KEEP_ALIVE_S,
        )
        self.server = _QuietServer(config)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; returns when connections are accepted.

        Errors: OSError when the address cannot be used.
        """
        for address, app in self.apps.items():
            listener = _bind(address)
            self.sockets.append(listener)
            host, port = listener.getsockname()[:2]
            if ipaddress.ip_address(host).is_unspecified:
                self.apps_by_port[port] = app
            else:
                self.apps_by_address[host, port] = app
        self.task = asyncio.create_task(
            self.server.serve(sockets=self.sockets)
        )
        while not self.server.started:
            if self.task.done():
                self.task.result()
            await asyncio.sleep(0.01)

    async def _dispatch(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        app = self.apps_by_address.get(scope['server'])
        if app is None:
            app = self.apps_by_port[scope['server'][1]]
        await app(scope, receive, send)

    def is_accepting(self, address: str) -> bool:
        """Return whether the listener of an address takes connections."""
        place = list(self.apps).index(address)
        return self.server.servers[place].is_serving()

    async def stop_accepting(self, address: str) -> None:
        """Close the listener of an address; open connections stay."""
        place = list(self.apps).index(address)
        # Closing the listener resets the connections that wait in the kernel,
        # so they are taken in the same step.
        waiting = []
        with contextlib.suppress(BlockingIOError):
            while True:
                waiting.append(self.sockets[place].accept()[0])
        self.server.servers[place].close()
        loop = asyncio.get_running_loop()
        for connection in waiting:
            await loop.connect_accepted_socket(
                self._create_protocol, connection
            )

    def _create_protocol(self) -> asyncio.Protocol:
        protocol: asyncio.Protocol = self.protocol(
            config=self.server.config,
            server_state=self.server.server_state,
            app_state=self.server.lifespan.state,
        )
        return protocol

    async def stop(self, timeout_s: float) -> None:
        """Stop listening, let running requests end, close connections."""
        if self.task is None:
            return
        self.server.config.timeout_graceful_shutdown = int(timeout_s) or 1
        self.server.should_exit = True
        await self.task
        for listener in self.sockets:
            listener.close()


def _bind(address: str) -> socket.socket:
    host, port = link.split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio turns Nagle's algorithm off only on sockets that name TCP. With
    # it, the body of an answer waits 40 ms for the peer's delayed ACK.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as e:
        listener.close()
        raise OSError(f'Cannot listen on {address}: {e.strerror}.') from e
    return listener
