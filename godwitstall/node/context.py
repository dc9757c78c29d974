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
    # Fingerprint of the request.
    fingerprint: bytes
    # When it was dispatched, seconds of clock.now().
    started_at: float
    # Whether an onward call failed for good.
    has_given_up: bool = False


class Contexts:
    """All requests that run at the own upstream."""

    def __init__(self) -> None:
        self.running: dict[str, Running] = {}

    def open(
        self, call: messages.Call, deadline: float, now: float
    ) -> Running:
        """Enter a request that is about to be dispatched."""
        token = secrets.token_hex(_TOKEN_BYTES)
        entry = Running(
            token,
            call.workspace,
            call.key_id,
            call.route_name,
            call.priority,
            deadline,
            chain_attempts.ChainBudget(max(0, call.attempts - 1)),
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

    def oldest_start(self) -> float | None:
        """Return when the longest running request started."""
        if not self.running:
            return None
        # Entries are in order of their start.
        return next(iter(self.running.values())).started_at
