"""godwitstall-node: the process beside each upstream.

Joins the parts of a node, watches for a planned stop and serves the admin
listener. Run it as: godwitstall-node --settings node.toml
"""

import asyncio
import collections.abc
import gc
import random
import signal
import sys
import typing

from absl import flags

from godwitstall import admin
from godwitstall import clock
from godwitstall import command_line
from godwitstall import http_server
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall.node import claims
from godwitstall.node import context
from godwitstall.node import control_session
from godwitstall.node import crashes
from godwitstall.node import dispatch
from godwitstall.node import entry
from godwitstall.node import forward
from godwitstall.node import membership
from godwitstall.node import peer_server
from godwitstall.node import relay
from godwitstall.node import upstream as upstream_module
from godwitstall.rates import allowance as allowance_module
from godwitstall.routing import picker as picker_module
from godwitstall.routing import view as view_module
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

# Tokens live this long after their request was sent, seconds; the same as
# grant_lifetime_ms of control.
_TOKEN_LIFETIME_S = 1.0

# Time for outcomes on their way to control at a planned stop, seconds.
_RECORD_WAIT_S = 5.0

# A connection that was accepted just before the listener closed still has
# this long for its request, seconds.
_LAST_REQUEST_S = 0.5

_POLL_S = 0.02


class Node:
    """All parts of one node."""

    def __init__(
        self, options: settings.NodeOptions, fleet: settings.FleetOptions
    ) -> None:
        self.options = options
        identity = link_module.Identity(
            messages.Role.NODE, options.node_id, fleet.secret()
        )
        local_host, _ = link_module.split_address(options.link_address)
        self.view = view_module.View()
        self.allowance = allowance_module.Allowance(
            _TOKEN_LIFETIME_S, options.grant_wait_ms / 1000
        )
        self.session = control_session.ControlSession(
            options, fleet, identity, self.view, self.allowance
        )
        self.contexts = context.Contexts()
        self.membership = membership.Membership(
            options, self.view, self.session
        )
        self.upstream = upstream_module.Upstream(
            options, self.contexts, self.membership.on_upstream_change
        )
        self.membership.upstream = self.upstream
        self.claimer = claims.Claimer(options.node_id, self.session)
        self.owner = dispatch.Owner(
            options,
            self.view,
            self.upstream,
            self.contexts,
            self.claimer,
            crashes.CrashWatch(options.node_id, self.upstream, self.session),
        )
        self.forwarder = forward.Forwarder(identity, local_host)
        self.relay = relay.Relay(
            options,
            picker_module.Picker(self.view, options.zone, random.Random()),
            self.forwarder,
            self.owner,
        )
        self.entry = entry.Entry(
            options,
            self.view,
            self.session,
            self.allowance,
            self.contexts,
            self.upstream,
            self.relay,
        )
        self.peers = peer_server.PeerServer(identity, self.owner)
        self.server = http_server.HttpServer(
            {
                options.caller_address: self.entry.caller_app,
                options.upstream_address: self.entry.upstream_app,
                options.admin_address: admin.create_app(
                    self.dump, self.is_healthy
                ),
            },
            options.max_header_bytes,
        )
        self.tasks: list[asyncio.Task[None]] = []
        # Set by a signal, or when a task of the node has failed.
        self.stop_wanted = asyncio.Event()
        self.view.on_change.append(self._on_view_change)

    @classmethod
    def from_config(
        cls, options: settings.NodeOptions, fleet: settings.FleetOptions
    ) -> 'Node':
        """Return a node for checked settings."""
        return cls(options, fleet)

    def _on_view_change(self) -> None:
        self.forwarder.keep_only(
            {member.address for member in self.view.members.values()}
        )
        rule = self.view.upstream_rule(self.options.node_id)
        self.upstream.set_max_slots(rule.max_slots if rule else 0)

    def is_healthy(self) -> bool:
        """Return whether the node serves calls."""
        return self.session.is_fresh(clock.now())

    async def start(self) -> None:
        """Start all listeners and tasks."""
        await self.peers.listen(self.options.link_address)
        await self.server.start()
        for work in (
            self.session.run(),
            self.upstream.run(),
            self.owner.run(),
            self.membership.run(),
        ):
            self.tasks.append(asyncio.create_task(self._guard(work)))
        _LOG.info('Node %s started.', self.options.node_id)

    async def _guard(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Run a task that must not end by itself."""
        try:
            await work
        except Exception:
            _LOG.exception('A task failed; the node stops.')
            self.stop_wanted.set()

    async def stop(self) -> None:
        """Planned stop: no request is cut.

        Other nodes may send work until their lease of the state before the
        leave has ended, so the node serves for one lease more.
        """
        _LOG.info('Node %s is stopping.', self.options.node_id)
        self.entry.is_stopping = True
        await self.membership.leave()
        await asyncio.sleep(self.options.lease_s)
        end = clock.now() + self.options.stop_timeout_s
        # Callers that keep calling must not use up the time of the requests
        # that run; from here on they find no listener and go elsewhere.
        await self.server.stop_accepting(self.options.caller_address)
        last_request = clock.now() + _LAST_REQUEST_S
        while clock.now() < end and (
            self._is_busy() or clock.now() < last_request
        ):
            await asyncio.sleep(_POLL_S)
        await self.server.stop(max(1.0, end - clock.now()))
        await self.claimer.drain(_RECORD_WAIT_S)
        self.peers.close_links()
        self.forwarder.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        _LOG.info('Node %s stopped.', self.options.node_id)

    def _is_busy(self) -> bool:
        return bool(
            self.owner.active or self.entry.active or self.contexts.running
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole state for the admin listener; holds no key."""
        return {
            'node_id': self.options.node_id,
            'zone': self.options.zone,
            'service': self.options.service,
            'is_stopping': self.entry.is_stopping,
            'active': self.entry.active,
            'session': self.session.dump(),
            'upstream': self.upstream.dump(),
            'owner': self.owner.dump(),
            'relay': self.relay.dump(),
            'members': {
                node_id: {
                    'service': member.service,
                    'zone': member.zone,
                    'address': member.address,
                    'state': member.state.name.lower(),
                    'is_drained': member.is_drained,
                }
                for node_id, member in self.view.members.items()
            },
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
        command_line.fail(_PROGRAM, f'unexpected argument {words[0]!r}')
    fleet, options, log_options = command_line.load_settings(
        _PROGRAM, _SETTINGS.value, settings.NodeOptions
    )
    logs.setup(log_options.level, log_options.parts)
    try:
        asyncio.run(run(options, fleet))
    except OSError as e:
        print(f'{_PROGRAM}: {e}', file=sys.stderr)
        sys.exit(1)


if __name__ == '__main__':
    main()
