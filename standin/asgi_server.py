"""Runs the ASGI application of a stand-in on uvicorn.

A stand-in sends malformed responses, which needs the transport of a uvicorn
connection. uvicorn uses the event loop and the signal handlers of the program.
"""

import asyncio
import collections.abc
import contextlib
import socket
import typing

import uvicorn

from godwitstall import link

# Connections that the kernel queues until the event loop accepts them.
_BACKLOG = 2048

# Idle time after which a connection is closed.
_KEEP_ALIVE_TIMEOUT_S = 75


class _ServerWithoutSignals(uvicorn.Server):
    """A server without signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        yield


class AsgiServer:
    """Serves an ASGI application at one address."""

    def __init__(self, address: str, app: typing.Any) -> None:
        self.address = address
        config = uvicorn.Config(
            app,
            loop='asyncio',
            interface='asgi3',
            proxy_headers=False,
            http='httptools',
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

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self.server.server_state.connections)

    async def start(self) -> None:
        """Listen on the address; return once connections are accepted.

        Errors: OSError when the address is not available.
        """
        self.task = asyncio.create_task(
            self.server.serve(sockets=[_bind(self.address)])
        )
        while not self.server.started:
            if self.task.done():
                self.task.result()
            await asyncio.sleep(0.01)

    async def stop(self, timeout_s: float) -> None:
        """Stop listening, finish the running requests, and close."""
        if self.task is None:
            return
        self.server.config.timeout_graceful_shutdown = int(timeout_s) or 1
        self.server.should_exit = True
        await self.task


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
    except OSError:
        listening_socket.close()
        raise
    return listening_socket
