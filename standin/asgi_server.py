"""Runs the ASGI application of a stand-in on uvicorn.

A stand-in sends malformed responses, which needs the transport of a uvicorn
connection. uvicorn uses the event loop and the signal handlers of the program.
"""

import asyncio
import collections.abc
import contextlib
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
        host, port = link.split_address(address)
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
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

        uvicorn ends the process when the address is not available.
        """
        self.task = asyncio.create_task(self.server.serve())
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
