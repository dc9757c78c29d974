"""What only the leader does beside the log: tokens and lost members.

The rate ledger and the times when members were last heard are soft state.
They start anew with each term; both are built so that a fresh start is safe.
"""

import asyncio
import collections.abc
import typing

from godwitstall import clock
from godwitstall import codec
from godwitstall.consensus import replica as replica_module
from godwitstall.control import machine as machine_module
from godwitstall.control import sessions as sessions_module
from godwitstall import errors
from godwitstall import logs
from godwitstall.members import liveness as liveness_module
from godwitstall import messages
from godwitstall import metrics
from godwitstall.rates import ledger as ledger_module
from godwitstall import settings

_LOG = logs.get('leadership')
_GRANTED = metrics.counter('tokens_granted_total', 'Tokens by workspace.')
_EXPIRED = metrics.counter('members_expired_total', 'Members removed.')

# How often followers report the nodes that they hear, and the leader looks
# for silent ones, seconds.
_REPORT_INTERVAL_S = 0.5

_TIMEOUT_S = 1.0


class Leadership:
    """Duties of the leader; idle on a follower but for its reports."""

    def __init__(
        self,
        options: settings.ControlOptions,
        machine: machine_module.Machine,
        replica: replica_module.Replica,
        sessions: sessions_module.Sessions,
    ) -> None:
        self.options = options
        self.machine = machine
        self.replica = replica
        self.sessions = sessions
        self.ledger = ledger_module.Ledger(options.grant_lifetime_ms / 1000)
        self.liveness = liveness_module.LivenessTable(options.member_timeout_s)
        # Workspaces that the ledger knows.
        self.workspace_names: set[str] = set()
        # Log index of the configuration that the ledger knows.
        self.ledger_index = -1
        # Whether the soft state was started for the present term.
        self.is_started = False
        # When the ledger has been filled for a lifetime in this term, seconds.
        self.settled_at = 0.0
        replica.on_role_change = self.on_role_change
        machine.on_change.append(self.on_change)

    def on_role_change(self, is_leader: bool) -> None:
        """Start the soft state of a new term."""
        self.is_started = False
        if not is_leader:
            return
        now = clock.now()
        self.ledger.start_term(now)
        self.settled_at = now + self.options.grant_lifetime_ms / 1000
        current = self.machine.configuration.configuration
        self.workspace_names = {
            workspace.name for workspace in current.workspaces
        }
        self.ledger_index = -1
        self._update_ledger(now)
        self.liveness.start_term(self.machine.members, now)
        self.is_started = True

    def on_change(self) -> None:
        """Follow a change of the replicated state."""
        if self.is_started:
            self._update_ledger(clock.now())

    def _update_ledger(self, now: float) -> None:
        current = self.machine.configuration.configuration
        if current.index == self.ledger_index:
            return
        self.ledger_index = current.index
        names: set[str] = {workspace.name for workspace in current.workspaces}
        # A workspace accepted in this term has never had a token out.
        new_names = names - self.workspace_names
        self.workspace_names = names
        self.ledger.set_workspaces(current.workspaces, now, new_names)

    def grant(
        self, request: messages.GrantRequest, now: float
    ) -> list[messages.Grant]:
        """Grant tokens to a node.

        Errors: ControlError of kind NOT_LEADER without a leader lease: a
        newer leader may be granting already.
        """
        if not self.is_started or not self.replica.holds_lease():
            raise errors.ControlError(
                errors.ErrorKind.NOT_LEADER, 'The leader lease has ended.'
            )
        grants = self.ledger.grant(
            request.node_id, request.incarnation, request.wants, now
        )
        for grant in grants:
            if grant.tokens:
                _GRANTED.inc(grant.tokens, workspace=grant.workspace)
            if now < self.settled_at and grant.workspace in (
                self.workspace_names
            ):
                # The level started at 0, so a lack of tokens does not show
                # that the rate is used up; calls wait instead.
                grant.retry_after_ms = 0
        return grants

    def on_report(
        self, beats: collections.abc.Iterable[messages.NodeBeat], now: float
    ) -> None:
        """Take in which nodes a replica hears."""
        for beat in beats:
            self.liveness.record_heartbeat(
                beat.node_id, beat.incarnation, beat.age_ms / 1000, now
            )

    async def run(self) -> None:
        """Report or expire members until cancelled."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            now = clock.now()
            try:
                if self.replica.is_leader:
                    await self._expire(now)
                else:
                    await self._report(now)
            except errors.GodwitstallError as e:
                _LOG.debug('Members: %s', e)

    async def _report(self, now: float) -> None:
        link = self.replica.leader_link()
        beats = self.sessions.beats(now)
        if link is not None and beats:
            await link.request(
                messages.LivenessReport(beats=beats), _TIMEOUT_S
            )

    async def _expire(self, now: float) -> None:
        if not self.is_started or not self.replica.holds_lease():
            return
        self.on_report(self.sessions.beats(now), now)
        silent = self.liveness.silent_members(now)
        if not silent:
            return
        _EXPIRED.inc(len(silent))
        _LOG.warning(
            'Members fell silent: %s.',
            ', '.join(beat.node_id for beat in silent),
        )
        await self.replica.propose(
            codec.encode(messages.Expire(silent)), _TIMEOUT_S
        )
        for beat in silent:
            # A process that joins again gets the whole time: the report of
            # its heartbeats may come after its Join.
            self.liveness.remove(beat.node_id, beat.incarnation)

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the dump."""
        return {
            'is_started': self.is_started,
            'workspaces': sorted(self.workspace_names),
        }
