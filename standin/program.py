"""Runs a stand-in, which drains and exits on SIGTERM.

Example: python -m standin --settings examples/teifi/standin-siop-1.toml
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import signal
import sys
import typing

from absl import app as absl_app
from absl import flags

from godwitstall import clock
from godwitstall import errors
from godwitstall import logs
from loadtool import http_client
from loadtool import tables
from standin import app
from standin import asgi_server
from standin import options as standin_options

_log = logs.get('standin')

# Time to finish sending responses when the server stops, seconds.
_STOP_TIMEOUT_S = 2.0

# Interval between checks for active calls while draining, seconds.
_IDLE_POLL_S = 0.02

_SETTINGS = flags.DEFINE_string(
    'settings', None, 'TOML file with the table [standin].'
)
_ONWARD = flags.DEFINE_multi_string(
    'onward', [], 'Onward calls, "PATH" or "PATH*COUNT".'
)
_BEHAVIOUR = flags.DEFINE_string(
    'behaviour', None, 'Initial behaviour, a JSON object.'
)
_FLAG_DEFINERS = {
    str: flags.DEFINE_string,
    int: flags.DEFINE_integer,
    float: flags.DEFINE_float,
}
_OPTION_FLAGS = {
    field.name: typing.cast(typing.Any, _FLAG_DEFINERS[field.type])(
        field.name, None, 'See standin/options.py.'
    )
    for field in dataclasses.fields(standin_options.StandinOptions)
    if isinstance(field.type, type) and field.type in _FLAG_DEFINERS
}


class Program:
    """A stand-in with its listener and announcements."""

    def __init__(self, options: standin_options.StandinOptions) -> None:
        self.options = options
        # The start time increases with each restart and needs no stored state.
        self.standin = app.Standin(options, incarnation=clock.wall_ms())
        self.server = asgi_server.AsgiServer(options.address, self.standin)
        self.announce_client = (
            http_client.Client(options.node_address, max_connections=1)
            if options.node_address
            else None
        )
        self.tasks: list[asyncio.Task[None]] = []
        # Makes the next announcement immediate.
        self.announce_requested = asyncio.Event()

    async def start(self) -> None:
        """Start the listener and the announcements."""
        await self.server.start()
        self.standin.count_connections = self.server.count_connections
        self.tasks.append(asyncio.create_task(self.standin.sample_load()))
        if self.announce_client is not None:
            self.tasks.append(
                asyncio.create_task(self._announce_periodically())
            )
        _log.info('Listening on %s.', self.options.address)

    async def drain(self) -> None:
        """Announce draining and wait until no call is active."""
        self.standin.drain()
        self.announce_requested.set()
        _log.info('Draining.')
        now = clock.now()
        earliest = now + self.options.drain_min_s
        latest = now + self.options.drain_max_s
        while clock.now() < earliest or not self.standin.is_idle():
            if clock.now() >= latest:
                _log.warning('Stopping with active calls.')
                return
            await asyncio.sleep(_IDLE_POLL_S)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.server.stop(_STOP_TIMEOUT_S)
        for client in (self.announce_client, self.standin.node_client):
            if client is not None:
                client.close()
        self.standin.oracle.close()

    async def _announce_periodically(self) -> None:
        assert self.announce_client is not None
        while True:
            if self.standin.behaviour.is_announcing:
                body = json.dumps(self.standin.announcement()).encode()
                try:
                    response = await self.announce_client.request(
                        'POST',
                        '/announce',
                        [('content-type', 'application/json')],
                        body,
                        self.options.announce_s,
                    )
                    if response.status >= 300:
                        _log.warning(
                            'Announcement was rejected with status %d.',
                            response.status,
                        )
                except http_client.CallError as e:
                    _log.info('Announcement failed: %s.', e.reason)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.options.announce_s):
                    await self.announce_requested.wait()
            self.announce_requested.clear()


def options_from_flags() -> standin_options.StandinOptions:
    """Return the options of the settings file, overridden by flags.

    Errors: SettingsError with one line for each problem found.
    """
    table: dict[str, typing.Any] = {
        name: flag.value
        for name, flag in _OPTION_FLAGS.items()
        if flag.value is not None
    }
    if _ONWARD.value:
        table['onward'] = [_parse_onward(text) for text in _ONWARD.value]
    if _BEHAVIOUR.value:
        try:
            table['behaviour'] = json.loads(_BEHAVIOUR.value)
        except ValueError as e:
            raise errors.SettingsError(
                [f'flags: behaviour: is not valid JSON: {e}']
            ) from e
    if not _SETTINGS.value:
        return tables.fill(standin_options.StandinOptions, table, 'flags: ')
    options = tables.load(
        pathlib.Path(_SETTINGS.value),
        'standin',
        standin_options.StandinOptions,
    )
    return tables.replace(options, table)


def _parse_onward(text: str) -> dict[str, typing.Any]:
    path, _, count = text.partition('*')
    if count and not count.isdecimal():
        raise errors.SettingsError(
            [f'flags: onward: invalid count in {text!r}']
        )
    return {'path': path, 'count': int(count or '1')}


async def run(options: standin_options.StandinOptions) -> None:
    """Run a stand-in until SIGTERM or SIGINT, then drain and stop it."""
    program = Program(options)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await program.start()
    await stop_requested.wait()
    await program.drain()
    await program.stop()


def _main(_: list[str]) -> int:
    logs.setup('INFO', {})
    try:
        options = options_from_flags()
    except errors.SettingsError as e:
        print(e, file=sys.stderr)
        return 2
    asyncio.run(run(options))
    return 0


def main() -> None:
    """Run the command-line program."""
    absl_app.run(_main)
