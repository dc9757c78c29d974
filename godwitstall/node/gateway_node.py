"""A node that serves callers by the HTTP conventions of their mesh.

The gateway serves the callers; is_ready() is for a readiness endpoint. Other
endpoints that the mesh requires, such as the one for upstream announcements,
are added as HTTP handlers.
"""

import asyncio
import typing

from godwitstall import clock
from godwitstall import decisions
from godwitstall.http import listener as http_listener
from godwitstall.http import metrics_endpoint
from godwitstall import logs
from godwitstall.node import base_node
from godwitstall.node.callers import chain_admission
from godwitstall.node.callers import gateway
from godwitstall.node import dialect as dialect_module
from godwitstall.node.peers import stewardship
from godwitstall.node.upstreams import upstream_answer
from godwitstall.rates import local_share
from godwitstall import settings

_LOG = logs.get('node')

_POLL_INTERVAL_S = 0.02

# Time without any request after which a stopping node exits, seconds.
_IDLE_BEFORE_EXIT_S = 0.3


class GatewayNode(base_node.BaseNode):
    """A node with a gateway; created by from_config()."""

    def __init__(
        self,
        options: settings.NodeOptions,
        fleet: settings.FleetOptions,
        dialect: dialect_module.Dialect,
    ) -> None:
        framing = upstream_answer.Framing(dialect.attempt_id, True)
        super().__init__(options, fleet, dialect, framing)
        self.chain_admission = chain_admission.ChainAdmission.from_config(
            self.rooms, options.admits_by_chain_room
        )
        self.gateway = gateway.Gateway(
            options,
            dialect,
            self.view,
            self.session,
            self.admission,
            self.contexts,
            self.relay,
            self.chain_admission,
        )
        self.listener = http_listener.Listener(
            {options.caller_address: self.gateway.serve},
            self.gateway.respond_to_error,
            options.max_client_connections,
            self.budget,
        )
        if options.metrics_address:
            self.listener.handlers[options.metrics_address] = (
                metrics_endpoint.serve
            )
        self.allowance.share = local_share.LocalShare()
        self.stewardship = stewardship.Stewardship(
            options.node_id,
            self.view,
            self.forwarder,
            self.allowance,
            self.allowance.share,
        )
        self.allowance.take_fallback = self.stewardship.take
        self.peer_server.on_take = self.stewardship.on_take

    @classmethod
    def from_config(
        cls,
        options: settings.NodeOptions,
        fleet: settings.FleetOptions,
        dialect: dialect_module.Dialect,
    ) -> 'GatewayNode':
        """Return a node for validated settings."""
        return cls(options, fleet, dialect)

    def _on_view_change(self) -> None:
        super()._on_view_change()
        self.stewardship.on_view_change()
        limits = self.view.limits
        listener_limits = self.listener.limits
        listener_limits.max_header_bytes = limits.max_header_bytes or (
            self.options.max_header_bytes
        )
        listener_limits.max_body_bytes = min(
            limits.max_body_bytes or self.options.max_body_bytes,
            self.options.max_body_bytes,
        )
        if limits.header_timeout_ms:
            listener_limits.header_timeout_s = limits.header_timeout_ms / 1000
        if limits.idle_timeout_ms:
            listener_limits.idle_timeout_s = limits.idle_timeout_ms / 1000

    def is_ready(self) -> bool:
        """Return whether callers should send requests to this node."""
        return not self.stop_requested.is_requested() and self.view.number > 0

    async def start(self) -> None:
        """Start all listeners and tasks."""
        await self.listener.start()
        await self.start_components()

    async def stop(self) -> None:
        """Stop as planned.

        The node is not ready any more, so that callers use other nodes; the
        listener stays open until they do. Requests that come later are
        accepted only if they end before the stop does. The node stops once it
        has been idle for a while, or when the time for the planned stop is
        over. Requests that are still running then get a response with an
        unknown outcome.
        """
        _LOG.info('Node %s is stopping.', self.options.node_id)
        self.stop_requested.set()
        end = self.stop_requested.requested_at + self.options.planned_stop_s()
        await self.leave_and_settle()
        self._log_stop('stop_settled', end)
        self.owner.planned_stop.set_end(end)
        self.listener.is_stopping = True
        idle_since = clock.now()
        while clock.now() < end:
            if (
                self.listener.active_requests
                or self.owner.active
                or self.membership.is_drain_unrecorded()
            ):
                idle_since = clock.now()
            if clock.now() - idle_since > _IDLE_BEFORE_EXIT_S:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._log_stop('stop_closing', end)
        self.owner.planned_stop.is_accepting = False
        # Requests that were accepted last are answered too.
        await self.listener.close_gracefully(max(end - clock.now(), 0.0))
        await self.finish_calls(end)
        await self.stop_components()

    def _log_stop(self, event: str, end: float) -> None:
        decisions.write(
            'node',
            event,
            left_ms=round((end - clock.now()) * 1000),
            active=self.listener.active_requests,
            owner_active=self.owner.active,
            connections=len(self.listener.connections),
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener, without any key."""
        return self.dump_components() | {
            'is_stopping': self.stop_requested.is_requested(),
            'active': self.listener.active_requests,
            'chain_admission': self.chain_admission.dump(),
        }
