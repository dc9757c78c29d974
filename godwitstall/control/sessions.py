"""Node sessions of one control replica: state updates and heartbeats.

Each session receives every change of the replicated state in order. Before
a heartbeat is answered as fresh, the replica passes a read barrier and sends
the node all changes up to it. The reply thus proves that the node's view is
at least as recent as its heartbeat.
"""

import asyncio
import dataclasses
import typing

from godwitstall import clock
from godwitstall import codec
from godwitstall.control import barrier as barrier_module
from godwitstall.control import machine as machine_module
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics

_LOG = logs.get('sessions')
_UPDATES_SENT = metrics.counter('state_updates_total', 'State updates sent.')
_HEARTBEATS_UNCONFIRMED = metrics.counter(
    'heartbeats_unconfirmed_total', 'Heartbeats that were not confirmed.'
)
_HEARTBEATS_REPLACED = metrics.counter(
    'heartbeats_replaced_total',
    'Heartbeats dropped for a later one of the same session.',
)

# Time between two updates of a session, in which changes are batched. The
# interval grows with the number of sessions: when all nodes start, each one
# causes a change, and each update is sent to all nodes.
_PUSH_INTERVAL_S = 0.02
_PUSH_INTERVAL_PER_SESSION_S = 0.002
_MAX_PUSH_INTERVAL_S = 0.2

_CONFIRM_TIMEOUT_S = 1.5

# No update is sent to a node while more unsent bytes than this are buffered
# for its link. The next update covers all missed changes, so a slow reader
# buffers at most this and one update, and not the link's limit of 32 MiB.
_MAX_UNSENT_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class Session:
    """Connection of one node to this replica."""

    link: link_module.Link
    # Node id from the heartbeats.
    node_id: messages.NodeId = messages.NodeId('')
    # Incarnation from the heartbeats; 0 before the node has chosen one.
    incarnation: int = 0
    # Log index of the last update sent; -1 before the first.
    sent_index: int = -1
    # Log index that the node had applied at its last heartbeat.
    applied_index: int = 0
    # Clock time of the last heartbeat, seconds.
    last_heartbeat_at: float = 0.0
    # Latest heartbeat whose confirmation has not started.
    pending_heartbeat: messages.Heartbeat | None = None
    # Whether a task is confirming heartbeats of this session.
    is_confirming: bool = False


class Sessions:
    """All node sessions of one replica."""

    def __init__(
        self,
        machine: machine_module.Machine,
        barrier: barrier_module.Barrier,
    ) -> None:
        self.machine = machine
        self.barrier = barrier
        self.by_link: dict[link_module.Link, Session] = {}
        self.state_changed = asyncio.Event()
        # Whether heartbeat replies ask nodes to use another replica.
        self.is_stopping = False
        # Encoded updates to encoded_index, by the index that they start from.
        self.encoded_updates: dict[int, bytes] = {}
        self.encoded_index = -1
        machine.on_change.append(self.state_changed.set)

    async def run(self) -> None:
        """Send changes to all sessions until cancelled."""
        while True:
            await self.state_changed.wait()
            self.state_changed.clear()
            for session in list(self.by_link.values()):
                self._push(session)
            await asyncio.sleep(self._push_interval_s())

    def _push_interval_s(self) -> float:
        """Return the time between two updates of a session."""
        interval_s = _PUSH_INTERVAL_S + _PUSH_INTERVAL_PER_SESSION_S * len(
            self.by_link
        )
        return min(interval_s, _MAX_PUSH_INTERVAL_S)

    def _push(self, session: Session) -> bool:
        """Send missing changes; return whether the node has been sent all."""
        index = self.machine.applied_index
        if session.sent_index >= index:
            return True
        if session.link.unsent_bytes > _MAX_UNSENT_BYTES:
            return False
        try:
            session.link.send_encoded(self._encoded_update(session.sent_index))
        except errors.LinkError:
            return False
        session.sent_index = index
        _UPDATES_SENT.inc()
        return True

    def _encoded_update(self, since: int) -> bytes:
        """Return the encoded update, cached for all sessions."""
        if self.encoded_index != self.machine.applied_index:
            self.encoded_index = self.machine.applied_index
            self.encoded_updates.clear()
        data = self.encoded_updates.get(since)
        if data is None:
            if since < 0:
                update = self.machine.full_update()
            else:
                update = self.machine.update_since(since)
            data = self.encoded_updates[since] = codec.encode(update)
        return data

    def on_heartbeat(
        self, link: link_module.Link, heartbeat: messages.Heartbeat
    ) -> Session | None:
        """Record a heartbeat; return its session if confirm() must be run.

        A heartbeat that is pending while another one is confirmed is
        replaced by the next and gets no reply, so that the heartbeats of a
        node cannot accumulate.
        """
        session = self.by_link.get(link)
        if session is None:
            session = self.by_link[link] = Session(link)
            if heartbeat.applied_index:
                # The node used another replica before, and needs only the
                # changes since its applied index.
                session.sent_index = heartbeat.applied_index
        session.node_id = heartbeat.node_id
        session.incarnation = heartbeat.incarnation
        session.applied_index = heartbeat.applied_index
        session.last_heartbeat_at = clock.now()
        if session.pending_heartbeat is not None:
            _HEARTBEATS_REPLACED.inc()
        session.pending_heartbeat = heartbeat
        if session.is_confirming:
            return None
        session.is_confirming = True
        return session

    async def confirm(self, session: Session) -> None:
        """Answer the heartbeats of a session until none is pending."""
        try:
            while (
                session.pending_heartbeat is not None
                and not session.link.is_closed
            ):
                heartbeat, session.pending_heartbeat = (
                    session.pending_heartbeat,
                    None,
                )
                await self._reply(session, heartbeat)
        except errors.LinkError as e:
            _LOG.debug(
                'Cannot answer the heartbeat of %s: %s', session.node_id, e
            )
        finally:
            session.is_confirming = False

    async def _reply(
        self, session: Session, heartbeat: messages.Heartbeat
    ) -> None:
        try:
            await self.barrier.wait(_CONFIRM_TIMEOUT_S)
            is_fresh = True
        except errors.GodwitstallError as e:
            _LOG.debug(
                'Heartbeat of %s not confirmed: %s', heartbeat.node_id, e
            )
            _HEARTBEATS_UNCONFIRMED.inc()
            is_fresh = False
        # A fresh reply must be sent after all state that it confirms.
        is_fresh = self._push(session) and is_fresh
        session.link.send(
            messages.HeartbeatReply(
                heartbeat.seq,
                is_fresh,
                self.machine.applied_index if is_fresh else 0,
                self.is_stopping,
            )
        )

    def on_link_closed(self, link: link_module.Link) -> None:
        """Remove the session of a closed link."""
        self.by_link.pop(link, None)

    def node_beats(self, now: float) -> list[messages.NodeBeat]:
        """Return the age of each node's last heartbeat to this replica."""
        return [
            messages.NodeBeat(
                session.node_id,
                session.incarnation,
                int((now - session.last_heartbeat_at) * 1000),
            )
            for session in self.by_link.values()
            if session.incarnation
        ]

    def dump(self) -> list[dict[str, typing.Any]]:
        """Return the sessions for the admin listener."""
        now = clock.now()
        return [
            {
                'node_id': session.node_id,
                'incarnation': session.incarnation,
                'sent_index': session.sent_index,
                'applied_index': session.applied_index,
                'heard_ago_s': round(now - session.last_heartbeat_at, 3),
            }
            for session in self.by_link.values()
        ]
