"""Helpers that run stand-ins in the event loop of a test."""

import collections.abc
import contextlib
import json
import socket
import typing

from loadtool import http_client
from standin import options as standin_options
from standin import program


def free_address() -> str:
    """Return an unused loopback address."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


@contextlib.asynccontextmanager
async def running_standin(
    **options: typing.Any,
) -> collections.abc.AsyncGenerator[program.Program, None]:
    """Run a stand-in with a default service time of 0."""
    defaults: dict[str, typing.Any] = {
        'service': 'siop',
        'address': free_address(),
        'service_ms': 0.0,
    }
    standin_program = program.Program(
        standin_options.StandinOptions(**defaults | options)
    )
    await standin_program.start()
    try:
        yield standin_program
    finally:
        await standin_program.stop()


async def fetch(
    address: str, method: str, path: str, json_body: typing.Any = None
) -> typing.Any:
    """Send a request with a JSON body and return the JSON response."""
    client = http_client.Client(address, max_connections=1)
    body = b'' if json_body is None else json.dumps(json_body).encode()
    try:
        response = await client.request(method, path, [], body, timeout_s=10)
    finally:
        client.close()
    return json.loads(response.body)
