"""The node's connection to control.

A session connects to one replica, which pushes state updates and answers
heartbeats, commands and token requests. A heartbeat reply that is marked as
fresh renews the lease, starting at the time when the heartbeat was sent,
because the replica confirmed its state after that time. If replies stop, the
node opens a session with the next replica.
"""

import asyncio
import contextlib
import random
import typing

from godwitstall import clock
from godwitstall import codec
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node.sessions import replica_choice
from godwitstall.rates import allowance as allowance_module
from godwitstall.routing import view as view_module
from godwitstall import settings

_LOG = logs.get('session')
_STATE_CONFIRMED = metrics.gauge(
    'state_confirmed_timestamp_seconds',
    'Unix time at which control last confirmed the state of this node.',
)
_SESSIONS = metrics.counter(
    'control_sessions_total', 'Sessions opened to control.'
)
_GRANT_REQUESTS = metrics.counter(
    'grant_requests_total', 'Token requests sent to the ledger.'
)

# Shortest time between two token requests while a call waits, seconds.
_MIN_GRANT_REQUEST_INTERVAL_S = 0.01

# Time after which the session ends if a token request gets no reply, seconds.
# Calls wait for tokens, so this timeout is shorter than that of heartbeats.
_GRANT_TIMEOUT_S = 0.5

# Delay before the next connection attempt, seconds. It doubles from the
# minimum up to the maximum or a quarter of the lease.
_RECONNECT_MIN_S = 0.05
_RECONNECT_MAX_S = 1.0

# First increment of an incarnation that control refused, milliseconds. Each
# further increment doubles, so that a clock that was set back by a day takes
# 17 attempts.
_INCARNATION_STEP = 1000

# Interval of token requests while a call waits and the last request got no
# tokens, seconds. In that case there is no leader, or a new leader with an
# empty ledger. A call waits at most 0.3 s, so the regular interval of 0.2 s
# would not allow a third request during a change of leader.
_GRANT_RETRY_INTERVAL_S = 0.05

# Interval of requests for the directory of replicas, seconds. After the start
# of the process the interval is shorter while no replica in the zone is known,
# because the replicas may be starting too and appear one by one.
_DIRECTORY_INTERVAL_S = 5.0
_STARTUP_DIRECTORY_INTERVAL_S = 0.5
_STARTUP_S = 10.0

# Time without a reply after which a proposed command or its reply counts as
# lost and the command is proposed again, seconds.
_PROPOSE_ATTEMPT_TIMEOUT_S = 2.0


class _OwnZoneReplicaError(Exception):
    """Ends a session because a replica in the node's own zone is available."""


