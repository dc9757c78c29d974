"""The base class of nodes, independent of the protocol of callers.

Contains the control session, the owner side with its upstream, and the links
to other nodes. Subclasses add the entry side and their HTTP listeners.
"""

import asyncio
import random
import typing

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall.node.callers import admission as admission_module
from godwitstall.node import dialect as dialect_module
from godwitstall.node import dispatch
from godwitstall.node.peers import forward
from godwitstall.node.peers import peer_server
from godwitstall.node.peers import relay
from godwitstall.node.requests import context
from godwitstall.node.sessions import claims
from godwitstall.node.sessions import control_session
from godwitstall.node.sessions import crashes
from godwitstall.node.sessions import membership
from godwitstall.node.upstreams import upstream as upstream_module
from godwitstall.node.upstreams import upstream_answer
from godwitstall.rates import allowance as allowance_module
from godwitstall.routing import chain_rooms
from godwitstall.routing import member_speed
from godwitstall.routing import picker as picker_module
from godwitstall.routing import view as view_module
from godwitstall.routing import zone_balance
from godwitstall import settings
from godwitstall import signals
from godwitstall import supervision

_LOG = logs.get('node')

# Lifetime of tokens, counted from the time when their request was sent,
# seconds. Must be equal to grant_lifetime_ms of control.
_TOKEN_LIFETIME_S = 1.0

# Time to record pending outcomes at a planned stop, seconds.
_DRAIN_TIMEOUT_S = 5.0

# Part of the grace time that is left to the exit of the process, seconds.
_EXIT_TIME_S = 0.2

# Time for other nodes to receive the last answers at a planned stop, seconds.
_LINK_END_TIME_S = 0.1

# Interval at which a stopping node checks for calls in progress, seconds.
_FINISH_POLL_INTERVAL_S = 0.02

# Retry policy for meshes with their own dialect, which count every send to an
# upstream as an attempt.
_MESH_RETRY_POLICY = relay.RetryPolicy(
    counts_sends=True,
    retries_upstream_failures=True,
    low_priority_share=0.5,
    max_refusals=2,
    shares_retry_floor=True,
)


