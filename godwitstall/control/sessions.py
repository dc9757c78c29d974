"""Node sessions of one control replica: state pushes and heartbeats.

A session is sent every change of the replicated state in order. A heartbeat
is answered only after the replica has confirmed with the leader how far the
log was committed when the heartbeat arrived, has applied that, and has sent
it; so the reply proves that the node's view is as new as its heartbeat.
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
_PUSHES = metrics.counter('state_updates_total', 'State updates sent.')
_STALE = metrics.counter(
    'heartbeats_unconfirmed_total', 'Heartbeats that were not confirmed.'
)
_REPLACED = metrics.counter(
    'heartbeats_replaced_total',
    'Heartbeats dropped for a later one of the same session.',
)

# Changes that come close together are sent as one update. With more sessions
# the gap is longer, since a start of all nodes makes a change for each of
# them, and each update goes to all.
_PUSH_GAP_S = 0.02
_PUSH_GAP_A_SESSION_S = 0.002
_MAX_PUSH_GAP_S = 0.2

# Longest time to confirm one heartbeat, seconds.
_CONFIRM_TIMEOUT_S = 1.5

# Bytes that may wait for a node before it is sent no further update. The
# update that it gets later covers all that it missed, so a node that reads
# slowly costs this and one update, and not the link's 32 MiB.
_MAX_UNSENT_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class Session:
    """One node that is connected to this replica."""

    # The connection.
    link: link_module.Link
    # Node id that the heartbeats name.
    node_id: messages.NodeId = messages.NodeId('')
    # Start number that the heartbeats name; 0 before the node chose one.
    incarnation: int = 0
    # Log index of the last update sent; -1 before the first.
    sent_index: int = -1
    # Log index that the last heartbeat named as applied.
    applied_index: int = 0
    # Time of the last heartbeat, seconds.
    heard_at: float = 0.0
    # Last heartbeat that no confirmation has been started for.
    waiting: messages.Heartbeat | None = None
    # Whether a task confirms heartbeats of this session.
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
        self.open: dict[link_module.Link, Session] = {}
        self.changed = asyncio.Event()
        # Whether nodes are told to use another replica.
        self.is_stopping = False
        # Encoded updates by the index they start from, for one push.
        self.encoded: dict[int, bytes] = {}
        self.encoded_index = -1
        machine.on_change.append(self.changed.set)

    async def run(self) -> None:
        """Push changes until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            for session in list(self.open.values()):
                self._push(session)
            await asyncio.sleep(self._push_gap_s())

    def _push_gap_s(self) -> float:
        """Return the time between two updates of a session."""
        gap_s = _PUSH_GAP_S + _PUSH_GAP_A_SESSION_S * len(self.open)
        return min(gap_s, _MAX_PUSH_GAP_S)

    def _push(self, session: Session) -> bool:
        """Send what the node lacks; return whether it lacks nothing now."""
        index = self.machine.applied_index
        if session.sent_index >= index:
            return True
        if session.link.unsent_bytes > _MAX_UNSENT_BYTES:
            return False
        try:
            session.link.send_encoded(self._update(session.sent_index))
        except errors.LinkError:
            return False
        session.sent_index = index
        _PUSHES.inc()
        return True

    def _update(self, since: int) -> bytes:
        """Return the encoded update, made once for all sessions."""
        if self.encoded_index != self.machine.applied_index:
            self.encoded_index = self.machine.applied_index
            self.encoded.clear()
        data = self.encoded.get(since)
        if data is None:
            if since < 0:
                update = self.machine.full_update()
            else:
                update = self.machine.update_since(since)
            data = self.encoded[since] = codec.encode(update)
        return data

    def on_heartbeat(
        self, link: link_module.Link, beat: messages.Heartbeat
    ) -> Session | None:
        """Take in a heartbeat; return the session when confirm() must run.

        A heartbeat that waits while another one is confirmed is replaced by
        the next, so that a node cannot pile them up. The replaced one gets
        no reply.
        """
        session = self.open.get(link)
        if session is None:
            session = self.open[link] = Session(link)
            if beat.applied_index:
                # It comes from another replica and needs what changed since.
                session.sent_index = beat.applied_index
        session.node_id = beat.node_id
        session.incarnation = beat.incarnation
        session.applied_index = beat.applied_index
        session.heard_at = clock.now()
        if session.waiting is not None:
            _REPLACED.inc()
        session.waiting = beat
        if session.is_confirming:
            return None
        session.is_confirming = True
        return session

    async def confirm(self, session: Session) -> None:
        """Answer the heartbeats of a session until none waits."""
        try:
            while session.waiting is not None and not session.link.is_closed:
                beat, session.waiting = session.waiting, None
                await self._answer(session, beat)
        except errors.LinkError as e:
            _LOG.debug('Heartbeat of %s: %s', session.node_id, e)
        finally:
            session.is_confirming = False

    async def _answer(
        self, session: Session, beat: messages.Heartbeat
    ) -> None:
        try:
            await self.barrier.wait(_CONFIRM_TIMEOUT_S)
            is_fresh = True
        except errors.GodwitstallError as e:
            _LOG.debug('Heartbeat of %s not confirmed: %s', beat.node_id, e)
            _STALE.inc()
            is_fresh = False
        # A reply must follow all state that it vouches for.
        is_fresh = self._push(session) and is_fresh
        session.link.send(
            messages.HeartbeatReply(
                beat.seq,
                is_fresh,
                self.machine.applied_index if is_fresh else 0,
                self.is_stopping,
            )
        )

    def on_closed(self, link: link_module.Link) -> None:
        """Forget a session whose connection ended."""
        self.open.pop(link, None)

    def beats(self, now: float) -> list[messages.NodeBeat]:
        """Return how long ago each node was heard here."""
        return [
            messages.NodeBeat(
                session.node_id,
                session.incarnation,
                int((now - session.heard_at) * 1000),
            )
            for session in self.open.values()
            if session.incarnation
        ]

    def dump(self) -> list[dict[str, typing.Any]]:
        """Return the sessions for the dump."""
        now = clock.now()
        return [
            {
                'node_id': session.node_id,
                'incarnation': session.incarnation,
                'sent_index': session.sent_index,
                'applied_index': session.applied_index,
                'heard_ago_s': round(now - session.heard_at, 3),
            }
            for session in self.open.values()
        ]
