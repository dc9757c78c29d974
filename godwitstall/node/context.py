"""Requests that run at the own upstream, by the context given to it.

The upstream passes the context on with its onward calls. Workspace, key,
deadline, priority and attempts of such a call come from here and from
nothing that the upstream sends, so it cannot act for another workspace.
"""

import dataclasses
import secrets

from godwitstall.limits import attempts as chain_attempts
from godwitstall import messages

_TOKEN_BYTES = 16


@dataclasses.dataclass(slots=True)
class Running:
    """One request that the upstream runs now."""

    # Random text known to this node and the upstream only.
    token: str
    # Workspace it runs for; empty on open routes.
    workspace: messages.WorkspaceName
    # Key that admitted the chain; empty on open routes.
    key_id: messages.KeyId
    # Route of the chain's first call or of this one.
    route_name: str
    # Priority of the chain.
    priority: messages.Priority
    # End of the time that is left, seconds of clock.now().
    deadline: float
    # Runs that onward calls may still use.
    budget: chain_attempts.ChainBudget
    # Rank of the workspace.
    order: int
    # Fingerprint of the request.
    fingerprint: bytes
    # When it was dispatched, seconds of clock.now().
    started_at: float
    # Whether an onward call failed for good.
    has_given_up: bool = False
    # Onward calls that run now.
    onward_calls: int = 0
    # When the present time with onward calls began, or the last one ended.
    onward_changed_at: float = 0.0
    # Time spent with at least one onward call, seconds.
    onward_s: float = 0.0

    def begin_onward(self, now: float) -> None:
        """Note that an onward call starts."""
        if not self.onward_calls:
            self.onward_changed_at = now
        self.onward_calls += 1

    def end_onward(self, now: float) -> None:
        """Note that an onward call has ended."""
        self.onward_calls -= 1
        if not self.onward_calls:
            self.onward_s += now - self.onward_changed_at
            self.onward_changed_at = now

    def own_time_s(self, now: float) -> float:
        """Return the time that the upstream itself has taken so far.

        Time in onward calls is left out: it tells of the load of services
        further down and must not lower the limit of this one.
        """
        onward_s = self.onward_s
        if self.onward_calls:
            onward_s += now - self.onward_changed_at
        return now - self.started_at - onward_s


class Contexts:
    """All requests that run at the own upstream."""

    def __init__(self) -> None:
        self.running: dict[str, Running] = {}

    def open(
        self, call: messages.Call, deadline: float, now: float
    ) -> Running:
        """Enter a request that is about to be dispatched.

        Its token is random, or the id that the mesh gives each request. An
        id that runs here already gets a random one: two runs of one request
        are not told apart by their onward calls.
        """
        token = call.request_id.decode('latin-1')
        if not token or token in self.running:
            token = secrets.token_hex(_TOKEN_BYTES)
        entry = Running(
            token,
            call.workspace,
            call.key_id,
            call.route_name,
            call.priority,
            deadline,
            chain_attempts.ChainBudget(max(0, call.attempts - 1)),
            call.order,
            call.fingerprint,
            now,
        )
        self.running[token] = entry
        return entry

    def close(self, entry: Running) -> None:
        """Remove a request that has ended; its context is void then."""
        del self.running[entry.token]

    def find(self, token: str) -> Running | None:
        """Return the running request of a context, None when it ended."""
        return self.running.get(token)

    def parent_of(self, request_id: bytes) -> Running | None:
        """Return the running request that an onward call belongs to.

        Where requests have ids, the id of an onward call is that of its
        parent with a suffix behind a dot. Only a request that runs here now
        counts, so an id alone gives nobody a parent.
        """
        parent_id, dot, _ = request_id.rpartition(b'.')
        return self.find(parent_id.decode('latin-1')) if dot else None

    def oldest_start(self) -> float | None:
        """Return since when the upstream owes its oldest answer.

        A request that waits for an onward call is not counted, since the
        delay is not the upstream's own. None when nothing is owed.
        """
        return min(
            (
                max(entry.started_at, entry.onward_changed_at)
                for entry in self.running.values()
                if not entry.onward_calls
            ),
            default=None,
        )
