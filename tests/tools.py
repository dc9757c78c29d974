"""Helpers that start stand-ins inside a test's own event loop."""

import collections.abc
import contextlib
import json
import socket
import typing

from loadtool import http_client
from standin import options as standin_options
from standin import program


def free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as holder:
        holder.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{holder.getsockname()[1]}'


@contextlib.asynccontextmanager
async def running_standin(
    **options: typing.Any,
) -> collections.abc.AsyncGenerator[program.Program, None]:
    """Run a stand-in with a service time of 0 unless options say more."""
    table: dict[str, typing.Any] = {
        'service': 'siop',
        'address': free_address(),
        'service_ms': 0.0,
    }
    stand = program.Program(standin_options.StandinOptions(**table | options))
    await stand.start()
    try:
        yield stand
    finally:
        await stand.stop()


async def fetch(
    address: str, method: str, path: str, content: typing.Any = None
) -> typing.Any:
    """Return the JSON content of one answer; content is sent as JSON."""
    client = http_client.Client(address, max_connections=1)
    body = b'' if content is None else json.dumps(content).encode()
    try:
        answer = await client.request(method, path, [], body, timeout_s=10)
    finally:
        client.close()
    return json.loads(answer.body)