class ControlSession:
    """The session of one node with control, and its lease."""

    def __init__(
        self,
        options: settings.NodeOptions,
        fleet: settings.FleetOptions,
        identity: link_module.Identity,
        view: view_module.View,
        allowance: allowance_module.Allowance,
    ) -> None:
        self.options = options
        self.fleet = fleet
        self.identity = identity
        self.view = view
        self.allowance = allowance
        self.replicas = replica_choice.ReplicaChoice(
            options.zone, fleet.control, fleet.seeds, random.Random()
        )
        self.link: link_module.Link | None = None
        # Set while a session is open over which control has confirmed the
        # state of the node.
        self.connected = asyncio.Event()
        # End of the lease, seconds of clock.now().
        self.lease_until = 0.0
        # Incarnation of this process, higher than the one known to control.
        self.incarnation = 0
        # Next increment of an incarnation that control refused.
        self.incarnation_step = _INCARNATION_STEP
        # Set if a call waits for a token.
        self.grant_wanted = asyncio.Event()
        # Arrival of the current configuration, seconds of clock.now().
        self.configuration_changed_at = 0.0
        # Start of this process, seconds of clock.now().
        self.started_at = clock.now()
        # Slot of the connected replica, for the state dump.
        self.slot = ''

    def has_lease(self, now: float) -> bool:
        """Return whether the lease is valid, so the state may be relied on."""
        return now < self.lease_until

    def may_serve(self, now: float) -> bool:
        """Return whether calls may be served.

        With serves_without_lease, a node that lost control continues with
        the last known configuration.
        """
        if self.options.serves_without_lease:
            return self.view.index >= 0
        return self.has_lease(now)

    async def run(self) -> None:
        """Keep a session open until cancelled."""
        pause_s = _RECONNECT_MIN_S
        while True:
            started_at = clock.now()
            # A reload of the settings may have changed the seeds.
            self.replicas.seeds = self.fleet.seeds
            address = self.replicas.next(started_at)
            try:
                await self._run_session(address)
            except _OwnZoneReplicaError:
                _LOG.info(
                    'Session with %s ended: moving to a replica in the '
                    "node's own zone.",
                    address,
                )
            except errors.GodwitstallError as e:
                _LOG.info('Session with %s ended: %s', address, e)
                now = clock.now()
                self.replicas.on_session_failed(address, now - started_at, now)
            finally:
                self.connected.clear()
                self.allowance.on_lost()
                if self.link is not None:
                    self.link.close()
                    self.link = None
            if clock.now() - started_at > self.options.lease_s:
                pause_s = _RECONNECT_MIN_S
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
            max_pause_s = min(_RECONNECT_MAX_S, self.options.lease_s / 4)
            pause_s = min(max_pause_s, pause_s * 2)

    async def _run_session(self, address: str) -> None:
        local_host, _ = link_module.split_address(self.options.link_address)
        link = await link_module.connect(
            address,
            self.identity,
            # An unresponsive replica must leave time to try another one
            # before the lease expires.
            min(link_module.HANDSHAKE_TIMEOUT_S, self.options.lease_s / 4),
            local_host,
        )
        self.link = link
        self.slot = link.peer_id
        _SESSIONS.inc(slot=self.slot)
        _LOG.info(
            'Session with %s at %s opened, state index is %d.',
            self.slot,
            address,
            self.view.index,
        )
        reader = asyncio.create_task(link.run(self._on_push))
        heartbeats = asyncio.create_task(self._send_heartbeats(link))
        grants = asyncio.create_task(self._request_grants(link))
        tasks = {reader, heartbeats, grants}
        if self.fleet.seeds:
            tasks.add(
                asyncio.create_task(self._refresh_directory(link, address))
            )
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
            raise errors.LinkError(errors.ErrorKind.PEER_LOST)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _refresh_directory(
        self, link: link_module.Link, address: str
    ) -> None:
        """Update the list of known replicas, used if this one is lost.

        Errors: _OwnZoneReplicaError if this replica is in another zone than
        the node and a replica in the node's zone is known that is not avoided
        because of a failure.
        """
        while True:
            reply = await link.request(
                messages.Introduce(), self.options.lease_s / 2
            )
            if isinstance(reply, messages.Directory):
                self.replicas.update(reply.replicas)
            if self.replicas.should_move_to_own_zone(address, clock.now()):
                raise _OwnZoneReplicaError()
            await asyncio.sleep(self._directory_interval_s())

    def _directory_interval_s(self) -> float:
        is_starting = clock.now() - self.started_at < _STARTUP_S
        if is_starting and not self.replicas.has_replica_in_own_zone():
            return _STARTUP_DIRECTORY_INTERVAL_S
        return _DIRECTORY_INTERVAL_S

    async def _on_push(self, message: messages.Message) -> None:
        if not isinstance(message, messages.StateUpdate):
            _LOG.warning('Unexpected message %s.', type(message).__name__)
            return
        previous_number = self.view.number
        if not self.view.apply(message):
            _LOG.info('State update %d is outdated, ignored.', message.index)
            return
        if self.view.number != previous_number:
            self.configuration_changed_at = clock.now()
        if not self.incarnation:
            self.incarnation = self._next_incarnation()

    def _next_incarnation(self) -> int:
        """Return an incarnation above the one that control has recorded.

        The wall clock alone is not enough, since it may have been set back
        after the last start.
        """
        member = self.view.members.get(self.options.node_id)
        last_incarnation = member.incarnation if member is not None else 0
        return max(clock.wall_ms(), last_incarnation + 1)

    def raise_incarnation(self) -> None:
        """Increase the incarnation after control refused the current one."""
        self.incarnation += self.incarnation_step
        self.incarnation_step *= 2

    async def _send_heartbeats(self, link: link_module.Link) -> None:
        confirmed_at = clock.now()
        while True:
            sent_at = clock.now()
            reply = await link.request(
                messages.Heartbeat(
                    node_id=self.options.node_id,
                    incarnation=self.incarnation,
                    applied_index=max(0, self.view.index),
                    is_subscribed=True,
                ),
                self.options.lease_s / 2,
            )
            if not isinstance(reply, messages.HeartbeatReply):
                raise errors.LinkError(errors.ErrorKind.BAD_MESSAGE)
            if reply.must_move:
                raise errors.LinkError(
                    errors.ErrorKind.STOPPING, 'The replica is stopping.'
                )
            if reply.is_fresh:
                confirmed_at = sent_at
            elif sent_at - confirmed_at > self.options.lease_s / 2:
                raise errors.LinkError(
                    errors.ErrorKind.CONTROL_LOST,
                    'The replica cannot confirm its state.',
                )
            else:
                # An election may be in progress; another replica would not
                # learn of the new leader earlier.
                await asyncio.sleep(_RECONNECT_MIN_S)
                continue
            if self.view.index >= reply.applied_index:
                _STATE_CONFIRMED.set(clock.wall_ms() / 1000)
                self.lease_until = max(
                    self.lease_until, sent_at + self.options.lease_s
                )
                if self.incarnation:
                    self.connected.set()
            pause_s = self.options.heartbeat_s
            if not self.connected.is_set():
                # The first state has just arrived, so confirm it at once.
                pause_s = _RECONNECT_MIN_S
            await asyncio.sleep(max(0.0, sent_at + pause_s - clock.now()))

    async def _request_grants(self, link: link_module.Link) -> None:
        interval_s = self.options.grant_interval_ms / 1000
        await self.connected.wait()
        while True:
            self.grant_wanted.clear()
            sent_at = clock.now()
            wants = self.allowance.next_wants(sent_at)
            if wants:
                _GRANT_REQUESTS.inc()
                await self._send_grant_request(link, wants, sent_at)
            if self.allowance.needs_grant_now():
                await asyncio.sleep(_MIN_GRANT_REQUEST_INTERVAL_S)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self.grant_wanted.wait()

    async def _send_grant_request(
        self,
        link: link_module.Link,
        wants: list[messages.Want],
        sent_at: float,
    ) -> None:
        request = messages.GrantRequest(
            node_id=self.options.node_id,
            incarnation=self.incarnation,
            wants=wants,
        )
        try:
            reply = await link.request(request, _GRANT_TIMEOUT_S)
        except errors.ControlError as e:
            # There is no leader at the moment; the loop requests again.
            _LOG.debug('Token request failed: %s', e)
            self.allowance.on_lost()
            pause_s = self.options.grant_interval_ms / 1000
            if self.allowance.needs_grant_now():
                pause_s = min(pause_s, _GRANT_RETRY_INTERVAL_S)
            await asyncio.sleep(pause_s)
            return
        if isinstance(reply, messages.GrantReply):
            self.allowance.on_reply(sent_at, wants, reply.grants, clock.now())
            if self.allowance.needs_grant_now() and not any(
                grant.tokens for grant in reply.grants
            ):
                await asyncio.sleep(_GRANT_RETRY_INTERVAL_S)

    async def propose(
        self, command: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Propose a command and return its result once it is applied.

        The command is sent again, also over another session, until a reply
        arrives; commands are idempotent by content. Errors: ControlError of
        kind CONTROL_LOST if no reply arrives within timeout_s; the command
        may still take effect.
        """
        data = codec.encode(command)
        deadline = clock.now() + timeout_s
        detail = 'no session'
        while (remaining_s := deadline - clock.now()) > 0:
            link = self.link
            if link is None or link.is_closed:
                await asyncio.sleep(min(_RECONNECT_MIN_S, remaining_s))
                continue
            try:
                reply = await link.request(
                    messages.Propose(command=data),
                    min(remaining_s, _PROPOSE_ATTEMPT_TIMEOUT_S),
                )
            except errors.GodwitstallError as e:
                detail = e.detail
                await asyncio.sleep(min(_RECONNECT_MIN_S, remaining_s))
                continue
            if isinstance(reply, messages.ProposeReply):
                return codec.decode(reply.result)
        raise errors.ControlError(
            errors.ErrorKind.CONTROL_LOST, f'No reply from control: {detail}'
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            'slot': self.slot,
            'is_connected': self.connected.is_set(),
            'lease_left_s': round(self.lease_until - clock.now(), 3),
            'incarnation': self.incarnation,
            'index': self.view.index,
            'number': self.view.number,
            'number_at': self.configuration_changed_at,
            'bytes_sent': self.link.bytes_sent if self.link else 0,
            'bytes_received': self.link.bytes_received if self.link else 0,
        }
