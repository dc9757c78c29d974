"""Serves nodes, operators and other replicas on one listener.

Every replica accepts every request. Followers forward commands and token
requests, which only the leader can handle, over their link to the leader.
"""

import asyncio
import collections.abc
import functools
import json
import typing

from godwitstall import clock
from godwitstall import codec
from godwitstall import connection_limit
from godwitstall.consensus import replica as replica_module
from godwitstall.control import barrier as barrier_module
from godwitstall.control import leadership
from godwitstall.control import machine as machine_module
from godwitstall.control import sessions as sessions_module
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import link_server
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall import settings
from godwitstall import supervision

_LOG = logs.get('control')
_REQUESTS = metrics.counter(
    'control_requests_total', 'Requests by message and result.'
)
_ZONE_EVACUATED = metrics.gauge(
    'control_zone_evacuated', 'Whether a zone is evacuated, in the log.'
)

# Timeout of one command or forwarded request. Nodes give a request up after
# 2 s and send it again, so requests would accumulate with a longer timeout.
_REQUEST_TIMEOUT_S = 1.9

_RETRY_AFTER_MS = 100

# Longest wait at a planned stop for nodes to move to other replicas. Nodes
# learn of the stop from the reply to their next heartbeat.
_MOVE_TIMEOUT_S = 2.5
_POLL_INTERVAL_S = 0.02

_Reply = typing.Union[
    messages.ProposeReply,
    messages.GrantReply,
    messages.QueryReply,
    messages.BarrierReply,
    messages.Done,
]


