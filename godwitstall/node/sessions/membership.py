"""Keeps the node's entry in the replicated member list up to date.

The node joins after the first announcement of its upstream, sends changes of
the upstream's state, joins again if control removed the node by mistake, and
leaves at a planned stop. A drain of the upstream is recorded also after that,
because it binds the later processes of the node.
"""

import asyncio
import dataclasses

from godwitstall import clock
from godwitstall import decisions
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node.sessions import control_session
from godwitstall.node.upstreams import upstream as upstream_module
from godwitstall.routing import view as view_module
from godwitstall import settings

_LOG = logs.get('membership')
_DRAINS = metrics.counter(
    'upstream_drains_total',
    'Upstream processes that drained, by whether control recorded it.',
)

# Timeout of one membership command, seconds.
_COMMAND_TIMEOUT_S = 5.0

# Interval at which the recorded entry is checked, seconds.
_CHECK_INTERVAL_S = 0.25

# Time to record a drain before it is acknowledged, seconds. Upstreams wait
# one second for the acknowledgement.
_RECORD_TIMEOUT_S = 0.8


class Membership:
    """Updates the node's own entry in the member list."""

    def __init__(
        self,
        options: settings.NodeOptions,
        view: view_module.View,
        session: control_session.ControlSession,
    ) -> None:
        self.options = options
        self.view = view
        self.session = session
        self.upstream: upstream_module.Upstream | None = None
        # Set if the upstream's state or slots changed.
        self.changed = asyncio.Event()
        self.is_leaving = False
        # Whether control accepted a Join of this process.
        self.has_joined = False
        # Incarnation of the last upstream process whose drain control has
        # recorded, so that it survives the end of this process.
        self.recorded_drain = 0
        # Set when recorded_drain changes.
        self.drain_recorded = asyncio.Event()

    def on_upstream_change(self) -> None:
        """Wake run() after a change of the upstream's state or slots."""
        self.changed.set()

    def desired_member(self) -> messages.Member | None:
        """Return the entry to record, None before the first announcement."""
        if self.upstream is None or not self.upstream.incarnation:
            return None
        state = self.upstream.state
        if self.upstream.is_stalled:
            state = messages.UpstreamState.DOWN
        return messages.Member(
            self.options.node_id,
            self.session.incarnation,
            self.options.service,
            self.options.zone,
            self.options.region,
            self.options.link_address,
            state,
            False,
            self.upstream.slots,
            self.upstream.incarnation,
        )

    async def run(self) -> None:
        """Keep the recorded entry equal to the desired one until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self.changed.wait()
            except TimeoutError:
                pass
            self.changed.clear()
            if not self.session.connected.is_set():
                continue
            command = self._next_command()
            if command is None:
                continue
            try:
                result = await self.session.propose(
                    command, _COMMAND_TIMEOUT_S
                )
            except errors.GodwitstallError as e:
                _LOG.warning('Failed to update the membership: %s', e)
                continue
            if isinstance(result, messages.CommandResult):
                self._on_result(command, result)

    def _on_result(
        self, command: messages.Message, result: messages.CommandResult
    ) -> None:
        if result.is_accepted:
            self.has_joined |= isinstance(command, messages.Join)
            self._note_drain_in(command)
            return
        _LOG.warning(
            'Control refused the membership command: %s', result.detail
        )
        # If the first Join is refused, the wall clock was set back or the
        # first state came from a lagging replica. A later refusal means that
        # another process has taken the node id and stays the member.
        if isinstance(command, messages.Join) and not self.has_joined:
            self.session.raise_incarnation()
            self.changed.set()

    def _note_drain_in(self, command: messages.Message) -> None:
        """Note the drain that an accepted command has recorded, if any."""
        match command:
            case messages.Join():
                state = command.member.state
                incarnation = command.member.upstream_incarnation
            case messages.SetUpstreamState():
                state = command.state
                incarnation = command.upstream_incarnation
            case _:
                return
        if state is messages.UpstreamState.DRAINING:
            self._note_recorded_drain(incarnation)

    def _note_recorded_drain(self, incarnation: int) -> None:
        if incarnation == self.recorded_drain:
            return
        self.recorded_drain = incarnation
        self.drain_recorded.set()
        self._write_drain('recorded', incarnation)

    async def wait_until_drain_is_recorded(self) -> None:
        """Wait until control knows that the current upstream has drained.

        A drain may be acknowledged only then, because this process can end
        right after the acknowledgement. Errors: RequestError of kind
        CONTROL_LOST if control does not record it in time.
        """
        assert self.upstream is not None
        incarnation = self.upstream.incarnation
        try:
            async with asyncio.timeout(_RECORD_TIMEOUT_S):
                while self.recorded_drain != incarnation:
                    self.drain_recorded.clear()
                    await self.drain_recorded.wait()
        except TimeoutError as e:
            raise errors.RequestError(
                errors.ErrorKind.CONTROL_LOST,
                'Control has not recorded yet that the upstream drained.',
            ) from e

    def is_drain_unrecorded(self) -> bool:
        """Return whether control does not know that the upstream drained."""
        return (
            self.upstream is not None
            and self.upstream.has_drained
            and self.upstream.incarnation != self.recorded_drain
        )

    def report_unrecorded_drain(self) -> None:
        """Report a drain that is lost with the end of this process."""
        if self.is_drain_unrecorded():
            assert self.upstream is not None
            self._write_drain('unrecorded', self.upstream.incarnation)

    def _write_drain(self, result: str, incarnation: int) -> None:
        _DRAINS.inc(result=result)
        decisions.write(
            'membership', f'drain_{result}', upstream_incarnation=incarnation
        )

    def _next_command(self) -> messages.Message | None:
        desired = self.desired_member()
        if desired is None:
            return None
        if self.is_leaving:
            return self._next_drain()
        recorded = self.view.members.get(self.options.node_id)
        if recorded is not None and self._adopt_drain(recorded):
            desired = self.desired_member()
            assert desired is not None
        if recorded is None or recorded.incarnation != desired.incarnation:
            return messages.Join(desired)
        # A stall or a lost upstream would hide the drain.
        drain = self._next_drain()
        if drain is not None:
            return drain
        if has_same_upstream(recorded, desired):
            return None
        return _set_upstream_state(desired)

    def _next_drain(self) -> messages.SetUpstreamState | None:
        """Return the command for a drain that control does not know."""
        desired = self.desired_member()
        if desired is None or not self.is_drain_unrecorded():
            return None
        return _set_upstream_state(
            dataclasses.replace(desired, state=messages.UpstreamState.DRAINING)
        )

    def _adopt_drain(self, recorded: messages.Member) -> bool:
        """Set the upstream to draining if control recorded its drain.

        The upstream process may have drained before this node process
        started; see members/registry.py. Returns whether the state changed.
        """
        assert self.upstream is not None
        if (
            recorded.state is not messages.UpstreamState.DRAINING
            or recorded.upstream_incarnation != self.upstream.incarnation
            or self.upstream.state is not messages.UpstreamState.READY
        ):
            return False
        _LOG.info('The upstream process drained before this node started.')
        self._note_recorded_drain(recorded.upstream_incarnation)
        self.upstream.set_state(messages.UpstreamState.DRAINING)
        return True

    async def leave(self) -> None:
        """Leave the member list; log a warning and give up if this fails."""
        self.is_leaving = True
        if not self.session.incarnation:
            return
        command = messages.Leave(
            self.options.node_id, self.session.incarnation
        )
        started_at = clock.now()
        try:
            await self.session.propose(command, _COMMAND_TIMEOUT_S)
        except errors.GodwitstallError as e:
            _LOG.warning('Failed to leave the member list: %s', e)
        _LOG.info(
            'Leaving the member list ended after %.3f s.',
            clock.now() - started_at,
        )


def _set_upstream_state(member: messages.Member) -> messages.SetUpstreamState:
    return messages.SetUpstreamState(
        member.node_id,
        member.incarnation,
        member.state,
        member.slots,
        member.upstream_incarnation,
    )


def has_same_upstream(
    recorded: messages.Member, desired: messages.Member
) -> bool:
    """Return whether two entries have the same upstream, state and slots."""
    return (
        recorded.state is desired.state
        and recorded.slots == desired.slots
        and recorded.upstream_incarnation == desired.upstream_incarnation
    )
