"""Serves nodes, operators and other replicas on one listener.

Any replica takes any request. What only the leader can do, commands and
token grants, is passed on over the replica's link to the leader.
"""

import asyncio
import collections.abc
import functools
import json
import typing

from godwitstall import clock
from godwitstall import codec
from godwitstall.consensus import replica as replica_module
from godwitstall.control import barrier as barrier_module
from godwitstall.control import leadership
from godwitstall.control import machine as machine_module
from godwitstall.control import sessions as sessions_module
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall import settings
from godwitstall import supervision

_LOG = logs.get('control')
_REQUESTS = metrics.counter(
    'control_requests_total', 'Requests by message and result.'
)

# Longest time for one command or forwarded request, seconds. Nodes try for
# 2 s and then ask again, so a longer wait here would only pile up.
_REQUEST_TIMEOUT_S = 1.9

_RETRY_AFTER_MS = 100

# Nodes hear of a planned stop with their next heartbeat, seconds.
_MOVE_TIMEOUT_S = 2.5
_POLL_S = 0.02

_Reply = typing.Union[
    messages.ProposeReply,
    messages.GrantReply,
    messages.QueryReply,
    messages.BarrierReply,
    messages.Done,
]


class Service(link_module.LinkServer):
    """Request handling of one control process."""

    def __init__(
        self,
        options: settings.ControlOptions,
        identity: link_module.Identity,
        machine: machine_module.Machine,
        replica: replica_module.Replica,
    ) -> None:
        super().__init__(identity)
        self.options = options
        self.machine = machine
        self.replica = replica
        self.barrier = barrier_module.Barrier(replica)
        self.sessions = sessions_module.Sessions(machine, self.barrier)
        self.leadership = leadership.Leadership(
            options, machine, replica, self.sessions
        )
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Listen on 'host:port' and start the tasks."""
        await self.listen(address)
        for work in (
            self.barrier.run,
            self.sessions.run,
            self.leadership.run,
        ):
            self._spawn(supervision.keep_running(work))

    def _spawn(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error('A task failed.', exc_info=task.exception())

    async def serve(self, link: link_module.Link) -> None:
        """Serve the requests that come over one link."""
        try:
            await link.run(functools.partial(self._on_message, link))
        finally:
            self.sessions.on_closed(link)

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
                self._spawn(self._reply(link, message, self._propose))
            case messages.GrantRequest():
                self._spawn(self._reply(link, message, self._grant))
            case messages.Query():
                self._spawn(self._reply(link, message, self._query))
            case messages.BarrierRequest():
                self._spawn(self._reply(link, message, self._barrier))
            case messages.LivenessReport():
                self._spawn(self._reply(link, message, self._liveness))
            case _:
                _LOG.warning(
                    'Unexpected %s from %s.',
                    type(message).__name__,
                    link.peer_id,
                )

    async def _reply(
        self,
        link: link_module.Link,
        request: typing.Any,
        serve: collections.abc.Callable[
            [typing.Any], collections.abc.Awaitable[_Reply]
        ],
    ) -> None:
        """Serve one request and send its reply or its error."""
        seq = request.seq
        reply: messages.Message
        result = 'ok'
        try:
            reply = await serve(request)
            reply.seq = seq
        except errors.GodwitstallError as e:
            result = e.kind.label
            reply = messages.Error(seq, e.kind, e.detail, e.retry_after_ms)
        except Exception:
            _LOG.exception('Unexpected error while serving a request.')
            result = 'internal'
            reply = messages.Error(seq, errors.ErrorKind.INTERNAL)
        _REQUESTS.inc(message=type(request).__name__, result=result)
        try:
            link.send(reply)
        except errors.LinkError as e:
            _LOG.debug('A reply found no link: %s', e)

    async def _ask_leader(self, request: typing.Any) -> messages.Message:
        """Pass a request on to the leader and return its reply."""
        link = self.replica.leader_link()
        if link is None:
            raise errors.ControlError(
                errors.ErrorKind.NOT_LEADER,
                'There is no leader just now.',
                _RETRY_AFTER_MS,
            )
        try:
            return await link.request(request, _REQUEST_TIMEOUT_S)
        except errors.LinkError as e:
            # To the asker it is not a link of its own that broke.
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST,
                f'The leader {link.peer_id} gave no reply.',
                _RETRY_AFTER_MS,
            ) from e

    async def execute(self, command: messages.Message) -> messages.Message:
        """Have a command logged and applied, and return its result.

        Errors: ControlError when that is not known to have happened.
        """
        request = messages.Propose(command=codec.encode(command))
        reply = await self._propose(request)
        if not isinstance(reply, messages.ProposeReply):
            raise errors.ControlError(errors.ErrorKind.BAD_MESSAGE)
        return codec.decode(reply.result)

    async def document(self) -> bytes:
        """Return the newest whole configuration as it was sent.

        Errors: ControlError when this replica cannot be sure that it is.
        """
        await self.barrier.wait(_REQUEST_TIMEOUT_S)
        return self.machine.configuration.document

    async def _propose(self, request: messages.Propose) -> _Reply:
        if self.replica.is_leader:
            index, result = await self.replica.propose(
                request.command, _REQUEST_TIMEOUT_S
            )
            return messages.ProposeReply(result=result, index=index)
        reply = await self._ask_leader(
            messages.Propose(command=request.command)
        )
        return typing.cast(messages.ProposeReply, reply)

    async def _grant(self, request: messages.GrantRequest) -> _Reply:
        if self.replica.is_leader:
            grants = self.leadership.grant(request, clock.now())
            return messages.GrantReply(
                grants=grants, lifetime_ms=self.options.grant_lifetime_ms
            )
        reply = await self._ask_leader(
            messages.GrantRequest(
                node_id=request.node_id,
                incarnation=request.incarnation,
                wants=request.wants,
            )
        )
        return typing.cast(messages.GrantReply, reply)

    async def _query(self, request: messages.Query) -> _Reply:
        await self.barrier.wait(_REQUEST_TIMEOUT_S)
        if request.kind is messages.QueryKind.STATUS:
            return messages.QueryReply(body=self._status())
        if request.kind is messages.QueryKind.DOCUMENT:
            return messages.QueryReply(
                body=self.machine.configuration.document
            )
        return messages.QueryReply(
            body=_to_json(self.machine.query(request.kind, request.text))
        )

    def _status(self) -> bytes:
        return _to_json(
            {
                'slot': self.options.slot,
                'is_leader': self.replica.is_leader,
                'leader': self.replica.leader_slot,
                'applied_index': self.machine.applied_index,
                'sessions': self.sessions.dump(),
            }
        )

    async def _barrier(self, request: messages.BarrierRequest) -> _Reply:
        index = await self.replica.read_barrier(_REQUEST_TIMEOUT_S)
        return messages.BarrierReply(index=index)

    async def _liveness(self, request: messages.LivenessReport) -> _Reply:
        self.leadership.on_report(request.beats, clock.now())
        return messages.Done()

    async def stop(self) -> None:
        """Planned stop: nodes move to other replicas, then links close."""
        self.sessions.is_stopping = True
        end = clock.now() + _MOVE_TIMEOUT_S
        while self.sessions.open and clock.now() < end:
            await asyncio.sleep(_POLL_S)
        await self.replica.stop()
        await self.close()

    async def close(self) -> None:
        """End the replica, the listener, all links and tasks at once."""
        self.close_links()
        await self.replica.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole state for the admin listener; holds no key."""
        return {
            'slot': self.options.slot,
            'replica': self.replica.dump(),
            'sessions': self.sessions.dump(),
            'leadership': self.leadership.dump(),
            'configuration': self.machine.query(
                messages.QueryKind.CONFIGURATION, ''
            ),
            'members': self.machine.query(messages.QueryKind.MEMBERS, ''),
        }


def _to_json(value: dict[str, typing.Any]) -> bytes:
    return json.dumps(value, sort_keys=True).encode()
