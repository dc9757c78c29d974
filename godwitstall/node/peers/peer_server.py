"""Serves calls and token requests that other nodes send over links."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools

from godwitstall import errors
from godwitstall import link as link_module
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

# Maximum size of the bodies of all calls of other nodes that have not been
# answered, bytes.
MAX_CALL_BYTES = 32 * 1024 * 1024

TakeHandler = collections.abc.Callable[
    [messages.Take], collections.abc.Awaitable[messages.TakeReply]
]


@dataclasses.dataclass(slots=True)
class _LinkCalls:
    """The requests of one link that have not been answered."""

    tasks: dict[int, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict
    )
    # Calls that the owner has begun to handle; the others have not been run.
    running: dict[int, messages.Call] = dataclasses.field(default_factory=dict)


class PeerServer(link_server.LinkServer):
    """Accepts links from other nodes."""

    def __init__(
        self,
        identity: link_module.Identity,
        owner: dispatch.Owner,
        max_connections: int = 0,
    ) -> None:
        super().__init__(identity, max_connections)
        self.counts_unsent = True
        self.owner = owner
        # Handles token requests of nodes that cannot reach the ledger; None if
        # this node does not serve token requests.
        self.on_take: TakeHandler | None = None
        self.calls: dict[link_module.Link, _LinkCalls] = {}
        # Size of the bodies of all calls that have not been answered, bytes.
        self.held_call_bytes = 0

    async def serve(self, link: link_module.Link) -> None:
        """Serve the requests of one link until it closes."""
        calls = self.calls[link] = _LinkCalls()
        try:
            await link.run_sync_handler(
                functools.partial(self._on_message, link, calls)
            )
        finally:
            del self.calls[link]
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
        calls = self.calls.get(link, _LinkCalls())
        for call_id, task in calls.tasks.items():
            if call_id not in calls.running:
                task.cancel()
        with contextlib.suppress(errors.LinkError):
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
            case messages.Call() if self._is_full(message):
                _CALLS_REFUSED.inc()
                answer = answers.of_error(
                    errors.RequestError(errors.ErrorKind.MEMORY_FULL)
                )
                answer.call_id = message.call_id
                with contextlib.suppress(errors.LinkError):
                    link.send(answer)
            case messages.Call():
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
                running_task = tasks.get(message.call_id)
                if running_task is not None:
                    running_task.cancel()
            case _:
                _LOG.warning('Unexpected message %s.', type(message).__name__)

    def _is_full(self, call: messages.Call) -> bool:
        """Return whether a call exceeds the memory for those of all peers."""
        held_bytes = self.held_call_bytes + len(call.body)
        return bool(self.held_call_bytes) and held_bytes > MAX_CALL_BYTES

    async def _handle_call(
        self,
        link: link_module.Link,
        calls: _LinkCalls,
        call: messages.Call,
    ) -> None:
        calls.running[call.call_id] = call
        self.held_call_bytes += len(call.body)
        try:
            answer = await self.owner.handle(call)
        finally:
            self.held_call_bytes -= len(call.body)
            calls.running.pop(call.call_id, None)
        try:
            link.send(answer)
        except errors.LinkError as e:
            _LOG.debug('Failed to send an answer: %s', e)


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
