"""Checks that a call passes before its entry node sends it to an owner.

The entry and the gateway read different headers, and share these checks.

Example:
    admission.check(call, deadline)
    await admission.take_token(call.workspace, deadline)
"""

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.node import planned_stop as planned_stop_module
from godwitstall.node.requests import context
from godwitstall.node.sessions import control_session
from godwitstall.rates import allowance as allowance_module
from godwitstall.routing import view as view_module


class Admission:
    """Admits calls by the state of the node and the rates of workspaces."""

    def __init__(
        self,
        view: view_module.View,
        session: control_session.ControlSession,
        allowance: allowance_module.Allowance,
        planned_stop: planned_stop_module.PlannedStop,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self.view = view
        self.session = session
        self.allowance = allowance
        self.planned_stop = planned_stop
        # Bounds what the process holds.
        self.budget = budget

    def check_memory(self) -> None:
        """Check that answers find room in the memory of the process.

        Onward calls are not checked, because a running request needs them.
        Errors: RequestError of kind MEMORY_FULL if those of earlier requests
        wait for room.
        """
        if self.budget is not None and self.budget.is_congested():
            raise errors.RequestError(errors.ErrorKind.MEMORY_FULL)

    def check(self, call: messages.Call, deadline: float) -> None:
        """Check a call whose deadline is in seconds of clock.now().

        Errors: RequestError of kind STOPPING if a planned stop could cut the
        call, QUARANTINED if its request has crashed upstreams.
        """
        self.planned_stop.check(deadline)
        if self.view.is_quarantined(call.fingerprint):
            raise errors.RequestError(errors.ErrorKind.QUARANTINED)

    def onward_deadline(
        self, deadline: float, parent: context.RequestContext
    ) -> float:
        """Return the deadline of an onward call, not later than its parent's.

        Errors: RequestError of kind DEADLINE_PASSED.
        """
        deadline = self.planned_stop.limit(min(deadline, parent.deadline))
        if deadline <= clock.recent():
            raise errors.RequestError(errors.ErrorKind.DEADLINE_PASSED)
        return deadline

    async def take_token(
        self, workspace: messages.WorkspaceName, deadline: float
    ) -> None:
        """Take a token of the workspace's rate, with the errors of take()."""
        if self.allowance.try_take(workspace, clock.now()):
            return
        self.session.grant_wanted.set()
        await self.allowance.take(workspace, deadline)

    def has_valid_key(self, call: messages.Call) -> bool:
        """Return whether the key of a call has not been withdrawn."""
        return not call.key_id or (
            self.view.key_by_id(call.key_id) is not None
        )
