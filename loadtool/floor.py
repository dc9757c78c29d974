"""Minimal HTTP server to measure the overhead of the load generator.

The server responds to each request with status 200 and two bytes, so the
latency and capacity measured against it are those of the generator.

Example:
    python -m loadtool.floor --listen 127.0.0.1:18090
    python -m loadtool --target 127.0.0.1:18090 --nocheck_digest --rate 1000
"""

import asyncio
import signal
import typing

from absl import app as absl_app
from absl import flags
import httptools

from godwitstall import link

_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


class _FloorProtocol(asyncio.Protocol):
    """Responds to each request when it is complete."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_complete(self) -> None:
        self.transport.write(_RESPONSE)


async def serve(address: str, stop_requested: asyncio.Event) -> None:
    """Serve requests on address until stop_requested is set."""
    host, port = link.split_address(address)
    server = await asyncio.get_running_loop().create_server(
        _FloorProtocol, host, port, backlog=1024
    )
    await stop_requested.wait()
    server.close()


async def _run(address: str) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await serve(address, stop_requested)


def _main(_: list[str]) -> None:
    asyncio.run(_run(_LISTEN.value))


if __name__ == '__main__':
    _LISTEN = flags.DEFINE_string(
        'listen', '127.0.0.1:18090', 'Listen address, host:port.'
    )
    absl_app.run(_main)
