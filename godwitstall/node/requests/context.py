"""Contexts of the requests that run at the node's own upstream.

The upstream sends the token of a request's context with its onward calls.
The workspace, key, deadline, priority and attempts of an onward call come
from the context and not from the upstream, so that the upstream cannot act
for another workspace. A gateway finds the context by the request id; it takes
workspace, rank, priority and the latest deadline from it, but checks the key
of each call and applies the attempts of the route.
"""

import dataclasses
import secrets

from godwitstall.limits import attempts as chain_attempts
from godwitstall import messages

_TOKEN_BYTES = 16


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A request that the upstream currently runs."""

    # Identifies the request in onward calls: a random text that only this node
    # and its upstream know, or the request id that the mesh assigns.
    token: str
    # Workspace of the caller; empty on open routes.
    workspace: messages.WorkspaceName
    # Key that admitted the call; empty on open routes. Without a gateway it is
    # the key of the first call of the chain.
    key_id: messages.KeyId
    # Route of this call.
    route_name: str
    # Priority of the chain.
    priority: messages.Priority
    # Deadline, seconds of clock.now().
    deadline: float
    # Attempts left for onward calls.
    budget: chain_attempts.ChainBudget
    # Rank of the workspace; 0 is the highest.
    order: int
    # Fingerprint of the request.
    fingerprint: bytes
    # Time of the dispatch, seconds of clock.now().
    started_at: float
    # Share of the chains of this kind that the first node admitted.
    admitted_share: float = 1.0
    # Number of onward calls by route and service.
    onward_legs: dict[tuple[str, messages.ServiceName], int] = (
        dataclasses.field(default_factory=dict)
    )
    # Whether an onward call failed after all its attempts.
    has_failed_onward_call: bool = False
    # Number of onward calls in progress.
    onward_calls: int = 0
    # Last time at which onward_calls left or reached zero, seconds.
    onward_changed_at: float = 0.0
    # Total time of finished periods with at least one onward call, seconds.
    onward_time_s: float = 0.0

    def start_onward_call(self, now: float) -> None:
        """Count an onward call that starts."""
        if not self.onward_calls:
            self.onward_changed_at = now
        self.onward_calls += 1

    def count_onward_leg(
        self, route_name: str, service: messages.ServiceName
    ) -> None:
        """Count an onward call of a route to a service."""
        leg = route_name, service
        self.onward_legs[leg] = self.onward_legs.get(leg, 0) + 1

    def end_onward_call(self, now: float) -> None:
        """Count an onward call that has ended."""
        self.onward_calls -= 1
        if not self.onward_calls:
            self.onward_time_s += now - self.onward_changed_at
            self.onward_changed_at = now

    def own_time_s(self, now: float) -> float:
        """Return the time that the upstream itself has spent, in seconds.

        The time of onward calls is excluded because it depends on the load
        of other services and must not lower the limit of this upstream.
        """
        onward_time_s = self.onward_time_s
        if self.onward_calls:
            onward_time_s += now - self.onward_changed_at
        return now - self.started_at - onward_time_s


class Contexts:
    """Contexts of all requests that run at the node's upstream."""

    def __init__(self) -> None:
        # Contexts by token.
        self.running: dict[str, RequestContext] = {}

    def open(
        self, call: messages.Call, deadline: float, now: float
    ) -> RequestContext:
        """Create the context of a request that is about to be dispatched.

        The token is the request id if the mesh assigns one, else it is
        random. A second run of a request id that is already running gets a
        random token, so onward calls with that id belong to the first run.
        """
        token = call.request_id.decode('latin-1')
        if not token or token in self.running:
            token = secrets.token_hex(_TOKEN_BYTES)
        request = RequestContext(
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
            call.admitted_share,
        )
        self.running[token] = request
        return request

    def close(self, request: RequestContext) -> None:
        """Remove the context of a request that has ended."""
        del self.running[request.token]

    def find(self, token: str) -> RequestContext | None:
        """Return the context with a token, None if its request has ended."""
        return self.running.get(token)

    def find_parent(self, request_id: bytes) -> RequestContext | None:
        """Return the context of the request that made an onward call.

        If the mesh assigns request ids, the id of an onward call is the id of
        its parent, a dot and a suffix. Only a request that currently runs at
        this node can be a parent, so the format of an id alone gives no access
        to a context.
        """
        parent_id, dot, _ = request_id.rpartition(b'.')
        return self.find(parent_id.decode('latin-1')) if dot else None

    def oldest_pending_since(self) -> float | None:
        """Return the time since which the oldest answer is pending.

        Requests that wait for an onward call are excluded because the
        upstream does not cause their delay. Returns None if no answer is
        pending.
        """
        return min(
            (
                max(request.started_at, request.onward_changed_at)
                for request in self.running.values()
                if not request.onward_calls
            ),
            default=None,
        )
