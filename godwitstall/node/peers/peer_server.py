"""Serves calls and token requests that other nodes send over links."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import link_bodies
from godwitstall import link_server
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import answers
from godwitstall.node import dispatch

_LOG = logs.get('peers')
_CALLS_REFUSED = metrics.counter(
    'peer_calls_refused_total',
    'Calls of other nodes refused because others take the memory.',
)

TakeHandler = collections.abc.Callable[
    [messages.Take], collections.abc.Awaitable[messages.TakeReply]
]


@dataclasses.dataclass(slots=True)
class _LinkCalls:
    """The requests of one link that have not been answered."""

    bodies: link_bodies.LinkBodies
    tasks: dict[int, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict
    )
    # Calls that the owner has begun to handle, until their answers are sent;
    # the others have not been run.
    running: dict[int, messages.Call] = dataclasses.field(default_factory=dict)


class _RunningBodies:
    """The bodies of calls that run, and of answers that are being sent.

    They are a holder of the budget that gives up nothing: what may have been
    run needs its answer.
    """

    def __init__(self) -> None:
        self.size = 0

    @property
    def moved_at(self) -> float:
        """Time at which bytes last moved, seconds."""
        return clock.recent()

    def held_bytes(self) -> int:
        """Return the size of the bodies."""
        return self.size

    def release_bytes(self) -> None:
        """Give up nothing."""


class PeerServer(link_server.LinkServer):
    """Accepts links from other nodes."""

    def __init__(
        self,
        identity: link_module.Identity,
        owner: dispatch.Owner,
        max_connections: int = 0,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        super().__init__(identity, max_connections, budget)
        self.counts_unsent = True
        self.owner = owner
        # Handles token requests of nodes that cannot reach the ledger; None if
        # this node does not serve token requests.
        self.on_take: TakeHandler | None = None
        self.calls: dict[link_module.Link, _LinkCalls] = {}
        self.running_bodies = _RunningBodies()
        self.budget.include({self.running_bodies})
        # Number of answers that are being sent in parts.
        self.sending_count = 0

    async def serve(self, link: link_module.Link) -> None:
        """Serve the requests of one link until it closes."""
        calls = _LinkCalls(link_bodies.LinkBodies(link, self.budget))
        self.calls[link] = calls
        try:
            await link.run_sync_handler(
                functools.partial(self._on_message, link, calls)
            )
        finally:
            del self.calls[link]
            calls.bodies.close()
            # The entry node is disconnected, so nobody receives the answers.
            for task in calls.tasks.values():
                task.cancel()

    def is_in_use(self, link: link_module.Link) -> bool:
        """Return whether calls of a link have not been answered."""
        calls = self.calls.get(link)
        return calls is not None and bool(calls.tasks)

    def on_end(self, link: link_module.Link) -> None:
        """Tell the entry node which of its calls may have been run.

        Without this it could not send the others, which this node does not
        read any more, to another owner.
        """
        calls = self.calls.get(link)
        with contextlib.suppress(errors.LinkError):
            if calls is not None:
                for call_id, task in calls.tasks.items():
                    if call_id not in calls.running:
                        task.cancel()
                for call in calls.running.values():
                    link.send(_lost_answer(call))
            link.send(
                answers.of_error(
                    errors.RequestError(errors.ErrorKind.STOPPING)
                )
            )

    def _on_message(
        self,
        link: link_module.Link,
        calls: _LinkCalls,
        message: messages.Message,
    ) -> None:
        tasks = calls.tasks
        match message:
            case messages.BodyOffer():
                if not calls.bodies.on_offer_at_once(message, clock.recent()):
                    self._refuse(link, message.call_id)
            case messages.BodyPart():
                calls.bodies.on_part(message)
            case messages.BodyGrant():
                calls.bodies.on_grant(message)
            case messages.Call() if self._is_full(message):
                self._refuse(link, message.call_id)
            case messages.Call():
                calls.bodies.take(message)
                task = asyncio.create_task(
                    self._handle_call(link, calls, message)
                )
                tasks[message.call_id] = task
                task.add_done_callback(
                    functools.partial(_remove_task, tasks, message.call_id)
                )
            case messages.Take() if self.on_take is not None:
                task = asyncio.create_task(
                    _handle_take(link, message, self.on_take)
                )
                tasks[message.call_id] = task
                task.add_done_callback(
                    functools.partial(_remove_task, tasks, message.call_id)
                )
            case messages.Cancel(call_id=0):
                # The peer checks whether this node is still reachable.
                load = self.owner.load()
                with contextlib.suppress(errors.LinkError):
                    link.send(messages.Answer(call_id=0, load=load))
            case messages.Cancel():
                calls.bodies.forget(message.call_id)
                running_task = tasks.get(message.call_id)
                if running_task is not None:
                    running_task.cancel()
            case _:
                _LOG.warning('Unexpected message %s.', type(message).__name__)

    def _refuse(self, link: link_module.Link, call_id: int) -> None:
        """Refuse a call for whose body there is no room."""
        _CALLS_REFUSED.inc()
        answer = answers.of_error(
            errors.RequestError(errors.ErrorKind.MEMORY_FULL)
        )
        answer.call_id = call_id
        # Without it the entry node would take the upstream for down.
        answer.load = self.owner.load()
        with contextlib.suppress(errors.LinkError):
            link.send(answer)

    def _is_full(self, call: messages.Call) -> bool:
        """Return whether there is no room for the body of a call."""
        if len(call.body) <= self.budget.unreserved_bytes:
            return False
        return not self.budget.has_room(len(call.body))

    async def _handle_call(
        self,
        link: link_module.Link,
        calls: _LinkCalls,
        call: messages.Call,
    ) -> None:
        calls.running[call.call_id] = call
        held = self.running_bodies
        size = len(call.body)
        held.size += size
        try:
            answer = await self.owner.handle(call)
            held.size += len(answer.body) - size
            size = len(answer.body)
            await self._send_answer(link, calls, answer)
        except errors.LinkError as e:
            _LOG.debug('Failed to send an answer: %s', e)
        finally:
            held.size -= size
            calls.running.pop(call.call_id, None)

    async def _send_answer(
        self,
        link: link_module.Link,
        calls: _LinkCalls,
        answer: messages.Answer,
    ) -> None:
        """Send an answer, a large body ahead of it.

        Errors: LinkError when the link is closed.
        """
        try:
            sends_in_parts = calls.bodies.sends_in_parts(answer.body)
        except errors.LinkError as e:
            too_large = answers.of_error(
                errors.RequestError(
                    errors.ErrorKind.ANSWER_TOO_LARGE, e.detail
                )
            )
            too_large.call_id = answer.call_id
            too_large.load = answer.load
            link.send(too_large)
            return
        if sends_in_parts:
            self.sending_count += 1
            try:
                await calls.bodies.send(answer.call_id, answer.body)
            finally:
                self.sending_count -= 1
            answer.body_bytes = len(answer.body)
            answer.body = b''
        link.send(answer)


async def _handle_take(
    link: link_module.Link, message: messages.Take, handler: TakeHandler
) -> None:
    reply = await handler(message)
    with contextlib.suppress(errors.LinkError):
        link.send(reply)


def _lost_answer(call: messages.Call) -> messages.Answer:
    """Return the answer to a call that ends with its link."""
    answer = answers.of_error(errors.RequestError(errors.ErrorKind.PEER_LOST))
    answer.call_id = call.call_id
    # It is unknown how many of them have been used.
    answer.attempts_used = call.attempts
    return answer


def _remove_task(
    tasks: dict[int, asyncio.Task[None]],
    call_id: int,
    task: asyncio.Task[None],
) -> None:
    # After a peer has reused a call id, the entry belongs to the later call.
    if tasks.get(call_id) is task:
        del tasks[call_id]
