"""Leader duties outside the log: granting tokens and expiring members.

The rate ledger and the time of each member's last heartbeat are soft state:
they are not replicated, and each new leader initializes them afresh. Both
are designed so that this is safe.
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
_TOKENS_GRANTED = metrics.counter(
    'tokens_granted_total', 'Tokens by workspace.'
)
_MEMBERS_EXPIRED = metrics.counter('members_expired_total', 'Members removed.')

# Interval at which followers report the heartbeats that they received, and
# the leader expires members without heartbeats.
_REPORT_INTERVAL_S = 0.5

_REQUEST_TIMEOUT_S = 1.0


class Leadership:
    """Soft state and periodic work of the leader.

    On a follower only the liveness reports to the leader are active.
    """

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
        # Workspaces in the ledger.
        self.workspace_names: set[str] = set()
        # Log index of the configuration that the ledger was updated to.
        self.ledger_configuration_index = -1
        # Whether the soft state was initialized for the current term.
        self.is_started = False
        # Clock time until which tokens of previous leaders may be spent,
        # seconds: one grant lifetime after the start of the term.
        self.settled_at = 0.0
        replica.on_role_change = self.on_role_change
        machine.on_change.append(self.on_change)

    def on_role_change(self, is_leader: bool) -> None:
        """Initialize the soft state of a new leader, or deactivate it."""
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
        self.ledger_configuration_index = -1
        self._update_ledger(now)
        self.liveness.start_term(self.machine.members, now)
        self.is_started = True

    def on_change(self) -> None:
        """Update the ledger after a change of the replicated state."""
        if self.is_started:
            self._update_ledger(clock.now())

    def _update_ledger(self, now: float) -> None:
        current = self.machine.configuration.configuration
        if current.index == self.ledger_configuration_index:
            return
        self.ledger_configuration_index = current.index
        names: set[str] = {workspace.name for workspace in current.workspaces}
        # A workspace added in this term never had tokens of an earlier leader,
        # unless it was removed before. The ledger checks for that case.
        added_names = names - self.workspace_names
        self.workspace_names = names
        self.ledger.set_workspaces(current.workspaces, now, added_names)

    def grant(
        self, request: messages.GrantRequest, now: float
    ) -> list[messages.Grant]:
        """Grant tokens to a node.

        Errors: ControlError of kind NOT_LEADER without a leader lease,
        because a newer leader may already grant tokens.
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
                _TOKENS_GRANTED.inc(grant.tokens, workspace=grant.workspace)
            if now < self.settled_at and grant.workspace in (
                self.workspace_names
            ):
                # The level started at 0 in this term, so a lack of tokens
                # does not mean that the rate is exceeded. Without a retry
                # time, nodes queue the calls and do not reject them.
                grant.retry_after_ms = 0
        return grants

    def on_liveness_report(
        self, beats: collections.abc.Iterable[messages.NodeBeat], now: float
    ) -> None:
        """Record the heartbeats that a replica reports."""
        for beat in beats:
            self.liveness.record_heartbeat(
                beat.node_id, beat.incarnation, beat.age_ms / 1000, now
            )

    async def run(self) -> None:
        """Expire members as leader, report heartbeats as follower.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            now = clock.now()
            try:
                if self.replica.is_leader:
                    await self._expire_members(now)
                else:
                    await self._report_heartbeats(now)
            except errors.GodwitstallError as e:
                _LOG.debug('Liveness round failed: %s', e)

    async def _report_heartbeats(self, now: float) -> None:
        link = self.replica.leader_link()
        beats = self.sessions.node_beats(now)
        if link is not None and beats:
            await link.request(
                messages.LivenessReport(beats=beats), _REQUEST_TIMEOUT_S
            )

    async def _expire_members(self, now: float) -> None:
        if not self.is_started or not self.replica.holds_lease():
            return
        self.on_liveness_report(self.sessions.node_beats(now), now)
        expired = self.liveness.timed_out_members(now)
        if not expired:
            return
        _MEMBERS_EXPIRED.inc(len(expired))
        _LOG.warning(
            'Expiring members without heartbeats: %s.',
            ', '.join(beat.node_id for beat in expired),
        )
        await self.replica.propose(
            codec.encode(messages.Expire(expired)), _REQUEST_TIMEOUT_S
        )
        for beat in expired:
            # A process that rejoins gets the whole timeout again, because
            # the report of its heartbeats may arrive after its Join.
            self.liveness.remove(beat.node_id, beat.incarnation)

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            'is_started': self.is_started,
            'workspaces': sorted(self.workspace_names),
        }
