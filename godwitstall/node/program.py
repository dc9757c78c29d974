"""godwitstall-node: the process that runs beside each upstream.

Runs a node with its listeners until a signal requests a planned stop.

Usage: godwitstall-node --settings node.toml
"""

import asyncio
import gc
import sys
import typing

from absl import flags

from godwitstall import admin
from godwitstall import clock
from godwitstall import command_line
from godwitstall import event_loop
from godwitstall.http import asgi
from godwitstall.http import listener as http_listener
from godwitstall import logs
from godwitstall.node import base_node
from godwitstall.node.callers import entry
from godwitstall import settings
from godwitstall import signals

_LOG = logs.get('node')

_PROGRAM = 'godwitstall-node'
_USAGE = """Usage: godwitstall-node --settings FILE

Runs the node beside an upstream until SIGTERM or SIGINT. Then the node does a
planned stop: it leaves the member list and finishes all pending requests.

  --settings FILE  Settings file (TOML) with the tables [fleet] and [node].

Exit codes: 0 planned stop, 1 failure, 2 invalid settings or usage."""

_FLAGS = command_line.new_flags()
_SETTINGS = flags.DEFINE_string('settings', None, 'Settings file.', _FLAGS)

# Time for the request of a connection that was accepted just before the
# listener closed, seconds.
_LAST_REQUEST_WAIT_S = 0.5

# Interval at which a stopping node checks for running requests, seconds.
_POLL_INTERVAL_S = 0.02


class Node(base_node.BaseNode):
    """A node whose callers use the godwitstall-* headers."""

    def __init__(
        self, options: settings.NodeOptions, fleet: settings.FleetOptions
    ) -> None:
        super().__init__(options, fleet)
        self.entry = entry.Entry(
            options,
            self.view,
            self.session,
            self.admission,
            self.contexts,
            self.membership,
            self.upstream,
            self.relay,
        )
        serve_admin = asgi.handler(
            admin.create_app(self.dump, self.is_healthy)
        )
        self.listener = http_listener.Listener(
            {
                options.caller_address: self.entry.serve_caller,
                options.upstream_address: self.entry.serve_upstream,
                options.admin_address: serve_admin,
            },
            self.entry.respond_to_error,
            options.max_client_connections,
            self.budget,
        )
        if options.metrics_address:
            self.listener.handlers[options.metrics_address] = serve_admin
        limits = self.listener.limits
        limits.max_header_bytes = options.max_header_bytes
        limits.max_body_bytes = options.max_body_bytes
        # A call may depend on the effect of the one before it.
        limits.max_pipelined_requests = 1

    @classmethod
    def from_config(
        cls, options: settings.NodeOptions, fleet: settings.FleetOptions
    ) -> 'Node':
        """Return a node for validated settings."""
        return cls(options, fleet)

    def is_healthy(self) -> bool:
        """Return whether the node serves calls."""
        return self.session.has_lease(clock.now())

    async def start(self) -> None:
        """Start all listeners and tasks."""
        await self.listener.start()
        await self.start_components()

    async def stop(self) -> None:
        """Stop as planned.

        Other nodes may send calls until their lease on a state from before
        the leave expires, so this node serves calls for one more lease.
        Requests that are still running at the end get a response with an
        unknown outcome.
        """
        _LOG.info('Node %s is stopping.', self.options.node_id)
        self.stop_requested.set()
        self.listener.is_stopping = True
        deadline = (
            self.stop_requested.requested_at + self.options.planned_stop_s()
        )
        await self.leave_and_settle()
        if not self.options.stop_grace_s:
            # Without a SIGKILL, running calls get their whole time.
            deadline = clock.now() + self.options.planned_stop_s()
        self.owner.planned_stop.set_end(deadline)
        # New calls must not use up the time left for the running requests, so
        # new connections are refused and callers connect to another node.
        self.owner.planned_stop.is_accepting = False
        await self.listener.stop_accepting(self.options.caller_address)
        last_request_until = clock.now() + _LAST_REQUEST_WAIT_S
        while clock.now() < deadline and (
            self._is_busy() or clock.now() < last_request_until
        ):
            await asyncio.sleep(_POLL_INTERVAL_S)
        await self.listener.close_gracefully(max(deadline - clock.now(), 0.0))
        await self.finish_calls(deadline)
        await self.stop_components()

    def _is_busy(self) -> bool:
        return bool(
            self.owner.active
            or self.entry.active
            or self.contexts.running
            or self.membership.is_drain_unrecorded()
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener, without any key."""
        return self.dump_components() | {
            'is_stopping': self.listener.is_stopping,
            'active': self.entry.active,
        }


async def run(
    options: settings.NodeOptions, fleet: settings.FleetOptions
) -> None:
    """Run a node until SIGTERM or SIGINT."""
    node = Node.from_config(options, fleet)
    node.stop_requested = signals.stop_requested()
    await node.start()
    # Modules and components live as long as the process. Without the freeze a
    # full garbage collection scans them and stops all calls for 34 ms.
    gc.collect()
    gc.freeze()
    await node.stop_requested.wait()
    await node.stop()


def main() -> None:
    """Run the console script."""
    arguments = command_line.parse(_PROGRAM, _USAGE, _FLAGS, sys.argv)
    if arguments:
        command_line.exit_with_usage_error(
            _PROGRAM, f'unexpected argument {arguments[0]!r}'
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
