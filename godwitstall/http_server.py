"""Runs ASGI applications on uvicorn in the event loop of the process.

The request listeners and the admin application of a process share one server.
uvicorn uses the standard asyncio loop, and the program handles signals.

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

_OVERSIZED_HEADERS = metrics.counter(
    'headers_too_large_total', 'Connections closed for oversized headers.'
)

# Method, version and separators, which do not count towards the limit.
_REQUEST_LINE_OVERHEAD_BYTES = 1024

# Connections that the kernel queues until the event loop accepts them.
_BACKLOG = 2048

# Idle time after which the connection of a caller is closed.
_KEEP_ALIVE_TIMEOUT_S = 75


def _error_response(kind: errors.ErrorKind) -> bytes:
    """Return the response to a request that reaches no application."""
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
    """Return whether a request with these headers has a body."""
    return any(
        name == b'transfer-encoding'
        or (name == b'content-length' and value != b'0')
        for name, value in headers
    )


class _RejectedError(Exception):
    """Stops the parser after an error response."""


class _HeaderLimitProtocol(httptools_impl.HttpToolsProtocol):
    """Limits the size of headers and rejects invalid requests.

    httptools has no limit on headers.
    """

    max_header_bytes: typing.ClassVar[int] = 32 * 1024

    def connection_made(self, transport: typing.Any) -> None:
        # Size of the path, the complete header lines and the trailers.
        self.header_bytes = 0
        # Bytes received since the last complete header or body part.
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
        # A trailer must not be treated as a header, because servers earlier
        # on the path have not validated it.
        if self.is_in_headers:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if self.header_bytes > self.max_header_bytes:
            self._reject(errors.ErrorKind.HEADERS_TOO_LARGE)
            raise _RejectedError()
        if self.parser.get_http_version() not in ('1.0', '1.1'):
            self._reject(errors.ErrorKind.BAD_REQUEST)
            raise _RejectedError()
        # The parser stops after the headers of an upgrade request, so its body
        # would be lost and no further request is read. The server supports no
        # other protocol.
        is_upgrade = self.parser.should_upgrade()
        if is_upgrade and _has_body(self.headers):
            self._reject(errors.ErrorKind.BAD_REQUEST)
            raise _RejectedError()
        self.is_in_headers = False
        super().on_headers_complete()
        if is_upgrade:
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
        # The parser reports a header line only when it is complete. An
        # incomplete line is limited here, or it could fill the memory.
        self.unparsed_bytes += len(data)
        super().data_received(data)
        if (
            self.header_bytes > self.max_header_bytes
            or self.unparsed_bytes
            > self.max_header_bytes + _REQUEST_LINE_OVERHEAD_BYTES
        ):
            self._reject(errors.ErrorKind.HEADERS_TOO_LARGE)

    def send_400_response(self, msg: str) -> None:
        self._reject(errors.ErrorKind.BAD_REQUEST)

    def _reject(self, kind: errors.ErrorKind) -> None:
        if self.transport.is_closing():
            return
        if kind is errors.ErrorKind.HEADERS_TOO_LARGE:
            _OVERSIZED_HEADERS.inc()
        if self._can_send_error():
            self.transport.write(_error_response(kind))
        self.transport.close()

    def _can_send_error(self) -> bool:
        """Return whether an error response would match its request.

        While an earlier request is running, the client would take the error
        for the response to that request, and the outcome 'not-run' would be
        false.
        """
        if self.cycle is None or self.cycle.response_complete:
            return True
        return (
            not self.pipeline
            and self.cycle.more_body
            and not self.cycle.response_started
        )


class _ServerWithoutSignals(uvicorn.Server):
    """A server without signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        yield


class HttpServer:
    """A server for all HTTP listeners of a process.

    Requests are dispatched to applications by local address. A process has a
    single server because uvicorn wakes up ten times a second for each one.
    """

    def __init__(
        self,
        apps: dict[str, typing.Any],
        max_header_bytes: int = 32 * 1024,
    ) -> None:
        # Keyed by 'host:port'.
        self.apps = apps
        # Keyed by the local address of a connection, or by the port alone for
        # listeners on all addresses of the VM.
        self.apps_by_local_address: dict[tuple[str, int], typing.Any] = {}
        self.apps_by_port: dict[int, typing.Any] = {}
        self.sockets: list[socket.socket] = []
        self.protocol_class: typing.Any = type(
            'HeaderLimitProtocol',
            (_HeaderLimitProtocol,),
            {'max_header_bytes': max_header_bytes},
        )
        config = uvicorn.Config(
            self._dispatch,
            loop='asyncio',
            interface='asgi3',
            proxy_headers=False,
            http=self.protocol_class,
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=_BACKLOG,
            timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
        )
        self.server = _ServerWithoutSignals(config)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on all addresses; return once connections are accepted.

        Errors: OSError when an address is not available.
        """
        for address, app in self.apps.items():
            listening_socket = _bind(address)
            self.sockets.append(listening_socket)
            host, port = listening_socket.getsockname()[:2]
            if ipaddress.ip_address(host).is_unspecified:
                self.apps_by_port[port] = app
            else:
                self.apps_by_local_address[host, port] = app
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
        app = self.apps_by_local_address.get(scope['server'])
        if app is None:
            app = self.apps_by_port[scope['server'][1]]
        await app(scope, receive, send)

    def is_accepting(self, address: str) -> bool:
        """Return whether the listener of an address accepts connections."""
        index = list(self.apps).index(address)
        return self.server.servers[index].is_serving()

    async def stop_accepting(self, address: str) -> None:
        """Close the listener of an address, not its connections."""
        index = list(self.apps).index(address)
        # Closing the socket resets the connections in its backlog, so they are
        # accepted first, without an await in between.
        pending_sockets = []
        with contextlib.suppress(BlockingIOError):
            while True:
                pending_sockets.append(self.sockets[index].accept()[0])
        self.server.servers[index].close()
        loop = asyncio.get_running_loop()
        for pending_socket in pending_sockets:
            await loop.connect_accepted_socket(
                self._create_protocol, pending_socket
            )

    def _create_protocol(self) -> asyncio.Protocol:
        protocol: asyncio.Protocol = self.protocol_class(
            config=self.server.config,
            server_state=self.server.server_state,
            app_state=self.server.lifespan.state,
        )
        return protocol

    async def stop(self, timeout_s: float) -> None:
        """Stop listening, finish the running requests, and close."""
        if self.task is None:
            return
        self.server.config.timeout_graceful_shutdown = int(timeout_s) or 1
        self.server.should_exit = True
        await self.task
        for listening_socket in self.sockets:
            listening_socket.close()


def _bind(address: str) -> socket.socket:
    host, port = link.split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio disables Nagle's algorithm only on sockets created with
    # IPPROTO_TCP. The algorithm delays the body of a response by 40 ms, until
    # the delayed ACK of the peer.
    listening_socket = socket.socket(
        family, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening_socket.bind((host, port))
    except OSError as e:
        listening_socket.close()
        raise OSError(f'Cannot listen on {address}: {e.strerror}.') from e
    return listening_socket
