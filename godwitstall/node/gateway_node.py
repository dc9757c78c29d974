"""A node whose callers reach it by the conventions of their own mesh.

The entry is the gateway; a readiness address tells whether callers should
come. What else the mesh asks of a node, such as the announcements of its
upstream, comes as further HTTP handlers.
"""

import asyncio
import typing

from godwitstall import clock
from godwitstall import http_listener
from godwitstall import logs
from godwitstall import metrics_endpoint
from godwitstall.node import dialect as dialect_module
from godwitstall.node import gateway
from godwitstall.node import parts
from godwitstall.node import stewardship
from godwitstall.node import upstream_client
from godwitstall.rates import local_share
from godwitstall import settings

_LOG = logs.get('node')

_POLL_S = 0.02

# Time for requests that came at the end of a planned stop, seconds.
_LAST_ANSWERS_S = 0.2

# Time without any request after which a stopping node ends, seconds.
_QUIET_S = 0.3


class GatewayNode(parts.Parts):
    """A node with a gateway; made by from_config()."""

    def __init__(
        self,
        options: settings.NodeOptions,
        fleet: settings.FleetOptions,
        names: dialect_module.Dialect,
    ) -> None:
        framing = upstream_client.Framing(names.attempt_id, True)
        super().__init__(options, fleet, names, framing)
        self.gateway = gateway.Gateway(
            options,
            names,
            self.view,
            self.session,
            self.allowance,
            self.contexts,
            self.relay,
        )
        self.listener = http_listener.Listener(
            {options.caller_address: self.gateway.serve}
        )
        if options.metrics_address:
            self.listener.handlers[options.metrics_address] = (
                metrics_endpoint.serve
            )
        self.is_stopping = False
        self.allowance.share = local_share.LocalShare()
        self.stewardship = stewardship.Stewardship(
            options.node_id,
            self.view,
            self.forwarder,
            self.allowance,
            self.allowance.share,
        )
        self.allowance.take_elsewhere = self.stewardship.take
        self.peers.on_take = self.stewardship.on_take

    @classmethod
    def from_config(
        cls,
        options: settings.NodeOptions,
        fleet: settings.FleetOptions,
        names: dialect_module.Dialect,
    ) -> 'GatewayNode':
        """Return a node for checked settings."""
        return cls(options, fleet, names)

    def _on_view_change(self) -> None:
        super()._on_view_change()
        self.stewardship.on_view_change()
        limits = self.view.limits
        held = self.listener.limits
        held.max_header_bytes = limits.max_header_bytes or (
            self.options.max_header_bytes
        )
        held.max_body_bytes = min(
            limits.max_body_bytes or self.options.max_body_bytes,
            self.options.max_body_bytes,
        )
        if limits.header_timeout_ms:
            held.header_timeout_s = limits.header_timeout_ms / 1000
        if limits.idle_timeout_ms:
            held.idle_timeout_s = limits.idle_timeout_ms / 1000

    def is_ready(self) -> bool:
        """Return whether callers should come to this node."""
        return not self.is_stopping and self.view.number > 0

    async def start(self) -> None:
        """Start all listeners and tasks."""
        await self.listener.start()
        await self.start_parts()

    async def stop(self) -> None:
        """Planned stop: callers go elsewhere, and no request is cut.

        Callers are told by the readiness address and find a listener until
        they have noticed. The node ends when nothing runs any more, or when
        the time of the planned stop is over.
        """
        _LOG.info('Node %s is stopping.', self.options.node_id)
        end = clock.now() + self.options.planned_stop_s()
        self.is_stopping = True
        await self.settle()
        self.listener.is_stopping = True
        quiet_since = clock.now()
        while clock.now() < end:
            if self.listener.active_requests or self.owner.active:
                quiet_since = clock.now()
            if clock.now() - quiet_since > _QUIET_S:
                break
            await asyncio.sleep(_POLL_S)
        # What was accepted in the last moment is answered too.
        await self.listener.close_gracefully(
            max(end - clock.now(), _LAST_ANSWERS_S)
        )
        await self.stop_parts()

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole state; holds no key."""
        return self.dump_parts() | {
            'is_stopping': self.is_stopping,
            'active': self.listener.active_requests,
        }
