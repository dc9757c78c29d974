"""Runs an ASGI application on uvicorn inside the process's own event loop.

The request listeners and the admin application share this. uvicorn runs on
the standard asyncio loop; signals stay with the program.

Example:
    server = http_server.HttpServer(app, '127.0.0.1:8080')
    await server.start()
    await server.stop(timeout_s=30.0)
"""

import asyncio
import collections.abc
import contextlib
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl

from godwitstall import link
from godwitstall import metrics

_HEADERS_REFUSED = metrics.counter(
    'headers_too_large_total', 'Connections closed for oversized headers.'
)

_HEADERS_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'connection: close\r\n'
    b'godwitstall-outcome: not-run\r\n'
    b'godwitstall-error: headers_too_large\r\n'
    b'content-length: 0\r\n\r\n'
)

# Requests that wait in the kernel while the loop is busy.
_BACKLOG = 2048

# Idle connections of callers are kept this long, seconds.
_KEEP_ALIVE_S = 75


class _BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Refuses headers above a bound; the httptools parser has none."""

    max_header_bytes: typing.ClassVar[int] = 32 * 1024

    def connection_made(self, transport: typing.Any) -> None:
        self.header_bytes = 0
        super().connection_made(transport)

    def on_message_begin(self) -> None:
        self.header_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        self.header_bytes += len(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_bytes += len(name) + len(value)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if self.header_bytes > self.max_header_bytes:
            self._refuse()
            return
        self.header_bytes = -1
        super().on_headers_complete()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self.header_bytes > self.max_header_bytes:
            self._refuse()

    def _refuse(self) -> None:
        if not self.transport.is_closing():
            _HEADERS_REFUSED.inc()
            self.transport.write(_HEADERS_TOO_LARGE)
            self.transport.close()


class _QuietServer(uvicorn.Server):
    """A server that leaves signal handling to the program."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        yield


class HttpServer:
    """One listener."""

    def __init__(
        self,
        app: typing.Any,
        address: str,
        max_header_bytes: int = 32 * 1024,
    ) -> None:
        host, port = link.split_address(address)
        protocol = type(
            'BoundedProtocol',
            (_BoundedProtocol,),
            {'max_header_bytes': max_header_bytes},
        )
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            loop='asyncio',
            interface='asgi3',
            proxy_headers=False,
            http=protocol,
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
        self.task = asyncio.create_task(self._serve())
        while not self.server.started:
            if self.task.done():
                self.task.result()
                raise OSError(
                    f'Cannot listen on {self.server.config.host}:'
                    f'{self.server.config.port}.'
                )
            await asyncio.sleep(0.01)

    async def _serve(self) -> None:
        try:
            await self.server.serve()
        except SystemExit as e:
            # uvicorn ends the process when the address is taken.
            raise OSError(
                f'Cannot listen on {self.server.config.host}:'
                f'{self.server.config.port}.'
            ) from e

    async def stop_accepting(self) -> None:
        """Close the listening sockets; open connections stay."""
        # Connections that wait in the kernel would be reset; one turn of the
        # loop accepts them.
        await asyncio.sleep(0)
        for server in self.server.servers:
            server.close()

    async def stop(self, timeout_s: float) -> None:
        """Stop listening, let running requests end, close connections."""
        if self.task is None:
            return
        self.server.config.timeout_graceful_shutdown = int(timeout_s) or 1
        self.server.should_exit = True
        await self.task
