"""The node's connection to control.

One replica at a time: it pushes state, answers heartbeats, and takes
commands and token requests. A heartbeat reply that is marked fresh renews
the lease from the time the heartbeat was sent, because the replica has
confirmed its state after that moment. When replies stop, the session moves
to the next replica.
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
from godwitstall.node import replica_choice
from godwitstall.rates import allowance as allowance_module
from godwitstall.routing import view as view_module
from godwitstall import settings

_LOG = logs.get('session')
_CONFIRMED = metrics.gauge(
    'state_confirmed_timestamp_seconds',
    'Unix time at which control last confirmed the state of this node.',
)
_SESSIONS = metrics.counter(
    'control_sessions_total', 'Sessions opened to control.'
)
_GRANT_REQUESTS = metrics.counter(
    'grant_requests_total', 'Token requests sent to the ledger.'
)

# Shortest time between two token requests when a call waits, seconds.
_URGENT_GRANT_GAP_S = 0.01

# A replica that gives no tokens in this time is left for another, seconds.
# Calls wait for tokens, so this is shorter than the heartbeat allows.
_GRANT_TIMEOUT_S = 0.5

# Time before another replica is tried, seconds; grows up to the maximum.
_RECONNECT_MIN_S = 0.05
_RECONNECT_MAX_S = 1.0

# First step by which a refused start number is raised; each next step is
# twice as long, so that a clock set back by a day costs 17 tries.
_INCARNATION_STEP = 1000

# Time before tokens are asked for again when a call waits and the last
# request brought none, seconds. There is no leader then, or a new one with an
# empty ledger. A call waits 0.3 s at most, so the ordinary interval of 0.2 s
# would leave it no third try during a change of leader.
_RETRY_GRANT_S = 0.05

# Time between two questions for the replicas of the fleet, seconds, and the
# shorter one of a young process that knows none in its zone: all replicas
# start with it, and not all are known at once.
_DIRECTORY_INTERVAL_S = 5.0
_FIRST_DIRECTORY_INTERVAL_S = 0.5
_YOUNG_S = 10.0

# One try of a command; a lost reply is found out after this long, seconds.
_PROPOSE_TRY_S = 2.0


class _NearerReplicaError(Exception):
    """A session ends because a replica in the own zone should be used."""


class ControlSession:
    """Connection of one node to control, with its lease."""

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
        # Set while a session is open and has delivered its first state.
        self.connected = asyncio.Event()
        # End of the lease, seconds of clock.now().
        self.lease_until = 0.0
        # Start number of this process, chosen above the one control knows.
        self.incarnation = 0
        # Next step by which a refused start number is raised.
        self.incarnation_step = _INCARNATION_STEP
        # Set when a call waits for a token.
        self.grant_wanted = asyncio.Event()
        # When the release note in force arrived, seconds of clock.now().
        self.number_at = 0.0
        # Start of this process, seconds of clock.now().
        self.began_at = clock.now()
        # Slot of the replica in use, for the dump.
        self.slot = ''

    def is_fresh(self, now: float) -> bool:
        """Return whether the view may be used for decisions."""
        return now < self.lease_until

    def may_serve(self, now: float) -> bool:
        """Return whether calls may be served.

        A node may be set to go on with the last configuration that it knows
        when control is lost.
        """
        if self.options.serves_without_lease:
            return self.view.index >= 0
        return self.is_fresh(now)

    async def run(self) -> None:
        """Keep a session open until cancelled."""
        pause_s = _RECONNECT_MIN_S
        while True:
            started = clock.now()
            # A reload of the settings may have changed them.
            self.replicas.seeds = self.fleet.seeds
            address = self.replicas.next(started)
            try:
                await self._serve(address)
            except _NearerReplicaError:
                _LOG.info(
                    'Session with %s ends for one in the own zone.', address
                )
            except errors.GodwitstallError as e:
                _LOG.info('Session with %s ended: %s', address, e)
                now = clock.now()
                self.replicas.on_session_failed(address, now - started, now)
            finally:
                self.connected.clear()
                self.allowance.on_lost()
                if self.link is not None:
                    self.link.close()
                    self.link = None
            if clock.now() - started > self.options.lease_s:
                pause_s = _RECONNECT_MIN_S
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
            longest_s = min(_RECONNECT_MAX_S, self.options.lease_s / 4)
            pause_s = min(longest_s, pause_s * 2)

    async def _serve(self, address: str) -> None:
        local_host, _ = link_module.split_address(self.options.link_address)
        link = await link_module.connect(
            address,
            self.identity,
            # Replicas that do not answer must leave time for another one
            # before the lease ends.
            min(link_module.HANDSHAKE_TIMEOUT_S, self.options.lease_s / 4),
            local_host,
        )
        self.link = link
        self.slot = link.peer_id
        _SESSIONS.inc(slot=self.slot)
        _LOG.info(
            'Session with %s at %s, state %d.',
            self.slot,
            address,
            self.view.index,
        )
        reader = asyncio.create_task(link.run(self._on_push))
        beats = asyncio.create_task(self._beat(link))
        grants = asyncio.create_task(self._ask_for_tokens(link))
        tasks = {reader, beats, grants}
        if self.fleet.seeds:
            tasks.add(asyncio.create_task(self._find_replicas(link, address)))
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

    async def _find_replicas(
        self, link: link_module.Link, address: str
    ) -> None:
        """Learn which replicas there are, for when this one is lost.

        Errors: _NearerReplicaError when one in the own zone is known.
        """
        while True:
            reply = await link.request(
                messages.Introduce(), self.options.lease_s / 2
            )
            if isinstance(reply, messages.Directory):
                self.replicas.update(reply.replicas)
            if self.replicas.should_move_to_own_zone(address, clock.now()):
                raise _NearerReplicaError()
            await asyncio.sleep(self._directory_interval_s())

    def _directory_interval_s(self) -> float:
        is_young = clock.now() - self.began_at < _YOUNG_S
        if is_young and not self.replicas.has_replica_in_own_zone():
            return _FIRST_DIRECTORY_INTERVAL_S
        return _DIRECTORY_INTERVAL_S

    async def _on_push(self, message: messages.Message) -> None:
        if not isinstance(message, messages.StateUpdate):
            _LOG.warning('Unexpected %s.', type(message).__name__)
            return
        number = self.view.number
        if not self.view.apply(message):
            _LOG.info('State %d is older than what is held.', message.index)
            return
        if self.view.number != number:
            self.number_at = clock.now()
        if not self.incarnation:
            self.incarnation = self._next_incarnation()

    def _next_incarnation(self) -> int:
        """Return a start number above the one that control has on record.

        The wall clock alone could have been set back since the last start.
        """
        known = self.view.members.get(self.options.node_id)
        last = known.incarnation if known is not None else 0
        return max(clock.wall_ms(), last + 1)

    def raise_incarnation(self) -> None:
        """Choose a higher start number, since control refused this one."""
        self.incarnation += self.incarnation_step
        self.incarnation_step *= 2

    async def _beat(self, link: link_module.Link) -> None:
        fresh_at = clock.now()
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
                fresh_at = sent_at
            elif sent_at - fresh_at > self.options.lease_s / 2:
                raise errors.LinkError(
                    errors.ErrorKind.CONTROL_LOST,
                    'The replica cannot confirm its state.',
                )
            else:
                # There may be an election, which another one would not hear
                # the end of earlier.
                await asyncio.sleep(_RECONNECT_MIN_S)
                continue
            if self.view.index >= reply.applied_index:
                _CONFIRMED.set(clock.wall_ms() / 1000)
                self.lease_until = max(
                    self.lease_until, sent_at + self.options.lease_s
                )
                if self.incarnation:
                    self.connected.set()
            pause_s = self.options.heartbeat_s
            if not self.connected.is_set():
                # The first state has arrived just now; confirm it at once.
                pause_s = _RECONNECT_MIN_S
            await asyncio.sleep(max(0.0, sent_at + pause_s - clock.now()))

    async def _ask_for_tokens(self, link: link_module.Link) -> None:
        interval_s = self.options.grant_interval_ms / 1000
        await self.connected.wait()
        while True:
            self.grant_wanted.clear()
            sent_at = clock.now()
            wants = self.allowance.next_wants(sent_at)
            if wants:
                _GRANT_REQUESTS.inc()
                await self._request_grant(link, wants, sent_at)
            if self.allowance.needs_grant_now():
                await asyncio.sleep(_URGENT_GRANT_GAP_S)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self.grant_wanted.wait()

    async def _request_grant(
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
            # No leader just now; the next request comes soon.
            _LOG.debug('No tokens: %s', e)
            self.allowance.on_lost()
            pause_s = self.options.grant_interval_ms / 1000
            if self.allowance.needs_grant_now():
                pause_s = min(pause_s, _RETRY_GRANT_S)
            await asyncio.sleep(pause_s)
            return
        if isinstance(reply, messages.GrantReply):
            self.allowance.on_reply(sent_at, wants, reply.grants, clock.now())
            if self.allowance.needs_grant_now() and not any(
                grant.tokens for grant in reply.grants
            ):
                await asyncio.sleep(_RETRY_GRANT_S)

    async def propose(
        self, command: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Have a command logged and applied; returns its result.

        Sent again, over another session if need be, until a reply comes:
        commands are idempotent by content. Errors: ControlError of kind
        CONTROL_LOST when there is no reply within timeout_s; the command
        may take effect all the same.
        """
        data = codec.encode(command)
        end = clock.now() + timeout_s
        detail = 'no session'
        while (left_s := end - clock.now()) > 0:
            link = self.link
            if link is None or link.is_closed:
                await asyncio.sleep(min(_RECONNECT_MIN_S, left_s))
                continue
            try:
                reply = await link.request(
                    messages.Propose(command=data),
                    min(left_s, _PROPOSE_TRY_S),
                )
            except errors.GodwitstallError as e:
                detail = e.detail
                await asyncio.sleep(min(_RECONNECT_MIN_S, left_s))
                continue
            if isinstance(reply, messages.ProposeReply):
                return codec.decode(reply.result)
        raise errors.ControlError(
            errors.ErrorKind.CONTROL_LOST, f'Control gave no reply: {detail}'
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the dump."""
        return {
            'slot': self.slot,
            'is_connected': self.connected.is_set(),
            'lease_left_s': round(self.lease_until - clock.now(), 3),
            'incarnation': self.incarnation,
            'index': self.view.index,
            'number': self.view.number,
            'number_at': self.number_at,
            'bytes_sent': self.link.bytes_sent if self.link else 0,
            'bytes_received': self.link.bytes_received if self.link else 0,
        }
