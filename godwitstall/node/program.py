"""godwitstall-node: the process beside each upstream.

Joins the parts of a node, watches for a planned stop and serves the admin
listener. Run it as: godwitstall-node --settings node.toml
"""

import asyncio
import gc
import signal
import sys
import typing

from absl import flags

from godwitstall import admin
from godwitstall import clock
from godwitstall import command_line
from godwitstall import event_loop
from godwitstall import http_server
from godwitstall import logs
from godwitstall.node import entry
from godwitstall.node import parts
from godwitstall import settings

_LOG = logs.get('node')

_PROGRAM = 'godwitstall-node'
_USAGE = """Usage: godwitstall-node --settings FILE

Runs the node beside an upstream until SIGTERM or SIGINT, then stops as
planned: it leaves the members and finishes the requests that it has.

  --settings FILE  Settings file with the tables [fleet] and [node], TOML.

Exit codes: 0 stopped as planned, 1 failed, 2 wrong settings or usage."""

_FLAGS = command_line.new_flags()
_SETTINGS = flags.DEFINE_string('settings', None, 'Settings file.', _FLAGS)

# A connection that was accepted just before the listener closed still has
# this long for its request, seconds.
_LAST_REQUEST_S = 0.5

_POLL_S = 0.02


class Node(parts.Parts):
    """A node whose callers use the godwitstall-* headers."""

    def __init__(
        self, options: settings.NodeOptions, fleet: settings.FleetOptions
    ) -> None:
        super().__init__(options, fleet)
        self.entry = entry.Entry(
            options,
            self.view,
            self.session,
            self.allowance,
            self.contexts,
            self.upstream,
            self.relay,
        )
        admin_app = admin.create_app(self.dump, self.is_healthy)
        apps: dict[str, typing.Any] = {
            options.caller_address: self.entry.caller_app,
            options.upstream_address: self.entry.upstream_app,
            options.admin_address: admin_app,
        }
        if options.metrics_address:
            apps[options.metrics_address] = admin_app
        self.server = http_server.HttpServer(apps, options.max_header_bytes)

    @classmethod
    def from_config(
        cls, options: settings.NodeOptions, fleet: settings.FleetOptions
    ) -> 'Node':
        """Return a node for checked settings."""
        return cls(options, fleet)

    def is_healthy(self) -> bool:
        """Return whether the node serves calls."""
        return self.session.is_fresh(clock.now())

    async def start(self) -> None:
        """Start all listeners and tasks."""
        await self.server.start()
        await self.start_parts()

    async def stop(self) -> None:
        """Planned stop: no request is cut.

        Other nodes may send work until their lease of the state before the
        leave has ended, so the node serves for one lease more.
        """
        _LOG.info('Node %s is stopping.', self.options.node_id)
        self.entry.is_stopping = True
        await self.settle()
        end = clock.now() + self.options.planned_stop_s()
        # Callers that keep calling must not use up the time of the requests
        # that run; from here on they find no listener and go elsewhere.
        await self.server.stop_accepting(self.options.caller_address)
        last_request = clock.now() + _LAST_REQUEST_S
        while clock.now() < end and (
            self._is_busy() or clock.now() < last_request
        ):
            await asyncio.sleep(_POLL_S)
        await self.server.stop(max(1.0, end - clock.now()))
        await self.stop_parts()

    def _is_busy(self) -> bool:
        return bool(
            self.owner.active or self.entry.active or self.contexts.running
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole state for the admin listener; holds no key."""
        return self.dump_parts() | {
            'is_stopping': self.entry.is_stopping,
            'active': self.entry.active,
        }


async def run(
    options: settings.NodeOptions, fleet: settings.FleetOptions
) -> None:
    """Run a node until SIGTERM or SIGINT."""
    node = Node.from_config(options, fleet)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop_wanted.set)
    await node.start()
    # Modules and parts live as long as the process; a full collection that
    # looks at them again stops every call for 34 ms.
    gc.collect()
    gc.freeze()
    await node.stop_wanted.wait()
    await node.stop()


def main() -> None:
    """Entry point of the console script."""
    words = command_line.parse(_PROGRAM, _USAGE, _FLAGS, sys.argv)
    if words:
        command_line.exit_with_usage_error(
            _PROGRAM, f'unexpected argument {words[0]!r}'
        )
    fleet, options, log_options = command_line.load_settings(
        _PROGRAM, _SETTINGS.value, settings.NodeOptions
    )
    logs.setup(log_options.level, log_options.parts)
    try:
        event_loop.run(run(options, fleet))
    except OSError as e:
        print(f'{_PROGRAM}: {e}', file=sys.stderr)
        sys.exit(1)


if __name__ == '__main__':
    main()