class Service(link_server.LinkServer):
    """Request handling of one control process."""

    def __init__(
        self,
        options: settings.ControlOptions,
        identity: link_module.Identity,
        machine: machine_module.Machine,
        replica: replica_module.Replica,
    ) -> None:
        super().__init__(
            identity,
            connection_limit.descriptor_share(
                options.max_peer_connections,
                connection_limit.CONTROL_PEER_SHARE,
            ),
        )
        self.options = options
        self.machine = machine
        self.replica = replica
        self.barrier = barrier_module.Barrier(replica)
        self.sessions = sessions_module.Sessions(machine, self.barrier)
        self.leadership = leadership.Leadership(
            options, machine, replica, self.sessions
        )
        self.tasks: set[asyncio.Task[None]] = set()
        machine.on_change.append(self._set_gauges)

    def _set_gauges(self) -> None:
        for item in self.machine.evacuations.to_messages():
            _ZONE_EVACUATED.set(int(item.is_active), zone=item.zone)

    async def start(self, address: str) -> None:
        """Listen on 'host:port' and start the background tasks."""
        await self.listen(address)
        for run in (
            self.barrier.run,
            self.sessions.run,
            self.leadership.run,
        ):
            self._spawn(supervision.keep_running(run))

    def _spawn(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error('A background task failed.', exc_info=task.exception())

    async def serve(self, link: link_module.Link) -> None:
        """Serve the requests received over one link."""
        try:
            await link.run(functools.partial(self._on_message, link))
        finally:
            self.sessions.on_link_closed(link)

    async def _on_message(
        self, link: link_module.Link, message: messages.Message
    ) -> None:
        if await self.replica.handle(message, link):
            return
        match message:
            case messages.Heartbeat():
                session = self.sessions.on_heartbeat(link, message)
                if session is not None:
                    self._spawn(self.sessions.confirm(session))
            case messages.Propose():
                self._spawn(self._handle(link, message, self._propose))
            case messages.GrantRequest():
                self._spawn(self._handle(link, message, self._grant))
            case messages.Query():
                self._spawn(self._handle(link, message, self._query))
            case messages.BarrierRequest():
                self._spawn(self._handle(link, message, self._read_barrier))
            case messages.LivenessReport():
                self._spawn(self._handle(link, message, self._record_liveness))
            case _:
                _LOG.warning(
                    'Unexpected message %s from %s.',
                    type(message).__name__,
                    link.peer_id,
                )

    async def _handle(
        self,
        link: link_module.Link,
        request: typing.Any,
        handler: collections.abc.Callable[
            [typing.Any], collections.abc.Awaitable[_Reply]
        ],
    ) -> None:
        """Handle one request and send its reply or its error."""
        seq = request.seq
        reply: messages.Message
        result = 'ok'
        try:
            reply = await handler(request)
            reply.seq = seq
        except errors.GodwitstallError as e:
            result = e.kind.label
            reply = messages.Error(seq, e.kind, e.detail, e.retry_after_ms)
        except Exception:
            _LOG.exception('Unexpected error while handling a request.')
            result = 'internal'
            reply = messages.Error(seq, errors.ErrorKind.INTERNAL)
        _REQUESTS.inc(message=type(request).__name__, result=result)
        try:
            link.send(reply)
        except errors.LinkError as e:
            _LOG.debug('Cannot send a reply: %s', e)

    async def _forward_to_leader(
        self, request: typing.Any
    ) -> messages.Message:
        """Forward a request to the leader and return its reply."""
        leader_slot = self.replica.leader_slot
        if leader_slot in (None, self.replica.slot):
            raise errors.ControlError(
                errors.ErrorKind.NOT_LEADER,
                'There is no leader at the moment.',
                _RETRY_AFTER_MS,
            )
        link = self.replica.leader_link()
        if link is None:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                f'The leader {leader_slot} cannot be reached.',
                _RETRY_AFTER_MS,
            )
        try:
            return await link.request(request, _REQUEST_TIMEOUT_S)
        except errors.LinkError as e:
            # A LinkError would mean that the requester's own link broke.
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                f'The leader {link.peer_id} did not reply.',
                _RETRY_AFTER_MS,
            ) from e

    async def execute(self, command: messages.Message) -> messages.Message:
        """Commit and apply a command, and return its result.

        Errors: ControlError when it is not confirmed that the command was
        applied.
        """
        request = messages.Propose(command=codec.encode(command))
        reply = await self._propose(request)
        if not isinstance(reply, messages.ProposeReply):
            raise errors.ControlError(errors.ErrorKind.BAD_MESSAGE)
        return codec.decode(reply.result)

    def known_zones(self) -> list[str]:
        """Return the zones of the settings and of the voters, sorted."""
        voters = self.replica.state.voters.current.values()
        zones = {self.options.zone, *self.options.zones}
        return sorted(zones | {voter.zone for voter in voters if voter.zone})

    async def evacuate(
        self, zone: str, is_active: bool, operator: str
    ) -> messages.EvacuationResult:
        """Start or end the evacuation of a zone.

        Errors: ControlError when it is not confirmed that the order was
        applied.
        """
        result = await self.execute(
            messages.Evacuate(
                zone,
                is_active,
                operator,
                self.known_zones(),
                self.machine.applied_index,
            )
        )
        if not isinstance(result, messages.EvacuationResult):
            raise errors.ControlError(errors.ErrorKind.BAD_MESSAGE)
        return result

    async def read_document(self) -> bytes:
        """Return the latest complete configuration document as received.

        Errors: ControlError when this replica cannot confirm that the
        document is the latest.
        """
        await self.barrier.wait_for_leader(_REQUEST_TIMEOUT_S)
        return self.machine.configuration.document

    async def _propose(self, request: messages.Propose) -> _Reply:
        if self.replica.is_leader:
            index, result = await self.replica.propose(
                request.command, _REQUEST_TIMEOUT_S
            )
            return messages.ProposeReply(result=result, index=index)
        reply = await self._forward_to_leader(
            messages.Propose(command=request.command)
        )
        return typing.cast(messages.ProposeReply, reply)

    async def _grant(self, request: messages.GrantRequest) -> _Reply:
        if self.replica.is_leader:
            grants = self.leadership.grant(request, clock.now())
            return messages.GrantReply(
                grants=grants, lifetime_ms=self.options.grant_lifetime_ms
            )
        reply = await self._forward_to_leader(
            messages.GrantRequest(
                node_id=request.node_id,
                incarnation=request.incarnation,
                wants=request.wants,
            )
        )
        return typing.cast(messages.GrantReply, reply)

    async def _query(self, request: messages.Query) -> _Reply:
        await self.barrier.wait_for_leader(_REQUEST_TIMEOUT_S)
        if request.kind is messages.QueryKind.STATUS:
            return messages.QueryReply(body=self._encode_status())
        if request.kind is messages.QueryKind.DOCUMENT:
            return messages.QueryReply(
                body=self.machine.configuration.document
            )
        result = self.machine.query(request.kind, request.text)
        if request.kind is messages.QueryKind.EVACUATIONS:
            zones = {*result['zones'], *self.known_zones()}
            result['zones'] = sorted(zones)
        return messages.QueryReply(body=_to_json(result))

    def _encode_status(self) -> bytes:
        return _to_json(
            {
                'slot': self.options.slot,
                'is_leader': self.replica.is_leader,
                'leader': self.replica.leader_slot,
                'applied_index': self.machine.applied_index,
                'sessions': self.sessions.dump(),
            }
        )

    async def _read_barrier(self, request: messages.BarrierRequest) -> _Reply:
        index = await self.replica.read_barrier(_REQUEST_TIMEOUT_S)
        return messages.BarrierReply(index=index)

    async def _record_liveness(
        self, request: messages.LivenessReport
    ) -> _Reply:
        self.leadership.on_liveness_report(request.beats, clock.now())
        return messages.Done()

    async def stop(self) -> None:
        """Perform a planned stop.

        Nodes move to other replicas before the replica stops and the links
        are closed.
        """
        self.sessions.is_stopping = True
        deadline = clock.now() + _MOVE_TIMEOUT_S
        while self.sessions.by_link and clock.now() < deadline:
            await asyncio.sleep(_POLL_INTERVAL_S)
        await self.replica.stop()
        await self.close()

    async def close(self) -> None:
        """Close the replica, the listener, all links and tasks at once."""
        self.close_links()
        await self.replica.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener, without API keys."""
        return {
            'slot': self.options.slot,
            'replica': self.replica.dump(),
            'sessions': self.sessions.dump(),
            'leadership': self.leadership.dump(),
            'configuration': self.machine.query(
                messages.QueryKind.CONFIGURATION, ''
            ),
            'members': self.machine.query(messages.QueryKind.MEMBERS, ''),
            'evacuated_zones': self.machine.evacuations.active_zones(),
        }


def _to_json(value: dict[str, typing.Any]) -> bytes:
    return json.dumps(value, sort_keys=True).encode()