class BaseNode:
    """The components that all nodes have in common."""

    def __init__(
        self,
        options: settings.NodeOptions,
        fleet: settings.FleetOptions,
        dialect: dialect_module.Dialect | None = None,
        framing: upstream_answer.Framing | None = None,
    ) -> None:
        self.options = options
        identity = link_module.Identity(
            messages.Role.NODE,
            options.node_id,
            fleet.secret(),
            takes_parts=True,
        )
        # Counts all that the process holds for clients, nodes and upstream.
        self.budget = byte_budget.ByteBudget.from_total(
            'process', options.max_held_bytes
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
            options,
            self.contexts,
            self.membership.on_upstream_change,
            framing,
            self.budget,
        )
        self.membership.upstream = self.upstream
        self.rooms = chain_rooms.ChainRooms()
        self.claimer = claims.Claimer(options.node_id, self.session)
        self.owner = dispatch.Owner(
            options,
            self.view,
            self.upstream,
            self.contexts,
            self.claimer,
            crashes.CrashDetector(
                options.node_id, self.upstream, self.session
            ),
            dialect,
            self.rooms,
        )
        self.admission = admission_module.Admission(
            self.view,
            self.session,
            self.allowance,
            self.owner.planned_stop,
            self.budget,
        )
        self.forwarder = forward.Forwarder(identity, local_host, self.budget)
        self.relay = relay.Relay(
            options,
            picker_module.Picker(
                self.view,
                options.zone,
                random.Random(),
                member_speed.MemberSpeeds()
                if options.weighs_member_speed
                else None,
                zone_balance.ZoneBalance(options.zone, random.Random())
                if options.lends_zone_room
                else None,
            ),
            self.forwarder,
            self.owner,
            _MESH_RETRY_POLICY if dialect is not None else None,
            self.rooms,
        )
        self.peer_server = peer_server.PeerServer(
            identity, self.owner, options.max_peer_connections, self.budget
        )
        self.tasks: list[asyncio.Task[None]] = []
        # Set by a signal handler, or by the stop itself.
        self.stop_requested = signals.StopRequest()
        # Time at which the own zone was last taken back, seconds.
        self.zone_returned_at: float | None = None
        self.view.on_change.append(self._on_view_change)

    def _on_view_change(self) -> None:
        self.forwarder.close_links_except(
            {member.address for member in self.view.members.values()}
        )
        rule = self.view.upstream_rule(self.options.node_id)
        self.upstream.set_max_slots(rule.max_slots if rule else 0)
        self.upstream.cold.set_rule(
            self.view.services.get(self.options.service)
        )
        returned_at = self.view.returned_at(self.options.zone)
        if returned_at is not None and returned_at != self.zone_returned_at:
            self.upstream.on_zone_taken_back()
        self.zone_returned_at = returned_at

    async def start_components(self) -> None:
        """Listen for links of other nodes and start the tasks."""
        await self.peer_server.listen(self.options.link_address)
        for run_method in (
            self.session.run,
            self.upstream.run,
            self.owner.slots.run,
            self.membership.run,
            self.forwarder.run,
        ):
            self.tasks.append(
                asyncio.create_task(supervision.keep_running(run_method))
            )
        _LOG.info('Node %s started.', self.options.node_id)

    async def leave_and_settle(self) -> None:
        """Leave the member list and wait until other nodes have noticed.

        With stop_settle_s the wait ends that long after the stop was
        requested, even if control is unreachable and has not confirmed the
        leave. Otherwise it lasts one lease, or until the leave has been
        confirmed or has timed out if that is later.
        """
        leave = asyncio.create_task(self.membership.leave())
        if self.options.stop_settle_s:
            # The request may have waited for longer than the settle time.
            self.tasks.append(leave)
            settled_at = (
                self.stop_requested.requested_at + self.options.stop_settle_s
            )
            await asyncio.sleep(max(0.0, settled_at - clock.now()))
            return
        started_at = clock.now()
        await leave
        remaining_s = started_at + self.options.lease_s - clock.now()
        await asyncio.sleep(max(0.0, remaining_s))

    async def finish_calls(self, end: float) -> None:
        """Accept no more calls, and wait for those in progress until end.

        Calls of other nodes can arrive until their links are closed.
        """
        self.owner.planned_stop.set_end(clock.now())
        while (
            self.owner.active or self.peer_server.sending_count
        ) and clock.now() < end:
            await asyncio.sleep(_FINISH_POLL_INTERVAL_S)

    async def stop_components(self) -> None:
        """Close all links and cancel the tasks."""
        await self.peer_server.end_links(_LINK_END_TIME_S)
        self.peer_server.close_links()
        # Also the outcomes of calls that were cut with their links.
        await self.claimer.drain(self._drain_timeout_s())
        self.forwarder.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.membership.report_unrecorded_drain()
        _LOG.info('Node %s stopped.', self.options.node_id)

    def _drain_timeout_s(self) -> float:
        if not self.options.stop_grace_s:
            return _DRAIN_TIMEOUT_S
        killed_at = self.stop_requested.requested_at + (
            self.options.stop_grace_s
        )
        left_s = killed_at - _EXIT_TIME_S - clock.now()
        return min(_DRAIN_TIMEOUT_S, max(0.0, left_s))

    def dump_components(self) -> dict[str, typing.Any]:
        """Return the state of the components for the admin listener."""
        return {
            'node_id': self.options.node_id,
            'zone': self.options.zone,
            'service': self.options.service,
            'session': self.session.dump(),
            'upstream': self.upstream.dump(),
            'owner': self.owner.dump(),
            'evacuated_zones': sorted(self.view.zones.evacuated),
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
